//! Machines that take much longer to come up than their type should.

use std::collections::HashMap;

use crate::{
    coordination::{
        leader::Leader,
        model::{Machine, MachineLifecycle, MachineTypeSpec, Millis},
    },
    protocol::names::MachineTypeIndex,
};

/// A machine is late after this many milliseconds per second of its type's boot
/// time (twice that time), and...
const LATE_MS_PER_BOOT_S: f64 = 2_000.0;
/// ...this long.
const LATE_SLACK_MS: f64 = 5_000.0;
/// Machines of a type that came up within this time speak for the type.
const CAME_UP_MEMORY_MS: Millis = 120_000;
/// Fewest late machines that speak against their type: one may never come up.
const LATE_MACHINES_MIN: u32 = 2;

/// How machines of one type came up lately.
#[derive(Default)]
struct BootRecord {
    late: u32,
    came_up: u32,
}

impl Leader {
    /// Whether a machine should have come up by now.
    pub fn is_late(&self, now: Millis, machine: &Machine, machine_type: &MachineTypeSpec) -> bool {
        let waited_ms = now.saturating_sub(machine.rented_at) as f64;
        waited_ms > machine_type.boot_s * LATE_MS_PER_BOOT_S + LATE_SLACK_MS
    }

    /// Notes the types of which more machines are late than came up lately.
    pub fn note_late_types(&mut self, now: Millis) {
        let mut records: HashMap<MachineTypeIndex, BootRecord> = HashMap::new();
        for machine in &self.cluster.machines {
            let Some(machine_type) = self.cluster.type_of(machine) else { continue };
            let record = records.entry(machine_type.index).or_default();
            match machine.lifecycle {
                MachineLifecycle::Booting if !machine.is_inherited_unheard() => {
                    record.late += u32::from(self.is_late(now, machine, machine_type));
                }
                MachineLifecycle::Up => {
                    let came_up_lately = machine.up_at.is_some_and(|up_at| now < up_at + CAME_UP_MEMORY_MS);
                    record.came_up += u32::from(came_up_lately);
                }
                MachineLifecycle::Booting | MachineLifecycle::Returning | MachineLifecycle::Gone => {}
            }
        }
        let late_types =
            records.into_iter().filter(|(_, record)| record.is_late()).map(|(machine_type, _)| machine_type);
        self.autoscaler.late_types = late_types.collect();
    }
}

impl BootRecord {
    fn is_late(&self) -> bool {
        self.late >= LATE_MACHINES_MIN && self.late > self.came_up
    }
}
