//! Exited tasks. Their assignments are released once no command sent earlier can start
//! the task again.

use super::failure_attribution;
use crate::{
    coordination::{
        cluster::{ClusterState, ReleaseReason},
        model::{Assignment, AssignmentIndex, ExitRecord, Millis},
    },
    protocol::workers::{ExitReason, TaskStatus},
};

/// Time, in ms, for which a machine that refused to start a task gets no new tasks. A job
/// whose task the worker did not know gets no new assignments for the same time.
const REFUSED_START_PAUSE_MS: Millis = 3_000;

/// Releases the assignment of an exited task, unless a command sent earlier could
/// still start it again.
pub fn release(cluster: &mut ClusterState, now: Millis, index: AssignmentIndex, status: &TaskStatus) {
    if !is_exit_final(cluster, index) {
        return;
    }
    let reason = status.exit_reason.unwrap_or(ExitReason::Other);
    let release_reason = if reason == ExitReason::Done { ReleaseReason::Done } else { ReleaseReason::Unfinished };
    let Some(assignment) = cluster.release_assignment(index, release_reason) else { return };
    let record = exit_record(cluster, &assignment);
    let machine = cluster.machine_mut(assignment.machine);
    machine.commands.add_pending_reap(status, assignment.job, record);
    if release_reason == ReleaseReason::Done {
        observe_run_time(cluster, now, &assignment);
    } else {
        tracing::debug!(
            task = &*status.task,
            machine = &*machine.id,
            ?reason,
            saved = ?status.saved,
            "task exited before completion"
        );
        handle_unfinished_exit(cluster, now, &assignment, reason, &status.task);
    }
}

/// Reports whether the exit is final: no launch of the task can still be in flight. A
/// launch in flight could arrive after the reap and start the task a second time.
fn is_exit_final(cluster: &ClusterState, index: AssignmentIndex) -> bool {
    let Some(assignment) = cluster.assignment(index) else { return false };
    let machine = cluster.machine(assignment.machine);
    machine.is_fenced() && !cluster.is_launch_in_flight(assignment) && !machine.commands.has_launch_in_response()
}

/// Returns the chunk version with which the exit of a released assignment is written.
fn exit_record(cluster: &ClusterState, assignment: &Assignment) -> ExitRecord {
    match cluster.job(assignment.job) {
        Some(job) => {
            let chunk = job.chunk_of(assignment.task);
            ExitRecord::WrittenWith { chunk, version: job.records.chunks[chunk].version }
        }
        None => ExitRecord::WrittenWith { chunk: 0, version: 0 },
    }
}

fn handle_unfinished_exit(
    cluster: &mut ClusterState,
    now: Millis,
    assignment: &Assignment,
    reason: ExitReason,
    task: &str,
) {
    match reason {
        ExitReason::InsufficientResources | ExitReason::Busy => {
            let machine = cluster.machine_mut(assignment.machine);
            tracing::info!(task, machine = &*machine.id, ?reason, "worker refused to start task");
            machine.unschedulable_until = now + REFUSED_START_PAUSE_MS;
            cluster.update_snapshot_host(now, assignment.machine);
        }
        ExitReason::Unknown => {
            if let Some(job) = cluster.job_mut(assignment.job) {
                job.wait.not_before = now + REFUSED_START_PAUSE_MS;
            }
        }
        ExitReason::Stopped => {
            if let Some(job) = cluster.job_mut(assignment.job) {
                job.statistics.stop_count += 1;
            }
        }
        ExitReason::Error => failure_attribution::record_failure(cluster, now, assignment, task),
        ExitReason::Done | ExitReason::Peers | ExitReason::Alone | ExitReason::Other => {}
    }
}

/// Updates the run time estimates from a completed task, unless it was halted.
fn observe_run_time(cluster: &mut ClusterState, now: Millis, assignment: &Assignment) {
    let Some(running_since) = assignment.running_since else { return };
    if assignment.halt.is_some() {
        return;
    }
    let ran_s = (now - running_since) as f64 / 1000.0;
    cluster.observe_run_time(assignment.job, ran_s);
}
