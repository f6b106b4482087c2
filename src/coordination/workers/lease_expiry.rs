//! What the expiry of a worker's lease proves.

use crate::{
    coordination::{
        cluster::{ClusterState, Config},
        lease_renewal::TimeSpan,
        model::{Machine, MachineIndex, Millis},
    },
    protocol::ids::Incarnation,
};

/// The drift of two steady clocks over a lease is at most one part in this many.
const CLOCK_DRIFT_DIVISOR: Millis = 500;
/// Added to a lease besides the drift, for a worker that is slow to stop.
const LEASE_MARGIN_MS: Millis = 500;

/// Detects expired leases of workers.
#[derive(Debug)]
pub struct LeaseExpiry {
    /// The time in which no other controller renewed any lease.
    no_peer_renewals: TimeSpan,
}

impl Default for LeaseExpiry {
    fn default() -> LeaseExpiry {
        LeaseExpiry { no_peer_renewals: TimeSpan::ALWAYS }
    }
}

impl LeaseExpiry {
    /// Sets the time in which no other controller renewed any lease.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.no_peer_renewals = span;
    }

    /// Frees a machine if the lease of its worker has expired: nothing can run
    /// there any more.
    pub fn expire(&self, cluster: &mut ClusterState, now: Millis, index: MachineIndex) {
        let machine = cluster.machine(index);
        let is_empty = machine.load.assignments.is_empty() && machine.commands.pending_reaps.is_empty();
        if is_empty || !self.is_expired(cluster.config(), now, machine) {
            return;
        }
        tracing::warn!(machine = &*machine.id, tasks = machine.load.assignments.len(), "worker lease expired");
        let last_assigned = last_assigned_incarnation(cluster, machine);
        cluster.machine_mut(index).heartbeats.expire(last_assigned);
        cluster.release_machine_assignments(index, None);
    }

    /// Guard: counted from the last 200 that any leader could have sent (a new
    /// leader counts from its own start), both clocks' drift added. Another
    /// controller may have renewed the lease: then from the last moment at which
    /// one could have, and only once all of them have confirmed that they renewed
    /// none since. Otherwise a task could still run.
    fn is_expired(&self, config: &Config, now: Millis, machine: &Machine) -> bool {
        let lease_ms = config.lease_ms + config.lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS;
        let last_renewal = (machine.heartbeats.lease_renewed_at as i64).max(self.no_peer_renewals.from);
        let lease_end = last_renewal + lease_ms as i64;
        now as i64 >= lease_end && self.no_peer_renewals.to >= lease_end
    }
}

/// The latest incarnation that a task on the machine was assigned to.
fn last_assigned_incarnation(cluster: &ClusterState, machine: &Machine) -> Incarnation {
    let assignments = machine.load.assignments.iter().filter_map(|&index| cluster.assignment(index));
    assignments.map(|assignment| assignment.incarnation).max().unwrap_or(Incarnation::NONE)
}
