//! Detects failed machines by their missing heartbeats.
//!
//! A machine is suspected once no heartbeat has been received for longer than a
//! timeout or its probes receive no response. A network partition has the same
//! symptoms, so the machine is considered failed only if heartbeats of other machines
//! show that the network works.

use std::collections::HashMap;

use super::{
    contact::{has_recent_contact, is_heartbeat_expected, is_suspected, last_contact_or_start},
    zone_health::ZoneHealth,
};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Machine, MachineLifecycle, Millis},
    },
    protocol::names::ZoneIndex,
};

/// Slack, in addition to a quarter of the heartbeat interval, before a heartbeat is due.
const HEARTBEAT_DUE_SLACK_MS: Millis = 100;
/// A machine that is the only one in its zone is considered failed only after this
/// multiple of the heartbeat timeout.
const LONE_MACHINE_TIMEOUT_FACTOR: Millis = 2;

/// Times of the last contact with each machine, in ascending order. 0: none yet.
#[derive(Default)]
struct ContactTimes(Vec<Millis>);

impl ContactTimes {
    /// Returns how many machines had their last contact after `moment`.
    fn count_after(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|&contact| contact <= moment)
    }

    /// Returns the number of machines besides the suspected one, whose own contact time
    /// is among these.
    fn count_others(&self) -> usize {
        self.0.len().saturating_sub(1)
    }
}

/// Times of the last contact with machines, by zone; the entry with the key `None` holds
/// those of all zones together.
#[derive(Default)]
struct ContactTimesByZone(HashMap<Option<ZoneIndex>, ContactTimes>);

impl ContactTimesByZone {
    /// Collects the contact times of the machines that are expected to send heartbeats;
    /// empty if no machine is suspected.
    fn new(now: Millis, cluster: &ClusterState) -> ContactTimesByZone {
        let mut by_zone = ContactTimesByZone::default();
        if !cluster.machines().iter().any(|machine| is_suspected(now, cluster, machine)) {
            return by_zone;
        }
        for machine in cluster.machines().iter().filter(|machine| is_heartbeat_expected(machine)) {
            for zone in [None, Some(machine.zone)] {
                by_zone.0.entry(zone).or_default().0.push(machine.heartbeats.last_contact.unwrap_or(0));
            }
        }
        for times in by_zone.0.values_mut() {
            times.0.sort_unstable();
        }
        by_zone
    }

    /// Returns how many machines of a zone had their last contact after `moment`.
    fn count_after(&self, zone: Option<ZoneIndex>, moment: Millis) -> usize {
        self.0.get(&zone).map_or(0, |times| times.count_after(moment))
    }

    /// Returns the number of machines of a zone other than the suspected one.
    fn count_others(&self, zone: Option<ZoneIndex>) -> usize {
        self.0.get(&zone).map_or(0, ContactTimes::count_others)
    }
}

/// Number of machines with recent contact, and how many of them acknowledge this
/// controller's responses to their heartbeats.
#[derive(Default)]
struct Acknowledgements {
    with_recent_contact: usize,
    acknowledging: usize,
}

impl Acknowledgements {
    /// Counts the machines once, before the first one is checked. Counting them again for
    /// each machine to check would make the cost grow with the square of their number.
    fn new(now: Millis, cluster: &ClusterState) -> Acknowledgements {
        let mut acknowledgements = Acknowledgements::default();
        let is_recently_contacted =
            |machine: &&Machine| machine.lifecycle == MachineLifecycle::Up && has_recent_contact(now, cluster, machine);
        for machine in cluster.machines().iter().filter(is_recently_contacted) {
            acknowledgements.with_recent_contact += 1;
            acknowledgements.acknowledging += usize::from(machine.token_requirement.unacknowledged_heartbeats == 0);
        }
        acknowledgements
    }

    /// Reports whether most machines other than an unreachable one acknowledge the
    /// responses. If they don't, this controller's responses are lost, and the machine is
    /// not the cause.
    fn most_others_acknowledge(&self) -> bool {
        self.acknowledging * 2 > self.with_recent_contact.saturating_sub(1)
    }
}

/// Detector of failed and unreachable machines at one moment.
pub struct FailureDetector<'a> {
    now: Millis,
    cluster: &'a ClusterState,
    zone_health: &'a ZoneHealth,
    /// Whether the cloud responds to this controller. If it does not, the controller
    /// itself may be partitioned, and no machine is considered failed.
    is_cloud_reachable: bool,
    contact_times: ContactTimesByZone,
    acknowledgements: Acknowledgements,
}

impl<'a> FailureDetector<'a> {
    /// Creates a detector for the state of the cluster at `now`: collects the times of the
    /// last contact with machines, and counts those that acknowledge responses.
    pub fn new(
        now: Millis,
        cluster: &'a ClusterState,
        zone_health: &'a ZoneHealth,
        is_cloud_reachable: bool,
    ) -> FailureDetector<'a> {
        FailureDetector {
            now,
            cluster,
            zone_health,
            is_cloud_reachable,
            contact_times: ContactTimesByZone::new(now, cluster),
            acknowledgements: Acknowledgements::new(now, cluster),
        }
    }

    /// Reports whether a machine has failed and no longer sends heartbeats.
    pub fn has_failed(&self, machine: &Machine) -> bool {
        self.is_cloud_reachable && is_suspected(self.now, self.cluster, machine) && self.is_confirmed_by_others(machine)
    }

    /// Reports whether a machine sends heartbeats but the responses don't reach it.
    pub fn is_unreachable(&self, machine: &Machine) -> bool {
        machine.is_unreachable() && self.is_cloud_reachable && self.acknowledgements.most_others_acknowledge()
    }

    /// Reports whether heartbeats of other machines confirm that a suspected one has
    /// failed.
    ///
    /// A network partition blocks the heartbeats of the machines behind it, which may
    /// still be running. A machine is therefore considered failed only if heartbeats of
    /// at least a third of the others in its zone were received after its own was due,
    /// because a partition would have blocked those too, and if the zone is stable. If
    /// there are no others in its zone, heartbeats of more than a third of the others in
    /// all zones are required instead, and twice the timeout must have passed.
    fn is_confirmed_by_others(&self, suspect: &Machine) -> bool {
        let config = self.cluster.config();
        let last_contact = last_contact_or_start(self.cluster, suspect);
        let due = last_contact + config.heartbeat_interval_ms * 5 / 4 + HEARTBEAT_DUE_SLACK_MS;
        let zone = Some(suspect.zone);
        if self.contact_times.count_others(zone) == 0 {
            return self.contact_times.count_after(None, due) * 3 > self.contact_times.count_others(None)
                && self.now > last_contact + LONE_MACHINE_TIMEOUT_FACTOR * config.heartbeat_timeout_ms;
        }
        self.contact_times.count_after(zone, due) * 3 >= self.contact_times.count_others(zone)
            && self.zone_health.is_stable(self.now, suspect.zone, config.heartbeat_timeout_ms)
    }
}

#[cfg(test)]
#[path = "tests/failure_detector.rs"]
mod tests;
