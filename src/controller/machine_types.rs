//! The machine types that the cloud offers.

use super::{
    calls::{CloudCall, Pending},
    replies::body,
    wiring::Controller,
};
use crate::{
    coordination::model::{MachineTypeSpec, Millis, Resources},
    protocol::cloud::{MachineType, MachineTypeList},
    storage::budget::Urgency,
    transport::{CallError, Net, Reply},
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

impl Controller {
    /// Reads the machine types when that is due.
    pub(super) fn refresh_machine_types(&mut self, net: &mut Net, now: Millis) {
        if self.types_poll.due(now) && self.budgets.cloud.take(now, 1.0, Urgency::Commit).is_ok() {
            self.types_poll.in_flight = true;
            self.ask_cloud(net, Pending::MachineTypes, CloudCall::get("/flavors".into()));
        }
    }

    /// The list of machine types came.
    pub(super) fn machine_types_listed(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        let Some(list) = body::<MachineTypeList>(result) else {
            self.types_poll.finish(now + RETRY_MS);
            return;
        };
        self.types_poll.finish(now + REFRESH_MS);
        let mut types = Vec::new();
        for offered in list.types {
            if is_plausible(&offered) {
                types.push(self.machine_type(&offered));
            } else {
                tracing::warn!(name = &*offered.name, "a machine type with impossible numbers is left out");
            }
        }
        if let Some(leader) = &mut self.leader {
            leader.set_types(&types);
        }
        self.types = types;
    }

    fn machine_type(&mut self, offered: &MachineType) -> MachineTypeSpec {
        MachineTypeSpec {
            index: self.tables.types.intern(&offered.name),
            capacity: Resources { cpus: offered.cpus, gpus: offered.gpus, memory_gb: offered.memory_gb },
            cache_gb: offered.cache_gb,
            fetch_gb_per_s: offered.fetch_gb_per_s,
            price: offered.price,
            spot_price: offered.spot_price,
            boot_s: offered.boot_s,
            zones: offered.zones.iter().map(|zone| self.tables.zones.intern(zone)).collect(),
        }
    }
}
