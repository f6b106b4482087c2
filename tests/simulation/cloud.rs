//! The cloud: provisions and lists machines. A repeated scale-out request gets the same
//! response as the first one, and provisions no further machines.

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

/// The machine type of all workers that test cases add, also offered by the cloud; it has
/// GPUs.
pub const MACHINE_TYPE: &str = "m";

/// A machine type at a tenth of the price of [`MACHINE_TYPE`], without GPUs.
pub const LOW_PRICED_MACHINE_TYPE: &str = "c";

/// The zones of the cloud.
pub const ZONES: [&str; 2] = ["a", "b"];

/// A scale-out request that the cloud received.
pub struct ScaleOutRequest {
    pub at: Millis,
    /// Term of the leader that sent the request.
    pub term: Term,
    /// Name that makes the request idempotent.
    pub name: String,
    pub spot: bool,
}

/// Machines and prices that the cloud offers, and its faults.
pub struct CloudSettings {
    /// Number of machines that the cloud can still provision.
    pub capacity: u32,
    /// Number of spot machines that the cloud can still provision, within `capacity`.
    pub spot_capacity: u32,
    /// Most machines on one page of the cloud's machine list.
    pub list_page_size: usize,
    /// Whether every second request for a page of the machine list fails.
    pub refuses_every_second_page: bool,
    /// How long a provisioned machine takes to boot.
    pub boot_ms: Millis,
    /// Whether [`LOW_PRICED_MACHINE_TYPE`] is offered too.
    pub offers_low_priced_type: bool,
    /// Price of a spot machine of [`MACHINE_TYPE`]; on demand it costs 1.
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

/// The state of the cloud.
#[derive(Default)]
pub struct SimulatedCloud {
    pub settings: CloudSettings,
    /// Names of the provisioned machines, by the request's name.
    provisioned: HashMap<String, Vec<String>>,
    requests: Vec<ScaleOutRequest>,
    pages_requested: u32,
    /// Whether there was capacity at any call of `observe_capacity`.
    has_had_capacity: bool,
}

impl SimulatedCloud {
    /// Returns all scale-out requests, including repeated ones.
    pub fn requests(&self) -> &[ScaleOutRequest] {
        &self.requests
    }

    /// Clears the list of scale-out requests; the machines remain.
    pub fn clear_requests(&mut self) {
        self.requests.clear();
    }

    /// Returns the number of distinct scale-out requests for which machines were provisioned.
    pub fn fulfilled_requests(&self) -> usize {
        self.provisioned.len()
    }

    /// Reports whether the leader may autoscale: the cloud has capacity now or had it
    /// at an earlier call.
    pub(super) fn observe_capacity(&mut self) -> bool {
        self.has_had_capacity |= self.settings.capacity > 0;
        self.has_had_capacity
    }

    /// Returns the machine types on offer, for the leader.
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

    /// Returns the page of the machine list that begins after the machine `from`, or the
    /// first page if `from` is `None`. Returns `None` if the request is refused.
    pub(super) fn list(&mut self, now: Millis, from: Option<&str>, workers: &SimulatedWorkers) -> Option<HostList> {
        self.pages_requested += 1;
        if self.settings.refuses_every_second_page && self.pages_requested.is_multiple_of(2) {
            return None;
        }
        let is_listed_after_from = |worker: &&Worker| !worker.dead && from.is_none_or(|from| worker.id.as_str() > from);
        let rest: Vec<ListedHost> =
            workers.iter().filter(is_listed_after_from).map(|worker| listed_host(worker, now)).collect();
        let truncated = rest.len() > self.settings.list_page_size;
        Some(HostList { hosts: rest.into_iter().take(self.settings.list_page_size).collect(), truncated })
    }

    /// Provisions machines and returns their names; `None`: there is no capacity.
    pub(super) fn provision(
        &mut self,
        now: Millis,
        term: Term,
        request: &ProvisionRequest,
        workers: &mut SimulatedWorkers,
    ) -> Option<Vec<String>> {
        self.requests.push(ScaleOutRequest { at: now, term, name: request.request.clone(), spot: request.spot });
        if let Some(ids) = self.provisioned.get(&request.request) {
            return Some(ids.clone());
        }
        let spot_limit = if request.spot { self.settings.spot_capacity } else { u32::MAX };
        let count = request.count.min(self.settings.capacity).min(spot_limit);
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
        self.provisioned.insert(request.request.clone(), ids.clone());
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
