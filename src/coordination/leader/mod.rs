//! The leader: takes in reports and records, keeps a wanted state, and works
//! out the transactions, commands and rentals that lead to it.
//!
//! Safety rests on four rules, each guarded where it is marked below:
//! an assignment is recorded before its launch is sent; it counts as occupied
//! until something proves that the task is gone; a command that may still be
//! on its way is fenced by a raised token; reaping follows the written end.

mod assignment_table;
mod assignments;
mod commands;
mod commit_outcomes;
mod commits;
mod config;
mod direct_calls;
mod dispatch_queue;
mod effects;
mod exits;
mod failures;
mod gpu_demand;
mod heartbeats;
mod jobs;
mod leases;
mod loading;
mod machines;
mod pipeline;
mod reach;
mod resharding;
mod run_times;
mod sweep;
mod task_statuses;

use std::collections::{HashMap, HashSet};

pub(super) use self::heartbeats::SAVE_MARGIN_S;
use self::{assignment_table::AssignmentTable, dispatch_queue::DispatchQueue, pipeline::TransactionPipeline};
pub use self::{
    assignments::{NewAssignment, TaskFate},
    commands::halts_of_cancelled,
    config::{Config, ServiceObjective},
    effects::{CommitOutcome, DirectCallOutcome, Effect, HeartbeatOutcome},
    gpu_demand::GpuDemand,
    run_times::RunTimeEstimates,
};
use super::{
    autoscaler::Autoscaler,
    lease_renewal::TimeSpan,
    model::{Assignment, AssignmentIndex, Job, Machine, MachineIndex, MachineTypeSpec, Millis, Resources},
    snapshot::ClusterSnapshot,
};
use crate::{
    coordination::model::{CallId, Term},
    protocol::ids::Attempt,
    storage::job_cache::JobIndex,
};

/// Raises of one worker's token after which the leadership is given up: well
/// below what a token's count can hold.
const TOKEN_RAISE_LIMIT: u64 = 60_000;
/// Bits of an attempt number or a transaction's tag that count those of one
/// leadership.
const SEQUENCE_BITS: u32 = 20;

/// All that a controller keeps while it leads.
pub struct Leader {
    /// Settings of this leadership.
    pub(in crate::coordination) cfg: Config,
    /// Revision of the leader record: identifies this leadership.
    pub term: Term,
    /// The latest moment heard of.
    pub(in crate::coordination) clock: Millis,
    /// Largest value, in bytes, that the state service is known to take.
    pub value_limit: usize,
    /// All controllers run a version that can follow a resharded job.
    pub may_reshard: bool,
    /// The time of day minus the steady clock.
    wall_clock_offset_ms: i64,
    /// When this leadership began.
    pub started: Millis,
    /// All records are read.
    pub loaded: bool,
    /// Jobs by their index; None: not known, or over and released.
    pub(in crate::coordination) jobs: Vec<Option<Job>>,
    /// Jobs that are known and not over.
    pub(in crate::coordination) active: Vec<JobIndex>,
    /// Position in `active` from which progress is repeated next.
    next_repeated: usize,
    /// All machines known so far, by their index.
    pub(in crate::coordination) machines: Vec<Machine>,
    /// Indices of the machines, by name.
    pub(in crate::coordination) machine_index: HashMap<String, MachineIndex>,
    assignments: AssignmentTable,
    /// Machine types that may be rented.
    pub(in crate::coordination) types: Vec<MachineTypeSpec>,
    /// Something changed that may let a waiting job be placed.
    pub(in crate::coordination) cycle_needed: bool,
    /// When the last scheduling cycle was made.
    pub(in crate::coordination) last_cycle: Millis,
    last_attempt: Attempt,
    last_call: CallId,
    transactions: TransactionPipeline,
    /// State of renting and returning machines.
    pub(in crate::coordination) autoscaler: Autoscaler,
    effects: Vec<Effect>,
    /// Jobs whose progress changed since it was last published.
    changed_progress: HashSet<JobIndex>,
    /// When any worker was last heard.
    pub(in crate::coordination) last_heartbeat_from_any: Millis,
    /// The machines as trials see them.
    pub snapshot: ClusterSnapshot,
    /// In use by each team, unproven assignments included.
    pub(in crate::coordination) team_used: Vec<Resources>,
    /// Where the next sample of machines for preemption begins.
    pub(in crate::coordination) preemption_cursor: u32,
    /// Machines that may have to be sent something, and when to look.
    dispatch_queue: DispatchQueue,
    next_sweep: Millis,
    /// The time in which no other controller renewed any lease.
    pub no_peer_renewals: TimeSpan,
    next_summary: Millis,
    /// Failed tasks are judged no earlier.
    next_judgement: Millis,
    /// GPU work seen lately.
    pub(in crate::coordination) gpu_demand: GpuDemand,
    /// Observed run times against their owners' estimates.
    pub(in crate::coordination) run_times: RunTimeEstimates,
}

impl Leader {
    /// A new leadership that has read no records yet. `nonce` is a random number
    /// that no other leadership has.
    pub fn new(cfg: Config, term: Term, nonce: u64, now: Millis, types: Vec<MachineTypeSpec>) -> Leader {
        let first_in_sequence = term.0 .0 << SEQUENCE_BITS;
        Leader {
            term,
            clock: now,
            value_limit: cfg.value_max,
            may_reshard: false,
            wall_clock_offset_ms: 0,
            started: now,
            loaded: false,
            jobs: Vec::new(),
            active: Vec::new(),
            next_repeated: 0,
            machines: Vec::new(),
            machine_index: HashMap::new(),
            assignments: AssignmentTable::default(),
            types,
            cycle_needed: true,
            last_cycle: 0,
            last_attempt: Attempt(first_in_sequence),
            last_call: CallId(1),
            transactions: TransactionPipeline::new(first_in_sequence),
            autoscaler: Autoscaler::new(nonce, now),
            effects: Vec::new(),
            changed_progress: HashSet::new(),
            last_heartbeat_from_any: now,
            snapshot: ClusterSnapshot::default(),
            team_used: vec![Resources::default(); cfg.teams.len()],
            preemption_cursor: 0,
            dispatch_queue: DispatchQueue::default(),
            next_sweep: now,
            no_peer_renewals: TimeSpan::ALWAYS,
            next_summary: now + sweep::SUMMARY_MS,
            next_judgement: now,
            gpu_demand: GpuDemand::default(),
            run_times: RunTimeEstimates::default(),
            cfg,
        }
    }

    /// A job that is not over, or whose tasks are still somewhere.
    pub fn job(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(index.at()).and_then(Option::as_ref)
    }

    /// As [`Leader::job`], to be changed.
    pub fn job_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.jobs.get_mut(index.at()).and_then(Option::as_mut)
    }

    /// The active jobs, in the order in which they came.
    pub fn active_jobs(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|&index| self.job(index))
    }

    /// An assignment that was not released yet.
    pub fn assignment(&self, index: AssignmentIndex) -> Option<&Assignment> {
        self.assignments.get(index)
    }

    /// A machine; machines are never forgotten, only marked as gone.
    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.at()]
    }

    /// The description of a machine's type, if it is known.
    pub fn type_of(&self, machine: &Machine) -> Option<&MachineTypeSpec> {
        let machine_type = machine.machine_type?;
        self.types.iter().find(|known| known.index == machine_type)
    }

    /// The cloud's machine types were read again: prices change.
    pub fn set_types(&mut self, types: &[MachineTypeSpec]) {
        self.types = types.to_vec();
        self.snapshot.types_changed(types);
    }

    /// A number for a call, unique within this leadership.
    pub fn next_call(&mut self) -> CallId {
        self.last_call = self.last_call.next();
        self.last_call
    }

    /// A number for an attempt to run a task, higher than any before.
    pub fn next_attempt(&mut self) -> Attempt {
        self.last_attempt = self.last_attempt.next();
        self.last_attempt
    }

    /// What is to be done outside the leader, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn push_effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// The count inside some worker's token is nearly used up: the next
    /// leadership begins a new one.
    pub fn tokens_exhausted(&self) -> bool {
        let base = self.term.first_token();
        self.machines.iter().any(|machine| machine.token.0 - base.0 > TOKEN_RAISE_LIMIT)
    }
}
