//! Whether workers reach this controller.

use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineLifecycle, Millis},
};

/// A leader that is reached by less than one in this many of the workers that
/// should send heartbeats is disconnected from them.
const REACHED_DIVISOR: usize = 4;

/// Keeps when any worker last reached this controller.
#[derive(Debug)]
pub struct Reachability {
    /// When any worker last sent a heartbeat that was accepted, or the leadership began.
    last_heartbeat: Millis,
}

impl Reachability {
    /// A leadership that begins now.
    pub fn new(now: Millis) -> Reachability {
        Reachability { last_heartbeat: now }
    }

    /// A heartbeat of any worker was accepted.
    pub fn record_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat = now;
    }

    /// Whether hardly any of the workers that should send heartbeats have reached
    /// this controller in the last `for_ms`.
    ///
    /// Guard: only newer heartbeats count. Delayed copies of old ones kept a leader
    /// that no worker reached in office, until their leases had expired.
    pub fn is_isolated_from_workers(&self, cluster: &ClusterState, now: Millis, for_ms: Millis) -> bool {
        let window_ms = for_ms.max(cluster.config().heartbeat_interval_ms * 3 / 2);
        let (mut expected, mut reached) = (0, 0);
        for machine in cluster.machines().iter().filter(|machine| should_send_heartbeats(machine)) {
            expected += 1;
            reached += usize::from(machine.heartbeats.heartbeat_within(now, window_ms));
        }
        if expected == 0 {
            return now > self.last_heartbeat + for_ms;
        }
        reached * REACHED_DIVISOR < expected && now > cluster.started() + window_ms
    }
}

fn should_send_heartbeats(machine: &Machine) -> bool {
    match machine.lifecycle {
        MachineLifecycle::Up => true,
        MachineLifecycle::Booting => machine.is_inherited_without_heartbeat(),
        MachineLifecycle::Releasing | MachineLifecycle::Gone => false,
    }
}
