//! Expiry of worker leases, which proves that no task runs on the machine any more.

use crate::{
    coordination::{
        cluster::{ClusterState, Config},
        lease_renewal::TimeSpan,
        model::{Machine, MachineIndex, Millis},
    },
    protocol::ids::Incarnation,
};

/// Two monotonic clocks drift apart by at most one part in this many over a lease.
const CLOCK_DRIFT_DIVISOR: Millis = 500;
/// Added to a lease besides the drift, in ms, for workers that are slow to stop.
const LEASE_MARGIN_MS: Millis = 500;

/// Detects expired worker leases.
#[derive(Debug)]
pub struct LeaseExpiry {
    /// The time span in which no worker lease was renewed by another controller, or by
    /// this one while it did not lead.
    no_peer_renewals: TimeSpan,
}

impl Default for LeaseExpiry {
    fn default() -> LeaseExpiry {
        LeaseExpiry { no_peer_renewals: TimeSpan::ALWAYS }
    }
}

impl LeaseExpiry {
    /// Sets the time span in which no worker lease was renewed by another controller, or by
    /// this one while it did not lead.
    pub fn set_no_peer_renewals(&mut self, span: TimeSpan) {
        self.no_peer_renewals = span;
    }

    /// Releases all assignments of a machine if its worker's lease has expired, since no
    /// task can run there any more.
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

    /// Reports whether the lease of the machine's worker has expired.
    ///
    /// The lease begins at its last possible renewal: the last 200 that any leader could
    /// have sent (a new leader takes its own start as that time), or, if it is later, the
    /// last time at which a controller that doesn't lead could have renewed the lease. The
    /// drift of both clocks is added to the lease's duration. The lease has expired only
    /// once all other controllers have confirmed that they didn't renew it before it ended;
    /// otherwise a task could still run.
    fn is_expired(&self, config: &Config, now: Millis, machine: &Machine) -> bool {
        let lease_ms = config.worker_lease_ms + config.worker_lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS;
        let last_renewal = (machine.heartbeats.lease_renewed_at as i64).max(self.no_peer_renewals.from);
        let lease_end = last_renewal + lease_ms as i64;
        now as i64 >= lease_end && self.no_peer_renewals.to >= lease_end
    }
}

/// Returns the latest incarnation to which a task on the machine was assigned.
fn last_assigned_incarnation(cluster: &ClusterState, machine: &Machine) -> Incarnation {
    let assignments = machine.load.assignments.iter().filter_map(|&index| cluster.assignment(index));
    assignments.map(|assignment| assignment.incarnation).max().unwrap_or(Incarnation::NONE)
}
