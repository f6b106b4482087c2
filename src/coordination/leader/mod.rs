//! The leader: the work of a controller while it holds the leader's lease.
//!
//! [`Leader`] composes the components and passes each event to them: the cluster
//! state (which task runs on which machine), the commit pipeline (which writes the
//! leader's records to the key-value store), the scheduler, the autoscaler, and the
//! control of the workers.
//!
//! Safety depends on four rules. Comments in the components explain each rule where it
//! is enforced:
//!
//! - An assignment is recorded before its launch is sent.
//! - The resources of an assignment are counted as occupied until its task is proven to
//!   be gone.
//! - A command that may still be in flight is fenced by a raised token.
//! - A task is reaped only after its exit is recorded.

mod cloud;
mod commits;
mod loading;
mod periodic_checks;
mod worker_events;

use super::{
    autoscaler::Autoscaler,
    cluster::{ClusterState, Config},
    commits::CommitPipeline,
    effects::{Effect, Outbox},
    lease_renewal::TimeSpan,
    model::{MachineTypeSpec, Millis, Term},
    scheduler::Scheduler,
    workers::WorkerControl,
};
use crate::{
    protocol::{ids::Attempt, peers::TaskCounts},
    storage::job_cache::{JobCache, JobIndex},
};

/// Number of raises of one worker's fencing token above which the leader steps down:
/// well below the largest count that a token can hold.
const TOKEN_RAISE_LIMIT: u64 = 60_000;

/// State that a controller holds while it leads.
pub struct Leader {
    pub(in crate::coordination) cluster: ClusterState,
    commits: CommitPipeline,
    pub(in crate::coordination) scheduler: Scheduler,
    pub(in crate::coordination) autoscaler: Autoscaler,
    pub(in crate::coordination) workers: WorkerControl,
    pub(in crate::coordination) outbox: Outbox,
    next_periodic_checks: Millis,
    next_summary: Millis,
}

impl Leader {
    /// Returns a leader that has read no records yet. `nonce`: a random number, unique
    /// to this leadership.
    pub fn new(config: Config, term: Term, nonce: u64, now: Millis, types: Vec<MachineTypeSpec>) -> Leader {
        Leader {
            cluster: ClusterState::new(config, term, Attempt(term.first_sequence_number()), now, types),
            commits: CommitPipeline::new(term.first_sequence_number()),
            scheduler: Scheduler::default(),
            autoscaler: Autoscaler::new(nonce, now),
            workers: WorkerControl::new(now),
            outbox: Outbox::default(),
            next_periodic_checks: now,
            next_summary: now + periodic_checks::SUMMARY_INTERVAL_MS,
        }
    }

    /// Returns the leadership's term.
    pub fn term(&self) -> Term {
        self.cluster.term()
    }

    /// Returns the time at which this leadership began, in ms.
    pub fn started_at(&self) -> Millis {
        self.cluster.started_at()
    }

    /// Returns whether all records are read.
    pub fn is_loaded(&self) -> bool {
        self.cluster.is_loaded()
    }

    /// Returns the leader's view of jobs and machines.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// Returns whether a change since the last scheduling cycle may allow a job to be placed.
    pub fn is_cycle_pending(&self) -> bool {
        self.cluster.is_cycle_requested()
    }

    /// Returns whether a scheduling cycle is due: a change may allow a job to be placed and
    /// the last cycle began at least `min_gap_ms` ago, or the last cycle began at least
    /// `max_gap_ms` ago.
    pub fn is_cycle_due(&self, now: Millis, min_gap_ms: Millis, max_gap_ms: Millis) -> bool {
        self.scheduler.is_cycle_due(now, self.cluster.is_cycle_requested(), min_gap_ms, max_gap_ms)
    }

    /// Runs a scheduling cycle, which tries to place every waiting job.
    pub fn run_scheduling_cycle(&mut self, now: Millis) {
        self.scheduler.run_cycle(&mut self.cluster, now);
    }

    /// Sets the time span in which no worker lease was renewed by another controller, or by
    /// this one while it did not lead.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.workers.set_no_peer_renewals(span);
    }

    /// Sets the cloud's machine types and their prices, which may have changed.
    pub fn set_machine_types(&mut self, types: &[MachineTypeSpec]) {
        self.cluster.set_machine_types(types);
    }

    /// Applies a new or changed record of a job from the job cache. `wall_ms`: wall-clock
    /// time, in ms since the Unix epoch.
    pub fn update_job(&mut self, now: Millis, wall_ms: u64, index: JobIndex, job_cache: &JobCache) {
        self.commits.set_wall_clock(now, wall_ms);
        self.cluster.apply_job_record(now, wall_ms, index, job_cache);
    }

    /// Returns the progress of at most `max` jobs, to be published and to be set in the job
    /// cache.
    pub fn take_progress(&mut self, max: usize, job_cache: &JobCache) -> Vec<TaskCounts> {
        self.cluster.take_progress(max, job_cache)
    }

    /// Removes and returns the effects to carry out outside the leader, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.outbox.take()
    }

    /// Returns whether the raise count in any worker's fencing token is nearly exhausted;
    /// the next leadership starts a new count.
    pub fn are_tokens_exhausted(&self) -> bool {
        let term = self.cluster.term();
        self.cluster
            .machines()
            .iter()
            .any(|machine| term.raise_count(machine.token_requirement.token) > TOKEN_RAISE_LIMIT)
    }
}
