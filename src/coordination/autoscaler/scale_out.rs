//! Machines are rented for work that waits, the cheapest that will do.

use std::collections::HashMap;

use super::{
    offers::{Guarantee, Offer, RentalDemand},
    pending_capacity::PendingCapacity,
    Backoff, Call, RentOutcome, RentRetry,
};
use crate::{
    coordination::{
        cluster::UnmetDemand,
        effects::Effect,
        leader::Leader,
        model::{CallId, MachineLifecycle, Millis, Resources},
    },
    protocol::{
        cloud::RentRequest,
        names::{ClassIndex, Tables},
    },
};

/// How long an offer is not asked for after the cloud had no capacity.
const BACKOFF_MS: Millis = 6_000;
/// The same after repeated refusals, each wait half as long again as the last.
const BACKOFF_MAX_MS: Millis = 25_000;
/// Pause before an unanswered request is sent again.
const RETRY_MS: Millis = 1_500;
/// A new leader that inherits machines lets them report for this long first.
const SETTLE_MS: Millis = 1_500;
/// Offers asked for in one step.
const OFFERS_PER_STEP: usize = 4;
/// Rental calls under way at a time.
const CONCURRENT_RENTALS: usize = 4;
/// Machines that the cloud gives in one call.
const MACHINES_PER_CALL: u32 = 50;
/// Jobs looked at in one step.
const JOBS_PER_STEP: usize = 200;
/// Offers tried for one job in one step.
const OFFERS_PER_JOB: usize = 6;

/// Machines of one offer to be rented.
struct WantedMachines {
    offer: Offer,
    count: u32,
}

/// A step's rentals as they are put together.
struct RentalPlan {
    pending_capacity: PendingCapacity,
    wanted: Vec<WantedMachines>,
    /// Machines that there are, or will be.
    total_machines: usize,
    /// Unmet tasks by class.
    unmet_by_class: HashMap<ClassIndex, u32>,
}

impl RentalPlan {
    fn is_full(&self) -> bool {
        self.wanted.len() >= OFFERS_PER_STEP
    }

    fn want(&mut self, offer: Offer, count: u32) {
        self.total_machines += count as usize;
        match self.wanted.iter_mut().find(|wanted| wanted.offer == offer) {
            Some(wanted) => wanted.count += count,
            None => self.wanted.push(WantedMachines { offer, count }),
        }
    }
}

impl Leader {
    /// Requests machines for work that waits.
    pub fn rent(&mut self, now: Millis, tables: &Tables) {
        self.send_retries(now);
        // Without a list, what is already there isn't known; and where there
        // are machines, they get time to report first.
        let settle_ms = if self.cluster.machines.is_empty() { 0 } else { SETTLE_MS };
        let rentals = self.autoscaler.calls.values().filter(|call| matches!(call, Call::Rent { .. })).count();
        if !self.autoscaler.listed_once || now < self.cluster.started + settle_ms || rentals >= CONCURRENT_RENTALS {
            return;
        }
        let mut plan = RentalPlan {
            pending_capacity: self.pending_capacity(now),
            wanted: Vec::new(),
            total_machines: self.machine_count() + self.requested_machines(),
            unmet_by_class: self.unmet_by_class(),
        };
        for &unmet in self.cluster.backlog.unmet.iter().take(JOBS_PER_STEP) {
            self.plan_for_job(now, unmet, &mut plan);
            if plan.is_full() {
                break;
            }
        }
        for WantedMachines { offer, count } in plan.wanted {
            let req = RentRequest {
                request: self.autoscaler.next_request_name(),
                machine_type: tables.types.name(offer.machine_type.0).to_owned(),
                zone: tables.zones.name(offer.zone.0).to_owned(),
                spot: offer.spot,
                count: count.min(MACHINES_PER_CALL),
            };
            self.send_rent(offer, req);
        }
    }

    fn send_retries(&mut self, now: Millis) {
        for retry in std::mem::take(&mut self.autoscaler.retries) {
            if now >= retry.at {
                self.send_rent(retry.offer, retry.req);
            } else {
                self.autoscaler.retries.push(retry);
            }
        }
    }

    /// Machines that are there or booting.
    fn machine_count(&self) -> usize {
        let is_kept = |lifecycle| !matches!(lifecycle, MachineLifecycle::Gone | MachineLifecycle::Returning);
        self.cluster.machines.iter().filter(|machine| is_kept(machine.lifecycle)).count()
    }

    /// Machines asked for in requests that are not answered yet.
    fn requested_machines(&self) -> usize {
        let in_flight = self.autoscaler.calls.values().map(|call| match call {
            Call::Rent { req, .. } => req.count as usize,
            Call::Return(_) | Call::List => 0,
        });
        let retried = self.autoscaler.retries.iter().map(|retry| retry.req.count as usize);
        in_flight.chain(retried).sum()
    }

    /// A large machine is cheap for many small jobs together, though not for one
    /// of them: what waits of a class is counted as a whole.
    fn unmet_by_class(&self) -> HashMap<ClassIndex, u32> {
        let mut unmet_by_class: HashMap<ClassIndex, u32> = HashMap::new();
        for unmet in &self.cluster.backlog.unmet {
            if let Some(job) = self.cluster.job(unmet.job) {
                *unmet_by_class.entry(job.spec.class).or_default() += unmet.tasks;
            }
        }
        unmet_by_class
    }

    fn plan_for_job(&self, now: Millis, unmet: UnmetDemand, plan: &mut RentalPlan) {
        let Some(job) = self.cluster.job(unmet.job) else { return };
        let (spec, zone_used) = (&*job.spec, &*job.tasks.zone_used);
        let need = Resources::of(spec);
        let guarantee = match (self.cluster.is_best_effort(spec.team), job.tasks.placed > 0) {
            (false, _) => Guarantee::Some,
            (true, false) => Guarantee::NoneNotBegun,
            (true, true) => Guarantee::NoneBegun,
        };
        let alike = plan.unmet_by_class.get(&spec.class).copied().unwrap_or(0);
        for zone_demand in self.demand_by_zone(spec, zone_used, unmet.tasks, &plan.pending_capacity) {
            let zone = zone_demand.zone;
            let allotted = plan.pending_capacity.allot(&need, zone_demand.tasks, |offer| {
                zone.is_none_or(|zone| zone == offer.zone) && offer.allows(spec, zone_used)
            });
            let mut left = zone_demand.tasks - allotted;
            for _ in 0..OFFERS_PER_JOB {
                if left == 0 || plan.total_machines >= self.cluster.config.max_machines {
                    break;
                }
                let tasks = alike.max(left);
                let waited_s = job.waited_ms(now) as f64 / 1000.0;
                let demand = RentalDemand { spec, zone, zone_used, tasks, waited_s, guarantee };
                let Some(chosen) = self.choose_offer(now, &demand) else { break };
                let allowed = (self.cluster.config.max_machines - plan.total_machines) as u32;
                let count = left.div_ceil(chosen.tasks_per_machine).min(MACHINES_PER_CALL).min(allowed);
                let known_type = self.cluster.types.iter().find(|known| known.index == chosen.offer.machine_type);
                let Some(machine_type) = known_type else { break };
                plan.pending_capacity.add(chosen.offer, machine_type.capacity, count);
                left -= plan.pending_capacity.allot(&need, left, |offer| *offer == chosen.offer);
                plan.want(chosen.offer, count);
                if plan.is_full() {
                    return;
                }
            }
        }
    }

    fn send_rent(&mut self, offer: Offer, req: RentRequest) {
        let call = self.outbox.next_call();
        tracing::info!(
            ask = &*req.request,
            machine_type = &*req.machine_type,
            zone = &*req.zone,
            spot = req.spot,
            count = req.count,
            "renting"
        );
        self.autoscaler.calls.insert(call, Call::Rent { offer, req: req.clone() });
        self.outbox.send(Effect::Rent { call, req });
    }

    /// How a rental request ended.
    pub fn rented(&mut self, now: Millis, call: CallId, outcome: RentOutcome) {
        let Some(Call::Rent { offer, req }) = self.autoscaler.calls.remove(&call) else { return };
        match outcome {
            RentOutcome::Rented(ids) => {
                if (ids.len() as u32) < req.count {
                    self.back_off(now, offer, BACKOFF_MS);
                } else {
                    self.autoscaler.backoffs.remove(&offer);
                }
                for id in ids {
                    self.add_rented_machine(now, &id, offer);
                }
            }
            RentOutcome::NoCapacity => {
                let last = self.autoscaler.backoffs.get(&offer);
                let wait_ms = last.map_or(BACKOFF_MS, |backoff| (backoff.wait_ms * 3 / 2).min(BACKOFF_MAX_MS));
                self.back_off(now, offer, wait_ms);
            }
            // Guard: the same request name again, so that no machine is rented twice.
            RentOutcome::Again => self.autoscaler.retries.push(RentRetry { offer, req, at: now + RETRY_MS }),
            RentOutcome::Malformed => {
                tracing::error!(ask = &*req.request, "the cloud calls a rental malformed");
                self.back_off(now, offer, BACKOFF_MAX_MS);
            }
        }
    }

    fn back_off(&mut self, now: Millis, offer: Offer, wait_ms: Millis) {
        self.autoscaler.backoffs.insert(offer, Backoff { until: now + wait_ms, wait_ms });
    }

    fn add_rented_machine(&mut self, now: Millis, id: &str, offer: Offer) {
        let index = self.cluster.machine_named(now, id, offer.zone);
        let machine = &mut self.cluster.machines[index.at()];
        machine.machine_type = machine.machine_type.or(Some(offer.machine_type));
        machine.spot = offer.spot;
        machine.zone = offer.zone;
        if machine.lifecycle == MachineLifecycle::Booting {
            machine.rented_at = now;
        }
    }
}
