//! Plans which tasks are stopped, and on which machines.

use super::victims::Victim;
use crate::{
    coordination::{
        leader::Leader,
        model::{AssignmentIndex, Job, MachineIndex, Millis, Resources, RESOURCE_TOLERANCE},
        scheduler::trial::{IDLE_GPU_PENALTY_S, SLOWEST_FETCH_GB_PER_S},
        snapshot::{Host, Pool, RoomKind},
    },
    protocol::{
        jobs::{JobSpec, Kind},
        names::ZoneIndex,
    },
    storage::job_cache::JobIndex,
};

/// Machines of each pool looked at for one task.
const MACHINES_SAMPLED: usize = 256;
/// Those of them whose tasks are looked at.
const MACHINES_EXAMINED: usize = 64;
/// Priorities by which a machine's use is counted.
const PRIORITY_COUNT: usize = 4;
/// A fetch on a machine without the image costs this many times its seconds.
const FETCH_COST_FACTOR: f64 = 2.0;

/// Machines for so many tasks, and the assignments to be stopped there.
#[derive(Default)]
pub struct PreemptionPlan {
    pub cost: f64,
    pub picks: Vec<usize>,
    pub halts: Vec<AssignmentIndex>,
}

/// Room for one task on one machine, and what is stopped for it.
struct HostPreemption {
    host: usize,
    cost: f64,
    halts: Vec<AssignmentIndex>,
    freed: Resources,
}

/// What is searched for: room for one more task.
struct Search<'a> {
    now: Millis,
    job: &'a Job,
    sample: &'a [usize],
    /// The job's assignments by zone, those planned included.
    zone_used: &'a [u32],
    /// Assignments that the plan stops already.
    halts: &'a [AssignmentIndex],
}

impl Leader {
    /// What is stopped, and where, so that `tasks` get room; in `zone` only, if
    /// one is given. `None`: not enough may be stopped.
    pub fn plan_preemption(
        &mut self,
        now: Millis,
        index: JobIndex,
        tasks: &[u32],
        zone: Option<ZoneIndex>,
    ) -> Option<PreemptionPlan> {
        let spec = self.cluster.job(index)?.spec.clone();
        let mut zone_used = self.cluster.job(index)?.tasks.zone_used.clone();
        let mut plan = PreemptionPlan::default();
        let reservations = self.cluster.snapshot.reservations();
        let sample = self.cluster.snapshot.sample(&spec, zone, self.scheduler.preemption_cursor, MACHINES_SAMPLED);
        for _ in tasks {
            let job = self.cluster.job(index)?;
            let search = Search { now, job, sample: &sample, zone_used: &zone_used, halts: &plan.halts };
            let best = self.cheapest_preemption(&search);
            self.cluster.snapshot.looked += sample.len() as u64;
            let Some(preemption) = best else {
                if spec.kind == Kind::Gang {
                    self.cluster.snapshot.release(reservations);
                    return None;
                }
                break;
            };
            let zone = self.cluster.machine(MachineIndex(preemption.host as u32)).zone;
            if zone_used.len() <= zone.at() {
                zone_used.resize(zone.at() + 1, 0);
            }
            zone_used[zone.at()] += 1;
            self.cluster.snapshot.reserve(preemption.host, Resources::of(&spec), preemption.freed);
            plan.cost += preemption.cost;
            plan.halts.extend(preemption.halts);
            plan.picks.push(preemption.host);
        }
        // What is stopped counts as such by itself; the room is reserved again
        // once a plan is chosen.
        self.cluster.snapshot.release(reservations);
        (!plan.picks.is_empty()).then_some(plan)
    }

    /// The machine of the sample on which room for one task costs least.
    fn cheapest_preemption(&self, search: &Search<'_>) -> Option<HostPreemption> {
        let spec = &search.job.spec;
        let mut best: Option<HostPreemption> = None;
        let mut examined = 0;
        for &host_index in search.sample {
            let host = &self.cluster.snapshot.hosts[host_index];
            let Some(pool) = host.pool.map(|pool| &self.cluster.snapshot.pools[pool]) else { continue };
            if !zone_allows(spec, pool.zone, search.zone_used) || !may_free_enough(search.job, host) {
                continue;
            }
            if examined >= MACHINES_EXAMINED {
                continue;
            }
            examined += 1;
            let Some(preemption) = self.preemption_on(search, host_index, host, pool) else { continue };
            if best.as_ref().is_none_or(|best| preemption.cost < best.cost) {
                best = Some(preemption);
            }
        }
        best
    }

    /// What is stopped on one machine so that a task gets room there.
    fn preemption_on(
        &self,
        search: &Search<'_>,
        host_index: usize,
        host: &Host,
        pool: &Pool,
    ) -> Option<HostPreemption> {
        let spec = &search.job.spec;
        let assignments = &self.cluster.machine(MachineIndex(host_index as u32)).load.assignments;
        let victims = self.victims_among(search.now, assignments, search.halts, search.job);
        let mut preemption =
            choose_victims(&Resources::of(spec), host.room(RoomKind::FreeOrStopping), victims, host_index)?;
        if !host.has_image(spec.image) {
            let fetch_s = spec.image_gb / pool.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S);
            preemption.cost += fetch_s * FETCH_COST_FACTOR;
        }
        if spec.gpus <= 0.0 && pool.capacity.gpus > 0.0 {
            preemption.cost += IDLE_GPU_PENALTY_S;
        }
        Some(preemption)
    }
}

/// Takes victims in order until the task fits. `None`: it doesn't fit even then.
fn choose_victims(need: &Resources, available: Resources, victims: Vec<Victim>, host: usize) -> Option<HostPreemption> {
    let mut available = available;
    let mut preemption = HostPreemption { host, cost: 0.0, halts: Vec::new(), freed: Resources::default() };
    for victim in victims {
        if need.fits_in(&available) {
            break;
        }
        if !frees_what_is_missing(&victim.need, need, &available) {
            continue;
        }
        available += victim.need;
        preemption.freed += victim.need;
        preemption.cost += victim.cost;
        preemption.halts.push(victim.assignment);
    }
    need.fits_in(&available).then_some(preemption)
}

/// Whether a victim uses some resource of which too little is available.
fn frees_what_is_missing(victim: &Resources, need: &Resources, available: &Resources) -> bool {
    (victim.gpus > 0.0 && available.gpus < need.gpus)
        || (victim.cpus > 0.0 && available.cpus + RESOURCE_TOLERANCE < need.cpus)
        || (victim.memory_gb > 0.0 && available.memory_gb + RESOURCE_TOLERANCE < need.memory_gb)
}

/// Whether one more task of the job may be in this zone.
fn zone_allows(spec: &JobSpec, zone: ZoneIndex, zone_used: &[u32]) -> bool {
    let here = zone_used.get(zone.at()).copied().unwrap_or(0);
    let elsewhere = zone_used.iter().sum::<u32>() - here;
    let is_other_zone = spec.one_zone && elsewhere > 0;
    let is_full = spec.spread && here >= spec.zone_cap();
    !is_other_zone && !is_full
}

/// Whether a task would fit if all were stopped that may be at best.
fn may_free_enough(job: &Job, host: &Host) -> bool {
    let stoppable = if job.within_guarantee { PRIORITY_COUNT } else { job.spec.priority as usize };
    let at_best = host.low[..stoppable].iter().fold(host.room(RoomKind::FreeOrStopping), |sum, used| sum + *used);
    Resources::of(&job.spec).fits_in(&at_best)
}
