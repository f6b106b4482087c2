//! Selects the cheapest offer for unmet tasks, within a price tolerance.

use super::{offer::Offer, offer_backoff::OfferBackoffs};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, MachineTypeSpec, Millis, Resources},
        scheduler::trial::SLOWEST_FETCH_GB_PER_S,
    },
    protocol::{
        jobs::{JobSpec, Priority},
        names::ZoneIndex,
    },
};

/// A machine that takes this many seconds until its first task runs is rated as if it
/// cost twice its price.
const STARTUP_DOUBLES_COST_S: f64 = 120.0;

/// Growth of the price tolerance per second that a job waits.
const TOLERANCE_GROWTH_PER_S: f64 = 1.0;
/// Growth of the price tolerance per second that a best-effort job waits.
const BEST_EFFORT_TOLERANCE_GROWTH_PER_S: f64 = 1.0 / 60.0;
/// Limit to which the price tolerance of best-effort jobs grows; about the price ratio
/// of on-demand to spot machines.
const BEST_EFFORT_TOLERANCE_MAX: f64 = 4.0;

/// Tier of a job by its team's quota, which limits how expensive its machines may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaTier {
    /// The team has a guarantee, or no team has one.
    Guaranteed,
    /// Only other teams have a guarantee, and no task of the job is placed.
    BestEffortNotStarted,
    /// Only other teams have a guarantee, and some of the job's tasks are placed; the
    /// rest can wait.
    BestEffortStarted,
}

impl QuotaTier {
    /// Returns the tier of a job.
    pub fn of(cluster: &ClusterState, job: &Job) -> QuotaTier {
        match (cluster.is_best_effort(job.spec.team), job.tasks.placed > 0) {
            (false, _) => QuotaTier::Guaranteed,
            (true, false) => QuotaTier::BestEffortNotStarted,
            (true, true) => QuotaTier::BestEffortStarted,
        }
    }
}

/// Unmet tasks of one job for which machines are selected.
pub struct OfferDemand<'a> {
    /// Specification of the job, with the resources that each task needs.
    pub spec: &'a JobSpec,
    /// Zone in which the machines must be; `None`: any zone.
    pub zone: Option<ZoneIndex>,
    /// Number of the job's assignments by zone, if the job restricts zones.
    pub zone_used: &'a [u32],
    /// Number of tasks among which the cost of a machine is divided.
    pub tasks: u32,
    /// How long the job has waited for free capacity, in seconds.
    pub waited_s: f64,
    /// Tier of the job by its team's quota.
    pub quota_tier: QuotaTier,
}

/// An offer that some tasks may run on, with its cost for them.
#[derive(Clone, Copy)]
pub struct RatedOffer {
    /// Kind of machine that was rated.
    pub offer: Offer,
    /// Number of the tasks that fit on one machine; at least 1.
    pub tasks_per_machine: u32,
    /// Hourly cost of one task on the machine, weighted by how long the task would
    /// have to wait until it runs.
    cost: f64,
}

/// Returns the cheapest available offer for the tasks; `None` if there is none, or if
/// it is currently too expensive for them.
pub fn select_offer(
    now: Millis,
    cluster: &ClusterState,
    backoffs: &OfferBackoffs,
    demand: &OfferDemand<'_>,
) -> Option<RatedOffer> {
    let mut cheapest_cost = f64::INFINITY;
    let mut best: Option<RatedOffer> = None;
    for machine_type in cluster.machine_types() {
        for &zone in machine_type.zones.iter().filter(|zone| demand.zone.is_none_or(|only| only == **zone)) {
            for spot in [false, true] {
                let Some(candidate) = rate_offer(cluster, machine_type, zone, spot, demand) else { continue };
                cheapest_cost = cheapest_cost.min(candidate.cost);
                let is_available = backoffs.is_available(now, &candidate.offer);
                if is_available && best.is_none_or(|best| candidate.cost < best.cost) {
                    best = Some(candidate);
                }
            }
        }
    }
    // While cheaper offers have a back-off, only urgent jobs and jobs that have waited
    // may use much more expensive ones.
    let best = best?;
    let is_affordable = best.cost <= cheapest_cost * price_tolerance(demand);
    is_affordable.then_some(best)
}

/// Rates an offer for the tasks; `None` if they may not run on it.
fn rate_offer(
    cluster: &ClusterState,
    machine_type: &MachineTypeSpec,
    zone: ZoneIndex,
    spot: bool,
    demand: &OfferDemand<'_>,
) -> Option<RatedOffer> {
    let spec = demand.spec;
    if spot && !(spec.spot && cluster.config().use_spot) {
        return None;
    }
    let tasks_per_machine = Resources::of(spec).count_fitting_in(&machine_type.capacity);
    let offer = Offer { machine_type: machine_type.index, zone, spot };
    if tasks_per_machine == 0 || !offer.allows(spec, demand.zone_used) {
        return None;
    }
    let shared_by = f64::from(tasks_per_machine.min(demand.tasks.max(1)));
    let fetch_s = spec.image_gb / machine_type.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S);
    let startup_s = machine_type.boot_s + fetch_s;
    let cost = machine_type.price_of(spot) / shared_by * (1.0 + startup_s / STARTUP_DOUBLES_COST_S);
    Some(RatedOffer { offer, tasks_per_machine, cost })
}

/// Returns the largest acceptable cost of an offer for these tasks, as a multiple of the
/// cheapest offer's cost.
///
/// Without the limit for best-effort jobs, once these have waited for a while, machines
/// of all types are provisioned for them, even the most expensive ones, until none are
/// left.
fn price_tolerance(demand: &OfferDemand<'_>) -> f64 {
    let base = base_price_tolerance(demand.spec.priority);
    match demand.quota_tier {
        QuotaTier::Guaranteed => base + demand.waited_s * TOLERANCE_GROWTH_PER_S,
        QuotaTier::BestEffortStarted if demand.spec.priority == Priority::Low => base,
        QuotaTier::BestEffortNotStarted | QuotaTier::BestEffortStarted => {
            let grown = base + demand.waited_s * BEST_EFFORT_TOLERANCE_GROWTH_PER_S;
            grown.min(BEST_EFFORT_TOLERANCE_MAX.max(base))
        }
    }
}

/// Returns the price tolerance of a job of this priority that has not waited yet.
fn base_price_tolerance(priority: Priority) -> f64 {
    match priority {
        Priority::Production => 5.0,
        Priority::High => 3.0,
        Priority::Normal => 1.8,
        Priority::Low => 1.5,
    }
}
