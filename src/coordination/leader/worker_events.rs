//! Events of workers, passed to the components that control the workers.

use super::Leader;
use crate::{
    coordination::{
        effects::{DirectCallOutcome, HeartbeatOutcome},
        model::{CallId, MachineIndex, Millis},
        workers::{
            direct_calls,
            heartbeats::{self, HeartbeatContext},
            probes,
        },
    },
    protocol::{names::Interners, workers::Heartbeat},
    storage::job_cache::JobCache,
};

impl Leader {
    /// Processes a heartbeat that a worker sent periodically.
    pub fn heartbeat(
        &mut self,
        now: Millis,
        heartbeat: &Heartbeat,
        job_cache: &JobCache,
        interners: &mut Interners,
    ) -> HeartbeatOutcome {
        let mut context = HeartbeatContext { now, job_cache, interners };
        self.workers.heartbeat(&mut self.cluster, &mut context, heartbeat)
    }

    /// Records that the response built for a machine's latest heartbeat is not sent.
    pub fn response_not_sent(&mut self, machine: &str) {
        heartbeats::response_not_sent(&mut self.cluster, machine);
    }

    /// Returns whether a task may be on the machine that sent the heartbeat, or a launch may
    /// be in flight to that machine.
    pub fn may_hold_tasks(&self, heartbeat: &Heartbeat) -> bool {
        heartbeats::may_hold_tasks(&self.cluster, heartbeat)
    }

    /// Sends new commands directly to the workers that may need them.
    pub fn dispatch_commands(&mut self, now: Millis) {
        direct_calls::dispatch(&mut self.cluster, &mut self.outbox, now);
    }

    /// Processes the outcome of a direct call. Returns false if the worker has seen a
    /// higher fencing token than this leader's: another controller leads.
    pub fn direct_call_result(
        &mut self,
        now: Millis,
        index: MachineIndex,
        call: CallId,
        outcome: DirectCallOutcome,
        job_cache: &JobCache,
        interners: &mut Interners,
    ) -> bool {
        let mut context = HeartbeatContext { now, job_cache, interners };
        direct_calls::complete(&mut self.cluster, &mut context, index, call, outcome).is_ok()
    }

    /// Processes the outcome of a probe. `heartbeat`: None if no response was received.
    pub fn probe_finished(
        &mut self,
        now: Millis,
        index: MachineIndex,
        heartbeat: Option<&Heartbeat>,
        job_cache: &JobCache,
        interners: &mut Interners,
    ) {
        let mut context = HeartbeatContext { now, job_cache, interners };
        probes::complete(&mut self.cluster, &mut context, index, heartbeat);
    }

    /// Returns whether hardly any of the workers that should send heartbeats have reached
    /// this controller in the last `for_ms` ms.
    pub fn is_isolated_from_workers(&self, now: Millis, for_ms: Millis) -> bool {
        self.workers.is_isolated_from_workers(&self.cluster, now, for_ms)
    }
}
