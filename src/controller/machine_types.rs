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

/// Pause, in ms, after a failed request. No job is accepted until a request has succeeded.
const RETRY_MS: Millis = 500;
/// Interval, in ms, at which the types and their prices are read again.
const REFRESH_MS: Millis = 30_000;

/// Reports whether all amounts of a type are finite and not negative.
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

/// The machine types of the last successful read, and the schedule of the reads.
#[derive(Debug, Default)]
pub struct MachineTypeCatalog {
    types: Vec<MachineTypeSpec>,
    schedule: PollSchedule,
}

impl MachineTypeCatalog {
    /// Returns the types that may be provisioned; empty before the first successful read.
    pub fn types(&self) -> &[MachineTypeSpec] {
        &self.types
    }

    /// Reports whether no type is known, as before the first successful read.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Sends a request for the machine types if it is due and the budget allows it.
    pub fn refresh(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if self.schedule.is_due(now) && client.budgets().take_cloud(now, Urgency::Commit) {
            self.schedule.begin();
            client.send_to_cloud(net, PendingCall::MachineTypes, CloudRequest::get("/flavors".into()));
        }
    }

    /// Replaces the types with those of a reply. Returns whether the reply held a valid
    /// list; otherwise the types stay as they were.
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
