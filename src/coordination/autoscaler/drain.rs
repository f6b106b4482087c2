//! Drains machines, so that scale-in releases them once they are empty.

use crate::coordination::{
    cluster::ClusterState,
    model::{AssignmentIndex, MachineIndex, Millis},
};

/// Cordons a machine and stops everything on it. Each task gets the seconds of
/// `grace_s` to save a checkpoint.
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
