//! Updates a machine from the status that its heartbeats report.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Machine, MachineIndex, MachineLifecycle, Millis},
    },
    protocol::{ids::Incarnation, names::Interners, workers::Heartbeat},
};

/// Longest interruption notice of a spot machine, in seconds. A longer notice is reduced
/// to this.
const NOTICE_MAX_S: f64 = 3600.0;

/// Updates the machine from a heartbeat that is newer than the latest one.
pub fn update(
    cluster: &mut ClusterState,
    now: Millis,
    index: MachineIndex,
    heartbeat: &Heartbeat,
    interners: &mut Interners,
) {
    let machine_type = interners.types.intern(&heartbeat.machine_type);
    let machine = cluster.machine_mut(index);
    machine.addr = heartbeat.addr.parse().ok().or(machine.addr);
    machine.machine_type = Some(machine_type);
    machine.spot = heartbeat.spot;
    machine.heartbeats.record_contact(now, heartbeat.sequence);
    machine.token_requirement.record_acknowledged_token(heartbeat.token);
    let is_newly_up = machine.lifecycle == MachineLifecycle::Booting;
    if is_newly_up {
        mark_up(machine, now, heartbeat);
    }
    let new_notice_s = heartbeat.reclaim_notice_s.filter(|_| machine.spot_interruption_at.is_none());
    if let Some(reclaim_notice_s) = new_notice_s {
        tracing::info!(machine = &*machine.id, reclaim_notice_s, "spot interruption notice received");
        machine.spot_interruption_at = Some(now + (reclaim_notice_s.clamp(0.0, NOTICE_MAX_S) * 1000.0) as Millis);
    }
    if is_newly_up || new_notice_s.is_some() {
        cluster.request_scheduling_cycle();
    }
}

fn mark_up(machine: &mut Machine, now: Millis, heartbeat: &Heartbeat) {
    machine.lifecycle = MachineLifecycle::Up;
    machine.up_at = Some(now);
    tracing::info!(
        machine = &*machine.id,
        machine_type = &*heartbeat.machine_type,
        spot = heartbeat.spot,
        boot_s = (now - machine.provisioned_at) / 1000,
        "machine up"
    );
}

/// Begins a new incarnation. The worker has killed and discarded all tasks of the
/// previous one, so their assignments are released.
pub fn begin_incarnation(cluster: &mut ClusterState, now: Millis, index: MachineIndex, incarnation: Incarnation) {
    let machine = cluster.machine_mut(index);
    let previous = machine.heartbeats.begin_incarnation(now, incarnation);
    if previous != Incarnation::NONE {
        tracing::info!(machine = &*machine.id, %incarnation, "new worker incarnation");
    }
    cluster.release_machine_assignments(index, Some(incarnation));
    cluster.request_scheduling_cycle();
}
