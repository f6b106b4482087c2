//! The leader: what a controller does while it holds the leader's lease.
//!
//! [`Leader`] composes the components and hands them each event: the cluster
//! state (what runs where), the commits (its records in the state service), the
//! scheduler, the autoscaler, and the control of the workers.
//!
//! Safety rests on four rules, each guarded where it is marked in the components:
//! an assignment is recorded before its launch is sent; it counts as occupied
//! until something proves that the task is gone; a command that may still be
//! on its way is fenced by a raised token; reaping follows the written end.

mod commits;
mod loading;
mod sweep;

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
    protocol::{ids::Attempt, peers::Count},
    storage::job_cache::{JobCache, JobIndex},
};

/// Raises of one worker's token after which the leadership is given up: well
/// below what a token's count can hold.
const TOKEN_RAISE_LIMIT: u64 = 60_000;
/// Bits of an attempt number or a transaction's tag that count those of one
/// leadership.
const SEQUENCE_BITS: u32 = 20;

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
        let first_in_sequence = term.0 .0 << SEQUENCE_BITS;
        Leader {
            cluster: ClusterState::new(config, term, Attempt(first_in_sequence), now, types),
            commits: CommitPipeline::new(first_in_sequence),
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
        self.cluster.term
    }

    /// When this leadership began.
    pub fn started(&self) -> Millis {
        self.cluster.started
    }

    /// Whether all records are read.
    pub fn is_loaded(&self) -> bool {
        self.cluster.loaded
    }

    /// What the leader knows of jobs and machines.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// The time in which no other controller renewed any lease.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.workers.no_peer_renewals = span;
    }

    /// The cloud's machine types were read again: prices change.
    pub fn set_types(&mut self, types: &[MachineTypeSpec]) {
        self.cluster.set_types(types);
    }

    /// The job cache shows a job's record, new or changed.
    pub fn job_update(&mut self, now: Millis, wall_ms: u64, index: JobIndex, job_cache: &JobCache) {
        self.commits.set_wall_clock(now, wall_ms);
        self.cluster.job_update(now, wall_ms, index, job_cache);
    }

    /// Progress of at most `max` jobs, to be published.
    pub fn take_progress(&mut self, max: usize) -> Vec<Count> {
        self.cluster.take_progress(max)
    }

    /// What is to be done outside the leader, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.outbox.take()
    }

    /// The count inside some worker's token is nearly used up: the next
    /// leadership begins a new one.
    pub fn tokens_exhausted(&self) -> bool {
        let base = self.cluster.term.first_token();
        self.cluster.machines.iter().any(|machine| machine.fence.token.0 - base.0 > TOKEN_RAISE_LIMIT)
    }
}
