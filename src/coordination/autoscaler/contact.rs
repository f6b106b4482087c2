//! When machines were last in contact, and whether they should have been.

use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineLifecycle, Millis},
};

/// Unanswered probes in a row after which a machine is suspected.
const FAILED_PROBES_LIMIT: u32 = 2;

/// Whether a machine's worker should send heartbeats: it did, or it holds tasks
/// that an earlier leader assigned.
pub fn is_heartbeat_expected(machine: &Machine) -> bool {
    machine.lifecycle == MachineLifecycle::Up || machine.is_inherited_without_heartbeat()
}

/// Whether a machine was in contact within two heartbeat intervals.
pub fn has_recent_contact(now: Millis, cluster: &ClusterState, machine: &Machine) -> bool {
    let last_contact = machine.heartbeats.last_contact;
    last_contact.is_some_and(|contact| now < contact + 2 * cluster.config().heartbeat_interval_ms)
}

/// Whether a machine is suspected of having failed: its heartbeat is overdue for
/// longer than the failure timeout, or its probes went unanswered.
pub fn is_suspected(now: Millis, cluster: &ClusterState, machine: &Machine) -> bool {
    let is_unresponsive = now > last_contact_or_start(cluster, machine) + cluster.config().heartbeat_timeout_ms
        || machine.heartbeats.failed_probes >= FAILED_PROBES_LIMIT;
    let sends_heartbeats = is_heartbeat_expected(machine) || machine.lifecycle == MachineLifecycle::Releasing;
    is_unresponsive && sends_heartbeats
}

/// When a machine was last in contact. One that this leader had no contact with
/// yet could have sent a heartbeat within an interval of the leader's start.
pub fn last_contact_or_start(cluster: &ClusterState, machine: &Machine) -> Millis {
    machine.heartbeats.last_contact.unwrap_or(cluster.started_at() + cluster.config().heartbeat_interval_ms)
}
