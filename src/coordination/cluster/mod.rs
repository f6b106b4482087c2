//! The leader's picture of the cluster: jobs, machines, assignments and free
//! capacity.
//!
//! Every change of which task is, or may be, on which machine goes through
//! [`ClusterState`], which keeps the jobs, the machines, the use of each team and
//! the free capacity in step.

mod assignment_table;
mod assignments;
mod config;
mod dispatch_queue;
mod job_table;
mod jobs;
mod leadership;
mod machine_registry;
mod machines;
mod pending_actions;
mod progress_feed;
mod records;
mod run_times;
mod sharding;
mod team_usage;
mod unmet_demand;

use self::{
    assignment_table::AssignmentTable, dispatch_queue::DispatchQueue, job_table::JobTable,
    machine_registry::MachineRegistry, progress_feed::ProgressFeed, run_times::RunTimeEstimates, team_usage::TeamUsage,
    unmet_demand::UnmetDemandTracker,
};
pub use self::{
    assignments::{NewAssignment, ReleaseReason},
    config::{Config, ServiceObjective},
    unmet_demand::UnmetDemand,
};
pub(in crate::coordination) use self::{
    records::{ObsoleteRecord, RecordState},
    sharding::{AppliedPlan, ReshardPlan},
    unmet_demand::RECENT_UNMET_DEMAND_MS,
};
use super::{
    model::{
        Assignment, AssignmentIndex, Job, Machine, MachineIndex, MachineTypeSpec, Millis, Resources, TeamLimits, Term,
    },
    snapshot::ClusterSnapshot,
};
use crate::{
    protocol::{ids::Attempt, names::TeamIndex},
    storage::job_cache::JobIndex,
};

/// What the leader knows of jobs and machines, and what it wants to run where.
pub struct ClusterState {
    /// Settings of this leadership.
    config: Config,
    /// Identifies this leadership.
    term: Term,
    /// Time of the latest event.
    last_event_at: Millis,
    /// When this leadership began.
    started_at: Millis,
    /// All records are read.
    loaded: bool,
    /// Jobs that are not over, or whose tasks are still somewhere.
    jobs: JobTable,
    /// Jobs whose progress is to be published.
    progress_feed: ProgressFeed,
    /// All machines known so far.
    machines: MachineRegistry,
    /// Machine types that may be rented.
    machine_types: Vec<MachineTypeSpec>,
    /// Tasks that are, or may be, on a machine.
    assignments: AssignmentTable,
    /// The latest attempt of any job.
    last_attempt: Attempt,
    /// Free capacity of the machines, as trials see it.
    snapshot: ClusterSnapshot,
    /// In use by each team, unproven assignments included.
    team_usage: TeamUsage,
    /// Observed run times against their owners' estimates.
    run_times: RunTimeEstimates,
    /// Work that found no free capacity.
    unmet_demand: UnmetDemandTracker,
    /// Something changed that may let a waiting job be placed.
    cycle_requested: bool,
    /// Machines that may have to be sent a command, and when to look.
    dispatch_queue: DispatchQueue,
    /// What is known of the records in the key-value store.
    records: RecordState,
}

impl ClusterState {
    /// The state of a leadership that has read no records yet. Its attempts are
    /// numbered from above `last_attempt`.
    pub(in crate::coordination) fn new(
        config: Config,
        term: Term,
        last_attempt: Attempt,
        now: Millis,
        machine_types: Vec<MachineTypeSpec>,
    ) -> ClusterState {
        ClusterState {
            term,
            last_event_at: now,
            started_at: now,
            loaded: false,
            jobs: JobTable::default(),
            progress_feed: ProgressFeed::default(),
            machines: MachineRegistry::default(),
            machine_types,
            assignments: AssignmentTable::default(),
            last_attempt,
            snapshot: ClusterSnapshot::default(),
            team_usage: TeamUsage::new(config.teams.len()),
            run_times: RunTimeEstimates::default(),
            unmet_demand: UnmetDemandTracker::new(now),
            cycle_requested: true,
            dispatch_queue: DispatchQueue::default(),
            records: RecordState::new(config.max_value_bytes),
            config,
        }
    }

    /// As [`ClusterState::assignment`], to be changed.
    pub(in crate::coordination) fn assignment_mut(&mut self, index: AssignmentIndex) -> Option<&mut Assignment> {
        self.assignments.get_mut(index)
    }

    /// Machine types that may be rented.
    pub(in crate::coordination) fn machine_types(&self) -> &[MachineTypeSpec] {
        &self.machine_types
    }

    /// How many teams there are.
    pub(in crate::coordination) fn team_count(&self) -> usize {
        self.team_usage.len()
    }

    /// A job that is not over, or whose tasks are still somewhere.
    pub fn job(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// As [`ClusterState::job`], to be changed.
    pub fn job_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.jobs.get_mut(index)
    }

    /// The active jobs, in the order in which they came.
    pub fn active_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter()
    }

    /// How many jobs are active.
    pub(in crate::coordination) fn active_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// An assignment that was not released yet.
    pub fn assignment(&self, index: AssignmentIndex) -> Option<&Assignment> {
        self.assignments.get(index)
    }

    /// Free capacity of the machines.
    pub fn snapshot(&self) -> &ClusterSnapshot {
        &self.snapshot
    }

    /// As [`ClusterState::snapshot`], to reserve capacity and to try placements.
    pub(in crate::coordination) fn snapshot_mut(&mut self) -> &mut ClusterSnapshot {
        &mut self.snapshot
    }

    /// A machine; machines are never forgotten, only marked as gone.
    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.as_usize()]
    }

    /// As [`ClusterState::machine`], to be changed.
    pub(in crate::coordination) fn machine_mut(&mut self, index: MachineIndex) -> &mut Machine {
        &mut self.machines[index.as_usize()]
    }

    /// All machines known so far, in the order of their indices.
    pub(in crate::coordination) fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Indices of all machines known so far.
    pub(in crate::coordination) fn machine_indices(&self) -> impl Iterator<Item = MachineIndex> {
        (0..self.machines.len() as u32).map(MachineIndex)
    }

    /// The machine of this name, if it is known.
    pub(in crate::coordination) fn find_machine(&self, name: &str) -> Option<MachineIndex> {
        self.machines.find(name)
    }

    /// The description of a machine's type, if it is known.
    pub fn machine_type_of(&self, machine: &Machine) -> Option<&MachineTypeSpec> {
        let machine_type = machine.machine_type?;
        self.machine_types.iter().find(|known| known.index == machine_type)
    }

    /// The latest attempt of any job.
    pub(in crate::coordination) fn last_attempt(&self) -> Attempt {
        self.last_attempt
    }

    /// A number for an attempt to run a task, higher than any before.
    pub fn next_attempt(&mut self) -> Attempt {
        self.last_attempt = self.last_attempt.next();
        self.last_attempt
    }

    /// The cloud's machine types were read again: prices change.
    pub fn set_machine_types(&mut self, machine_types: &[MachineTypeSpec]) {
        self.machine_types = machine_types.to_vec();
        self.snapshot.update_machine_types(machine_types);
    }

    /// A team's guarantee and limit.
    pub fn team_limits(&self, team: TeamIndex) -> TeamLimits {
        self.config.teams.get(team.as_usize()).copied().unwrap_or_default()
    }

    /// Whether nothing is guaranteed to a team, while something is to others.
    pub fn is_best_effort(&self, team: TeamIndex) -> bool {
        !self.team_limits(team).has_guarantee() && self.config.teams.iter().any(TeamLimits::has_guarantee)
    }

    /// What a team's assignments use.
    pub(in crate::coordination) fn used_by_team(&self, team: TeamIndex) -> Resources {
        self.team_usage.of(team)
    }
}

#[cfg(test)]
#[path = "../tests/cluster.rs"]
mod tests;
