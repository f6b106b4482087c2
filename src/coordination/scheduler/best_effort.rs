//! CPU budget of best-effort arrays: arrays of teams without a guarantee.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Millis, RESOURCE_TOLERANCE},
        snapshot::{ClusterSnapshot, Pool},
    },
    protocol::{
        jobs::{JobKind, JobSpec},
        names::TeamIndex,
    },
    storage::records::JobStatus,
};

/// As many CPUs as jobs that arrived within this window request are expected to be
/// requested again within a window of the same length: about the time that a new
/// machine takes to boot.
const ARRIVAL_WINDOW_MS: i64 = 30_000;
/// Share of the CPUs that best-effort jobs may use even out of the capacity reserved
/// for others: best-effort jobs must not starve while capacity is reserved.
const BEST_EFFORT_SHARE: f64 = 0.4;
/// Largest share of the CPUs that is reserved against best-effort jobs.
const RESERVED_SHARE_MAX: f64 = 0.15;
/// A best-effort job may place some tasks beyond the budget if none of its tasks was
/// ever assigned or the last assignment is at least this long ago: no job may be left
/// waiting beside free capacity.
const LONGEST_WAIT_MS: Millis = 60_000;
/// Divisor of a job's task count: the quotient is the number of tasks that the job may
/// place after a long wait, but at least [`LONG_WAIT_TASKS_MIN`].
const LONG_WAIT_DIVISOR: u32 = 64;
/// Smallest number of tasks that a job may place after a long wait: small jobs may
/// place all of theirs.
const LONG_WAIT_TASKS_MIN: u32 = 64;

/// CPUs that best-effort jobs may still take in a scheduling cycle.
pub struct BestEffortBudget {
    cpus: f64,
}

impl BestEffortBudget {
    /// Computes the budget of a scheduling cycle that begins now.
    ///
    /// Best-effort tasks may run for minutes, and jobs of the same priority can't
    /// preempt them. Without a budget they take all free capacity as soon as it
    /// appears, and other jobs wait until they exit.
    pub fn new(cluster: &ClusterState, now: Millis) -> BestEffortBudget {
        let (mut free, mut capacity) = (0.0, 0.0);
        for pool in pools_for_arrays(cluster.snapshot()) {
            free += pool.free.cpus;
            capacity += pool.capacity.cpus * pool.members.len() as f64;
        }
        // Limited, because jobs may request more than they then use, and the rest of
        // the capacity reserved for them would stand idle.
        let reserved = expected_cpus(cluster, now).min(RESERVED_SHARE_MAX * capacity);
        let share_left = BEST_EFFORT_SHARE * capacity - best_effort_cpus_used(cluster);
        BestEffortBudget { cpus: (free - reserved).max(share_left).max(0.0) }
    }

    /// Returns how many tasks of a best-effort job may be placed now.
    pub fn task_limit(&self, now: Millis, job: &Job) -> usize {
        let tasks_within_budget = (self.cpus / job.spec.cpus.max(RESOURCE_TOLERANCE)) as usize;
        let has_waited_long = !job.wait.ever_assigned || now >= job.statistics.last_assigned + LONGEST_WAIT_MS;
        if has_waited_long {
            tasks_within_budget.max((job.spec.tasks / LONG_WAIT_DIVISOR).max(LONG_WAIT_TASKS_MIN) as usize)
        } else {
            tasks_within_budget
        }
    }

    /// Deducts the CPUs of placed tasks from the budget.
    pub fn charge(&mut self, tasks: usize, spec: &JobSpec) {
        self.cpus -= tasks as f64 * spec.cpus;
    }
}

/// Reports whether a job is an array of a team without a guarantee. Such a job gets
/// only the capacity that other jobs leave.
pub fn is_best_effort_array(cluster: &ClusterState, job: &Job) -> bool {
    job.spec.kind == JobKind::Array && cluster.is_best_effort(job.spec.team)
}

/// Returns the CPUs that best-effort teams use.
fn best_effort_cpus_used(cluster: &ClusterState) -> f64 {
    let teams = (0..cluster.team_count() as u32).map(TeamIndex);
    teams.filter(|&team| cluster.is_best_effort(team)).map(|team| cluster.used_by_team(team).cpus).sum()
}

/// Returns the non-empty pools of machines without GPUs, or all non-empty pools
/// if there are no such machines.
fn pools_for_arrays(snapshot: &ClusterSnapshot) -> Vec<&Pool> {
    let pools = snapshot.pools.iter().filter(|pool| !pool.members.is_empty());
    let (with_gpus, without_gpus): (Vec<&Pool>, Vec<&Pool>) =
        pools.partition(|pool| pool.capacity.gpus > RESOURCE_TOLERANCE);
    if without_gpus.is_empty() {
        with_gpus
    } else {
        without_gpus
    }
}

/// Returns the CPUs that arrays of teams with a guarantee are expected to request
/// within the next [`ARRIVAL_WINDOW_MS`].
fn expected_cpus(cluster: &ClusterState, now: Millis) -> f64 {
    let arrived_recently = |job: &&Job| now as i64 - job.wait.ready_since < ARRIVAL_WINDOW_MS;
    cluster
        .active_jobs()
        .filter(|job| job.status == JobStatus::Pending && job.spec.kind == JobKind::Array)
        .filter(arrived_recently)
        .filter(|job| !cluster.is_best_effort(job.spec.team))
        .map(|job| f64::from(job.spec.tasks) * job.spec.cpus)
        .sum()
}
