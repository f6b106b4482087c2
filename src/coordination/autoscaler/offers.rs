//! Offers: what can be rented, and which offer is the cheapest for some work.

use crate::{
    coordination::{
        leader::Leader,
        model::{MachineTypeSpec, Millis, Resources},
        scheduler::trial::SLOWEST_FETCH_GB_PER_S,
    },
    protocol::{
        jobs::{JobSpec, Priority},
        names::{MachineTypeIndex, ZoneIndex},
    },
};

/// A machine that takes this many seconds until its first task runs counts as
/// twice as expensive.
const READY_DOUBLES_COST_S: f64 = 120.0;

/// Growth of the price tolerance with each second that work waits.
const TOLERANCE_PER_S: f64 = 1.0;
/// The same for work of teams without a guarantee...
const BEST_EFFORT_TOLERANCE_PER_S: f64 = 1.0 / 60.0;
/// ...up to this: about what on-demand machines cost more than spot ones.
const BEST_EFFORT_TOLERANCE_MAX: f64 = 4.0;

/// A kind of machine that can be rented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Offer {
    pub machine_type: MachineTypeIndex,
    pub zone: ZoneIndex,
    pub spot: bool,
}

impl Offer {
    /// Whether the job's tasks may run on such machines. `zone_used`: its
    /// assignments by zone, if it restricts zones.
    pub fn allows(&self, spec: &JobSpec, zone_used: &[u32]) -> bool {
        let is_other_zone = spec.zone.is_some_and(|zone| zone != self.zone);
        if !spec.allows_type(self.machine_type) || is_other_zone || (self.spot && !spec.spot) {
            return false;
        }
        let here = zone_used.get(self.zone.at()).copied().unwrap_or(0);
        let elsewhere = zone_used.iter().sum::<u32>() - here;
        (!spec.spread || here < spec.zone_cap()) && (!spec.one_zone || elsewhere == 0)
    }
}

/// How much a team's guarantee lets its work pay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guarantee {
    /// Something is guaranteed to the team, or nothing to any.
    Some,
    /// Nothing is, and the job has not begun.
    NoneNotBegun,
    /// Nothing is, and the job has begun: the rest of it can wait.
    NoneBegun,
}

/// Tasks for which machines are to be rented.
pub struct RentalDemand<'a> {
    pub spec: &'a JobSpec,
    /// Only machines of this zone will do.
    pub zone: Option<ZoneIndex>,
    /// The job's assignments by zone, if it restricts zones.
    pub zone_used: &'a [u32],
    /// Tasks over which a machine's cost is shared.
    pub tasks: u32,
    /// How long the job has waited for room.
    pub waited_s: f64,
    /// What is guaranteed to the job's team.
    pub guarantee: Guarantee,
}

/// The offer chosen for some work.
#[derive(Clone, Copy)]
pub struct ChosenOffer {
    pub offer: Offer,
    pub tasks_per_machine: u32,
    /// Cost of one task on it, weighted by how soon it would run.
    cost: f64,
}

impl Leader {
    /// The cheapest offer for the work, and how many of its tasks one machine takes.
    pub fn choose_offer(&self, now: Millis, demand: &RentalDemand<'_>) -> Option<ChosenOffer> {
        let mut cheapest = f64::INFINITY;
        let mut best: Option<ChosenOffer> = None;
        for machine_type in &self.cluster.types {
            for &zone in machine_type.zones.iter().filter(|zone| demand.zone.is_none_or(|only| only == **zone)) {
                for spot in [false, true] {
                    let Some(candidate) = self.rate_offer(machine_type, zone, spot, demand) else { continue };
                    cheapest = cheapest.min(candidate.cost);
                    let is_available = self.autoscaler.is_available(now, &candidate.offer);
                    if is_available && best.is_none_or(|best| candidate.cost < best.cost) {
                        best = Some(candidate);
                    }
                }
            }
        }
        // Much more expensive than the cheapest offer: only for urgent work, or work
        // that has waited.
        let best = best?;
        let is_affordable = best.cost <= cheapest * price_tolerance(demand);
        is_affordable.then_some(best)
    }

    /// What the work costs on machines of this kind, if it may run there.
    fn rate_offer(
        &self,
        machine_type: &MachineTypeSpec,
        zone: ZoneIndex,
        spot: bool,
        demand: &RentalDemand<'_>,
    ) -> Option<ChosenOffer> {
        let spec = demand.spec;
        if spot && !(spec.spot && self.cluster.config.use_spot) {
            return None;
        }
        let tasks_per_machine = Resources::of(spec).times_in(&machine_type.capacity);
        let offer = Offer { machine_type: machine_type.index, zone, spot };
        if tasks_per_machine == 0 || !offer.allows(spec, demand.zone_used) {
            return None;
        }
        let shared_by = f64::from(tasks_per_machine.min(demand.tasks.max(1)));
        let fetch_s = spec.image_gb / machine_type.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S);
        let ready_s = machine_type.boot_s + fetch_s;
        let cost = machine_type.price_of(spot) / shared_by * (1.0 + ready_s / READY_DOUBLES_COST_S);
        Some(ChosenOffer { offer, tasks_per_machine, cost })
    }
}

/// How many times more expensive than the cheapest offer one may be for this work.
///
/// Guard: work of a team without a guarantee bought every machine there was, of
/// the most expensive types too, once it had waited for a while.
fn price_tolerance(demand: &RentalDemand<'_>) -> f64 {
    let base = base_price_tolerance(demand.spec.priority);
    match demand.guarantee {
        Guarantee::Some => base + demand.waited_s * TOLERANCE_PER_S,
        Guarantee::NoneBegun if demand.spec.priority == Priority::Low => base,
        Guarantee::NoneNotBegun | Guarantee::NoneBegun => {
            let grown = base + demand.waited_s * BEST_EFFORT_TOLERANCE_PER_S;
            grown.min(BEST_EFFORT_TOLERANCE_MAX.max(base))
        }
    }
}

/// The same for work of this priority that has not waited yet.
fn base_price_tolerance(priority: Priority) -> f64 {
    match priority {
        Priority::Production => 5.0,
        Priority::High => 3.0,
        Priority::Normal => 1.8,
        Priority::Low => 1.5,
    }
}
