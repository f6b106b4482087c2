//! Which of a job's tasks a scheduling cycle tries to place, and which machines
//! it avoids for them.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Machine, MachineIndex, MachineLifecycle, Slot},
    },
    protocol::jobs::JobKind,
};

/// Most tasks of one job assigned in one scheduling cycle, so that a large job
/// doesn't stall the others.
const TASKS_PER_CYCLE: usize = 256;
/// An overdue array is started with this fraction of its tasks: the aim is that
/// it begins, not that all of it goes before all other jobs.
const OVERDUE_ARRAY_DIVISOR: u32 = 16;
/// Tasks with which a job that fails everywhere is retried.
const TASKS_PER_RETRY: usize = 1;
/// After failures on this many machines, the machines aren't the reason.
const FAILED_MACHINES_MAX: usize = 4;

/// The tasks of a job that this scheduling cycle tries to place, in order.
pub fn tasks_to_place(cluster: &ClusterState, job: &Job, is_overdue_unplaced: bool) -> Vec<u32> {
    let pending = job.tasks.pending.len();
    let is_gang = job.spec.kind == JobKind::Gang;
    let within_quota =
        cluster.team_limits(job.spec.team).tasks_within_limit(&job.spec, &cluster.used_by_team(job.spec.team)) as usize;
    let limit = pending.min(within_quota).min(task_limit(job, is_overdue_unplaced));
    if limit == 0 || (is_gang && limit < pending) {
        tracing::debug!(job = &*job.id, tasks_within_quota = within_quota, "team quota reached");
        return Vec::new();
    }
    let next_tasks = job.tasks.pending.iter().rev().copied();
    match ChunkCapacity::of(cluster, job) {
        None => next_tasks.take(limit).collect(),
        Some(mut capacity) => next_tasks.filter(|&task| capacity.take_for(job, task)).take(limit).collect(),
    }
}

/// Most tasks of the job that one cycle may place, the team's quota aside.
fn task_limit(job: &Job, is_overdue_unplaced: bool) -> usize {
    let mut limit = TASKS_PER_CYCLE;
    if job.spec.kind == JobKind::Gang {
        return limit.max(job.tasks.pending.len());
    }
    if is_overdue_unplaced && job.spec.kind == JobKind::Array {
        limit = limit.min((job.spec.tasks / OVERDUE_ARRAY_DIVISOR).max(1) as usize);
    }
    if job.failures.is_job_faulty() {
        limit = limit.min(TASKS_PER_RETRY);
    }
    limit
}

/// How many more assignments each chunk record can hold.
///
/// Guard: chunks that were sized for a larger limit take only as many
/// assignments at a time as can be written under the present one.
struct ChunkCapacity {
    /// By chunk: how many more assignments fit, plus one.
    left_plus_one: Vec<u32>,
}

impl ChunkCapacity {
    /// `None`: the job's chunks are not restricted.
    fn of(cluster: &ClusterState, job: &Job) -> Option<ChunkCapacity> {
        let limit_is_normal = cluster.value_limit() > cluster.config().reduced_max_value_bytes;
        if limit_is_normal
            || job.records.chunk_size <= cluster.config().reduced_chunk_size
            || job.spec.kind == JobKind::Gang
        {
            return None;
        }
        let left_plus_one = vec![cluster.config().reduced_chunk_size + 1; job.records.chunks.len()];
        let mut capacity = ChunkCapacity { left_plus_one };
        for (task, slot) in job.tasks.slots.iter().enumerate() {
            if matches!(slot, Slot::Assigned(_)) {
                capacity.take_for(job, task as u32);
            }
        }
        Some(capacity)
    }

    /// Takes capacity for one assignment; false: there is none left.
    fn take_for(&mut self, job: &Job, task: u32) -> bool {
        let left = &mut self.left_plus_one[job.chunk_of(task)];
        *left = left.saturating_sub(1);
        *left > 0
    }
}

/// Machines on which the job's tasks failed. Once they failed nearly
/// everywhere, the machines aren't the reason and none is avoided.
pub fn avoided_machines(job: &Job, machines: &[Machine]) -> Vec<MachineIndex> {
    let failed_on = &job.failures.machines;
    if failed_on.is_empty() {
        return Vec::new();
    }
    let up = machines.iter().filter(|machine| machine.lifecycle == MachineLifecycle::Up).count();
    if failed_on.len() >= FAILED_MACHINES_MAX || failed_on.len() * 2 >= up {
        return Vec::new();
    }
    failed_on.clone()
}
