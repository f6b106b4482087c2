//! Probes of workers whose heartbeats are late.

use super::heartbeats::{self, HeartbeatContext};
use crate::{
    coordination::{
        cluster::ClusterState,
        effects::{Effect, Outbox},
        model::{MachineIndex, MachineLifecycle, Millis},
    },
    protocol::workers::Heartbeat,
};

/// A worker is probed once its heartbeat is late by this time, in ms, in addition to a
/// quarter of the heartbeat interval.
const LATE_HEARTBEAT_SLACK_MS: Millis = 400;
/// Number of consecutive probes without a response after which a worker is not probed
/// again.
const FAILED_PROBE_LIMIT: u32 = 3;

/// Probes a worker whose heartbeat is late. A missing response proves nothing about the
/// worker's tasks, but allows its machine to be released sooner. The release of the machine
/// proves that the tasks have ended.
pub fn probe_if_heartbeat_late(cluster: &mut ClusterState, outbox: &mut Outbox, now: Millis, index: MachineIndex) {
    let max_age_ms = cluster.config().heartbeat_interval_ms * 5 / 4 + LATE_HEARTBEAT_SLACK_MS;
    let machine = cluster.machine_mut(index);
    let heartbeats = &mut machine.heartbeats;
    let is_heartbeat_late = heartbeats.last_contact.is_some() && !heartbeats.contacted_within(now, max_age_ms);
    let may_probe = machine.lifecycle == MachineLifecycle::Up
        && !heartbeats.is_probing()
        && !machine.load.assignments.is_empty()
        && heartbeats.failed_probes < FAILED_PROBE_LIMIT;
    if !is_heartbeat_late || !may_probe {
        return;
    }
    if let Some(addr) = machine.addr {
        heartbeats.begin_probe();
        outbox.send(Effect::Probe { machine: index, addr });
    }
}

/// Processes the outcome of a probe. `None`: no response was received.
pub fn complete(
    cluster: &mut ClusterState,
    context: &mut HeartbeatContext<'_>,
    index: MachineIndex,
    heartbeat: Option<&Heartbeat>,
) {
    let machine = cluster.machine_mut(index);
    machine.heartbeats.end_probe();
    let Some(heartbeat) = heartbeat else {
        machine.heartbeats.failed_probes += 1;
        return;
    };
    if machine.lifecycle == MachineLifecycle::Up && !machine.heartbeats.is_expired(heartbeat.incarnation) {
        heartbeats::apply(cluster, context, index, heartbeat);
    }
}
