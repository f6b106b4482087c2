//! What the end of a worker's lease proves.

use super::Leader;
use crate::coordination::model::{MachineIx, Ms};

/// The drift of two steady clocks over a lease is at most one part in this many.
const CLOCK_DRIFT_DIVISOR: Ms = 500;
/// Added to a lease besides the drift, for a worker that is slow to stop.
const LEASE_MARGIN_MS: Ms = 500;

impl Leader {
    /// Releases what the end of a worker's lease proves gone.
    pub(super) fn expire_lease(&mut self, now: Ms, ix: MachineIx) {
        let machine = &self.machines[ix.at()];
        if machine.assignments.is_empty() && machine.unreaped_exits.is_empty() {
            return;
        }
        // Guard: counted from the last 200 that any leader could have sent (a
        // new leader counts from its own start), both clocks' drift added.
        // Another controller may have renewed the lease: then from the last
        // moment at which one could have, and only once all of them have vouched
        // for the time since. Otherwise a task could still run.
        let lease_ms = (self.cfg.lease_ms + self.cfg.lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS) as i64;
        let end = (machine.lease_renewed as i64).max(self.no_peer_renewals.from) + lease_ms;
        if (now as i64) < end || self.no_peer_renewals.to < end {
            return;
        }
        tracing::warn!(machine = &*machine.id, tasks = machine.assignments.len(), "lease ran out");
        let sessions = machine.assignments.iter().filter_map(|&assignment_ix| self.assignment(assignment_ix));
        let last_session = sessions.map(|assignment| assignment.session).max().unwrap_or(0);
        let machine = &mut self.machines[ix.at()];
        machine.dead_session = machine.dead_session.max(machine.session).max(last_session);
        self.free_machine(ix, None);
    }
}
