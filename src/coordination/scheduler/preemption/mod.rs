//! Preemption: tasks are stopped so that a job of higher priority, or one
//! within its team's guarantee, gets room.

mod plan;
mod victims;

use crate::{
    coordination::{
        leader::Leader,
        model::{AssignmentIndex, Millis, Resources},
        workers::SAVE_MARGIN_S,
    },
    protocol::{
        jobs::{JobSpec, Kind, Priority},
        names::ZoneIndex,
    },
    storage::job_cache::JobIndex,
};

/// Tasks of one array for which room is made in one scheduling cycle.
const ARRAY_TASKS_PER_CYCLE: usize = 4;
/// The next sample of machines begins at the last start times this...
const CURSOR_MULTIPLIER: u32 = 5;
/// ...plus this, modulo the number of machines: so that samples differ.
const CURSOR_INCREMENT: u32 = 101;

impl Leader {
    /// Stops other work so that `tasks` get room. True if something was stopped.
    ///
    /// Guard: a gang that must be in one zone went to that of its first task's
    /// cheapest machine, and waited when that had too few. Each zone is planned
    /// for by itself; the feasible plan that costs least wins.
    pub fn preempt(&mut self, now: Millis, index: JobIndex, tasks: &[u32]) -> bool {
        let Some(job) = self.cluster.job(index) else { return false };
        let spec = job.spec.clone();
        let has_zone = job.tasks.zone_used.iter().any(|&used| used > 0);
        let tasks = match spec.kind {
            Kind::Array => &tasks[..tasks.len().min(ARRAY_TASKS_PER_CYCLE)],
            Kind::Gang | Kind::Service => tasks,
        };
        self.advance_preemption_cursor();
        let zones = if spec.one_zone && !has_zone && tasks.len() > 1 { self.each_zone() } else { vec![None] };
        let mut plans = Vec::new();
        for zone in zones {
            plans.extend(self.plan_preemption(now, index, tasks, zone));
        }
        let best = plans.into_iter().min_by(|a, b| b.picks.len().cmp(&a.picks.len()).then(a.cost.total_cmp(&b.cost)));
        let Some(plan) = best else { return false };
        let stopped = plan.halts.into_iter().filter(|&victim| self.stop_victim(now, victim, &spec)).count();
        for &host in &plan.picks {
            self.cluster.snapshot.reserve(host, Resources::of(&spec), Resources::default());
        }
        if stopped > 0 {
            tracing::info!(job = index.0, stopped, tasks = plan.picks.len(), "made room");
        }
        stopped > 0
    }

    fn advance_preemption_cursor(&mut self) {
        let next = self.scheduler.preemption_cursor.wrapping_mul(CURSOR_MULTIPLIER).wrapping_add(CURSOR_INCREMENT);
        self.scheduler.preemption_cursor = next % (self.cluster.machines.len().max(1) as u32);
    }

    fn each_zone(&self) -> Vec<Option<ZoneIndex>> {
        let mut zones: Vec<ZoneIndex> = self.cluster.snapshot.pools.iter().map(|pool| pool.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().map(Some).collect()
    }

    /// Stops a task, or its whole gang. False: it is gone already.
    fn stop_victim(&mut self, now: Millis, victim: AssignmentIndex, preemptor: &JobSpec) -> bool {
        let Some(assignment) = self.cluster.assignment(victim) else { return false };
        let job_index = assignment.job;
        let Some(job) = self.cluster.job(job_index) else { return false };
        let save_s = if job.spec.checkpoint_s > 0.0 { job.spec.save_s + SAVE_MARGIN_S } else { 0.0 };
        if job.spec.kind == Kind::Gang {
            self.cluster.stop_job(now, job_index, save_s);
        } else {
            let is_urgent = preemptor.priority == Priority::Production;
            self.cluster.halt(now, victim, if is_urgent { 0.0 } else { save_s });
        }
        true
    }
}
