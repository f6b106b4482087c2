//! Scale-out: requests machines for unmet demand.

use std::collections::HashMap;

use super::{
    inventory::Inventory,
    offer::{Offer, OfferQuantity},
    offer_backoff::OfferBackoffs,
    scale_out_plan::{ScaleOutPlan, MACHINES_REQUESTED_PER_CALL},
};
use crate::{
    coordination::{
        cluster::ClusterState,
        effects::{Effect, Outbox},
        model::{CallId, MachineLifecycle, Millis},
    },
    protocol::{cloud::ProvisionRequest, names::Interners},
};

/// Delay before a request whose outcome is unknown is sent again.
const RETRY_DELAY_MS: Millis = 1_500;
/// Time that a new leader waits for the heartbeats of existing machines before it
/// requests more.
const FIRST_HEARTBEATS_MS: Millis = 1_500;
/// Most scale-out calls in flight at a time.
const CALLS_IN_FLIGHT_MAX: usize = 4;

/// How a scale-out request ended.
#[derive(Debug)]
pub enum ScaleOutOutcome {
    /// Executed; contains the names of the machines, which may be fewer than requested.
    Provisioned(Vec<String>),
    /// The cloud has no machine of this type, zone and billing kind.
    NoCapacity,
    /// Not executed, or not known to be executed; the same request must be sent again.
    Retry,
    /// The cloud rejected the request as malformed.
    Malformed,
}

/// A scale-out request that was sent or is waiting for a retry.
#[derive(Debug)]
struct ScaleOutCall {
    offer: Offer,
    request: ProvisionRequest,
}

impl ScaleOutCall {
    fn quantity(&self) -> OfferQuantity {
        OfferQuantity { offer: self.offer, machines: self.request.count }
    }
}

/// A request whose outcome is unknown, and when it is sent again.
#[derive(Debug)]
struct Retry {
    call: ScaleOutCall,
    at: Millis,
}

/// Component that requests machines and tracks the requests.
#[derive(Debug)]
pub struct ScaleOut {
    /// Random number unique to this leadership, part of the names of its requests.
    nonce: u64,
    /// Number of requests so far.
    request_count: u64,
    /// Requests whose response has not been received yet.
    in_flight: HashMap<CallId, ScaleOutCall>,
    /// Requests whose outcome is unknown; they are sent again until it is known.
    retries: Vec<Retry>,
    backoffs: OfferBackoffs,
}

impl ScaleOut {
    /// Creates the scale-out component of a new leadership. `nonce` is a random number
    /// unique to this leadership.
    pub fn new(nonce: u64) -> ScaleOut {
        ScaleOut {
            nonce,
            request_count: 0,
            in_flight: HashMap::new(),
            retries: Vec::new(),
            backoffs: OfferBackoffs::default(),
        }
    }

    /// Requests machines for unmet demand.
    pub fn step(
        &mut self,
        now: Millis,
        cluster: &ClusterState,
        inventory: &Inventory,
        outbox: &mut Outbox,
        interners: &Interners,
    ) {
        self.send_retries(now, outbox);
        if !self.may_request(now, cluster, inventory) {
            return;
        }
        let plan = ScaleOutPlan::new(now, cluster, &self.backoffs, &self.requested());
        for planned in plan.into_quantities() {
            let request = ProvisionRequest {
                request: self.next_request_name(),
                machine_type: interners.types.name(planned.offer.machine_type.0).to_owned(),
                zone: interners.zones.name(planned.offer.zone.0).to_owned(),
                spot: planned.offer.spot,
                count: planned.machines.min(MACHINES_REQUESTED_PER_CALL),
            };
            self.send(ScaleOutCall { offer: planned.offer, request }, outbox);
        }
    }

    /// Reports whether machines may be requested: not before a page of the machine list
    /// was received, because it isn't known yet which machines exist; if there are any,
    /// not before they have had time to send heartbeats, which show how much capacity is
    /// free; and not while the maximum number of calls is in flight.
    fn may_request(&self, now: Millis, cluster: &ClusterState, inventory: &Inventory) -> bool {
        let first_heartbeats_ms = if cluster.machines().is_empty() { 0 } else { FIRST_HEARTBEATS_MS };
        inventory.has_received_page()
            && now >= cluster.started_at() + first_heartbeats_ms
            && self.in_flight.len() < CALLS_IN_FLIGHT_MAX
    }

    fn send_retries(&mut self, now: Millis, outbox: &mut Outbox) {
        for retry in std::mem::take(&mut self.retries) {
            if now >= retry.at {
                self.send(retry.call, outbox);
            } else {
                self.retries.push(retry);
            }
        }
    }

    /// Returns the machines of requests whose outcome is not known yet.
    fn requested(&self) -> Vec<OfferQuantity> {
        let retried = self.retries.iter().map(|retry| &retry.call);
        self.in_flight.values().chain(retried).map(ScaleOutCall::quantity).collect()
    }

    /// Returns a unique name, which makes the request that it identifies idempotent. The
    /// name contains this leadership's random number, so that no controller ever uses a
    /// name twice.
    fn next_request_name(&mut self) -> String {
        self.request_count += 1;
        format!("r-{:016x}-{}", self.nonce, self.request_count)
    }

    fn send(&mut self, call: ScaleOutCall, outbox: &mut Outbox) {
        let id = outbox.next_call();
        let request = &call.request;
        tracing::info!(
            request = &*request.request,
            machine_type = &*request.machine_type,
            zone = &*request.zone,
            spot = request.spot,
            count = request.count,
            "scale-out requested"
        );
        outbox.send(Effect::ScaleOut { call: id, request: request.clone() });
        self.in_flight.insert(id, call);
    }

    /// Handles the outcome of a request.
    pub fn finished(&mut self, now: Millis, id: CallId, outcome: ScaleOutOutcome, cluster: &mut ClusterState) {
        let Some(call) = self.in_flight.remove(&id) else { return };
        let offer = call.offer;
        match outcome {
            ScaleOutOutcome::Provisioned(names) => {
                if (names.len() as u32) < call.request.count {
                    self.backoffs.record_partly_filled(now, offer);
                } else {
                    self.backoffs.record_filled(offer);
                }
                for name in names {
                    add_machine(now, &name, offer, cluster);
                }
            }
            ScaleOutOutcome::NoCapacity => self.backoffs.record_no_capacity(now, offer),
            // The retry uses the same request name, so that no machine is provisioned twice.
            ScaleOutOutcome::Retry => self.retries.push(Retry { call, at: now + RETRY_DELAY_MS }),
            ScaleOutOutcome::Malformed => {
                tracing::error!(request = &*call.request.request, "scale-out request rejected as malformed");
                self.backoffs.record_rejected(now, offer);
            }
        }
    }
}

/// Adds a machine that was just provisioned, or updates it if it is already known from
/// a list or a heartbeat.
fn add_machine(now: Millis, name: &str, offer: Offer, cluster: &mut ClusterState) {
    let index = cluster.find_or_add_machine(now, name, offer.zone);
    let machine = cluster.machine_mut(index);
    machine.machine_type = machine.machine_type.or(Some(offer.machine_type));
    machine.spot = offer.spot;
    machine.zone = offer.zone;
    if machine.lifecycle == MachineLifecycle::Booting {
        machine.provisioned_at = now;
    }
}
