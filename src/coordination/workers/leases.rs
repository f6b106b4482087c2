//! What the end of a worker's lease proves.

use crate::{
    coordination::{
        leader::Leader,
        model::{MachineIndex, Millis},
    },
    protocol::ids::Incarnation,
};

/// The drift of two steady clocks over a lease is at most one part in this many.
const CLOCK_DRIFT_DIVISOR: Millis = 500;
/// Added to a lease besides the drift, for a worker that is slow to stop.
const LEASE_MARGIN_MS: Millis = 500;

impl Leader {
    /// Releases what the end of a worker's lease proves gone.
    pub fn expire_lease(&mut self, now: Millis, index: MachineIndex) {
        let machine = &self.cluster.machines[index.at()];
        if machine.load.assignments.is_empty() && machine.commands.unreaped_exits.is_empty() {
            return;
        }
        // Guard: counted from the last 200 that any leader could have sent (a
        // new leader counts from its own start), both clocks' drift added.
        // Another controller may have renewed the lease: then from the last
        // moment at which one could have, and only once all of them have vouched
        // for the time since. Otherwise a task could still run.
        let lease_ms = (self.cluster.config.lease_ms
            + self.cluster.config.lease_ms / CLOCK_DRIFT_DIVISOR
            + LEASE_MARGIN_MS) as i64;
        let end = (machine.heartbeats.lease_renewed as i64).max(self.workers.no_peer_renewals.from) + lease_ms;
        if (now as i64) < end || self.workers.no_peer_renewals.to < end {
            return;
        }
        tracing::warn!(machine = &*machine.id, tasks = machine.load.assignments.len(), "lease ran out");
        let incarnations =
            machine.load.assignments.iter().filter_map(|&assignment_index| self.cluster.assignment(assignment_index));
        let last_incarnation = incarnations.map(|assignment| assignment.incarnation).max().unwrap_or(Incarnation::NONE);
        let machine = &mut self.cluster.machines[index.at()];
        machine.heartbeats.expired_incarnation =
            machine.heartbeats.expired_incarnation.max(machine.heartbeats.incarnation).max(last_incarnation);
        self.cluster.free_machine(index, None);
    }
}
