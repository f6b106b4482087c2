//! Applies the state that a worker lists for an assigned task.

use super::exited_tasks;
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{ms_to_seconds, AssignmentIndex, AssignmentState, Job, Millis},
    },
    protocol::workers::{ExitReason, TaskState, TaskStatus},
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
    let Some(assignment) = cluster.assignment_mut(index) else { return };
    let previous = std::mem::replace(&mut assignment.state, AssignmentState::Reported(state));
    if previous == assignment.state {
        return;
    }
    let is_running = state == TaskState::Running;
    if is_running && assignment.running_since.is_none() {
        assignment.running_since = Some(now);
    }
    let was_running = previous == AssignmentState::Reported(TaskState::Running);
    let (job_index, machine) = (assignment.job, assignment.machine);
    let assigned_at = (!assignment.recovered).then_some(assignment.assigned_at);
    let Some(job) = cluster.job_mut(job_index) else { return };
    match (was_running, is_running) {
        (false, true) => count_running_task(now, job, assigned_at),
        (true, false) => job.tasks.running = job.tasks.running.saturating_sub(1),
        _ => {}
    }
    cluster.record_progress(job_index);
    cluster.record_cached_image(machine, job_index);
}

/// Counts a task that began to run. `assigned_at` is when this leader assigned it;
/// `None`: an earlier leader did.
fn count_running_task(now: Millis, job: &mut Job, assigned_at: Option<Millis>) {
    job.tasks.running += 1;
    let is_first = job.tasks.running + job.tasks.done == 1;
    if let Some(assigned_at) = assigned_at.filter(|_| is_first) {
        log_first_start(now, job, assigned_at);
    }
}

fn apply_exit(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
    let Some(assignment) = cluster.assignment_mut(index) else { return };
    let exited = AssignmentState::Exited(status.exit_reason.unwrap_or(ExitReason::Other));
    let previous = std::mem::replace(&mut assignment.state, exited);
    let job_index = assignment.job;
    if previous == AssignmentState::Reported(TaskState::Running) {
        if let Some(job) = cluster.job_mut(job_index) {
            job.tasks.running = job.tasks.running.saturating_sub(1);
        }
    }
    exited_tasks::release(cluster, now, index, status);
}

fn log_first_start(now: Millis, job: &Job, assigned_at: Millis) {
    tracing::info!(
        job = &*job.id,
        kind = ?job.spec.kind,
        priority = ?job.spec.priority,
        wait_s = job.age_s(now),
        startup_s = ms_to_seconds(now - assigned_at),
        image_gb = job.spec.image_gb,
        tasks = job.spec.tasks,
        "first task started"
    );
}
