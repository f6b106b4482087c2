//! The leader's picture of the cluster: jobs, machines, assignments and free
//! capacity.
//!
//! Every change of which task is, or may be, on which machine goes through
//! [`ClusterState`], which keeps the jobs, the machines, the use of each team and
//! the free capacity in step.

mod assignment_table;
mod assignments;
mod backlog;
mod config;
mod dispatch_queue;
mod job_table;
mod jobs;
mod machine_registry;
mod machines;
mod progress_feed;
mod records;
mod run_times;
mod sharding;
mod team_usage;

use self::{
    assignment_table::AssignmentTable, backlog::Backlog, dispatch_queue::DispatchQueue, job_table::JobTable,
    machine_registry::MachineRegistry, progress_feed::ProgressFeed, team_usage::TeamUsage,
};
pub use self::{
    assignments::{NewAssignment, ReleaseReason},
    backlog::UnmetDemand,
    config::{Config, ServiceObjective},
    run_times::RunTimeEstimates,
};
pub(in crate::coordination) use self::{
    backlog::RECENT_UNMET_DEMAND_MS,
    records::{ObsoleteRecord, RecordState},
    sharding::{AppliedPlan, ReshardPlan},
};
use super::{
    model::{
        Assignment, AssignmentIndex, Job, Machine, MachineIndex, MachineTypeSpec, Millis, Resources, TeamLimits, Term,
    },
    snapshot::ClusterSnapshot,
};
use crate::{
    protocol::{
        ids::Attempt,
        jobs::JobSpec,
        names::{MachineTypeIndex, TeamIndex},
    },
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
    started: Millis,
    /// All records are read.
    loaded: bool,
    /// Jobs that are not over, or whose tasks are still somewhere.
    jobs: JobTable,
    /// Jobs whose progress is to be published.
    progress_feed: ProgressFeed,
    /// All machines known so far.
    machines: MachineRegistry,
    /// Machine types that may be rented.
    types: Vec<MachineTypeSpec>,
    /// Tasks that are, or may be, on a machine.
    assignments: AssignmentTable,
    /// The latest attempt of any job.
    last_attempt: Attempt,
    /// Free capacity of the machines, as trials see it.
    snapshot: ClusterSnapshot,
    /// In use by each team, unproven assignments included.
    team_used: TeamUsage,
    /// Observed run times against their owners' estimates.
    run_times: RunTimeEstimates,
    /// Work that found no free capacity.
    backlog: Backlog,
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
        types: Vec<MachineTypeSpec>,
    ) -> ClusterState {
        ClusterState {
            term,
            last_event_at: now,
            started: now,
            loaded: false,
            jobs: JobTable::default(),
            progress_feed: ProgressFeed::default(),
            machines: MachineRegistry::default(),
            types,
            assignments: AssignmentTable::default(),
            last_attempt,
            snapshot: ClusterSnapshot::default(),
            team_used: TeamUsage::new(config.teams.len()),
            run_times: RunTimeEstimates::default(),
            backlog: Backlog::new(now),
            cycle_requested: true,
            dispatch_queue: DispatchQueue::default(),
            records: RecordState::new(config.max_value_bytes),
            config,
        }
    }

    /// Settings of this leadership.
    pub(in crate::coordination) fn config(&self) -> &Config {
        &self.config
    }

    /// Identifies this leadership.
    pub(in crate::coordination) fn term(&self) -> Term {
        self.term
    }

    /// When this leadership began.
    pub(in crate::coordination) fn started(&self) -> Millis {
        self.started
    }

    /// Whether all records are read.
    pub(in crate::coordination) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// All records are read.
    pub(in crate::coordination) fn mark_loaded(&mut self) {
        self.loaded = true;
    }

    /// An event is processed now.
    pub(in crate::coordination) fn record_event_at(&mut self, now: Millis) {
        self.last_event_at = now;
    }

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
        &self.backlog.unmet
    }

    /// A scheduling cycle ended with this work unplaced.
    pub(in crate::coordination) fn set_unmet_demand(&mut self, unmet: Vec<UnmetDemand>) {
        self.backlog.unmet = unmet;
    }

    /// There is unmet demand that machines of these types could meet.
    pub(in crate::coordination) fn record_unmet_demand_for(&mut self, now: Millis, types: Vec<MachineTypeIndex>) {
        self.backlog.record_unmet_for(now, types);
    }

    /// Whether there was unmet demand lately that some machine type could meet.
    pub(in crate::coordination) fn has_recent_unmet_demand(&self, now: Millis) -> bool {
        self.backlog.has_recent_unmet_demand(now)
    }

    /// Largest value, in bytes, that the key-value store is known to take.
    pub(in crate::coordination) fn value_limit(&self) -> usize {
        self.records.value_limit()
    }

    /// What is known of the records in the key-value store.
    pub(in crate::coordination) fn records_mut(&mut self) -> &mut RecordState {
        &mut self.records
    }

    /// Whether any record waits to be deleted.
    pub(in crate::coordination) fn has_obsolete_records(&self) -> bool {
        self.records.has_obsolete()
    }

    /// As [`ClusterState::assignment`], to be changed.
    pub(in crate::coordination) fn assignment_mut(&mut self, index: AssignmentIndex) -> Option<&mut Assignment> {
        self.assignments.get_mut(index)
    }

    /// Machine types that may be rented.
    pub(in crate::coordination) fn types(&self) -> &[MachineTypeSpec] {
        &self.types
    }

    /// How many teams there are.
    pub(in crate::coordination) fn team_count(&self) -> usize {
        self.team_used.len()
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
    pub fn type_of(&self, machine: &Machine) -> Option<&MachineTypeSpec> {
        let machine_type = machine.machine_type?;
        self.types.iter().find(|known| known.index == machine_type)
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
    pub fn set_types(&mut self, types: &[MachineTypeSpec]) {
        self.types = types.to_vec();
        self.snapshot.update_machine_types(types);
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
        self.team_used.of(team)
    }
}

#[cfg(test)]
#[path = "../tests/cluster.rs"]
mod tests;
