//! Draining of machines; scale-in releases them once they are empty.

use crate::coordination::{
    cluster::ClusterState,
    model::{AssignmentIndex, MachineIndex, Millis},
};

/// Cordons a machine and stops all tasks on it. `grace_s` returns the number of
/// seconds that a task is given to save a checkpoint.
pub fn drain_machine(
    now: Millis,
    cluster: &mut ClusterState,
    index: MachineIndex,
    grace_s: impl Fn(&ClusterState, AssignmentIndex) -> f64,
) {
    let machine = cluster.machine_mut(index);
    machine.cordoned = true;
    for assignment in machine.load.assignments.clone() {
        let grace_s = grace_s(cluster, assignment);
        cluster.halt(now, assignment, grace_s);
    }
    cluster.update_snapshot_host(now, index);
    cluster.request_scheduling_cycle();
}
