//! Selection of the tasks that may be preempted for a job, and their cost.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{
            Assignment, AssignmentIndex, AssignmentState, Job, Millis, Resources, EFFECTIVE_START_MS,
            RESOURCE_TOLERANCE, SAVE_MARGIN_S,
        },
        scheduler::queue::is_starved,
    },
    protocol::jobs::{JobKind, Priority},
    storage::records::JobStatus,
};

/// How long a job within its team's guarantee waits before capacity that other teams
/// borrowed is reclaimed: some capacity may become free without preemption.
const RECLAIM_DELAY_MS: i64 = 12_000;
/// Base cost of stopping any task, in seconds.
const STOP_COST_S: f64 = 5.0;
/// Additional cost of stopping a task soon after its start, in seconds: such a start
/// doesn't count as a start of the job, and the job's users have waited in vain.
const RECENT_START_COST_S: f64 = 60.0;

/// A task that may be preempted.
pub struct Victim {
    pub assignment: AssignmentIndex,
    /// The resources that stopping it would free.
    pub freed: Resources,
    /// Cost of stopping it, in seconds.
    pub cost: f64,
}

/// Finds the tasks that may be preempted for a job.
pub struct VictimSelector<'a> {
    pub cluster: &'a ClusterState,
    pub now: Millis,
    /// The job that gets the capacity.
    pub preemptor: &'a Job,
}

impl VictimSelector<'_> {
    /// Returns the tasks among `assignments` that may be preempted and are not
    /// among those already chosen, in ascending order of cost.
    pub fn victims_among(&self, assignments: &[AssignmentIndex], already_chosen: &[AssignmentIndex]) -> Vec<Victim> {
        let mut victims: Vec<Victim> = assignments
            .iter()
            .filter(|index| !already_chosen.contains(index))
            .filter_map(|&index| self.victim(index))
            .collect();
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        victims
    }

    /// Returns a task as a victim, or `None` if the preemptor may not stop it.
    fn victim(&self, index: AssignmentIndex) -> Option<Victim> {
        let assignment = self.cluster.assignment(index)?;
        if assignment.halt.is_some() || matches!(assignment.state, AssignmentState::Exited(_)) {
            return None;
        }
        let job = self.cluster.job(assignment.job)?;
        if job.status != JobStatus::Pending || assignment.job == self.preemptor.index {
            return None;
        }
        let is_lower = job.spec.priority < self.preemptor.spec.priority;
        if !is_lower && !self.may_reclaim_from(job) {
            return None;
        }
        let ran_s = self.ran_s(assignment);
        // Only a production job may stop a starved job that has eventually started
        // but not yet run long enough to count as started; otherwise the starved job
        // might never run that long.
        let is_recent_start = ran_s * 1000.0 < EFFECTIVE_START_MS as f64;
        if self.preemptor.spec.priority < Priority::Production && is_starved(self.now, job) && is_recent_start {
            return None;
        }
        let cost = stop_cost_s(job, ran_s, is_recent_start);
        Some(Victim { assignment: index, freed: Resources::of(&job.spec), cost })
    }

    /// Returns the seconds for which the task has been running; 0 if it isn't.
    fn ran_s(&self, assignment: &Assignment) -> f64 {
        assignment.running_since.map_or(0.0, |since| (self.now - since) as f64 / 1000.0)
    }

    /// Reports whether the preemptor may reclaim capacity from a job of another team. The
    /// preemptor must be within its own team's guarantee and have waited long enough. The
    /// other team must use more GPUs than it is guaranteed, if both jobs use GPUs, or
    /// have a guarantee of CPUs and use more CPUs than that.
    fn may_reclaim_from(&self, job: &Job) -> bool {
        let preemptor = self.preemptor;
        let has_waited = preemptor.waited_ms(self.now) >= RECLAIM_DELAY_MS;
        if !preemptor.within_guarantee || !has_waited || job.spec.team == preemptor.spec.team {
            return false;
        }
        let limits = self.cluster.team_limits(job.spec.team);
        let used = self.cluster.used_by_team(job.spec.team);
        let exceeds = |guarantee: Option<f64>, used: f64| used > guarantee.unwrap_or(0.0) + RESOURCE_TOLERANCE;
        let both_use_gpus = preemptor.spec.gpus > 0.0 && job.spec.gpus > 0.0;
        (both_use_gpus && exceeds(limits.gpus, used.gpus))
            || (preemptor.spec.cpus > 0.0 && limits.cpus.is_some() && exceeds(limits.cpus, used.cpus))
    }
}

/// Returns the cost, in seconds, of stopping a task that ran for `ran_s`.
fn stop_cost_s(job: &Job, ran_s: f64, is_recent_start: bool) -> f64 {
    let spec = &job.spec;
    let lost_s =
        if spec.checkpoint_s > 0.0 { ran_s.min(spec.checkpoint_s).min(spec.save_s + SAVE_MARGIN_S) } else { ran_s };
    let recent_start_cost_s = if is_recent_start && spec.priority > Priority::Low { RECENT_START_COST_S } else { 0.0 };
    // A gang is stopped as a whole.
    let stopped_tasks = if spec.kind == JobKind::Gang { f64::from(job.tasks.placed) } else { 1.0 };
    (STOP_COST_S + priority_cost_s(spec.priority) + lost_s + recent_start_cost_s) * stopped_tasks
}

/// Returns the part of the cost of stopping a task that its priority determines,
/// in seconds.
fn priority_cost_s(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.0,
        Priority::Normal => 20.0,
        Priority::High => 200.0,
        Priority::Production => 2_000.0,
    }
}
