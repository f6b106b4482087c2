//! Reclaims GPU machines from best-effort tasks that don't need them.

use super::drain::drain_machine;
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{AssignmentIndex, Job, MachineIndex, MachineLifecycle, Millis, SAVE_MARGIN_S},
    },
    protocol::jobs::JobKind,
};

/// Most machines drained in one step; the exit of each of their tasks has to be committed.
const DRAINS_PER_STEP: usize = 8;

/// Drains machines that are reserved for GPU tasks but run only best-effort tasks,
/// all of which can save a checkpoint.
///
/// Such tasks may run for minutes, one after another, and prevent the release of the
/// machine, which then costs as much as if it had been provisioned for them.
pub fn drain_best_effort_machines(now: Millis, cluster: &mut ClusterState) {
    let drained: Vec<MachineIndex> =
        cluster.machine_indices().filter(|&index| is_reclaimable(cluster, index)).take(DRAINS_PER_STEP).collect();
    for index in drained {
        let machine = cluster.machine(index);
        tracing::info!(
            machine = &*machine.id,
            tasks = machine.load.assignments.len(),
            "draining GPU machine that runs only best-effort tasks"
        );
        drain_machine(now, cluster, index, checkpoint_grace_s);
    }
}

fn is_reclaimable(cluster: &ClusterState, index: MachineIndex) -> bool {
    let machine = cluster.machine(index);
    let is_reserved_for_gpu_tasks = cluster.snapshot().hosts.get(index.as_usize()).is_some_and(|host| host.gpu_only);
    let may_be_drained = machine.lifecycle == MachineLifecycle::Up && !machine.cordoned && machine.is_fenced();
    if !is_reserved_for_gpu_tasks || !may_be_drained || machine.load.assignments.is_empty() {
        return false;
    }
    machine.load.assignments.iter().all(|&assignment| {
        let job = job_of(cluster, assignment);
        job.is_some_and(|job| is_preemptible_best_effort(cluster, job))
    })
}

fn is_preemptible_best_effort(cluster: &ClusterState, job: &Job) -> bool {
    job.spec.checkpoint_s > 0.0 && job.spec.kind == JobKind::Array && cluster.is_best_effort(job.spec.team)
}

/// Returns the time that a task is given to save a checkpoint, in seconds.
fn checkpoint_grace_s(cluster: &ClusterState, assignment: AssignmentIndex) -> f64 {
    job_of(cluster, assignment).map_or(0.0, |job| job.spec.save_s + SAVE_MARGIN_S)
}

fn job_of(cluster: &ClusterState, assignment: AssignmentIndex) -> Option<&Job> {
    cluster.assignment(assignment).and_then(|assignment| cluster.job(assignment.job))
}
