//! Detects whether this controller still receives the workers' heartbeats.

use crate::coordination::{
    cluster::ClusterState,
    model::{Machine, MachineLifecycle, Millis},
};

/// A leader is isolated from the workers if fewer than one in this many of the workers that
/// should send heartbeats reach it.
const WORKER_CONTACT_DIVISOR: usize = 4;

/// Keeps track of when this controller last received a heartbeat of any worker.
#[derive(Debug)]
pub struct Reachability {
    /// When a heartbeat of any worker was last accepted; initially, when the leader's term
    /// began.
    last_heartbeat: Millis,
}

impl Reachability {
    /// Creates the state of a leader whose term begins at `now`.
    pub fn new(now: Millis) -> Reachability {
        Reachability { last_heartbeat: now }
    }

    /// Records that a heartbeat of any worker was accepted.
    pub fn record_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat = now;
    }

    /// Reports whether, in the last `for_ms` ms, this controller received heartbeats from
    /// hardly any of the workers that should send them. If no worker should send them,
    /// reports whether no heartbeat was accepted in that time.
    ///
    /// For a worker that should send heartbeats, only a heartbeat newer than the machine's
    /// latest one is taken into account. When delayed copies of old heartbeats were
    /// included, a leader that no worker could reach did not step down until the workers'
    /// leases had expired.
    pub fn is_isolated_from_workers(&self, cluster: &ClusterState, now: Millis, for_ms: Millis) -> bool {
        let window_ms = for_ms.max(cluster.config().heartbeat_interval_ms * 3 / 2);
        let (mut expected, mut reporting) = (0, 0);
        for machine in cluster.machines().iter().filter(|machine| should_send_heartbeats(machine)) {
            expected += 1;
            reporting += usize::from(machine.heartbeats.heartbeat_within(now, window_ms));
        }
        if expected == 0 {
            return now > self.last_heartbeat + for_ms;
        }
        reporting * WORKER_CONTACT_DIVISOR < expected && now > cluster.started_at() + window_ms
    }
}

fn should_send_heartbeats(machine: &Machine) -> bool {
    match machine.lifecycle {
        MachineLifecycle::Up => true,
        MachineLifecycle::Booting => machine.is_recovered_without_heartbeat(),
        MachineLifecycle::Releasing | MachineLifecycle::Gone => false,
    }
}
