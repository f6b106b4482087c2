//! How many CPUs best-effort work, that of teams without a guarantee, may take.

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Millis, RESOURCE_TOLERANCE},
        snapshot::{ClusterSnapshot, Pool},
    },
    protocol::{
        jobs::{JobKind, JobSpec},
        names::TeamIndex,
    },
    storage::records::JobStatus,
};

/// Work that arrived within this time is expected again within as long: about
/// the time that a new machine takes to boot.
const EXPECTED_AGAIN_MS: i64 = 30_000;
/// Share of the CPUs that best-effort work may take as it comes: it must not
/// starve beside capacity that is kept for others.
const BEST_EFFORT_SHARE: f64 = 0.4;
/// Largest share of the CPUs that is kept free of best-effort work.
const RESERVED_SHARE_MAX: f64 = 0.15;
/// A best-effort job that got no capacity for this long gets some all the same:
/// none may be left waiting beside free capacity.
const LONGEST_WAIT_MS: Millis = 60_000;
/// The fraction of its tasks that it gets then...
const LONG_WAIT_DIVISOR: u32 = 64;
/// ...but at least so many: small jobs get all that they ask for.
const LONG_WAIT_TASKS_MIN: u32 = 64;

/// CPUs that best-effort work may still take in a scheduling cycle.
pub struct BestEffortBudget {
    cpus: f64,
}

impl BestEffortBudget {
    /// The budget of a scheduling cycle that begins now.
    ///
    /// Guard: best-effort tasks may run for minutes, and work of the same
    /// priority can't preempt them: they took all free capacity as it came, and
    /// others waited until they ended.
    pub fn new(cluster: &ClusterState, now: Millis) -> BestEffortBudget {
        let (mut free, mut capacity) = (0.0, 0.0);
        for pool in pools_for_arrays(cluster.snapshot()) {
            free += pool.free.cpus;
            capacity += pool.capacity.cpus * pool.members.len() as f64;
        }
        // Guard: where others ask for more than they then use, what is kept for
        // them would stand idle.
        let reserved = expected_cpus(cluster, now).min(RESERVED_SHARE_MAX * capacity);
        let short_of_share = BEST_EFFORT_SHARE * capacity - best_effort_use(cluster);
        BestEffortBudget { cpus: (free - reserved).max(short_of_share).max(0.0) }
    }

    /// How many tasks of a best-effort job may be placed now.
    pub fn task_limit(&self, now: Millis, job: &Job) -> usize {
        let fitting = (self.cpus / job.spec.cpus.max(RESOURCE_TOLERANCE)) as usize;
        let has_waited = !job.wait.ever_assigned || now >= job.statistics.last_assigned + LONGEST_WAIT_MS;
        if has_waited {
            fitting.max((job.spec.tasks / LONG_WAIT_DIVISOR).max(LONG_WAIT_TASKS_MIN) as usize)
        } else {
            fitting
        }
    }

    /// Takes the CPUs of placed tasks off the budget.
    pub fn charge(&mut self, tasks: usize, spec: &JobSpec) {
        self.cpus -= tasks as f64 * spec.cpus;
    }
}

/// Whether a job gets only what others leave: an array of a team to which
/// nothing is guaranteed.
pub fn is_best_effort_array(cluster: &ClusterState, job: &Job) -> bool {
    job.spec.kind == JobKind::Array && cluster.is_best_effort(job.spec.team)
}

/// CPUs that best-effort teams use.
fn best_effort_use(cluster: &ClusterState) -> f64 {
    let teams = (0..cluster.team_count() as u32).map(TeamIndex);
    teams.filter(|&team| cluster.is_best_effort(team)).map(|team| cluster.used_by_team(team).cpus).sum()
}

/// Pools of machines without GPUs; all pools, where there are no such machines.
fn pools_for_arrays(snapshot: &ClusterSnapshot) -> Vec<&Pool> {
    let pools = snapshot.pools.iter().filter(|pool| !pool.members.is_empty());
    let (with_gpus, without): (Vec<&Pool>, Vec<&Pool>) =
        pools.partition(|pool| pool.capacity.gpus > RESOURCE_TOLERANCE);
    if without.is_empty() {
        with_gpus
    } else {
        without
    }
}

/// CPUs that arrays of teams with a guarantee may be expected to ask for.
fn expected_cpus(cluster: &ClusterState, now: Millis) -> f64 {
    let arrived_recently = |job: &&Job| now as i64 - job.wait.ready_since < EXPECTED_AGAIN_MS;
    cluster
        .active_jobs()
        .filter(|job| job.status == JobStatus::Pending && job.spec.kind == JobKind::Array)
        .filter(arrived_recently)
        .filter(|job| !cluster.is_best_effort(job.spec.team))
        .map(|job| f64::from(job.spec.tasks) * job.spec.cpus)
        .sum()
}
