//! The scheduling queue: the order in which a cycle tries the waiting jobs.

use std::{cmp::Ordering, collections::HashMap};

use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Job, Millis},
    },
    protocol::{
        jobs::{JobKind, Priority},
        names::ClassIndex,
    },
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// Age at which a job without a start is considered starved and goes before all jobs
/// but production jobs. Users are promised that a job starts within four minutes.
const STARVATION_AGE_S: f64 = 150.0;
/// Among starved jobs, the largest job of a class is ordered as if it had waited
/// this much longer.
const LARGEST_JOB_BONUS_S: f64 = 60.0;
/// A job is treated as having missed an objective only when it would miss it even
/// if its run took just this share of the estimated time, because estimates are often
/// twice as long as the run.
const OPTIMISTIC_RUN_SHARE: f64 = 0.4;
/// Image fetch rate assumed before a machine is chosen, in GB per second.
const ASSUMED_FETCH_GB_PER_S: f64 = 0.5;
/// Longest image fetch assumed before a machine is chosen, in seconds.
const ASSUMED_FETCH_MAX_S: f64 = 30.0;
/// Longest image fetch, in seconds, that is taken into account when an objective is
/// checked: often the image is cached.
const OPTIMISTIC_FETCH_MAX_S: f64 = 5.0;
/// Number of CPUs that one GPU is counted as when the amount of a job's work is computed.
const CPUS_PER_GPU: f64 = 8.0;
/// Minimum number of CPUs that are counted per task when the amount of a job's work is
/// computed.
const TASK_CPUS_MIN: f64 = 0.1;

/// The first ordering criterion of the queue; jobs of an earlier tier go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PriorityTier {
    Production,
    Starved,
    High,
    Normal,
    Low,
}

/// How a job relates to its team's guaranteed quota; within a tier, jobs of an
/// earlier class go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum QuotaClass {
    WithinGuarantee,
    AboveGuarantee,
    /// The job's team has no guarantee: the job gets the capacity that others leave.
    BestEffort,
}

/// A job's rank among the jobs of its tier and quota class; smaller values go first.
#[derive(Debug, Clone, Copy)]
struct Urgency {
    /// Number of objectives before the first one that the job can still meet; `u32::MAX`
    /// if it can meet none.
    objectives_passed: u32,
    /// The job's work in CPU seconds; for starved jobs and jobs that can meet no
    /// objective, their negated age in seconds, so that older jobs go first.
    cost: f64,
}

/// A job's position in the scheduling queue.
struct QueuePosition {
    tier: PriorityTier,
    quota_class: QuotaClass,
    urgency: Urgency,
    job: JobIndex,
}

impl QueuePosition {
    fn compare(&self, other: &QueuePosition) -> Ordering {
        self.tier
            .cmp(&other.tier)
            .then(self.quota_class.cmp(&other.quota_class))
            .then(self.urgency.objectives_passed.cmp(&other.urgency.objectives_passed))
            .then(self.urgency.cost.total_cmp(&other.urgency.cost))
            .then(self.job.cmp(&other.job))
    }
}

/// The event that an objective requires within a time limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Milestone {
    Start,
    End,
}

/// A milestone and the time within which a job should reach it after it became ready.
#[derive(Clone, Copy)]
struct Objective {
    milestone: Milestone,
    within_s: f64,
}

/// Returns the jobs that may be placed now, in the order in which they are tried:
/// production jobs first; then starved jobs, the oldest first; then by priority. Of
/// equal priority, jobs within their team's guarantee go before other jobs.
pub fn scheduling_order(cluster: &ClusterState, now: Millis) -> Vec<JobIndex> {
    let largest = largest_by_class(cluster);
    let mut queue: Vec<QueuePosition> = cluster
        .active_jobs()
        .filter(|job| is_ready(now, job))
        .map(|job| queue_position(cluster, now, job, largest.get(&job.spec.class).copied().unwrap_or(0)))
        .collect();
    queue.sort_by(QueuePosition::compare);
    queue.into_iter().map(|position| position.job).collect()
}

/// Returns the task count of the largest unfinished job of each class.
fn largest_by_class(cluster: &ClusterState) -> HashMap<ClassIndex, u32> {
    let mut largest: HashMap<ClassIndex, u32> = HashMap::new();
    for job in cluster.active_jobs() {
        let tasks = largest.entry(job.spec.class).or_default();
        *tasks = (*tasks).max(job.spec.tasks);
    }
    largest
}

fn queue_position(cluster: &ClusterState, now: Millis, job: &Job, largest_of_class: u32) -> QueuePosition {
    let tier = match job.spec.priority {
        Priority::Production => PriorityTier::Production,
        _ if is_starved_unplaced(now, job) => PriorityTier::Starved,
        Priority::High => PriorityTier::High,
        Priority::Normal => PriorityTier::Normal,
        Priority::Low => PriorityTier::Low,
    };
    let (quota_class, urgency) = if tier == PriorityTier::Starved {
        (QuotaClass::WithinGuarantee, starved_urgency(now, job, largest_of_class))
    } else {
        (quota_class(cluster, job), urgency(cluster, now, job))
    };
    QueuePosition { tier, quota_class, urgency, job: job.index }
}

/// Ranks starved jobs by age, with a bonus for large jobs of their class.
///
/// Without the bonus, the largest job of a class, which is the hardest to place,
/// would start too late when more jobs are starved than there is capacity for.
fn starved_urgency(now: Millis, job: &Job, largest_of_class: u32) -> Urgency {
    let share_of_largest = f64::from(job.spec.tasks) / f64::from(largest_of_class.max(1));
    Urgency { objectives_passed: 0, cost: -job.age_s(now) - LARGEST_JOB_BONUS_S * share_of_largest }
}

fn quota_class(cluster: &ClusterState, job: &Job) -> QuotaClass {
    if job.within_guarantee {
        QuotaClass::WithinGuarantee
    } else if cluster.is_best_effort(job.spec.team) {
        QuotaClass::BestEffort
    } else {
        QuotaClass::AboveGuarantee
    }
}

/// Ranks the jobs of a tier and quota class. A job that can still meet its first
/// objective comes before those that have missed theirs, and a job with less work
/// before one with more, so that as many as possible are in time when there is too
/// little capacity for all. Jobs that can meet no objective are ordered by age, the
/// oldest first.
fn urgency(cluster: &ClusterState, now: Millis, job: &Job) -> Urgency {
    let age_s = job.age_s(now);
    let run_s = cluster.expected_run_s(&job.spec);
    let fetch_s = (job.spec.image_gb / ASSUMED_FETCH_GB_PER_S).min(ASSUMED_FETCH_MAX_S);
    let optimistic_end_s = age_s + OPTIMISTIC_RUN_SHARE * run_s + fetch_s.min(OPTIMISTIC_FETCH_MAX_S);
    for (position, objective) in objectives_of(cluster, job).enumerate() {
        let reached_s = match objective.milestone {
            Milestone::Start if job.wait.ever_assigned => continue,
            Milestone::Start => age_s,
            Milestone::End => optimistic_end_s,
        };
        if reached_s <= objective.within_s {
            let cpus = (job.spec.cpus + CPUS_PER_GPU * job.spec.gpus).max(TASK_CPUS_MIN);
            let work = job.tasks.pending.len() as f64 * run_s * cpus;
            return Urgency { objectives_passed: position as u32, cost: work };
        }
    }
    Urgency { objectives_passed: u32::MAX, cost: -age_s }
}

/// Returns the job's own deadline and extended deadline, then the objectives of its
/// class.
fn objectives_of<'a>(cluster: &'a ClusterState, job: &'a Job) -> impl Iterator<Item = Objective> + 'a {
    let deadlines = [job.spec.deadline_s, job.spec.extended_deadline_s].into_iter().flatten();
    let own = deadlines.map(|within_s| Objective { milestone: Milestone::End, within_s });
    let of_class = cluster.config().objectives.iter().filter(|objective| objective.class == job.spec.class);
    own.chain(of_class.map(|objective| Objective {
        milestone: if objective.applies_to_start { Milestone::Start } else { Milestone::End },
        within_s: objective.within_s,
    }))
}

/// Reports whether the job has tasks that may be assigned now.
fn is_ready(now: Millis, job: &Job) -> bool {
    let has_pending_tasks = job.status == JobStatus::Pending && !job.tasks.pending.is_empty();
    let is_blocked = now < job.wait.not_before || job.records.stale || job.records.resharding;
    // A gang starts again only after all tasks of its previous attempt have exited.
    let is_partly_placed_gang = job.spec.kind == JobKind::Gang && job.tasks.placed > 0;
    has_pending_tasks && !is_blocked && !is_partly_placed_gang
}

/// Reports whether the job is starved: it has reached the starvation age, and none of
/// its tasks has run long enough for the job to count as started.
///
/// Faulty jobs are excluded: a job that fails on every machine would otherwise go
/// before all other jobs for as long as it is unfinished.
pub fn is_starved(now: Millis, job: &Job) -> bool {
    !job.wait.has_effective_start && job.age_s(now) >= STARVATION_AGE_S && !job.failures.is_job_faulty()
}

/// Reports whether the job is starved and none of its tasks is assigned.
pub fn is_starved_unplaced(now: Millis, job: &Job) -> bool {
    job.tasks.placed == 0 && is_starved(now, job)
}
