//! Drains spot machines that the cloud is about to reclaim.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{MachineIndex, Millis, SAVE_MARGIN_S},
    },
    protocol::jobs::JobKind,
};

/// Share of the time that a task needs to save its state. The task is halted only if the
/// rest of the notice is longer than this share. Notices may also come at half their
/// nominal time, so less than the full saving time is enough for saving to begin.
const SAVE_SHARE: f64 = 0.8;

/// Halts the tasks on a machine with an interruption notice, as far as they can save a
/// checkpoint in the time that is left; a gang is stopped on all its machines.
pub fn drain(cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
    let Some(interruption_at) = cluster.machine(index).spot_interruption_at else { return };
    let remaining_s = interruption_at.saturating_sub(now) as f64 / 1000.0;
    for assignment_index in cluster.machine(index).load.assignments.clone() {
        let Some(assignment) = cluster.assignment(assignment_index) else { continue };
        let Some(job) = cluster.job(assignment.job) else { continue };
        let save_s = job.spec.save_s;
        let can_save = job.spec.checkpoint_s > 0.0 && remaining_s > save_s * SAVE_SHARE;
        if !can_save || assignment.halt.is_some() {
            continue;
        }
        let grace_s = save_s + SAVE_MARGIN_S;
        if job.spec.kind == JobKind::Gang {
            let job_index = assignment.job;
            cluster.stop_job(now, job_index, grace_s);
        } else {
            cluster.halt(now, assignment_index, grace_s);
        }
    }
}
