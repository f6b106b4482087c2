//! The autoscaler's steps and the cloud's answers to its calls.

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

    /// A scale-out request ended.
    pub fn scale_out_finished(&mut self, now: Millis, call: CallId, outcome: ScaleOutOutcome) {
        self.autoscaler.scale_out_finished(now, call, outcome, &mut self.cluster);
    }

    /// A scale-in request ended. `ok`: the cloud confirmed it, so the machines and
    /// everything on them are gone.
    pub fn scale_in_finished(&mut self, now: Millis, call: CallId, ok: bool) {
        self.autoscaler.scale_in_finished(now, call, ok, &mut self.cluster);
    }

    /// A page of the machine list arrived. `None`: the call failed.
    pub fn machines_listed(&mut self, now: Millis, call: CallId, list: Option<&HostList>, interners: &mut Interners) {
        self.autoscaler.machines_listed(now, call, list, &mut self.cluster, &mut self.outbox, interners);
    }
}
