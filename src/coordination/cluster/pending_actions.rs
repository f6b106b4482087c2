//! Actions that a change of the state makes necessary: a scheduling cycle,
//! commands to workers, publishing of progress, and scale-out to meet demand.

use super::{ClusterState, UnmetDemand};
use crate::{
    coordination::model::{MachineIndex, Millis},
    protocol::{jobs::JobSpec, names::MachineTypeIndex},
    storage::job_cache::JobIndex,
};

impl ClusterState {
    /// Reports whether something changed since the last scheduling cycle that may
    /// allow a waiting job to be placed.
    pub(in crate::coordination) fn is_cycle_requested(&self) -> bool {
        self.cycle_requested
    }

    /// Requests a scheduling cycle: something changed that may allow a waiting job
    /// to be placed.
    pub(in crate::coordination) fn request_scheduling_cycle(&mut self) {
        self.cycle_requested = true;
    }

    /// Clears the request for a scheduling cycle at the beginning of a cycle, which
    /// takes all changes so far into account.
    pub(in crate::coordination) fn clear_cycle_request(&mut self) {
        self.cycle_requested = false;
    }

    /// Schedules a check of a machine at `at` for commands to be sent.
    pub(in crate::coordination) fn schedule_dispatch(&mut self, at: Millis, machine: MachineIndex) {
        self.dispatch_queue.schedule(at, machine);
    }

    /// Removes and returns the first machine whose check for commands is due, if
    /// any.
    pub(in crate::coordination) fn next_due_dispatch(&mut self, now: Millis) -> Option<MachineIndex> {
        self.dispatch_queue.pop_due(now)
    }

    /// Records that a job's progress may have changed and is to be published.
    pub(in crate::coordination) fn record_progress(&mut self, job: JobIndex) {
        self.progress_feed.mark_changed(job);
    }

    /// Returns the expected run time of a task in seconds: its estimate, corrected
    /// by the run times observed for its class.
    pub(in crate::coordination) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        self.run_times.expected_s(spec)
    }

    /// Records the run time, in seconds, of a task of a job that ran to completion.
    pub(in crate::coordination) fn observe_run_time(&mut self, job: JobIndex, ran_s: f64) {
        if let Some(job) = self.jobs.get(job) {
            self.run_times.observe(&job.spec, ran_s);
        }
    }

    /// Returns the tasks that found no free capacity in the last scheduling cycle,
    /// in the order of that cycle.
    pub(in crate::coordination) fn unmet_demand(&self) -> &[UnmetDemand] {
        &self.unmet_demand.unmet
    }

    /// Replaces the unmet demand by the tasks that a scheduling cycle left unplaced.
    pub(in crate::coordination) fn set_unmet_demand(&mut self, unmet: Vec<UnmetDemand>) {
        self.unmet_demand.unmet = unmet;
    }

    /// Records that there is unmet demand that machines of these types could meet.
    pub(in crate::coordination) fn record_unmet_demand_for(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        self.unmet_demand.record_unmet_for(now, types);
    }

    /// Reports whether there was recent unmet demand that some machine type could
    /// meet.
    pub(in crate::coordination) fn has_recent_unmet_demand(&self, now: Millis) -> bool {
        self.unmet_demand.has_recent_unmet_demand(now)
    }
}
