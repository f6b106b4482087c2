//! How much of the free room goes to teams without a guarantee.

use crate::{
    coordination::{
        leader::Leader,
        model::{Job, Millis, RESOURCE_TOLERANCE},
        snapshot::Pool,
    },
    protocol::{jobs::Kind, names::TeamIndex},
    storage::records::JobStatus,
};

/// What arrived in this time is expected again within as long: about what a
/// machine takes to come.
const EXPECTED_AGAIN_MS: i64 = 30_000;
/// Share of the CPUs that work without a guarantee may take as it comes: it must
/// not starve beside room that is kept for others.
const BEST_EFFORT_SHARE: f64 = 0.4;
/// Most of the capacity that is kept free of work without a guarantee.
const RESERVED_SHARE_MAX: f64 = 0.15;
/// A job without a guarantee that got no room for this long gets some all the
/// same: none may be left waiting beside room.
const LONGEST_WAIT_MS: Millis = 60_000;
/// The part of its tasks that it gets then...
const LONG_WAIT_DIVISOR: u32 = 64;
/// ...but at least so many: small jobs get all that they want.
const LONG_WAIT_TASKS_MIN: u32 = 64;

impl Leader {
    /// Whether a job gets only what others leave: an array of a team to which
    /// nothing is guaranteed.
    pub fn is_best_effort_array(&self, job: &Job) -> bool {
        job.spec.kind == Kind::Array && self.cluster.is_best_effort(job.spec.team)
    }

    /// CPUs that jobs without a guarantee may take in this scheduling cycle.
    ///
    /// Guard: their tasks may run for minutes, and work of the same priority
    /// can't have them stopped: they took all free room as it came, and others
    /// waited until they ended.
    pub fn best_effort_cpus(&self, now: Millis) -> f64 {
        let (mut free, mut capacity) = (0.0, 0.0);
        for pool in self.pools_for_arrays() {
            free += pool.room.cpus;
            capacity += pool.capacity.cpus * pool.members.len() as f64;
        }
        // Guard: where others ask for more than they then use, what is kept for
        // them would stand idle.
        let reserved = self.expected_cpus(now).min(RESERVED_SHARE_MAX * capacity);
        let short_of_share = BEST_EFFORT_SHARE * capacity - self.best_effort_use();
        (free - reserved).max(short_of_share).max(0.0)
    }

    /// CPUs that teams without a guarantee use.
    fn best_effort_use(&self) -> f64 {
        let teams = (0..self.cluster.team_used.len() as u32).map(TeamIndex);
        teams.filter(|&team| self.cluster.is_best_effort(team)).map(|team| self.cluster.used_by_team(team).cpus).sum()
    }

    /// Pools of machines without GPUs; all pools, where there are no such machines.
    fn pools_for_arrays(&self) -> Vec<&Pool> {
        let pools = self.cluster.snapshot.pools.iter().filter(|pool| !pool.members.is_empty());
        let (with_gpus, without): (Vec<&Pool>, Vec<&Pool>) =
            pools.partition(|pool| pool.capacity.gpus > RESOURCE_TOLERANCE);
        if without.is_empty() {
            with_gpus
        } else {
            without
        }
    }

    /// CPUs that arrays of teams with a guarantee may be expected to ask for.
    fn expected_cpus(&self, now: Millis) -> f64 {
        let arrived_lately = |job: &&Job| now as i64 - job.wait.since < EXPECTED_AGAIN_MS;
        self.cluster
            .active_jobs()
            .filter(|job| job.status == JobStatus::Pending && job.spec.kind == Kind::Array)
            .filter(arrived_lately)
            .filter(|job| !self.cluster.is_best_effort(job.spec.team))
            .map(|job| f64::from(job.spec.tasks) * job.spec.cpus)
            .sum()
    }

    /// How many tasks of a job without a guarantee may be placed now, out of so
    /// many CPUs.
    pub fn best_effort_tasks(&self, now: Millis, job: &Job, cpus: f64) -> usize {
        let fitting = (cpus / job.spec.cpus.max(RESOURCE_TOLERANCE)) as usize;
        let has_waited = !job.wait.ever_assigned || now >= job.statistics.last_assigned + LONGEST_WAIT_MS;
        if has_waited {
            fitting.max((job.spec.tasks / LONG_WAIT_DIVISOR).max(LONG_WAIT_TASKS_MIN) as usize)
        } else {
            fitting
        }
    }
}
