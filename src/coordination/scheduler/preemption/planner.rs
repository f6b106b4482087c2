//! Plans which tasks to preempt, and on which machines.

use super::victims::{Victim, VictimSelector};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{AssignmentIndex, Job, MachineIndex, Millis, Resources, RESOURCE_TOLERANCE},
        scheduler::trial::{IDLE_GPU_PENALTY_S, SLOWEST_FETCH_GB_PER_S},
        snapshot::{CapacityKind, Host, Pool},
    },
    protocol::{
        jobs::{JobKind, JobSpec},
        names::ZoneIndex,
    },
    storage::job_cache::JobIndex,
};

/// Maximum number of machines of each pool that are sampled for one plan.
const MACHINES_SAMPLED: usize = 256;
/// Maximum number of sampled machines whose assignments are examined to place one task.
const MACHINES_EXAMINED: usize = 64;
/// Number of job priorities; a machine's used capacity is counted separately for each.
const PRIORITY_COUNT: usize = 4;
/// On a machine without the image, the plan's cost rises by the expected fetch
/// time in seconds times this factor.
const FETCH_COST_FACTOR: f64 = 2.0;

/// The machines for a job's tasks, and the tasks preempted there.
#[derive(Default)]
pub struct PreemptionPlan {
    /// Cost of the whole plan, in seconds.
    pub cost: f64,
    /// The machines, one entry for each task.
    pub hosts: Vec<usize>,
    /// The assignments to stop.
    pub victims: Vec<AssignmentIndex>,
}

/// The preemption on one machine that lets one task fit there.
struct HostPreemption {
    host: usize,
    cost: f64,
    victims: Vec<AssignmentIndex>,
    freed: Resources,
}

/// The search for the cheapest preemption for one more task.
struct HostSearch<'a> {
    cluster: &'a ClusterState,
    now: Millis,
    preemptor: &'a Job,
    /// The machines to search, by their index.
    sample: &'a [usize],
    /// The job's assignments by zone, including those planned.
    zone_used: &'a [u32],
    /// Assignments that the plan already stops.
    planned_victims: &'a [AssignmentIndex],
}

/// Plans preemptions for one job.
pub struct PreemptionPlanner {
    pub now: Millis,
    /// The job that gets the capacity.
    pub job: JobIndex,
    /// The machine at which the sample begins.
    pub sample_start: u32,
}

impl PreemptionPlanner {
    /// Returns the preemptions that let `task_count` tasks fit; in `zone` only, if one
    /// is given. If too little may be preempted for that, returns `None` for a gang; for
    /// other jobs, the preemptions that let as many tasks as possible fit, and `None`
    /// only if no task can fit.
    pub fn plan(
        &self,
        cluster: &mut ClusterState,
        task_count: usize,
        zone: Option<ZoneIndex>,
    ) -> Option<PreemptionPlan> {
        let reservations = cluster.snapshot().reservation_count();
        let plan = self.plan_with_reservations(cluster, task_count, zone);
        // These reservations only keep the plan from using capacity twice. After a
        // plan is chosen, its victims are stopped and the capacity is reserved again.
        cluster.snapshot_mut().truncate_reservations(reservations);
        plan.filter(|plan| !plan.hosts.is_empty())
    }

    /// Returns the same plan as [`PreemptionPlanner::plan`], but leaves the planned
    /// capacity reserved.
    fn plan_with_reservations(
        &self,
        cluster: &mut ClusterState,
        task_count: usize,
        zone: Option<ZoneIndex>,
    ) -> Option<PreemptionPlan> {
        let job = cluster.job(self.job)?;
        let spec = job.spec.clone();
        let mut zone_used = job.tasks.zone_used.clone();
        let sample = cluster.snapshot().sample(&spec, zone, self.sample_start, MACHINES_SAMPLED);
        let mut plan = PreemptionPlan::default();
        for _ in 0..task_count {
            let search = HostSearch {
                cluster,
                now: self.now,
                preemptor: cluster.job(self.job)?,
                sample: &sample,
                zone_used: &zone_used,
                planned_victims: &plan.victims,
            };
            let cheapest = search.cheapest();
            cluster.snapshot_mut().hosts_examined += sample.len() as u64;
            let Some(preemption) = cheapest else {
                if spec.kind == JobKind::Gang {
                    return None;
                }
                break;
            };
            count_in_zone(&mut zone_used, cluster.machine(MachineIndex(preemption.host as u32)).zone);
            cluster.snapshot_mut().reserve(preemption.host, Resources::of(&spec), preemption.freed);
            plan.add(preemption);
        }
        Some(plan)
    }
}

impl PreemptionPlan {
    fn add(&mut self, preemption: HostPreemption) {
        self.cost += preemption.cost;
        self.victims.extend(preemption.victims);
        self.hosts.push(preemption.host);
    }
}

impl HostSearch<'_> {
    /// Returns the preemption with the lowest cost on the machines of the sample;
    /// `None` if there is none that lets the task fit.
    fn cheapest(&self) -> Option<HostPreemption> {
        let snapshot = self.cluster.snapshot();
        let mut cheapest: Option<HostPreemption> = None;
        let feasible = self.sample.iter().filter_map(|&host_index| {
            let host = &snapshot.hosts[host_index];
            let pool = &snapshot.pools[host.pool?];
            self.may_fit(host, pool).then_some((host_index, host, pool))
        });
        for (host_index, host, pool) in feasible.take(MACHINES_EXAMINED) {
            let Some(preemption) = self.preemption_on(host_index, host, pool) else { continue };
            if cheapest.as_ref().is_none_or(|cheapest| preemption.cost < cheapest.cost) {
                cheapest = Some(preemption);
            }
        }
        cheapest
    }

    /// Reports whether one more task is allowed in the machine's zone, and stopping
    /// other tasks may free enough capacity for it on the machine.
    fn may_fit(&self, host: &Host, pool: &Pool) -> bool {
        zone_allows(&self.preemptor.spec, pool.zone, self.zone_used) && may_free_enough(self.preemptor, host)
    }

    /// Returns the preemption on one machine that lets a task fit there; `None` if the
    /// task wouldn't fit even if all tasks that may be preempted there were stopped.
    fn preemption_on(&self, host_index: usize, host: &Host, pool: &Pool) -> Option<HostPreemption> {
        let spec = &self.preemptor.spec;
        let assignments = &self.cluster.machine(MachineIndex(host_index as u32)).load.assignments;
        let selector = VictimSelector { cluster: self.cluster, now: self.now, preemptor: self.preemptor };
        let victims = selector.victims_among(assignments, self.planned_victims);
        let available = host.capacity(CapacityKind::FreeOrStopping);
        let mut preemption = choose_victims(&Resources::of(spec), available, victims, host_index)?;
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

/// Chooses victims, in the given order, until a task that needs `need` fits on the
/// machine. Skips those that free no missing resource. Returns `None` if the task
/// doesn't fit even without all of them.
fn choose_victims(need: &Resources, available: Resources, victims: Vec<Victim>, host: usize) -> Option<HostPreemption> {
    let mut available = available;
    let mut preemption = HostPreemption { host, cost: 0.0, victims: Vec::new(), freed: Resources::default() };
    for victim in victims {
        if need.fits_in(&available) {
            break;
        }
        if !frees_missing_resource(&victim.freed, need, &available) {
            continue;
        }
        available += victim.freed;
        preemption.freed += victim.freed;
        preemption.cost += victim.cost;
        preemption.victims.push(victim.assignment);
    }
    need.fits_in(&available).then_some(preemption)
}

/// Reports whether a victim uses a resource of which too little is available.
fn frees_missing_resource(freed: &Resources, need: &Resources, available: &Resources) -> bool {
    (freed.gpus > 0.0 && available.gpus < need.gpus)
        || (freed.cpus > 0.0 && available.cpus + RESOURCE_TOLERANCE < need.cpus)
        || (freed.memory_gb > 0.0 && available.memory_gb + RESOURCE_TOLERANCE < need.memory_gb)
}

fn count_in_zone(zone_used: &mut Vec<u32>, zone: ZoneIndex) {
    if zone_used.len() <= zone.as_usize() {
        zone_used.resize(zone.as_usize() + 1, 0);
    }
    zone_used[zone.as_usize()] += 1;
}

/// Reports whether one more task of the job may be placed in this zone.
fn zone_allows(spec: &JobSpec, zone: ZoneIndex, zone_used: &[u32]) -> bool {
    let here = zone_used.get(zone.as_usize()).copied().unwrap_or(0);
    let elsewhere = zone_used.iter().sum::<u32>() - here;
    let is_other_zone = spec.one_zone && elsewhere > 0;
    let is_full = spec.spread && here >= spec.zone_cap();
    !is_other_zone && !is_full
}

/// Reports whether a task of the job would fit on the machine if all tasks of lower
/// priority were stopped there; for a job within its team's guarantee, if all tasks of
/// any priority were stopped.
fn may_free_enough(job: &Job, host: &Host) -> bool {
    let stoppable_priorities = if job.within_guarantee { PRIORITY_COUNT } else { job.spec.priority as usize };
    let max_available = host.used_by_priority[..stoppable_priorities]
        .iter()
        .fold(host.capacity(CapacityKind::FreeOrStopping), |sum, used| sum + *used);
    Resources::of(&job.spec).fits_in(&max_available)
}
