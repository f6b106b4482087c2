//! The cloud: rents machines out, lists them, and answers a repeated request as before.

use std::collections::HashMap;

use shedhook::{
    coordination::model::{MachineTypeSpec, Millis, Resources, Term},
    protocol::{
        cloud::{HostList, HostState, ListedHost, ProvisionRequest},
        names::Interners,
    },
};

use super::{
    worker::{Worker, WorkerSpec},
    workers::SimulatedWorkers,
};

/// The type of all machines that are there from the start; it has GPUs.
pub const MACHINE_TYPE: &str = "m";

/// A tenth of its price, and no GPUs.
pub const LOW_PRICED_MACHINE_TYPE: &str = "c";

/// The zones of the cloud.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A scale-out as the cloud was asked for it; the name makes it idempotent.
pub struct ScaleOutRequest {
    pub at: Millis,
    pub term: Term,
    pub name: String,
    pub spot: bool,
}

pub struct CloudSettings {
    /// Machines the cloud still has to give.
    pub capacity: u32,
    /// Spot machines the cloud still has to give, of `capacity`.
    pub spot_capacity: u32,
    /// Machines on one page of the cloud's list.
    pub list_page_size: usize,
    pub refuses_every_second_page: bool,
    /// How long a rented machine takes to come up.
    pub boot_ms: Millis,
    pub offers_low_priced_type: bool,
    /// Price of a spot machine; others cost 1.
    pub spot_price: f64,
}

impl Default for CloudSettings {
    fn default() -> CloudSettings {
        CloudSettings {
            capacity: 0,
            spot_capacity: u32::MAX,
            list_page_size: usize::MAX,
            refuses_every_second_page: false,
            boot_ms: 0,
            offers_low_priced_type: false,
            spot_price: 0.5,
        }
    }
}

#[derive(Default)]
pub struct SimulatedCloud {
    pub settings: CloudSettings,
    /// Machine names by the request's name.
    rentals: HashMap<String, Vec<String>>,
    requests: Vec<ScaleOutRequest>,
    pages_requested: u32,
    has_offered: bool,
}

impl SimulatedCloud {
    /// All requests for machines, repeated ones included.
    pub fn requests(&self) -> &[ScaleOutRequest] {
        &self.requests
    }

    pub fn clear_requests(&mut self) {
        self.requests.clear();
    }

    /// How many different requests were granted.
    pub fn fulfilled_requests(&self) -> usize {
        self.rentals.len()
    }

    /// Whether the leader has a cloud to scale with: it had machines to give at
    /// some time.
    pub(super) fn observe_capacity(&mut self) -> bool {
        self.has_offered |= self.settings.capacity > 0;
        self.has_offered
    }

    pub(super) fn machine_types(&self, interners: &Interners) -> Vec<MachineTypeSpec> {
        let machine_type = MachineTypeSpec {
            index: interners.types.find(MACHINE_TYPE).unwrap(),
            capacity: Resources { cpus: 8.0, gpus: 4.0, memory_gb: 64.0 },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: self.settings.spot_price,
            boot_s: 5.0,
            zones: ZONES.iter().map(|zone| interners.zones.find(zone).unwrap()).collect(),
        };
        let mut types = vec![machine_type.clone()];
        if self.settings.offers_low_priced_type {
            types.push(MachineTypeSpec {
                index: interners.types.find(LOW_PRICED_MACHINE_TYPE).unwrap(),
                capacity: Resources { gpus: 0.0, ..machine_type.capacity },
                price: machine_type.price / 10.0,
                spot_price: machine_type.spot_price / 10.0,
                ..machine_type
            });
        }
        types
    }

    /// A page of the list of machines; `None`: refused.
    pub(super) fn list(&mut self, now: Millis, from: Option<&str>, workers: &SimulatedWorkers) -> Option<HostList> {
        self.pages_requested += 1;
        if self.settings.refuses_every_second_page && self.pages_requested.is_multiple_of(2) {
            return None;
        }
        let is_on_page = |worker: &&Worker| !worker.dead && from.is_none_or(|from| worker.id.as_str() > from);
        let rest: Vec<ListedHost> = workers.iter().filter(is_on_page).map(|worker| listed_host(worker, now)).collect();
        let truncated = rest.len() > self.settings.list_page_size;
        Some(HostList { hosts: rest.into_iter().take(self.settings.list_page_size).collect(), truncated })
    }

    /// Rents machines and returns their names; `None`: there are none to give.
    pub(super) fn provision(
        &mut self,
        now: Millis,
        term: Term,
        request: &ProvisionRequest,
        workers: &mut SimulatedWorkers,
    ) -> Option<Vec<String>> {
        self.requests.push(ScaleOutRequest { at: now, term, name: request.request.clone(), spot: request.spot });
        if let Some(same) = self.rentals.get(&request.request) {
            return Some(same.clone());
        }
        let of_kind = if request.spot { self.settings.spot_capacity } else { u32::MAX };
        let count = request.count.min(self.settings.capacity).min(of_kind);
        if count == 0 {
            return None;
        }
        self.settings.capacity -= count;
        if request.spot {
            self.settings.spot_capacity -= count;
        }
        let spec = WorkerSpec {
            zone: request.zone.clone(),
            machine_type: request.machine_type.clone(),
            spot: request.spot,
            up_at: now + self.settings.boot_ms,
        };
        let ids: Vec<String> = (0..count).map(|_| workers.add(now, spec.clone())).collect();
        self.rentals.insert(request.request.clone(), ids.clone());
        Some(ids)
    }
}

fn listed_host(worker: &Worker, now: Millis) -> ListedHost {
    ListedHost {
        id: worker.id.clone(),
        addr: None,
        machine_type: worker.spec.machine_type.clone(),
        zone: worker.spec.zone.clone(),
        spot: worker.spec.spot,
        state: if worker.is_booting(now) { HostState::Booting } else { HostState::Running },
        age_s: 1.0,
    }
}
