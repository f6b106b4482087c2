//! The autoscaler: what is rented for work that waits, and what is handed back.

mod consolidation;
mod inventory;
mod offers;
mod pending_capacity;
mod scale_in;
mod scale_out;
mod slow_boots;
mod zone_demand;

use std::collections::{HashMap, HashSet};

use self::offers::Offer;
use super::{
    leader::Leader,
    model::{CallId, MachineIndex, MachineTypeSpec, Millis, Resources},
};
use crate::protocol::{
    cloud::RentRequest,
    names::{MachineTypeIndex, Tables, ZoneIndex},
};

/// Interval of decisions on rentals.
const RENT_INTERVAL_MS: Millis = 250;
/// Interval of listings of all machines at the cloud.
const LIST_INTERVAL_MS: Millis = 2_500;
/// Interval of decisions on returns.
const RETURN_INTERVAL_MS: Millis = 400;
/// Interval of decisions on consolidation.
const CONSOLIDATION_INTERVAL_MS: Millis = 2_000;

/// A call to the cloud that is not answered yet.
#[derive(Debug)]
enum Call {
    Rent { offer: Offer, req: RentRequest },
    Return(Vec<MachineIndex>),
    List,
}

/// A rental request to be sent again.
#[derive(Debug)]
struct RentRetry {
    offer: Offer,
    req: RentRequest,
    at: Millis,
}

/// An offer that the cloud had no capacity for.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    /// How long the last wait was.
    wait_ms: Millis,
}

/// What the leader keeps about renting and returning machines.
#[derive(Debug)]
pub struct Autoscaler {
    nonce: u64,
    request_count: u64,
    calls: HashMap<CallId, Call>,
    /// Rental requests that went unanswered: sent again until it is known what
    /// became of them.
    retries: Vec<RentRetry>,
    backoffs: HashMap<Offer, Backoff>,
    /// Types whose machines come up late, as a rule, at present.
    late_types: HashSet<MachineTypeIndex>,
    next_list: Millis,
    /// The machine after which the next page of the list begins; None: the list
    /// begins anew.
    list_from: Option<String>,
    next_rent: Millis,
    next_return: Millis,
    next_consolidation: Millis,
    /// All machines were listed at least once.
    pub listed_once: bool,
    /// Since when most machines of a zone have been heard from.
    zone_heard_since: HashMap<ZoneIndex, Millis>,
    /// When the cloud last answered.
    pub cloud_ok: Millis,
}

/// How a rental request ended.
#[derive(Debug)]
pub enum RentOutcome {
    /// Done; the names of the machines, which may be fewer than asked for.
    Rented(Vec<String>),
    /// The cloud has no machine of this type, zone and billing kind.
    NoCapacity,
    /// Not executed, or not known: the same request again.
    Again,
    /// The cloud rejects the request as malformed.
    Malformed,
}

impl Autoscaler {
    /// The autoscaler of a leadership that has listed no machines yet.
    pub fn new(nonce: u64, now: Millis) -> Autoscaler {
        Autoscaler {
            nonce,
            request_count: 0,
            calls: HashMap::new(),
            retries: Vec::new(),
            backoffs: HashMap::new(),
            late_types: HashSet::new(),
            next_list: now,
            list_from: None,
            next_rent: now,
            next_return: now,
            next_consolidation: now,
            listed_once: false,
            zone_heard_since: HashMap::new(),
            cloud_ok: now,
        }
    }

    /// Whether the cloud had no lack of this offer lately.
    fn is_available(&self, now: Millis, offer: &Offer) -> bool {
        self.backoffs.get(offer).is_none_or(|backoff| now >= backoff.until)
    }

    /// A name for a rental request. Names carry this leadership's random number:
    /// no controller ever uses one twice.
    fn next_request_name(&mut self) -> String {
        self.request_count += 1;
        format!("r-{:016x}-{}", self.nonce, self.request_count)
    }
}

impl Leader {
    /// Lists, returns, consolidates and rents machines, each at its interval.
    pub fn autoscale(&mut self, now: Millis, tables: &Tables) {
        let is_listing = self.autoscaler.calls.values().any(|call| matches!(call, Call::List));
        if now >= self.autoscaler.next_list && !is_listing {
            self.autoscaler.next_list = now + LIST_INTERVAL_MS;
            self.list_machines();
        }
        if now >= self.autoscaler.next_return {
            self.autoscaler.next_return = now + RETURN_INTERVAL_MS;
            self.note_zones(now);
            self.note_late_types(now);
            self.return_machines(now);
        }
        self.note_crowding(now);
        if now >= self.autoscaler.next_consolidation {
            self.autoscaler.next_consolidation = now + CONSOLIDATION_INTERVAL_MS;
            self.consolidate(now);
        }
        if now >= self.autoscaler.next_rent {
            self.autoscaler.next_rent = now + RENT_INTERVAL_MS;
            self.rent(now, tables);
        }
    }
    /// Notes for which types work waits that keeps their machines from being
    /// vacated.
    ///
    /// Guard: a team without a guarantee may have work waiting at all times. Once
    /// it has begun, it would keep each machine from going back, however expensive; and
    /// so would work that can't run on such a machine at all.
    fn note_crowding(&mut self, now: Millis) {
        let mut crowded_types: Vec<MachineTypeIndex> = Vec::new();
        for unmet in &self.cluster.backlog.unmet {
            let Some(job) = self.cluster.job(unmet.job) else { continue };
            if job.tasks.placed > 0 && self.cluster.is_best_effort(job.spec.team) {
                continue;
            }
            let need = Resources::of(&job.spec);
            let usable = |known: &&MachineTypeSpec| job.spec.allows_type(known.index) && need.fits_in(&known.capacity);
            crowded_types.extend(self.cluster.types.iter().filter(usable).map(|known| known.index));
        }
        self.cluster.backlog.record_waiting(now, crowded_types);
    }
}
