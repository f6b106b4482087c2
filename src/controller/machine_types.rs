//! The catalog of machine types that the cloud offers.

use super::{
    poll_schedule::PollSchedule,
    service_client::{body, CallResult, CloudRequest, PendingCall, ServiceClient},
};
use crate::{
    coordination::model::{MachineTypeSpec, Millis, Resources},
    protocol::{
        cloud::{MachineType, MachineTypeList},
        names::Interners,
    },
    storage::rate_limit::Urgency,
    transport::Net,
};

/// Pause, in ms, after a request that failed; no job is accepted before one succeeds.
const RETRY_MS: Millis = 500;
/// Interval, in ms, at which the types and their prices are read again.
const REFRESH_MS: Millis = 30_000;

/// Whether all amounts of a type make sense.
fn is_plausible(offered: &MachineType) -> bool {
    let amounts = [
        offered.cpus,
        offered.gpus,
        offered.memory_gb,
        offered.cache_gb,
        offered.fetch_gb_per_s,
        offered.price,
        offered.spot_price,
        offered.boot_s,
    ];
    amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
}

fn machine_type_spec(offered: &MachineType, names: &mut Interners) -> MachineTypeSpec {
    MachineTypeSpec {
        index: names.types.intern(&offered.name),
        capacity: Resources { cpus: offered.cpus, gpus: offered.gpus, memory_gb: offered.memory_gb },
        cache_gb: offered.cache_gb,
        fetch_gb_per_s: offered.fetch_gb_per_s,
        price: offered.price,
        spot_price: offered.spot_price,
        boot_s: offered.boot_s,
        zones: offered.zones.iter().map(|zone| names.zones.intern(zone)).collect(),
    }
}

/// The machine types as they were last read, and when they are read again.
#[derive(Debug, Default)]
pub struct MachineTypeCatalog {
    types: Vec<MachineTypeSpec>,
    schedule: PollSchedule,
}

impl MachineTypeCatalog {
    /// The types that may be rented; none before they were first read.
    pub fn types(&self) -> &[MachineTypeSpec] {
        &self.types
    }

    /// Whether no type is known.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Reads the machine types when that is due.
    pub fn refresh(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if self.schedule.is_due(now) && client.budgets().take_cloud(now, Urgency::Commit) {
            self.schedule.begin();
            client.send_to_cloud(net, PendingCall::MachineTypes, CloudRequest::get("/flavors".into()));
        }
    }

    /// The list of machine types came. Returns whether it was read.
    pub fn update(&mut self, now: Millis, result: &CallResult, names: &mut Interners) -> bool {
        let Some(list) = body::<MachineTypeList>(result) else {
            self.schedule.end_and_wait_until(now + RETRY_MS);
            return false;
        };
        self.schedule.end_and_wait_until(now + REFRESH_MS);
        self.types.clear();
        for offered in &list.types {
            if is_plausible(offered) {
                self.types.push(machine_type_spec(offered, names));
            } else {
                tracing::warn!(machine_type = &*offered.name, "implausible machine type ignored");
            }
        }
        true
    }
}

#[cfg(test)]
#[path = "tests/machine_types.rs"]
mod tests;
