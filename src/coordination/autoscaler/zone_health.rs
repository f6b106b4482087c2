//! Health of zones: whether heartbeats of at least half of their machines are received.

use std::collections::HashMap;

use super::contact::{has_recent_contact, is_heartbeat_expected};
use crate::{
    coordination::{cluster::ClusterState, model::Millis},
    protocol::names::ZoneIndex,
};

/// Number of machines of a zone with a recent heartbeat, and of those expected to
/// send heartbeats.
#[derive(Default)]
struct ContactCount {
    recent: u32,
    expected: u32,
}

impl ContactCount {
    fn is_healthy(&self) -> bool {
        self.recent * 2 >= self.expected
    }
}

/// Healthy zones, and since when each of them has been healthy.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    healthy_since: HashMap<ZoneIndex, Millis>,
}

impl ZoneHealth {
    /// Determines which zones are healthy: heartbeats were recently received from at
    /// least half of their machines that are expected to send them.
    pub fn update(&mut self, now: Millis, cluster: &ClusterState) {
        let mut zones: HashMap<ZoneIndex, ContactCount> = HashMap::new();
        for machine in cluster.machines().iter().filter(|machine| is_heartbeat_expected(machine)) {
            let count = zones.entry(machine.zone).or_default();
            count.recent += u32::from(has_recent_contact(now, cluster, machine));
            count.expected += 1;
        }
        for (zone, count) in zones {
            if count.is_healthy() {
                self.healthy_since.entry(zone).or_insert(now);
            } else {
                self.healthy_since.remove(&zone);
            }
        }
    }

    /// Reports whether a zone has been healthy for longer than the failure timeout.
    ///
    /// When a partition ends, or a leader is new, the heartbeats of the machines arrive
    /// again one by one. Without this check, the machines whose heartbeats arrive last
    /// would be considered failed although they are not.
    pub fn is_stable(&self, now: Millis, zone: ZoneIndex, failure_timeout_ms: Millis) -> bool {
        self.healthy_since.get(&zone).is_some_and(|since| now > since + failure_timeout_ms)
    }
}
