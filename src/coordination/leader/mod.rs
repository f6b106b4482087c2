//! The leader: what a controller does while it holds the leader's lease.
//!
//! [`Leader`] composes the components and hands them each event: the cluster
//! state (what runs where), the commits (its records in the key-value store), the
//! scheduler, the autoscaler, and the control of the workers.
//!
//! Safety rests on four rules, each guarded where it is marked in the components:
//! an assignment is recorded before its launch is sent; it counts as occupied
//! until something proves that the task is gone; a command that may still be
//! on its way is fenced by a raised token; reaping follows the written end.

mod cloud;
mod commits;
mod loading;
mod sweep;
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

/// Raises of one worker's fencing token after which the leader steps down: well
/// below what the count in a token can hold.
const TOKEN_RAISE_LIMIT: u64 = 60_000;

/// All that a controller keeps while it leads.
pub struct Leader {
    pub(in crate::coordination) cluster: ClusterState,
    commits: CommitPipeline,
    pub(in crate::coordination) scheduler: Scheduler,
    pub(in crate::coordination) autoscaler: Autoscaler,
    pub(in crate::coordination) workers: WorkerControl,
    pub(in crate::coordination) outbox: Outbox,
    next_sweep: Millis,
    next_summary: Millis,
}

impl Leader {
    /// A new leadership that has read no records yet. `nonce` is a random number
    /// that no other leadership has.
    pub fn new(config: Config, term: Term, nonce: u64, now: Millis, types: Vec<MachineTypeSpec>) -> Leader {
        Leader {
            cluster: ClusterState::new(config, term, Attempt(term.first_sequence_number()), now, types),
            commits: CommitPipeline::new(term.first_sequence_number()),
            scheduler: Scheduler::default(),
            autoscaler: Autoscaler::new(nonce, now),
            workers: WorkerControl::new(now),
            outbox: Outbox::default(),
            next_sweep: now,
            next_summary: now + sweep::SUMMARY_MS,
        }
    }

    /// The leadership's term.
    pub fn term(&self) -> Term {
        self.cluster.term()
    }

    /// When this leadership began.
    pub fn started(&self) -> Millis {
        self.cluster.started_at()
    }

    /// Whether all records are read.
    pub fn is_loaded(&self) -> bool {
        self.cluster.is_loaded()
    }

    /// What the leader knows of jobs and machines.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// Whether something changed since the last scheduling cycle that may let a job be placed.
    pub fn is_cycle_pending(&self) -> bool {
        self.cluster.is_cycle_requested()
    }

    /// Whether a scheduling cycle is due: something changed, or the longest gap is over.
    pub fn is_cycle_due(&self, now: Millis, min_gap_ms: Millis, max_gap_ms: Millis) -> bool {
        self.scheduler.is_cycle_due(now, self.cluster.is_cycle_requested(), min_gap_ms, max_gap_ms)
    }

    /// Tries to place every waiting job.
    pub fn run_scheduling_cycle(&mut self, now: Millis) {
        self.scheduler.run_cycle(&mut self.cluster, now);
    }

    /// The time in which no other controller renewed any lease.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.workers.set_no_peer_renewals(span);
    }

    /// Takes the cloud's machine types and their prices, which may have changed.
    pub fn set_types(&mut self, types: &[MachineTypeSpec]) {
        self.cluster.set_machine_types(types);
    }

    /// Takes a job's record from the job cache, new or changed. `wall_ms`: time of
    /// day, in ms since the Unix epoch.
    pub fn job_update(&mut self, now: Millis, wall_ms: u64, index: JobIndex, job_cache: &JobCache) {
        self.commits.set_wall_clock(now, wall_ms);
        self.cluster.apply_job_record(now, wall_ms, index, job_cache);
    }

    /// Progress of at most `max` jobs, to be published.
    pub fn take_progress(&mut self, max: usize) -> Vec<TaskCounts> {
        self.cluster.take_progress(max)
    }

    /// What is to be done outside the leader, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.outbox.take()
    }

    /// Whether the count in some worker's fencing token is nearly used up: the
    /// next leadership begins a new one.
    pub fn tokens_exhausted(&self) -> bool {
        let term = self.cluster.term();
        self.cluster.machines().iter().any(|machine| term.raise_count(machine.fence.token) > TOKEN_RAISE_LIMIT)
    }
}
