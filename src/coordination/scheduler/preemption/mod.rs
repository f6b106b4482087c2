//! Preemption: stops tasks so that a job of higher priority, or one within its
//! team's guarantee, gets capacity.

mod planner;
mod victims;

use self::planner::{PreemptionPlan, PreemptionPlanner};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{AssignmentIndex, Job, Millis, SAVE_MARGIN_S},
        snapshot::ClusterSnapshot,
    },
    protocol::{
        jobs::{JobKind, JobSpec, Priority},
        names::ZoneIndex,
    },
    storage::job_cache::JobIndex,
};

/// How long a job of normal priority waits before other tasks are preempted for it.
const PREEMPTION_DELAY_MS: i64 = 10_000;
/// Maximum number of tasks of one array for which others are preempted in one
/// scheduling cycle.
const ARRAY_TASKS_PER_CYCLE: usize = 4;
/// Factor in the formula for the machine at which the next sample begins, so that
/// samples differ: (`start` * [`CURSOR_MULTIPLIER`] + [`CURSOR_INCREMENT`]) modulo the
/// number of machines, where `start` is the beginning of the last sample.
const CURSOR_MULTIPLIER: u32 = 5;
/// Summand in the formula for the machine at which the next sample begins; see
/// [`CURSOR_MULTIPLIER`].
const CURSOR_INCREMENT: u32 = 101;

/// The machine at which the latest sample of machines for preemption began.
#[derive(Debug, Default)]
pub struct SampleCursor {
    start: u32,
}

impl SampleCursor {
    /// Moves to the start of the next sample and returns it.
    fn advance(&mut self, machine_count: usize) -> u32 {
        let next = self.start.wrapping_mul(CURSOR_MULTIPLIER).wrapping_add(CURSOR_INCREMENT);
        self.start = next % (machine_count.max(1) as u32);
        self.start
    }
}

/// Reports whether other tasks may be preempted for this job now.
pub fn may_preempt(now: Millis, job: &Job) -> bool {
    // A job that fails on every machine would preempt other tasks again and
    // again.
    if job.failures.is_job_faulty() {
        return false;
    }
    if job.within_guarantee {
        return true;
    }
    match job.spec.priority {
        Priority::Production | Priority::High => true,
        Priority::Normal => job.waited_ms(now) >= PREEMPTION_DELAY_MS,
        Priority::Low => false,
    }
}

/// Preempts other tasks so that `tasks` of a job, or some of them, get capacity, and
/// reserves the freed capacity for them. Returns whether any task was stopped.
pub fn preempt(
    cluster: &mut ClusterState,
    samples: &mut SampleCursor,
    now: Millis,
    index: JobIndex,
    tasks: &[u32],
) -> bool {
    let Some(job) = cluster.job(index) else { return false };
    let spec = job.spec.clone();
    let has_zone = job.tasks.zone_used.iter().any(|&used| used > 0);
    let task_count = match spec.kind {
        JobKind::Array => tasks.len().min(ARRAY_TASKS_PER_CYCLE),
        JobKind::Gang | JobKind::Service => tasks.len(),
    };
    let sample_start = samples.advance(cluster.machines().len());
    let plans_by_zone = spec.one_zone && !has_zone && task_count > 1;
    let zones = if plans_by_zone { each_zone(cluster.snapshot()) } else { vec![None] };
    let planner = PreemptionPlanner { now, job: index, sample_start };
    let Some(plan) = best_plan(cluster, &planner, task_count, zones) else { return false };
    let stopped = plan.victims.into_iter().filter(|&victim| stop_victim(cluster, now, victim, &spec)).count();
    cluster.snapshot_mut().reserve_for_tasks(&spec, plan.hosts.iter().copied());
    if stopped > 0 {
        tracing::info!(job_index = index.0, preempted_tasks = stopped, tasks = plan.hosts.len(), "tasks preempted");
    }
    stopped > 0
}

/// Plans for each of `zones` (`None`: all zones together) and returns the plan that
/// makes capacity for the most tasks; of several such plans, the one with the lowest
/// cost.
///
/// A job that must be in one zone, and has no tasks in any zone yet, is planned for each
/// zone separately. A single plan would choose the zone of the machine that is cheapest
/// for the first task, and a gang would wait if that zone had too few machines.
fn best_plan(
    cluster: &mut ClusterState,
    planner: &PreemptionPlanner,
    task_count: usize,
    zones: Vec<Option<ZoneIndex>>,
) -> Option<PreemptionPlan> {
    let plans = zones.into_iter().filter_map(|zone| planner.plan(cluster, task_count, zone));
    plans.min_by(|a, b| b.hosts.len().cmp(&a.hosts.len()).then(a.cost.total_cmp(&b.cost)))
}

fn each_zone(snapshot: &ClusterSnapshot) -> Vec<Option<ZoneIndex>> {
    let mut zones: Vec<ZoneIndex> = snapshot.pools.iter().map(|pool| pool.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}

/// Stops the task of an assignment; if it belongs to a gang, the whole gang. Returns
/// false if the assignment no longer exists.
fn stop_victim(cluster: &mut ClusterState, now: Millis, victim: AssignmentIndex, preemptor: &JobSpec) -> bool {
    let Some(assignment) = cluster.assignment(victim) else { return false };
    let job_index = assignment.job;
    let Some(job) = cluster.job(job_index) else { return false };
    let save_s = if job.spec.checkpoint_s > 0.0 { job.spec.save_s + SAVE_MARGIN_S } else { 0.0 };
    if job.spec.kind == JobKind::Gang {
        cluster.stop_job(now, job_index, save_s);
    } else {
        let is_urgent = preemptor.priority == Priority::Production;
        cluster.halt(now, victim, if is_urgent { 0.0 } else { save_s });
    }
    true
}
