//! Machines that take much longer to boot than their type nominally does.

use std::collections::{HashMap, HashSet};

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Machine, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis},
    },
    protocol::names::MachineTypeIndex,
};

/// A boot is overdue after this many milliseconds per second of the type's
/// nominal boot time (twice that time), and...
const LATE_BOOT_MS_PER_BOOT_S: f64 = 2_000.0;
/// ...this long.
const LATE_BOOT_SLACK_MS: f64 = 5_000.0;
/// Boots that were completed within this time count for their type.
const RECENT_BOOT_MS: Millis = 120_000;
/// Fewest overdue machines that make their type slow: a single one may never come up.
const LATE_BOOTS_MIN: u32 = 2;

/// Nominal boot time assumed of a machine whose type is unknown, in seconds.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A boot has failed after this many times its nominal time...
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// ...and this many seconds. If the type is slow as a whole, though, one machine
/// in so many...
const EXTENDED_TIMEOUT_DIVISOR: usize = 4;
/// ...is given this many times the nominal time.
const EXTENDED_TIMEOUT_FACTOR: f64 = 9.0;
/// Seconds added to each boot timeout.
const BOOT_TIMEOUT_SLACK_S: f64 = 15.0;

/// Recent boots of machines of one type.
#[derive(Default)]
struct BootStatistics {
    /// Machines whose boot is overdue.
    late: u32,
    /// Machines that came up lately.
    completed: u32,
}

impl BootStatistics {
    fn is_slow(&self) -> bool {
        self.late >= LATE_BOOTS_MIN && self.late > self.completed
    }
}

/// Machine types whose machines take much longer to boot than nominally, at present.
#[derive(Debug, Default)]
pub struct BootDelays {
    slow_types: HashSet<MachineTypeIndex>,
}

impl BootDelays {
    /// Determines the slow types: those with more overdue boots than recently
    /// completed ones.
    pub fn update(&mut self, now: Millis, cluster: &ClusterState) {
        let slow = statistics_by_type(now, cluster).into_iter().filter(|(_, statistics)| statistics.is_slow());
        self.slow_types = slow.map(|(machine_type, _)| machine_type).collect();
    }

    /// Whether a booting machine is not expected to come up any more.
    pub fn has_boot_timed_out(&self, now: Millis, cluster: &ClusterState, index: MachineIndex) -> bool {
        let machine = cluster.machine(index);
        let boot_s = cluster.machine_type_of(machine).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s);
        let timeout_ms = (boot_s * self.timeout_factor(machine, index) + BOOT_TIMEOUT_SLACK_S) * 1000.0;
        let since = machine.provisioned_at.max(cluster.started_at());
        (now - since) as f64 > timeout_ms
    }

    /// Guard: when all machines were slow to boot, each was released before it
    /// came up, and none ever did. A part of them is waited for; the others are
    /// released, since those requested after the delay come up sooner.
    fn timeout_factor(&self, machine: &Machine, index: MachineIndex) -> f64 {
        let is_type_slow = machine.machine_type.is_some_and(|known| self.slow_types.contains(&known));
        if is_type_slow && index.as_usize().is_multiple_of(EXTENDED_TIMEOUT_DIVISOR) {
            EXTENDED_TIMEOUT_FACTOR
        } else {
            BOOT_TIMEOUT_FACTOR
        }
    }
}

/// Whether a booting machine should be up by now.
pub fn is_boot_late(now: Millis, machine: &Machine, machine_type: &MachineTypeSpec) -> bool {
    let waited_ms = now.saturating_sub(machine.provisioned_at) as f64;
    waited_ms > machine_type.boot_s * LATE_BOOT_MS_PER_BOOT_S + LATE_BOOT_SLACK_MS
}

fn statistics_by_type(now: Millis, cluster: &ClusterState) -> HashMap<MachineTypeIndex, BootStatistics> {
    let mut by_type: HashMap<MachineTypeIndex, BootStatistics> = HashMap::new();
    for machine in cluster.machines() {
        let Some(machine_type) = cluster.machine_type_of(machine) else { continue };
        let statistics = by_type.entry(machine_type.index).or_default();
        match machine.lifecycle {
            MachineLifecycle::Booting if !machine.is_inherited_without_heartbeat() => {
                statistics.late += u32::from(is_boot_late(now, machine, machine_type));
            }
            MachineLifecycle::Up => {
                let came_up_recently = machine.up_at.is_some_and(|up_at| now < up_at + RECENT_BOOT_MS);
                statistics.completed += u32::from(came_up_recently);
            }
            MachineLifecycle::Booting | MachineLifecycle::Releasing | MachineLifecycle::Gone => {}
        }
    }
    by_type
}
