//! The leader's view of the cluster: jobs, machines, assignments and free
//! capacity.
//!
//! An assignment means that a task is, or may be, on a machine. Assignments are
//! created and released only through [`ClusterState`], which keeps the jobs, the
//! machines, the resource usage of each team and the free capacity consistent with
//! each other.

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

/// The jobs and machines that the leader knows, and the desired assignments of
/// tasks to machines.
pub struct ClusterState {
    /// Settings of this leadership.
    config: Config,
    /// Term of this leadership.
    term: Term,
    /// When the latest event was processed.
    last_event_at: Millis,
    /// When this leadership began.
    started_at: Millis,
    /// Whether all records in the key-value store are read.
    loaded: bool,
    /// Jobs that are unfinished, or whose tasks still have assignments.
    jobs: JobTable,
    /// Selects the jobs whose progress is to be published.
    progress_feed: ProgressFeed,
    /// All machines known so far, including those that are gone.
    machines: MachineRegistry,
    /// Machine types that may be provisioned.
    machine_types: Vec<MachineTypeSpec>,
    /// Tasks that are, or may be, on a machine.
    assignments: AssignmentTable,
    /// The highest attempt number assigned so far, over all jobs.
    last_attempt: Attempt,
    /// Free capacity of the machines, on which placements are tried.
    snapshot: ClusterSnapshot,
    /// Resource usage of each team. Every assignment is included, even if its task is
    /// not proven to be on the machine.
    team_usage: TeamUsage,
    /// Observed run times relative to the estimates of the submitters.
    run_times: RunTimeEstimates,
    /// Tasks that found no free capacity, and the time of the latest unmet demand.
    unmet_demand: UnmetDemandTracker,
    /// Whether something changed that may allow a waiting job to be placed.
    cycle_requested: bool,
    /// Machines to be checked for commands that are due, and when to check them.
    dispatch_queue: DispatchQueue,
    /// State of the records in the key-value store.
    records: RecordState,
}

impl ClusterState {
    /// Creates the state of a leadership that has read no records yet. The first
    /// attempt number that it assigns is the one after `last_attempt`.
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

    /// Returns an assignment that was not released yet, for modification.
    pub(in crate::coordination) fn assignment_mut(&mut self, index: AssignmentIndex) -> Option<&mut Assignment> {
        self.assignments.get_mut(index)
    }

    /// Returns the machine types that may be provisioned.
    pub(in crate::coordination) fn machine_types(&self) -> &[MachineTypeSpec] {
        &self.machine_types
    }

    /// Returns the number of teams in the settings.
    pub(in crate::coordination) fn team_count(&self) -> usize {
        self.team_usage.len()
    }

    /// Returns an active job: one that is unfinished, or whose tasks still have
    /// assignments. `None`: the job is unknown, not added yet, or removed.
    pub fn job(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// Returns an active job, as [`ClusterState::job`] does, for modification.
    pub fn job_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.jobs.get_mut(index)
    }

    /// Returns the active jobs in the order in which they were added.
    pub fn active_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.iter()
    }

    /// Returns the number of active jobs.
    pub(in crate::coordination) fn active_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns an assignment. `None`: it was released.
    pub fn assignment(&self, index: AssignmentIndex) -> Option<&Assignment> {
        self.assignments.get(index)
    }

    /// Returns the free capacity of the machines.
    pub fn snapshot(&self) -> &ClusterSnapshot {
        &self.snapshot
    }

    /// Returns the snapshot for reserving capacity and trying placements.
    pub(in crate::coordination) fn snapshot_mut(&mut self) -> &mut ClusterSnapshot {
        &mut self.snapshot
    }

    /// Returns a machine. Machines are never removed, only marked as gone, so
    /// every index stays valid.
    pub fn machine(&self, index: MachineIndex) -> &Machine {
        &self.machines[index.as_usize()]
    }

    /// Returns a machine for modification.
    pub(in crate::coordination) fn machine_mut(&mut self, index: MachineIndex) -> &mut Machine {
        &mut self.machines[index.as_usize()]
    }

    /// Returns all machines known so far, in the order of their indices.
    pub(in crate::coordination) fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// Returns the indices of all machines known so far.
    pub(in crate::coordination) fn machine_indices(&self) -> impl Iterator<Item = MachineIndex> {
        (0..self.machines.len() as u32).map(MachineIndex)
    }

    /// Returns the index of the machine with this name, if it is known.
    pub(in crate::coordination) fn find_machine(&self, name: &str) -> Option<MachineIndex> {
        self.machines.find(name)
    }

    /// Returns the description of a machine's type. `None`: the type is unknown.
    pub fn machine_type_of(&self, machine: &Machine) -> Option<&MachineTypeSpec> {
        let machine_type = machine.machine_type?;
        self.machine_types.iter().find(|known| known.index == machine_type)
    }

    /// Returns the highest attempt number assigned so far, over all jobs.
    pub(in crate::coordination) fn last_attempt(&self) -> Attempt {
        self.last_attempt
    }

    /// Returns a new attempt number, higher than all earlier ones.
    pub fn next_attempt(&mut self) -> Attempt {
        self.last_attempt = self.last_attempt.next();
        self.last_attempt
    }

    /// Replaces the machine types by those that were just read from the cloud. They
    /// are read repeatedly because prices change.
    pub fn set_machine_types(&mut self, machine_types: &[MachineTypeSpec]) {
        self.machine_types = machine_types.to_vec();
        self.snapshot.update_machine_types(machine_types);
    }

    /// Returns a team's guarantee and limit; for an unknown team, neither.
    pub fn team_limits(&self, team: TeamIndex) -> TeamLimits {
        self.config.teams.get(team.as_usize()).copied().unwrap_or_default()
    }

    /// Reports whether a team is best-effort: it has no guarantee, while another
    /// team has one.
    pub fn is_best_effort(&self, team: TeamIndex) -> bool {
        !self.team_limits(team).has_guarantee() && self.config.teams.iter().any(TeamLimits::has_guarantee)
    }

    /// Returns the resources that a team's assignments use.
    pub(in crate::coordination) fn used_by_team(&self, team: TeamIndex) -> Resources {
        self.team_usage.of(team)
    }
}

#[cfg(test)]
#[path = "../tests/cluster.rs"]
mod tests;
