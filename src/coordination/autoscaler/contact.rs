//! Times of the last heartbeats of machines, and whether heartbeats are expected of them.
//!
//! A contact is a heartbeat, sent periodically or in response to a call.

use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineLifecycle, Millis},
};

/// Consecutive probes without a response after which a machine is suspected.
const FAILED_PROBES_LIMIT: u32 = 2;

/// Reports whether a machine's worker is expected to send heartbeats: it has sent
/// one, or it holds tasks that an earlier leader assigned.
pub fn is_heartbeat_expected(machine: &Machine) -> bool {
    machine.lifecycle == MachineLifecycle::Up || machine.is_recovered_without_heartbeat()
}

/// Reports whether a machine's last contact is less than two heartbeat intervals ago.
pub fn has_recent_contact(now: Millis, cluster: &ClusterState, machine: &Machine) -> bool {
    let last_contact = machine.heartbeats.last_contact;
    last_contact.is_some_and(|contact| now < contact + 2 * cluster.config().heartbeat_interval_ms)
}

/// Reports whether a machine is suspected of having failed: no heartbeat was received
/// for longer than the heartbeat timeout, or its probes received no response.
pub fn is_suspected(now: Millis, cluster: &ClusterState, machine: &Machine) -> bool {
    let is_unresponsive = now > last_contact_or_start(cluster, machine) + cluster.config().heartbeat_timeout_ms
        || machine.heartbeats.failed_probes >= FAILED_PROBES_LIMIT;
    let sends_heartbeats = is_heartbeat_expected(machine) || machine.lifecycle == MachineLifecycle::Releasing;
    is_unresponsive && sends_heartbeats
}

/// Returns the time of a machine's last contact. If this leader has not received a
/// heartbeat from it yet, returns one heartbeat interval after the leader's start,
/// because the machine could have sent one by then.
pub fn last_contact_or_start(cluster: &ClusterState, machine: &Machine) -> Millis {
    machine.heartbeats.last_contact.unwrap_or(cluster.started_at() + cluster.config().heartbeat_interval_ms)
}
