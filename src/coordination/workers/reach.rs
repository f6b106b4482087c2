//! Whether workers reach this controller.

use crate::coordination::{
    leader::Leader,
    model::{Machine, MachineLifecycle, Millis},
};

/// A leader that is reached by less than one in this many of the workers that
/// ought to report is cut off from them.
const REACHED_DIVISOR: usize = 4;

impl Leader {
    /// Whether hardly any of the workers that ought to report have reached this
    /// controller for so long.
    ///
    /// Guard: only news of a worker counts. Delayed copies of old heartbeats kept a
    /// leader that no worker reached in office, until their leases had run out.
    pub fn is_unreached(&self, now: Millis, for_ms: Millis) -> bool {
        let window_ms = for_ms.max(self.cluster.config.heartbeat_interval_ms * 3 / 2);
        let reaches =
            |machine: &&Machine| machine.heartbeats.last_heartbeat.is_some_and(|heard| now <= heard + window_ms);
        let ought_to_report = |machine: &&Machine| match machine.lifecycle {
            MachineLifecycle::Up => true,
            MachineLifecycle::Booting => machine.is_inherited_unheard(),
            MachineLifecycle::Returning | MachineLifecycle::Gone => false,
        };
        let expected = self.cluster.machines.iter().filter(ought_to_report).count();
        if expected == 0 {
            return now > self.cluster.last_heartbeat_from_any + for_ms;
        }
        let reached = self.cluster.machines.iter().filter(ought_to_report).filter(reaches).count();
        reached * REACHED_DIVISOR < expected && now > self.cluster.started + window_ms
    }
}
