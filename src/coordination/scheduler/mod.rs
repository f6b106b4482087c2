//! A scheduling cycle: every waiting job's tree is tried on the snapshot, in
//! order of priority; what succeeds becomes part of the wanted state.

mod best_effort;
mod demand;
pub mod gpu_demand;
pub mod headroom;
mod order;
mod preemption;
mod room;
pub mod trial;

use std::rc::Rc;

pub use self::order::is_overdue;
use self::{
    gpu_demand::GpuDemand,
    headroom::ExpectedReplicas,
    order::is_overdue_unplaced,
    room::InfeasibleShapes,
    trial::{HostFilter, Pick, TrialRequest, Verdict},
};
use super::{
    cluster::{NewAssignment, UnmetDemand},
    leader::Leader,
    model::{Job, MachineIndex, MachineLifecycle, Millis, Slot},
    snapshot::RoomKind,
};
use crate::{
    protocol::jobs::{JobSpec, Kind},
    storage::job_cache::JobIndex,
};

/// Most tasks of one job assigned in one scheduling cycle, so that a large one doesn't
/// stall the rest.
const TASKS_PER_CYCLE: usize = 256;
/// An array that is overdue begins with this part of its tasks: it is to begin,
/// not to go before all others as a whole.
const OVERDUE_ARRAY_DIVISOR: u32 = 16;
/// Tasks with which a job that fails everywhere is tried again.
const TASKS_PER_RETRY: usize = 1;
/// After failures on this many machines, they aren't the reason.
const FAILED_MACHINES_MAX: usize = 4;

/// State of the scheduler from one cycle to the next.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// When the last scheduling cycle was made.
    pub last_cycle: Millis,
    /// GPU work seen lately.
    gpu_demand: GpuDemand,
    /// Where the next sample of machines for preemption begins.
    pub preemption_cursor: u32,
}

/// What a scheduling cycle keeps from one job to the next.
struct CycleState {
    unmet: Vec<UnmetDemand>,
    /// Replicas that are expected next; `None` once room is reserved for them.
    headroom: Option<Vec<ExpectedReplicas>>,
    infeasible: InfeasibleShapes,
    /// CPUs left to teams without a guarantee.
    best_effort_cpus: f64,
    /// Gangs that room was reserved for so far.
    reserving_gangs: usize,
    /// One gang in each zone at a time collects its machines.
    reserving_gangs_max: usize,
}

/// What is needed to place one job's tasks.
struct Placement {
    job: JobIndex,
    spec: Rc<JobSpec>,
    /// The tasks to be placed, in order.
    tasks: Vec<u32>,
    zone_used: Vec<u32>,
    /// Machines on which its tasks failed.
    avoid: Vec<MachineIndex>,
}

impl Placement {
    /// How many tasks must be placed together.
    fn min(&self) -> usize {
        min_tasks(&self.spec, self.tasks.len())
    }

    /// Whether the search was restricted by nothing but the job's shape.
    fn is_unrestricted(&self) -> bool {
        self.avoid.is_empty() && uses_no_zone(&self.zone_used)
    }
}

impl Scheduler {
    /// GPU work seen lately.
    pub fn gpu_demand(&self) -> &GpuDemand {
        &self.gpu_demand
    }
}

impl Leader {
    /// Whether something changed since the last scheduling cycle that may let a job be placed.
    pub fn is_cycle_pending(&self) -> bool {
        self.cluster.cycle_needed
    }

    /// Whether a scheduling cycle is due: something changed, or the longest gap is over.
    pub fn is_cycle_due(&self, now: Millis, min_gap_ms: Millis, max_gap_ms: Millis) -> bool {
        let gap_ms = now.saturating_sub(self.scheduler.last_cycle);
        (self.cluster.cycle_needed && gap_ms >= min_gap_ms) || gap_ms >= max_gap_ms
    }

    /// Tries to place every waiting job.
    pub fn run_scheduling_cycle(&mut self, now: Millis) {
        self.cluster.cycle_needed = false;
        self.scheduler.last_cycle = now;
        self.note_guarantees();
        let order = self.scheduling_order(now);
        if order.is_empty() {
            self.cluster.backlog.unmet = Vec::new();
            return;
        }
        self.note_gpu_demand(now);
        let mut state = CycleState {
            unmet: Vec::new(),
            headroom: Some(headroom::expected_replicas(&self.cluster, now)),
            infeasible: InfeasibleShapes::default(),
            best_effort_cpus: self.best_effort_cpus(now),
            reserving_gangs: 0,
            reserving_gangs_max: self.cluster.snapshot.zone_count(),
        };
        for job in order {
            self.schedule_job(now, job, &mut state);
        }
        self.cluster.snapshot.release(0);
        self.cluster.backlog.unmet = state.unmet;
    }

    fn schedule_job(&mut self, now: Millis, index: JobIndex, state: &mut CycleState) {
        let Some(job) = self.cluster.job(index) else { return };
        if job.spec.kind != Kind::Service {
            // Services come first in the order; what follows leaves room for
            // the replicas that are expected next.
            for expected in state.headroom.take().into_iter().flatten() {
                headroom::reserve_headroom(&mut self.cluster, &expected);
            }
        }
        let Some(job) = self.cluster.job(index) else { return };
        let is_overdue_unplaced = is_overdue_unplaced(now, job);
        let wanted = self.tasks_to_place(job, is_overdue_unplaced);
        let is_best_effort_array = self.is_best_effort_array(job);
        let mut tasks = wanted.clone();
        if is_best_effort_array {
            tasks.truncate(self.best_effort_tasks(now, job, state.best_effort_cpus));
        }
        if wanted.is_empty() {
            return;
        }
        let placement = Placement {
            job: index,
            spec: job.spec.clone(),
            tasks,
            zone_used: job.tasks.zone_used.clone(),
            avoid: self.avoided_machines(job),
        };
        let placed = self.try_place(now, &placement, state);
        if is_best_effort_array {
            state.best_effort_cpus -= placed as f64 * placement.spec.cpus;
        }
        if placed == wanted.len() {
            if let Some(job) = self.cluster.job_mut(index) {
                job.wait.waiting_since = now;
            }
            return;
        }
        let is_at_fault = self.cluster.job(index).is_some_and(|job| job.failures.job_is_at_fault());
        if !is_at_fault {
            state.unmet.push(UnmetDemand { job: index, tasks: (wanted.len() - placed) as u32 });
        }
        let reservations = self.cluster.snapshot.reservations();
        self.preempt_for(now, index, &placement.tasks[placed..], &mut state.infeasible);
        let may_reserve = placement.spec.kind == Kind::Gang
            && is_overdue_unplaced
            && state.reserving_gangs < state.reserving_gangs_max
            && self.cluster.snapshot.reservations() == reservations;
        if may_reserve {
            state.reserving_gangs += usize::from(self.reserve_for_gang(&placement));
        }
    }

    /// The tasks of a job that this scheduling cycle tries to place, in order.
    fn tasks_to_place(&self, job: &Job, is_overdue_unplaced: bool) -> Vec<u32> {
        let spec = &job.spec;
        let room = self.cluster.team_limits(spec.team).room_for(spec, &self.cluster.used_by_team(spec.team));
        let is_gang = spec.kind == Kind::Gang;
        let tasks_per_pass = if is_gang { TASKS_PER_CYCLE.max(job.tasks.pending.len()) } else { TASKS_PER_CYCLE };
        let mut limit = job.tasks.pending.len().min(room as usize).min(tasks_per_pass);
        if is_overdue_unplaced && spec.kind == Kind::Array {
            limit = limit.min((spec.tasks / OVERDUE_ARRAY_DIVISOR).max(1) as usize);
        }
        if !is_gang && job.failures.job_is_at_fault() {
            limit = limit.min(TASKS_PER_RETRY);
        }
        if limit == 0 || (is_gang && limit < job.tasks.pending.len()) {
            tracing::debug!(job = &*job.id, room, "at its team's limit");
            return Vec::new();
        }
        let next_tasks = job.tasks.pending.iter().rev().copied();
        match self.chunk_room(job) {
            None => next_tasks.take(limit).collect(),
            Some(mut chunk_room) => {
                let fits = |task: &u32| {
                    let left = &mut chunk_room[job.chunk_of(*task)];
                    *left = left.saturating_sub(1);
                    *left > 0
                };
                next_tasks.filter(fits).take(limit).collect()
            }
        }
    }

    /// Guard: chunks that were sized for a larger limit take only as many
    /// assignments at a time as can be written under the present one. By chunk:
    /// how many more, and one. `None`: there is no such restriction.
    fn chunk_room(&self, job: &Job) -> Option<Vec<u32>> {
        if self.cluster.records.value_limit > self.cluster.config.value_fit
            || job.records.chunk_size <= self.cluster.config.chunk_fit
        {
            return None;
        }
        if job.spec.kind == Kind::Gang {
            return None;
        }
        let mut room = vec![self.cluster.config.chunk_fit + 1; job.records.chunks.len()];
        for (task, slot) in job.tasks.slots.iter().enumerate() {
            if matches!(slot, Slot::At(_)) {
                let left = &mut room[job.chunk_of(task as u32)];
                *left = left.saturating_sub(1);
            }
        }
        Some(room)
    }

    /// Assigns what finds room now and returns how many tasks that are.
    fn try_place(&mut self, now: Millis, placement: &Placement, state: &mut CycleState) -> usize {
        if placement.tasks.is_empty() || state.infeasible.is_infeasible_now(&placement.spec) {
            return 0;
        }
        let outcome = self.cluster.snapshot.trial(&TrialRequest {
            spec: &placement.spec,
            tasks: &placement.tasks,
            min: placement.min(),
            zone_used: &placement.zone_used,
            avoid: &placement.avoid,
            room: RoomKind::Free,
            hosts: HostFilter::Any,
        });
        if outcome.verdict != Verdict::Success {
            if placement.is_unrestricted() {
                state.infeasible.now.push(placement.spec.clone());
            }
            return 0;
        }
        self.assign_picks(now, placement.job, &outcome.picks);
        let placed = outcome.picks.len();
        tracing::debug!(job = placement.job.0, placed, of = placement.tasks.len(), "placed");
        placed
    }

    fn assign_picks(&mut self, now: Millis, job: JobIndex, picks: &[Pick]) {
        let attempt = self.cluster.next_attempt();
        for pick in picks {
            let machine_index = MachineIndex(pick.host as u32);
            let machine = self.cluster.machine(machine_index);
            let new = NewAssignment {
                job,
                task: pick.task,
                machine: machine_index,
                incarnation: machine.heartbeats.incarnation,
                attempt,
                zone: machine.zone,
            };
            self.cluster.add_assignment(now, new);
        }
    }

    /// Machines on which the job's tasks failed. Once they failed nearly
    /// everywhere, the machines aren't the reason.
    fn avoided_machines(&self, job: &Job) -> Vec<MachineIndex> {
        let failed_on = &job.failures.machines;
        if failed_on.is_empty() {
            return Vec::new();
        }
        let up = self.cluster.machines.iter().filter(|machine| machine.lifecycle == MachineLifecycle::Up).count();
        if failed_on.len() >= FAILED_MACHINES_MAX || failed_on.len() * 2 >= up {
            return Vec::new();
        }
        failed_on.clone()
    }
}

/// How many of a job's tasks must be placed together.
fn min_tasks(spec: &JobSpec, tasks: usize) -> usize {
    match spec.kind {
        Kind::Gang => tasks,
        Kind::Array | Kind::Service => 1,
    }
}

fn uses_no_zone(zone_used: &[u32]) -> bool {
    zone_used.iter().all(|&tasks| tasks == 0)
}
