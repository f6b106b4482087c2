//! What a change of the state leaves to be done: a scheduling cycle, commands to
//! workers, progress to be published, and demand to be met by scale-out.

use super::{ClusterState, UnmetDemand};
use crate::{
    coordination::model::{MachineIndex, Millis},
    protocol::{jobs::JobSpec, names::MachineTypeIndex},
    storage::job_cache::JobIndex,
};

impl ClusterState {
    /// Whether something changed since the last scheduling cycle that may let a
    /// waiting job be placed.
    pub(in crate::coordination) fn is_cycle_requested(&self) -> bool {
        self.cycle_requested
    }

    /// Something changed that may let a waiting job be placed.
    pub(in crate::coordination) fn request_scheduling_cycle(&mut self) {
        self.cycle_requested = true;
    }

    /// A scheduling cycle begins, which takes in all changes so far.
    pub(in crate::coordination) fn clear_cycle_request(&mut self) {
        self.cycle_requested = false;
    }

    /// Has a machine looked at for commands to be sent once `at` is reached.
    pub(in crate::coordination) fn schedule_dispatch(&mut self, at: Millis, machine: MachineIndex) {
        self.dispatch_queue.schedule(at, machine);
    }

    /// Removes and returns the first machine that is due to be looked at for
    /// commands to be sent.
    pub(in crate::coordination) fn next_due_dispatch(&mut self, now: Millis) -> Option<MachineIndex> {
        self.dispatch_queue.pop_due(now)
    }

    /// A job's progress may have changed and is to be published.
    pub(in crate::coordination) fn record_progress(&mut self, job: JobIndex) {
        self.progress_feed.mark_changed(job);
    }

    /// Expected run time of a task in seconds, corrected by what its class showed so far.
    pub(in crate::coordination) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        self.run_times.expected_s(spec)
    }

    /// Takes in how long a task of a job that ran to its end took, in seconds.
    pub(in crate::coordination) fn observe_run_time(&mut self, job: JobIndex, ran_s: f64) {
        if let Some(job) = self.jobs.get(job) {
            self.run_times.observe(&job.spec, ran_s);
        }
    }

    /// Work that found no free capacity in the last scheduling cycle, in its order.
    pub(in crate::coordination) fn unmet_demand(&self) -> &[UnmetDemand] {
        &self.unmet_demand.unmet
    }

    /// A scheduling cycle ended with this work unplaced.
    pub(in crate::coordination) fn set_unmet_demand(&mut self, unmet: Vec<UnmetDemand>) {
        self.unmet_demand.unmet = unmet;
    }

    /// There is unmet demand that machines of these types could meet.
    pub(in crate::coordination) fn record_unmet_demand_for(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        self.unmet_demand.record_unmet_for(now, types);
    }

    /// Whether there was unmet demand lately that some machine type could meet.
    pub(in crate::coordination) fn has_recent_unmet_demand(&self, now: Millis) -> bool {
        self.unmet_demand.has_recent_unmet_demand(now)
    }
}
