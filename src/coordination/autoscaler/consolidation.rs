//! Consolidation: moves service replicas from expensive machines to other machines.

use super::drain::drain_machine;
use crate::{
    coordination::{
        cluster::{ClusterState, RECENT_UNMET_DEMAND_MS},
        model::{
            Assignment, AssignmentIndex, Machine, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis, Resources,
        },
        scheduler::{
            headroom,
            trial::{HostFilter, PlacementStatus, TrialRequest},
        },
        snapshot::CapacityKind,
    },
    protocol::jobs::JobKind,
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// A machine is drained only if its price is more than this multiple of what its
/// replicas would cost on the cheapest machines for them, because a move interrupts
/// each replica.
const PRICE_FACTOR: f64 = 3.0;
/// Time after the start of a leader during which it consolidates nothing.
const START_DELAY_MS: Millis = 4 * RECENT_UNMET_DEMAND_MS;
/// Most machines tried in one step.
const CANDIDATES_PER_STEP: usize = 4;

/// A machine that may be drained.
struct Candidate {
    machine: MachineIndex,
    price_per_hour: f64,
}

/// While there is no unmet demand, drains the most expensive machine that holds
/// only service replicas for which other machines have free capacity. A moved
/// replica is unavailable between its stop and its start.
pub fn consolidate(now: Millis, cluster: &mut ClusterState) {
    if !may_consolidate(now, cluster) {
        return;
    }
    let candidates = candidates(now, cluster);
    headroom::reserve_all_headroom(cluster, now);
    let headroom_reservations = cluster.snapshot().reservation_count();
    for candidate in candidates.into_iter().take(CANDIDATES_PER_STEP) {
        let is_movable = reserve_for_replicas_of(cluster, candidate.machine);
        cluster.snapshot_mut().truncate_reservations(headroom_reservations);
        if is_movable {
            drain(now, cluster, &candidate);
            break;
        }
    }
    cluster.snapshot_mut().truncate_reservations(0);
}

/// Reports whether consolidation is allowed: there was no unmet demand recently, no
/// machine is being drained, and the leader did not start recently.
fn may_consolidate(now: Millis, cluster: &ClusterState) -> bool {
    let is_starting = now < cluster.started_at() + START_DELAY_MS;
    let is_draining = |machine: &Machine| machine.cordoned && !machine.load.assignments.is_empty();
    !cluster.has_recent_unmet_demand(now) && !is_starting && !cluster.machines().iter().any(is_draining)
}

/// Returns the machines that may be drained, the most expensive first.
fn candidates(now: Millis, cluster: &ClusterState) -> Vec<Candidate> {
    let drainable = cluster.machines().iter().enumerate().filter(|(_, machine)| may_be_drained(now, cluster, machine));
    let mut candidates: Vec<Candidate> = drainable
        .map(|(index, machine)| Candidate {
            machine: MachineIndex(index as u32),
            price_per_hour: price_per_hour(cluster, machine),
        })
        .collect();
    candidates.sort_by(|a, b| b.price_per_hour.total_cmp(&a.price_per_hour));
    candidates
}

/// Reports whether a machine holds only movable replicas and is expensive for them.
fn may_be_drained(now: Millis, cluster: &ClusterState, machine: &Machine) -> bool {
    let is_eligible = machine.lifecycle == MachineLifecycle::Up
        && !machine.cordoned
        && !machine.load.assignments.is_empty()
        && machine.is_fenced()
        && has_lasted_min_idle_time(now, cluster, machine.up_at);
    is_eligible
        && machine.load.assignments.iter().all(|&index| is_movable_replica(now, cluster, index))
        && price_per_hour(cluster, machine) > PRICE_FACTOR * cheapest_price_of_load(cluster, machine)
}

fn price_per_hour(cluster: &ClusterState, machine: &Machine) -> f64 {
    cluster.machine_type_of(machine).map_or(0.0, |machine_type| machine_type.price_of(machine.spot))
}

/// Reports whether a state that began at `since` has lasted longer than the minimum
/// idle time, after which it may be changed again. `None`: it has not begun.
fn has_lasted_min_idle_time(now: Millis, cluster: &ClusterState, since: Option<Millis>) -> bool {
    since.is_some_and(|since| now > since + cluster.config().min_idle_ms)
}

/// Reports whether an assignment is a service replica without GPUs that has been
/// running for longer than the minimum idle time and is not being stopped.
fn is_movable_replica(now: Millis, cluster: &ClusterState, index: AssignmentIndex) -> bool {
    let Some(assignment) = cluster.assignment(index) else { return false };
    let is_replica = cluster.job(assignment.job).is_some_and(|job| {
        job.spec.kind == JobKind::Service && job.status == JobStatus::Pending && job.spec.gpus <= 0.0
    });
    is_replica && has_lasted_min_idle_time(now, cluster, assignment.running_since) && assignment.halt.is_none()
}

/// Returns what the tasks on a machine would cost per hour on the cheapest machines
/// for them.
fn cheapest_price_of_load(cluster: &ClusterState, machine: &Machine) -> f64 {
    let assignments = machine.load.assignments.iter().filter_map(|&index| cluster.assignment(index));
    assignments.map(|assignment| cheapest_price_per_task(cluster, assignment.job)).sum()
}

/// Returns what a task of this job costs per hour on the cheapest machine type for it.
fn cheapest_price_per_task(cluster: &ClusterState, job: JobIndex) -> f64 {
    let Some(job) = cluster.job(job) else { return 0.0 };
    let request = Resources::of(&job.spec);
    let price_per_task = |machine_type: &MachineTypeSpec| {
        machine_type.price_of(job.spec.spot) / f64::from(request.count_fitting_in(&machine_type.capacity).max(1))
    };
    cluster
        .machine_types()
        .iter()
        .filter(|machine_type| request.fits_in(&machine_type.capacity) && job.spec.allows_type(machine_type.index))
        .map(price_per_task)
        .fold(f64::INFINITY, f64::min)
}

fn drain(now: Millis, cluster: &mut ClusterState, candidate: &Candidate) {
    let machine = cluster.machine(candidate.machine);
    tracing::info!(
        machine = &*machine.id,
        price_per_hour = candidate.price_per_hour,
        replicas = machine.load.assignments.len(),
        "draining machine for consolidation"
    );
    drain_machine(now, cluster, candidate.machine, |_, _| 0.0);
}

/// Reserves capacity on other machines for all replicas on a machine. Returns false
/// if there is not enough for one of them.
fn reserve_for_replicas_of(cluster: &mut ClusterState, machine: MachineIndex) -> bool {
    let assignments = cluster.machine(machine).load.assignments.clone();
    assignments.into_iter().all(|assignment| reserve_elsewhere(cluster, machine, assignment))
}

/// Reserves capacity for a replica on another machine that holds its image and is
/// not idle. Returns false if there is none.
fn reserve_elsewhere(cluster: &mut ClusterState, from: MachineIndex, index: AssignmentIndex) -> bool {
    let Some(assignment) = cluster.assignment(index) else { return false };
    let Some(job) = cluster.job(assignment.job) else { return false };
    let spec = job.spec.clone();
    let task = assignment.task;
    let zone_used = zone_used_by_others(&job.tasks.zone_used, assignment);
    let outcome = cluster.snapshot_mut().trial(&TrialRequest {
        spec: &spec,
        tasks: &[task],
        min: 1,
        zone_used: &zone_used,
        avoid: &[from],
        capacity: CapacityKind::Free,
        hosts: HostFilter::BusyOnly,
    });
    let hosts = outcome.placements.iter().map(|placement| placement.host);
    cluster.snapshot_mut().reserve_for_tasks(&spec, hosts);
    outcome.status == PlacementStatus::Success
        && outcome.placements.iter().all(|placement| cluster.snapshot().hosts[placement.host].has_image(spec.image))
}

/// Returns the number of the job's assignments by zone, without this one, which is to
/// be moved.
fn zone_used_by_others(zone_used: &[u32], assignment: &Assignment) -> Vec<u32> {
    let mut zone_used = zone_used.to_vec();
    if let Some(used) = zone_used.get_mut(assignment.zone.as_usize()) {
        *used -= 1;
    }
    zone_used
}
