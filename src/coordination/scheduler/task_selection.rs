//! Selects the tasks of a job that a scheduling cycle tries to place, and the
//! machines that it avoids for them.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Machine, MachineIndex, MachineLifecycle, Slot},
    },
    protocol::jobs::JobKind,
};

/// Maximum number of tasks of one job assigned in one scheduling cycle, so that a
/// large job doesn't stall the others.
const TASKS_PER_CYCLE: usize = 256;
/// Divisor of the task count of a starved array: as long as none of its tasks is
/// assigned, it may place only as many tasks as the quotient, but at least one, in one
/// cycle. The aim is that it starts, not that all of its tasks go before all other jobs.
const STARVED_ARRAY_DIVISOR: u32 = 16;
/// Number of tasks with which a job that fails on every machine is retried.
const TASKS_PER_RETRY: usize = 1;
/// After failures on this many machines, the machines are not considered the cause.
const FAILED_MACHINES_MAX: usize = 4;

/// Returns the tasks of a job that this scheduling cycle tries to place, in order.
pub fn tasks_to_place(cluster: &ClusterState, job: &Job, is_starved_unplaced: bool) -> Vec<u32> {
    let pending = job.tasks.pending.len();
    let is_gang = job.spec.kind == JobKind::Gang;
    let within_quota =
        cluster.team_limits(job.spec.team).tasks_within_limit(&job.spec, &cluster.used_by_team(job.spec.team)) as usize;
    let limit = pending.min(within_quota).min(task_limit(job, is_starved_unplaced));
    if limit == 0 || (is_gang && limit < pending) {
        tracing::debug!(job = &*job.id, tasks_within_quota = within_quota, "team quota reached");
        return Vec::new();
    }
    let next_tasks = job.tasks.pending.iter().rev().copied();
    match ChunkCapacity::of(cluster, job) {
        None => next_tasks.take(limit).collect(),
        Some(mut capacity) => next_tasks.filter(|&task| capacity.try_take(job, task)).take(limit).collect(),
    }
}

/// Returns the maximum number of the job's tasks that one cycle may place, apart
/// from the team's quota.
fn task_limit(job: &Job, is_starved_unplaced: bool) -> usize {
    let mut limit = TASKS_PER_CYCLE;
    if job.spec.kind == JobKind::Gang {
        return limit.max(job.tasks.pending.len());
    }
    if is_starved_unplaced && job.spec.kind == JobKind::Array {
        limit = limit.min((job.spec.tasks / STARVED_ARRAY_DIVISOR).max(1) as usize);
    }
    if job.failures.is_job_faulty() {
        limit = limit.min(TASKS_PER_RETRY);
    }
    limit
}

/// Tracks how many more assignments each chunk record can hold.
///
/// The store limits the size of a value, and the limit can be lowered. A chunk that was
/// sized for a larger limit then takes only as many assignments at a time as can be
/// written under the present one.
struct ChunkCapacity {
    /// For each chunk, the number of assignments that still fit, plus one.
    remaining_plus_one: Vec<u32>,
}

impl ChunkCapacity {
    /// Returns the remaining capacity of the job's chunks; `None` if they are not
    /// restricted.
    fn of(cluster: &ClusterState, job: &Job) -> Option<ChunkCapacity> {
        let limit_is_normal = cluster.value_limit() > cluster.config().reduced_max_value_bytes;
        if limit_is_normal
            || job.records.chunk_size <= cluster.config().reduced_chunk_size
            || job.spec.kind == JobKind::Gang
        {
            return None;
        }
        let remaining_plus_one = vec![cluster.config().reduced_chunk_size + 1; job.records.chunks.len()];
        let mut capacity = ChunkCapacity { remaining_plus_one };
        for (task, slot) in job.tasks.slots.iter().enumerate() {
            if matches!(slot, Slot::Assigned(_)) {
                capacity.try_take(job, task as u32);
            }
        }
        Some(capacity)
    }

    /// Takes capacity for one assignment. Returns false if none is left.
    fn try_take(&mut self, job: &Job, task: u32) -> bool {
        let remaining_plus_one = &mut self.remaining_plus_one[job.chunk_of(task)];
        *remaining_plus_one = remaining_plus_one.saturating_sub(1);
        *remaining_plus_one > 0
    }
}

/// Returns the machines to avoid: those on which the job's tasks failed. If they
/// failed on many machines or on at least half of those that are up, the machines
/// are not considered the cause and none is avoided.
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
