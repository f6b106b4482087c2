//! Detects failed machines by their missing heartbeats.
//!
//! A machine is suspected once its heartbeat is long overdue or its probes go
//! unanswered. Since a network partition has the same signs, it counts as failed
//! only if other machines show that the network between works.

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

/// Slack, besides a quarter of the interval, after which a heartbeat was due.
const HEARTBEAT_DUE_SLACK_MS: Millis = 100;
/// A machine without others in its zone is suspected for this many times as long
/// before it counts as failed.
const LONE_MACHINE_TIMEOUT_FACTOR: Millis = 2;

/// Times of the last contact with machines, in ascending order.
#[derive(Default)]
struct ContactTimes(Vec<Millis>);

impl ContactTimes {
    /// How many machines were in contact after this moment.
    fn count_after(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|&contact| contact <= moment)
    }

    /// How many machines there are besides the suspected one.
    fn count_others(&self) -> usize {
        self.0.len().saturating_sub(1)
    }
}

/// When machines were last in contact, by zone; `None`: those of all zones.
#[derive(Default)]
struct ContactTimesByZone(HashMap<Option<ZoneIndex>, ContactTimes>);

impl ContactTimesByZone {
    /// The contact times of the machines that should send heartbeats; empty if no
    /// machine is suspected.
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

    /// How many machines of a zone were in contact after this moment.
    fn count_after(&self, zone: Option<ZoneIndex>, moment: Millis) -> usize {
        self.0.get(&zone).map_or(0, |times| times.count_after(moment))
    }

    /// How many machines of a zone there are besides the suspected one.
    fn count_others(&self, zone: Option<ZoneIndex>) -> usize {
        self.0.get(&zone).map_or(0, ContactTimes::count_others)
    }
}

/// How many machines are in contact, and how many of them acknowledge our answers.
#[derive(Default)]
struct Acknowledgements {
    with_recent_contact: usize,
    acknowledging: usize,
}

impl Acknowledgements {
    /// Guard: counted once for all machines that may be released; counted for
    /// each of them, the work would grow with the square of their number.
    fn new(now: Millis, cluster: &ClusterState) -> Acknowledgements {
        let mut acknowledgements = Acknowledgements::default();
        let is_recently_contacted =
            |machine: &&Machine| machine.lifecycle == MachineLifecycle::Up && has_recent_contact(now, cluster, machine);
        for machine in cluster.machines().iter().filter(is_recently_contacted) {
            acknowledgements.with_recent_contact += 1;
            acknowledgements.acknowledging += usize::from(machine.fence.unacknowledged_heartbeats == 0);
        }
        acknowledgements
    }

    /// Whether most machines besides an unreachable one acknowledge our answers;
    /// otherwise it is this controller whose answers are lost.
    fn most_others_acknowledge(&self) -> bool {
        self.acknowledging * 2 > self.with_recent_contact.saturating_sub(1)
    }
}

/// Failures of machines at one moment.
pub struct FailureDetector<'a> {
    now: Millis,
    cluster: &'a ClusterState,
    zone_health: &'a ZoneHealth,
    /// The cloud answers this controller. If it does not, the controller itself
    /// may be partitioned, and no machine counts as failed.
    is_cloud_reachable: bool,
    contact_times: ContactTimesByZone,
    acknowledgements: Acknowledgements,
}

impl<'a> FailureDetector<'a> {
    /// Takes in when all machines were last in contact.
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

    /// Whether a machine sends no heartbeats any more.
    pub fn has_failed(&self, machine: &Machine) -> bool {
        self.is_cloud_reachable && is_suspected(self.now, self.cluster, machine) && self.is_confirmed_by_others(machine)
    }

    /// Whether a machine sends heartbeats, but our answers don't reach it.
    pub fn is_unreachable(&self, machine: &Machine) -> bool {
        machine.is_unreachable() && self.is_cloud_reachable && self.acknowledgements.most_others_acknowledge()
    }

    /// Whether other machines show that a suspected one has failed.
    ///
    /// Guard: a network partition stops the heartbeats of the machines behind it,
    /// which may well be running. A machine counts as failed only if others of
    /// its zone were in contact after its heartbeat was due: a partition would
    /// have stopped their heartbeats too. If its zone has no others, those of all
    /// zones are taken instead, after twice the time.
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
