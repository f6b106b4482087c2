//! Plans which machines to request for unmet demand.

use std::collections::HashMap;

use super::{
    offer::{Offer, OfferQuantity},
    offer_backoff::OfferBackoffs,
    offer_selection::{select_offer, OfferDemand, QuotaTier, RatedOffer},
    pending_capacity::PendingCapacity,
    zone_demand::{JobZones, ZoneDemand},
};
use crate::{
    coordination::{
        cluster::{ClusterState, UnmetDemand},
        model::{Job, MachineLifecycle, Millis, Resources},
    },
    protocol::names::ClassIndex,
};

/// Most machines that the cloud provisions in one call.
pub const MACHINES_REQUESTED_PER_CALL: u32 = 50;
/// Most offers requested in one step.
const OFFERS_PER_STEP: usize = 4;
/// Most jobs planned for in one step.
const JOBS_PER_STEP: usize = 200;
/// Most offers tried per job and zone in one step.
const OFFERS_PER_JOB: usize = 6;

/// Plan of the machines to request in one step.
pub struct ScaleOutPlan<'a> {
    now: Millis,
    cluster: &'a ClusterState,
    backoffs: &'a OfferBackoffs,
    /// Capacity that is requested or booting, including the planned machines.
    pending_capacity: PendingCapacity,
    /// Number of machines that are up, booting or requested, including the planned ones.
    total_machines: usize,
    /// Number of unmet tasks by job class.
    unmet_tasks_by_class: HashMap<ClassIndex, u32>,
    planned: Vec<OfferQuantity>,
}

impl<'a> ScaleOutPlan<'a> {
    /// Plans machines for the unmet demand in addition to those already `requested`.
    pub fn new(
        now: Millis,
        cluster: &'a ClusterState,
        backoffs: &'a OfferBackoffs,
        requested: &[OfferQuantity],
    ) -> ScaleOutPlan<'a> {
        let requested_machines: usize = requested.iter().map(|request| request.machines as usize).sum();
        let mut plan = ScaleOutPlan {
            now,
            cluster,
            backoffs,
            pending_capacity: PendingCapacity::new(now, cluster, requested),
            total_machines: held_machines(cluster) + requested_machines,
            unmet_tasks_by_class: unmet_tasks_by_class(cluster),
            planned: Vec::new(),
        };
        for &unmet in cluster.unmet_demand().iter().take(JOBS_PER_STEP) {
            plan.add_job(unmet);
            if plan.is_full() {
                break;
            }
        }
        plan
    }

    /// Returns the machines to request, by offer.
    pub fn into_quantities(self) -> Vec<OfferQuantity> {
        self.planned
    }

    fn is_full(&self) -> bool {
        self.planned.len() >= OFFERS_PER_STEP
    }

    fn add_job(&mut self, unmet: UnmetDemand) {
        let Some(job) = self.cluster.job(unmet.job) else { return };
        let zones = JobZones { cluster: self.cluster, spec: &job.spec, zone_used: &job.tasks.zone_used };
        for zone_demand in zones.demand(unmet.tasks, &self.pending_capacity) {
            self.add_zone_demand(job, &zone_demand);
            if self.is_full() {
                return;
            }
        }
    }

    /// Allocates pending capacity to the tasks and plans machines for the rest of them.
    fn add_zone_demand(&mut self, job: &Job, zone_demand: &ZoneDemand) {
        let (spec, zone_used) = (&*job.spec, &*job.tasks.zone_used);
        let zone = zone_demand.zone;
        let request = Resources::of(spec);
        let allocated = self.pending_capacity.allocate(&request, zone_demand.tasks, |offer| {
            zone.is_none_or(|zone| zone == offer.zone) && offer.allows(spec, zone_used)
        });
        let mut unmet_tasks = zone_demand.tasks - allocated;
        for _ in 0..OFFERS_PER_JOB {
            if unmet_tasks == 0 || self.is_full() || self.total_machines >= self.cluster.config().max_machines {
                break;
            }
            let Some(selected) = self.select_offer(job, zone_demand, unmet_tasks) else { break };
            let Some(machine_type) = selected.offer.type_spec(self.cluster.machine_types()) else { break };
            let machines = self.machines_for(unmet_tasks, &selected);
            self.pending_capacity.add(selected.offer, machine_type.capacity, machines);
            unmet_tasks -= self.pending_capacity.allocate(&request, unmet_tasks, |offer| *offer == selected.offer);
            self.add_machines(selected.offer, machines);
        }
    }

    /// Selects an offer for the tasks. A large machine is low-priced for many small
    /// jobs together, but not for one of them, so its cost is divided among the unmet
    /// tasks of the job's class.
    fn select_offer(&self, job: &Job, zone_demand: &ZoneDemand, unmet_tasks: u32) -> Option<RatedOffer> {
        let tasks_of_class = self.unmet_tasks_by_class.get(&job.spec.class).copied().unwrap_or(0);
        let demand = OfferDemand {
            spec: &job.spec,
            zone: zone_demand.zone,
            zone_used: &job.tasks.zone_used,
            tasks: tasks_of_class.max(unmet_tasks),
            waited_s: job.waited_ms(self.now) as f64 / 1000.0,
            quota_tier: QuotaTier::of(self.cluster, job),
        };
        select_offer(self.now, self.cluster, self.backoffs, &demand)
    }

    /// Returns how many machines of the selected offer to request for the tasks.
    fn machines_for(&self, tasks: u32, selected: &RatedOffer) -> u32 {
        let allowed = (self.cluster.config().max_machines - self.total_machines) as u32;
        tasks.div_ceil(selected.tasks_per_machine).min(MACHINES_REQUESTED_PER_CALL).min(allowed)
    }

    fn add_machines(&mut self, offer: Offer, machines: u32) {
        self.total_machines += machines as usize;
        match self.planned.iter_mut().find(|planned| planned.offer == offer) {
            Some(planned) => planned.machines += machines,
            None => self.planned.push(OfferQuantity { offer, machines }),
        }
    }
}

/// Returns the number of machines that are up or booting.
fn held_machines(cluster: &ClusterState) -> usize {
    let is_held = |lifecycle| !matches!(lifecycle, MachineLifecycle::Gone | MachineLifecycle::Releasing);
    cluster.machines().iter().filter(|machine| is_held(machine.lifecycle)).count()
}

fn unmet_tasks_by_class(cluster: &ClusterState) -> HashMap<ClassIndex, u32> {
    let mut unmet_tasks: HashMap<ClassIndex, u32> = HashMap::new();
    for unmet in cluster.unmet_demand() {
        if let Some(job) = cluster.job(unmet.job) {
            *unmet_tasks.entry(job.spec.class).or_default() += unmet.tasks;
        }
    }
    unmet_tasks
}
