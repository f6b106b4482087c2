//! The machine types that the cloud offers.

use super::{
    calls::{CloudCall, Pending},
    replies::body,
    wiring::Node,
};
use crate::{
    bookkeeping::budget::Urgency,
    coordination::model::{Ms, Res, TypeInfo},
    protocol::cloud::{Flavor, Flavors},
    transport::{CallError, Net, Reply},
};

/// Pause, in ms, after a request that failed; no job is accepted before one succeeds.
const RETRY_MS: Ms = 500;
/// Interval, in ms, at which the types and their prices are read again.
const REFRESH_MS: Ms = 30_000;

/// Whether all amounts of a type make sense.
fn is_plausible(flavor: &Flavor) -> bool {
    let amounts = [
        flavor.cpus,
        flavor.gpus,
        flavor.memory_gb,
        flavor.cache_gb,
        flavor.fetch_gb_per_s,
        flavor.price,
        flavor.spot_price,
        flavor.boot_s,
    ];
    amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
}

impl Node {
    /// Reads the machine types when that is due.
    pub(super) fn refresh_machine_types(&mut self, net: &mut Net, now: Ms) {
        if self.types_poll.due(now) && self.budgets.cloud.take(now, 1.0, Urgency::Commit).is_ok() {
            self.types_poll.in_flight = true;
            self.ask_cloud(net, Pending::Flavors, CloudCall::get("/flavors".into()));
        }
    }

    /// The list of machine types came.
    pub(super) fn machine_types_listed(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        let Some(flavors) = body::<Flavors>(result) else {
            self.types_poll.finish(now + RETRY_MS);
            return;
        };
        self.types_poll.finish(now + REFRESH_MS);
        let mut types = Vec::new();
        for flavor in flavors.types {
            if is_plausible(&flavor) {
                types.push(self.machine_type(&flavor));
            } else {
                tracing::warn!(name = &*flavor.name, "a machine type with impossible numbers is left out");
            }
        }
        if let Some(leader) = &mut self.leader {
            leader.types.clone_from(&types);
            leader.snapshot.types_changed(&types);
        }
        self.types = types;
    }

    fn machine_type(&mut self, flavor: &Flavor) -> TypeInfo {
        TypeInfo {
            ix: self.tables.types.intern(&flavor.name),
            cap: Res { cpus: flavor.cpus, gpus: flavor.gpus, memory_gb: flavor.memory_gb },
            cache_gb: flavor.cache_gb,
            fetch_gb_per_s: flavor.fetch_gb_per_s,
            price: flavor.price,
            spot_price: flavor.spot_price,
            boot_s: flavor.boot_s,
            zones: flavor.zones.iter().map(|zone| self.tables.zones.intern(zone)).collect(),
        }
    }
}
