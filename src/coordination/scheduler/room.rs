//! What a scheduling cycle does for tasks that found no room.

use std::rc::Rc;

use super::{min_tasks, uses_no_zone, Placement};
use crate::{
    coordination::{
        leader::Leader,
        model::{Job, Millis, Resources},
        scheduler::trial::{TrialRequest, Verdict},
    },
    protocol::jobs::{JobSpec, Kind, Priority},
    storage::job_cache::JobIndex,
};

/// How long work of normal priority waits before others' work is stopped for it.
const PREEMPTION_PATIENCE_MS: i64 = 10_000;
/// Pause after tasks were stopped for a job before more are.
const PREEMPTED_PAUSE_MS: Millis = 1_000;
/// Pause after nothing could be stopped for a job.
const NOTHING_PREEMPTED_PAUSE_MS: Millis = 2_000;

/// Shapes that a scheduling cycle found no room for at all: room only shrinks within a scheduling cycle.
#[derive(Default)]
pub struct InfeasibleShapes {
    /// No room now.
    pub now: Vec<Rc<JobSpec>>,
    /// No room even once what is being stopped is gone.
    pub later: Vec<Rc<JobSpec>>,
}

impl InfeasibleShapes {
    pub fn is_infeasible_now(&self, spec: &JobSpec) -> bool {
        self.now.iter().any(|failed| at_least_as_hard(spec, failed))
    }

    fn is_infeasible_later(&self, spec: &JobSpec) -> bool {
        self.later.iter().any(|failed| at_least_as_hard(spec, failed))
    }
}

impl Leader {
    /// Guard: smaller work takes every machine that a large gang could begin to
    /// collect. What there is of room for one that is overdue is reserved
    /// against all after it, pass by pass, until there is enough. True if
    /// something was reserved.
    pub(super) fn reserve_for_gang(&mut self, placement: &Placement) -> bool {
        let spec = &placement.spec;
        let request = TrialRequest::later(spec, &placement.tasks, 1, &placement.zone_used);
        let outcome = self.cluster.snapshot.trial(&request);
        for pick in &outcome.picks {
            self.cluster.snapshot.reserve(pick.host, Resources::of(spec), Resources::default());
        }
        !outcome.picks.is_empty()
    }

    /// Tasks found no room now: reserves what is being stopped for them, or
    /// stops other work.
    pub fn preempt_for(&mut self, now: Millis, index: JobIndex, tasks: &[u32], infeasible: &mut InfeasibleShapes) {
        let Some(job) = self.cluster.job(index) else { return };
        if tasks.is_empty() || !may_preempt(now, job) {
            return;
        }
        let id = job.id.clone();
        let next_preemption = job.wait.next_preemption;
        let reserved = self.reserve_stopping_room(index, tasks, infeasible);
        let still_waiting = &tasks[reserved..];
        if still_waiting.is_empty() || now < next_preemption {
            return;
        }
        let preempted = self.preempt(now, index, still_waiting);
        tracing::debug!(
            job = &*id,
            need = still_waiting.len(),
            tasks = tasks.len(),
            made = preempted,
            "room asked for"
        );
        if let Some(job) = self.cluster.job_mut(index) {
            job.wait.next_preemption = now + if preempted { PREEMPTED_PAUSE_MS } else { NOTHING_PREEMPTED_PAUSE_MS };
        }
    }

    /// Reserves room that tasks which are being stopped will leave, and returns
    /// for how many tasks there was some.
    fn reserve_stopping_room(&mut self, index: JobIndex, tasks: &[u32], infeasible: &mut InfeasibleShapes) -> usize {
        let Some(job) = self.cluster.job(index) else { return 0 };
        let spec = job.spec.clone();
        let zone_used = job.tasks.zone_used.clone();
        if !self.cluster.snapshot.anything_stops() || infeasible.is_infeasible_later(&spec) {
            return 0;
        }
        let min = min_tasks(&spec, tasks.len());
        let outcome = self.cluster.snapshot.trial(&TrialRequest::later(&spec, tasks, min, &zone_used));
        for pick in &outcome.picks {
            self.cluster.snapshot.reserve(pick.host, Resources::of(&spec), Resources::default());
        }
        if outcome.verdict != Verdict::Success && uses_no_zone(&zone_used) {
            infeasible.later.push(spec);
        }
        outcome.picks.len()
    }
}

/// Whether other work may be stopped for this job by now.
fn may_preempt(now: Millis, job: &Job) -> bool {
    // Guard: what fails everywhere would have others stopped again and again.
    if job.failures.job_is_at_fault() {
        return false;
    }
    if job.within_guarantee {
        return true;
    }
    match job.spec.priority {
        Priority::Production | Priority::High => true,
        Priority::Normal => job.waited_ms(now) >= PREEMPTION_PATIENCE_MS,
        Priority::Low => false,
    }
}

/// Whether `spec` finds no room if `failed` found none.
fn at_least_as_hard(spec: &JobSpec, failed: &JobSpec) -> bool {
    let needs_as_many_at_once = failed.kind != Kind::Gang || (spec.kind == Kind::Gang && spec.tasks >= failed.tasks);
    needs_as_many_at_once
        && spec.cpus >= failed.cpus
        && spec.gpus >= failed.gpus
        && spec.memory_gb >= failed.memory_gb
        && spec.types == failed.types
        && spec.zone == failed.zone
        && (failed.spot || !spec.spot)
        && spec.one_zone >= failed.one_zone
        && spec.spread == failed.spread
}
