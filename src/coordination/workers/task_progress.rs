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
    let state = AssignmentState::Reported(state);
    let Some(previous) = cluster.set_assignment_state(index, state) else { return };
    if previous == state {
        return;
    }
    let Some(assignment) = cluster.assignment_mut(index) else { return };
    if state.is_running() && assignment.running_since.is_none() {
        assignment.running_since = Some(now);
    }
    let (job_index, machine) = (assignment.job, assignment.machine);
    let assigned_at = (!assignment.recovered).then_some(assignment.assigned_at);
    if let Some(job) = cluster.job(job_index).filter(|_| state.is_running()) {
        log_if_first_start(now, job, assigned_at);
    }
    cluster.record_cached_image(machine, job_index);
}

/// Logs the start of the first task of a job. `assigned_at` is when this leader assigned it;
/// `None`: an earlier leader did.
fn log_if_first_start(now: Millis, job: &Job, assigned_at: Option<Millis>) {
    let is_first = job.tasks.running + job.tasks.done == 1;
    if let Some(assigned_at) = assigned_at.filter(|_| is_first) {
        log_first_start(now, job, assigned_at);
    }
}

fn apply_exit(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
    let exited = AssignmentState::Exited(status.exit_reason.unwrap_or(ExitReason::Other));
    if cluster.set_assignment_state(index, exited).is_some() {
        exited_tasks::release(cluster, now, index, status);
    }
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
