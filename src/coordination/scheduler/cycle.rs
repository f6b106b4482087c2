//! One scheduling cycle: places the waiting jobs one after another.

use std::rc::Rc;

use super::{
    best_effort::{is_best_effort_array, BestEffortBudget},
    headroom::{self, ExpectedReplicas},
    infeasible::InfeasibleShapes,
    preemption::{self, SampleCursor},
    queue::is_starved_unplaced,
    task_selection,
    trial::{HostFilter, PlacementStatus, TaskPlacement, TrialRequest},
};
use crate::{
    coordination::{
        cluster::{ClusterState, NewAssignment, UnmetDemand},
        model::{MachineIndex, Millis},
        snapshot::CapacityKind,
    },
    protocol::jobs::{JobKind, JobSpec},
    storage::job_cache::JobIndex,
};

/// After tasks were preempted for a job, no more are preempted for it for this long.
const PREEMPTED_PAUSE_MS: Millis = 1_000;
/// After nothing could be preempted for a job, preemption for it is not attempted again
/// for this long.
const NOTHING_PREEMPTED_PAUSE_MS: Millis = 2_000;

/// A scheduling cycle in progress, with the state carried from one job to the next.
pub struct SchedulingCycle<'a> {
    cluster: &'a mut ClusterState,
    preemption_samples: &'a mut SampleCursor,
    now: Millis,
    /// Tasks that found no free capacity so far, in queue order.
    unmet: Vec<UnmetDemand>,
    /// Replicas that are expected next; `None` once capacity is reserved for them.
    headroom: Option<Vec<ExpectedReplicas>>,
    infeasible: InfeasibleShapes,
    best_effort: BestEffortBudget,
    gang_reservations: GangReservations,
}

/// Counts the gangs for which capacity is reserved in this cycle: at most one for
/// each zone of the cluster.
struct GangReservations {
    count: usize,
    max: usize,
}

/// The tasks of one job that the cycle tries to place.
struct PlacementRequest {
    job: JobIndex,
    spec: Rc<JobSpec>,
    /// How many tasks the job would place without the best-effort budget.
    wanted: usize,
    /// The tasks to place, in order.
    tasks: Vec<u32>,
    zone_used: Vec<u32>,
    /// Machines on which tasks of the job failed.
    avoid: Vec<MachineIndex>,
    is_best_effort: bool,
    /// Whether the job is starved and none of its tasks is assigned.
    is_starved: bool,
}

impl<'a> SchedulingCycle<'a> {
    /// Creates a cycle that has placed nothing yet.
    pub fn new(cluster: &'a mut ClusterState, preemption_samples: &'a mut SampleCursor, now: Millis) -> Self {
        SchedulingCycle {
            now,
            preemption_samples,
            unmet: Vec::new(),
            headroom: Some(headroom::expected_replicas(cluster, now)),
            infeasible: InfeasibleShapes::default(),
            best_effort: BestEffortBudget::new(cluster, now),
            gang_reservations: GangReservations { count: 0, max: cluster.snapshot().zone_count() },
            cluster,
        }
    }

    /// Ends the cycle: releases its reservations and publishes the unmet demand.
    pub fn finish(self) {
        self.cluster.snapshot_mut().truncate_reservations(0);
        self.cluster.set_unmet_demand(self.unmet);
    }

    /// Places a job's waiting tasks; for those that don't fit, reserves capacity
    /// or preempts other tasks.
    pub fn schedule_job(&mut self, index: JobIndex) {
        let Some(job) = self.cluster.job(index) else { return };
        if job.spec.kind != JobKind::Service {
            // Production jobs, and so the production services, come first in the
            // queue. Jobs of other kinds leave capacity for the replicas of such
            // services that are expected next.
            self.reserve_headroom();
        }
        let Some(request) = self.placement_request(index) else { return };
        let placed = self.place(&request);
        if request.is_best_effort {
            self.best_effort.charge(placed, &request.spec);
        }
        if placed == request.wanted {
            if let Some(job) = self.cluster.job_mut(index) {
                job.wait.waiting_since = self.now;
            }
            return;
        }
        self.record_unmet(index, request.wanted - placed);
        let reservations = self.cluster.snapshot().reservation_count();
        self.reclaim_capacity(index, &request.tasks[placed..]);
        let reserved_nothing = self.cluster.snapshot().reservation_count() == reservations;
        let is_starved_gang = request.spec.kind == JobKind::Gang && request.is_starved;
        if is_starved_gang && reserved_nothing && self.gang_reservations.may_reserve() {
            self.reserve_for_gang(&request);
        }
    }

    /// Reserves capacity for the expected replicas, once per cycle.
    fn reserve_headroom(&mut self) {
        for expected in self.headroom.take().into_iter().flatten() {
            headroom::reserve_headroom(self.cluster, &expected);
        }
    }

    /// Returns the tasks of a job to place; `None` if none may be placed.
    fn placement_request(&self, index: JobIndex) -> Option<PlacementRequest> {
        let job = self.cluster.job(index)?;
        let is_starved = is_starved_unplaced(self.now, job);
        let mut tasks = task_selection::tasks_to_place(self.cluster, job, is_starved);
        let wanted = tasks.len();
        if wanted == 0 {
            return None;
        }
        let is_best_effort = is_best_effort_array(self.cluster, job);
        if is_best_effort {
            tasks.truncate(self.best_effort.task_limit(self.now, job));
        }
        Some(PlacementRequest {
            job: index,
            spec: job.spec.clone(),
            wanted,
            tasks,
            zone_used: job.tasks.zone_used.clone(),
            avoid: task_selection::avoided_machines(job, self.cluster.machines()),
            is_best_effort,
            is_starved,
        })
    }

    /// Assigns the tasks that fit now and returns their count.
    fn place(&mut self, request: &PlacementRequest) -> usize {
        if request.tasks.is_empty() || self.infeasible.is_infeasible_now(&request.spec) {
            return 0;
        }
        let outcome = self.cluster.snapshot_mut().trial(&TrialRequest {
            spec: &request.spec,
            tasks: &request.tasks,
            min: min_tasks(&request.spec, request.tasks.len()),
            zone_used: &request.zone_used,
            avoid: &request.avoid,
            capacity: CapacityKind::Free,
            hosts: HostFilter::Any,
        });
        if outcome.status != PlacementStatus::Success {
            if request.is_restricted_by_shape_only() {
                self.infeasible.add_infeasible_now(request.spec.clone());
            }
            return 0;
        }
        self.assign(request.job, &outcome.placements);
        let placed = outcome.placements.len();
        tracing::debug!(job_index = request.job.0, placed, requested = request.tasks.len(), "tasks placed");
        placed
    }

    fn assign(&mut self, job: JobIndex, placements: &[TaskPlacement]) {
        let attempt = self.cluster.next_attempt();
        for placement in placements {
            let machine_index = MachineIndex(placement.host as u32);
            let machine = self.cluster.machine(machine_index);
            let new = NewAssignment {
                job,
                task: placement.task,
                machine: machine_index,
                incarnation: machine.heartbeats.incarnation,
                attempt,
                zone: machine.zone,
            };
            self.cluster.add_assignment(self.now, new);
        }
    }

    /// Records tasks that found no free capacity. Tasks of a job that fails on
    /// every machine are not included in the demand.
    fn record_unmet(&mut self, index: JobIndex, tasks: usize) {
        let is_faulty = self.cluster.job(index).is_some_and(|job| job.failures.is_job_faulty());
        if !is_faulty {
            self.unmet.push(UnmetDemand { job: index, tasks: tasks as u32 });
        }
    }

    /// Obtains capacity for `tasks`, which don't fit now: reserves capacity that the
    /// tasks being stopped will free, and preempts other tasks if that is not enough.
    fn reclaim_capacity(&mut self, index: JobIndex, tasks: &[u32]) {
        let Some(job) = self.cluster.job(index) else { return };
        if tasks.is_empty() || !preemption::may_preempt(self.now, job) {
            return;
        }
        let id = job.id.clone();
        let next_preemption = job.wait.next_preemption;
        let reserved = self.reserve_stopping_capacity(index, tasks);
        let remaining = &tasks[reserved..];
        if remaining.is_empty() || self.now < next_preemption {
            return;
        }
        let preempted = preemption::preempt(self.cluster, self.preemption_samples, self.now, index, remaining);
        tracing::debug!(
            job = &*id,
            remaining_tasks = remaining.len(),
            tasks = tasks.len(),
            preempted,
            "preemption attempted"
        );
        if let Some(job) = self.cluster.job_mut(index) {
            let pause_ms = if preempted { PREEMPTED_PAUSE_MS } else { NOTHING_PREEMPTED_PAUSE_MS };
            job.wait.next_preemption = self.now + pause_ms;
        }
    }

    /// Reserves capacity that tasks being stopped will free, and returns for how
    /// many of `tasks` it was reserved.
    fn reserve_stopping_capacity(&mut self, index: JobIndex, tasks: &[u32]) -> usize {
        let Some(job) = self.cluster.job(index) else { return 0 };
        let spec = job.spec.clone();
        let zone_used = job.tasks.zone_used.clone();
        if !self.cluster.snapshot().has_stopping_tasks() || self.infeasible.is_infeasible_after_stops(&spec) {
            return 0;
        }
        let min = min_tasks(&spec, tasks.len());
        let trial = TrialRequest::with_stopping_capacity(&spec, tasks, min, &zone_used);
        let outcome = self.cluster.snapshot_mut().trial(&trial);
        self.reserve(&spec, &outcome.placements);
        if outcome.status != PlacementStatus::Success && uses_no_zone(&zone_used) {
            self.infeasible.add_infeasible_after_stops(spec);
        }
        outcome.placements.len()
    }

    /// Reserves capacity that is free, or will be once the tasks being stopped have
    /// exited, for a starved gang, so that no later job in the queue takes it. Each
    /// cycle does so again, until the whole gang fits.
    /// Without this, smaller jobs take every machine that becomes free, and a large
    /// gang never finds enough of them at once.
    fn reserve_for_gang(&mut self, request: &PlacementRequest) {
        let spec = &request.spec;
        let trial = TrialRequest::with_stopping_capacity(spec, &request.tasks, 1, &request.zone_used);
        let outcome = self.cluster.snapshot_mut().trial(&trial);
        self.reserve(spec, &outcome.placements);
        if !outcome.placements.is_empty() {
            self.gang_reservations.count += 1;
        }
    }

    fn reserve(&mut self, spec: &JobSpec, placements: &[TaskPlacement]) {
        let hosts = placements.iter().map(|placement| placement.host);
        self.cluster.snapshot_mut().reserve_for_tasks(spec, hosts);
    }
}

impl GangReservations {
    fn may_reserve(&self) -> bool {
        self.count < self.max
    }
}

impl PlacementRequest {
    /// Reports whether nothing but the job's shape restricts where its tasks may be
    /// placed: no machine is to be avoided, and no zone holds tasks of the job yet.
    fn is_restricted_by_shape_only(&self) -> bool {
        self.avoid.is_empty() && uses_no_zone(&self.zone_used)
    }
}

/// Returns how many of a job's tasks must be placed together.
fn min_tasks(spec: &JobSpec, tasks: usize) -> usize {
    match spec.kind {
        JobKind::Gang => tasks,
        JobKind::Array | JobKind::Service => 1,
    }
}

fn uses_no_zone(zone_used: &[u32]) -> bool {
    zone_used.iter().all(|&tasks| tasks == 0)
}
