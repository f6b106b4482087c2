//! The autoscaler's steps and the cloud's responses to its calls.

use super::Leader;
use crate::{
    coordination::{
        autoscaler::ScaleOutOutcome,
        model::{CallId, Millis},
    },
    protocol::{cloud::HostList, names::Interners},
};

impl Leader {
    /// Lists, releases, consolidates and provisions machines, each at its interval.
    pub fn autoscale(&mut self, now: Millis, interners: &Interners) {
        self.autoscaler.step(now, &mut self.cluster, self.scheduler.gpu_demand(), &mut self.outbox, interners);
    }

    /// Processes the outcome of a scale-out request.
    pub fn scale_out_finished(&mut self, now: Millis, call: CallId, outcome: ScaleOutOutcome) {
        self.autoscaler.scale_out_finished(now, call, outcome, &mut self.cluster);
    }

    /// Processes the outcome of a scale-in request. `ok`: the cloud confirmed it, so the
    /// machines and everything on them no longer exist.
    pub fn scale_in_finished(&mut self, now: Millis, call: CallId, ok: bool) {
        self.autoscaler.scale_in_finished(now, call, ok, &mut self.cluster);
    }

    /// Processes a page of the machine list. `list`: None if the call failed.
    pub fn machines_listed(&mut self, now: Millis, call: CallId, list: Option<&HostList>, interners: &mut Interners) {
        self.autoscaler.machines_listed(now, call, list, &mut self.cluster, &mut self.outbox, interners);
    }
}
