//! The state that a worker lists for an assigned task.

use super::exited_tasks;
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{seconds, Assignment, AssignmentIndex, AssignmentState, Job, MachineIndex, Millis},
    },
    protocol::workers::{ExitReason, TaskState, TaskStatus},
    storage::job_cache::JobIndex,
};

/// Applies the listed state of a task to its assignment.
pub fn apply(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
    if status.state == TaskState::Exited {
        apply_exit(cluster, now, index, status);
    } else {
        apply_state(cluster, now, index, status.state);
    }
}

fn apply_state(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, state: TaskState) {
    let Some(assignment) = cluster.assignments.get_mut(index) else { return };
    let previous = std::mem::replace(&mut assignment.state, AssignmentState::Seen(state));
    if previous == assignment.state {
        return;
    }
    let is_running = state == TaskState::Running;
    if is_running && assignment.running_since.is_none() {
        assignment.running_since = Some(now);
    }
    let was_running = previous == AssignmentState::Seen(TaskState::Running);
    let (job_index, machine) = (assignment.job, assignment.machine);
    let Some(job) = cluster.jobs.get_mut(job_index) else { return };
    match (was_running, is_running) {
        (false, true) => count_running_task(now, job, assignment),
        (true, false) => job.tasks.running = job.tasks.running.saturating_sub(1),
        _ => {}
    }
    cluster.progress_feed.mark_changed(job_index);
    record_cached_image(cluster, machine, job_index);
}

fn count_running_task(now: Millis, job: &mut Job, assignment: &Assignment) {
    job.tasks.running += 1;
    if job.tasks.running + job.tasks.done == 1 && !assignment.inherited {
        log_first_start(now, job, assignment.assigned_at);
    }
}

/// The machine has fetched, or is fetching, the image of the job.
fn record_cached_image(cluster: &mut ClusterState, machine: MachineIndex, job: JobIndex) {
    let Some(job) = cluster.jobs.get(job) else { return };
    if let Some(host) = cluster.snapshot.hosts.get_mut(machine.as_usize()) {
        let cache_gb = host.pool.map_or(0.0, |pool| cluster.snapshot.pools[pool].cache_gb);
        host.note_image(job.spec.image, job.spec.image_gb, cache_gb);
    }
}

fn apply_exit(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
    let Some(assignment) = cluster.assignments.get_mut(index) else { return };
    if assignment.state == AssignmentState::Seen(TaskState::Running) {
        if let Some(job) = cluster.jobs.get_mut(assignment.job) {
            job.tasks.running = job.tasks.running.saturating_sub(1);
        }
    }
    assignment.state = AssignmentState::Ended(status.why.unwrap_or(ExitReason::Other));
    exited_tasks::release(cluster, now, index, status);
}

fn log_first_start(now: Millis, job: &Job, assigned_at: Millis) {
    tracing::info!(
        job = &*job.id,
        kind = ?job.spec.kind,
        priority = ?job.spec.priority,
        wait_s = job.age_s(now),
        startup_s = seconds(now - assigned_at),
        image_gb = job.spec.image_gb,
        tasks = job.spec.tasks,
        "first task started"
    );
}
