//! Detection of machines that take much longer to boot than their type's nominal
//! boot time.

use std::collections::{HashMap, HashSet};

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Machine, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis},
    },
    protocol::names::MachineTypeIndex,
};

/// A boot is late after twice the type's nominal boot time plus [`LATE_BOOT_SLACK_MS`]:
/// this many milliseconds per second of the nominal time.
const LATE_BOOT_MS_PER_BOOT_S: f64 = 2_000.0;
/// Time added to twice the nominal boot time before a boot is late.
const LATE_BOOT_SLACK_MS: f64 = 5_000.0;
/// Boots that completed within this time are included in the statistics of their type.
const RECENT_BOOT_MS: Millis = 120_000;
/// Minimum number of late boots at which a type is considered slow: a single late machine
/// may just be one that never comes up.
const LATE_BOOTS_MIN: u32 = 2;

/// Nominal boot time assumed of a machine whose type is unknown, in seconds.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A boot times out after this multiple of its nominal time plus
/// [`BOOT_TIMEOUT_SLACK_S`].
const BOOT_TIMEOUT_FACTOR: f64 = 3.0;
/// If the type as a whole is slow, one machine in this many gets the extended timeout.
const EXTENDED_TIMEOUT_DIVISOR: usize = 4;
/// Extended timeout, as a multiple of the nominal boot time.
const EXTENDED_TIMEOUT_FACTOR: f64 = 9.0;
/// Seconds added to each boot timeout.
const BOOT_TIMEOUT_SLACK_S: f64 = 15.0;

/// Recent boots of machines of one type.
#[derive(Default)]
struct BootStatistics {
    /// Number of machines whose boot is late.
    late: u32,
    /// Number of machines that came up recently.
    completed: u32,
}

impl BootStatistics {
    fn is_slow(&self) -> bool {
        self.late >= LATE_BOOTS_MIN && self.late > self.completed
    }
}

/// Machine types whose machines currently take much longer to boot than nominal.
#[derive(Debug, Default)]
pub struct BootDelays {
    slow_types: HashSet<MachineTypeIndex>,
}

impl BootDelays {
    /// Determines the slow types: those with at least [`LATE_BOOTS_MIN`] late boots, and
    /// more of them than recently completed ones.
    pub fn update(&mut self, now: Millis, cluster: &ClusterState) {
        let slow = statistics_by_type(now, cluster).into_iter().filter(|(_, statistics)| statistics.is_slow());
        self.slow_types = slow.map(|(machine_type, _)| machine_type).collect();
    }

    /// Reports whether the boot of a machine has timed out, so that the machine is no
    /// longer expected to come up.
    pub fn has_boot_timed_out(&self, now: Millis, cluster: &ClusterState, index: MachineIndex) -> bool {
        let machine = cluster.machine(index);
        let boot_s = cluster.machine_type_of(machine).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s);
        let timeout_ms = (boot_s * self.timeout_factor(machine, index) + BOOT_TIMEOUT_SLACK_S) * 1000.0;
        let since = machine.provisioned_at.max(cluster.started_at());
        (now - since) as f64 > timeout_ms
    }

    /// Returns the boot timeout of a machine as a multiple of its nominal boot time.
    ///
    /// If all machines of a type are slow to boot and each is released at the normal
    /// timeout, none ever comes up. Some of them therefore get an extended timeout. The
    /// others are released, because machines requested once the delay is over come up
    /// sooner.
    fn timeout_factor(&self, machine: &Machine, index: MachineIndex) -> f64 {
        let is_type_slow = machine.machine_type.is_some_and(|known| self.slow_types.contains(&known));
        if is_type_slow && index.as_usize().is_multiple_of(EXTENDED_TIMEOUT_DIVISOR) {
            EXTENDED_TIMEOUT_FACTOR
        } else {
            BOOT_TIMEOUT_FACTOR
        }
    }
}

/// Reports whether the boot of a machine is late: it takes longer than twice the type's
/// nominal boot time plus the slack.
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
            MachineLifecycle::Booting if !machine.is_recovered_without_heartbeat() => {
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
