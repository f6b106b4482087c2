//! The cloud: rents machines, and answers a repeated request as before.

use shedhook::{
    coordination::model::{MachineTypeSpec, Millis, Resources, Term},
    protocol::{
        cloud::{HostList, HostState, ListedHost, RentRequest},
        ids::{FencingToken, Incarnation, SequenceNumber},
    },
};

use super::{worker::Worker, Simulation};

/// The type of all machines that are there from the start; it has GPUs.
pub const MACHINE_TYPE: &str = "m";

/// A tenth of its price, and no GPUs.
pub const CHEAP_MACHINE_TYPE: &str = "c";

/// A rental as the cloud was asked for it; the name makes it idempotent.
pub struct RentalRequest {
    pub at: Millis,
    pub term: Term,
    pub name: String,
    pub spot: bool,
}

impl Simulation {
    pub fn add_worker(&mut self, zone: &str) -> String {
        let id = format!("i-{:06}", self.workers.len());
        self.workers.push(Worker {
            id: id.clone(),
            zone: zone.into(),
            machine_type: MACHINE_TYPE.into(),
            spot: false,
            up_at: 0,
            incarnation: Incarnation(1),
            sequence: SequenceNumber::default(),
            token: FencingToken::NONE,
            tasks: Vec::new(),
            lease_start: self.now,
            next_report: self.now + 100 * (self.workers.len() as Millis % 30),
            changed: false,
            partitioned: false,
            hung: false,
            dead: false,
            lease_kept_by_peer: false,
            answers_lost: false,
            outbound_lost: false,
            inbound_lost: false,
            fails_after: None,
            token_shown: None,
        });
        id
    }

    pub(super) fn types(&self) -> Vec<MachineTypeSpec> {
        let machine_type = MachineTypeSpec {
            index: self.tables.types.find(MACHINE_TYPE).unwrap(),
            capacity: Resources { cpus: 8.0, gpus: 4.0, memory_gb: 64.0 },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: self.spot_price,
            boot_s: 5.0,
            zones: vec![self.tables.zones.find("a").unwrap(), self.tables.zones.find("b").unwrap()],
        };
        let mut types = vec![machine_type.clone()];
        if self.offers_cheap_type {
            types.push(MachineTypeSpec {
                index: self.tables.types.find(CHEAP_MACHINE_TYPE).unwrap(),
                capacity: Resources { gpus: 0.0, ..machine_type.capacity },
                price: machine_type.price / 10.0,
                spot_price: machine_type.spot_price / 10.0,
                ..machine_type
            });
        }
        types
    }

    /// A page of the list of machines; `None`: refused.
    pub(super) fn list(&mut self, from: Option<&str>) -> Option<HostList> {
        self.pages_asked += 1;
        if self.refuses_every_second_page && self.pages_asked.is_multiple_of(2) {
            return None;
        }
        let now = self.now;
        let after = |w: &&Worker| !w.dead && from.is_none_or(|from| w.id.as_str() > from);
        let listed = |w: &Worker| ListedHost {
            id: w.id.clone(),
            addr: None,
            machine_type: w.machine_type.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            state: if now < w.up_at { HostState::Booting } else { HostState::Running },
            age_s: 1.0,
        };
        let rest: Vec<ListedHost> = self.workers.iter().filter(after).map(listed).collect();
        let truncated = rest.len() > self.list_page;
        Some(HostList { hosts: rest.into_iter().take(self.list_page).collect(), truncated })
    }

    pub(super) fn rent(&mut self, req: &RentRequest) -> Option<Vec<String>> {
        let term = self.leader.as_ref().map_or_else(Term::default, |l| l.term());
        self.rental_requests.push(RentalRequest { at: self.now, term, name: req.request.clone(), spot: req.spot });
        if let Some(same) = self.rentals.get(&req.request) {
            return Some(same.clone());
        }
        let kind_capacity = if req.spot { self.spot_capacity } else { u32::MAX };
        let n = req.count.min(self.capacity).min(kind_capacity);
        if n == 0 {
            return None;
        }
        self.capacity -= n;
        if req.spot {
            self.spot_capacity -= n;
        }
        let ids: Vec<String> = (0..n).map(|_| self.add_worker(&req.zone)).collect();
        for w in self.workers.iter_mut().filter(|w| ids.contains(&w.id)) {
            w.spot = req.spot;
            w.up_at = self.now + self.boot_ms;
            w.machine_type.clone_from(&req.machine_type);
        }
        self.rentals.insert(req.request.clone(), ids.clone());
        Some(ids)
    }
}
