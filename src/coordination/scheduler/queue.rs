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

/// Users are promised that a job starts within four minutes: a job that has
/// waited this long without a start goes before all but services.
const OVERDUE_S: f64 = 150.0;
/// Among overdue jobs, the largest of a class goes as if it had waited this
/// much longer.
const LARGEST_JOB_BONUS_S: f64 = 60.0;
/// A job is given up for an objective only when it would miss it even if its run
/// took just this share of the estimate: estimates are often twice too high.
const OPTIMISTIC_RUN_SHARE: f64 = 0.4;
/// Image fetch rate assumed before a machine is chosen, in GB per second.
const ASSUMED_FETCH_GB_PER_S: f64 = 0.5;
/// Longest image fetch assumed before a machine is chosen, in seconds.
const ASSUMED_FETCH_MAX_S: f64 = 30.0;
/// Most of the fetch that counts against an objective: often the image is cached.
const OPTIMISTIC_FETCH_MAX_S: f64 = 5.0;
/// A GPU counts as this many CPUs in the amount of a job's work.
const CPUS_PER_GPU: f64 = 8.0;
/// Least CPUs that a task counts as.
const CPUS_MIN: f64 = 0.1;

/// Jobs of an earlier tier go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PriorityTier {
    Production,
    Overdue,
    High,
    Normal,
    Low,
}

/// How a job relates to its team's guaranteed quota; within a tier, the earlier
/// goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum QuotaClass {
    WithinGuarantee,
    AboveGuarantee,
    /// Nothing is guaranteed to its team: it gets what the others leave.
    BestEffort,
}

/// A job's place among those of its tier and quota class: the smaller goes first.
#[derive(Debug, Clone, Copy)]
struct Urgency {
    /// Objectives that it has missed already.
    missed_objectives: u32,
    /// Its work in CPU seconds or, negated, its age in seconds.
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
            .then(self.urgency.missed_objectives.cmp(&other.urgency.missed_objectives))
            .then(self.urgency.cost.total_cmp(&other.urgency.cost))
            .then(self.job.cmp(&other.job))
    }
}

/// What an objective is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Milestone {
    Start,
    End,
}

/// A milestone that a job should reach within some seconds.
#[derive(Clone, Copy)]
struct Objective {
    milestone: Milestone,
    within_s: f64,
}

/// The jobs that may be placed now, in the order in which they are tried:
/// services first; then jobs that are overdue, the oldest first; then by
/// priority, work within its team's guarantee before other work.
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

/// The task count of the largest unfinished job of each class.
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
        _ if is_overdue_unplaced(now, job) => PriorityTier::Overdue,
        Priority::High => PriorityTier::High,
        Priority::Normal => PriorityTier::Normal,
        Priority::Low => PriorityTier::Low,
    };
    let (quota_class, urgency) = if tier == PriorityTier::Overdue {
        (QuotaClass::WithinGuarantee, overdue_urgency(now, job, largest_of_class))
    } else {
        (quota_class(cluster, job), urgency(cluster, now, job))
    };
    QueuePosition { tier, quota_class, urgency, job: job.index }
}

/// Overdue jobs go by age.
///
/// Guard: when more is overdue than there is capacity for, the largest job of a
/// class, the hardest to place, would come too late.
fn overdue_urgency(now: Millis, job: &Job, largest_of_class: u32) -> Urgency {
    let share_of_largest = f64::from(job.spec.tasks) / f64::from(largest_of_class.max(1));
    Urgency { missed_objectives: 0, cost: -job.age_s(now) - LARGEST_JOB_BONUS_S * share_of_largest }
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

/// Among equals, jobs whose objective can still be met come before those that
/// have missed it, and small ones before large ones: so most are in time when
/// there is too little for all. Jobs that missed every objective go by age.
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
            let cpus = (job.spec.cpus + CPUS_PER_GPU * job.spec.gpus).max(CPUS_MIN);
            let work = job.tasks.pending.len() as f64 * run_s * cpus;
            return Urgency { missed_objectives: position as u32, cost: work };
        }
    }
    Urgency { missed_objectives: u32::MAX, cost: -age_s }
}

/// The job's own deadlines, then the objectives of its class.
fn objectives_of<'a>(cluster: &'a ClusterState, job: &'a Job) -> impl Iterator<Item = Objective> + 'a {
    let deadlines = [job.spec.deadline_s, job.spec.overdue_s].into_iter().flatten();
    let own = deadlines.map(|within_s| Objective { milestone: Milestone::End, within_s });
    let of_class = cluster.config().objectives.iter().filter(|objective| objective.class == job.spec.class);
    own.chain(of_class.map(|objective| Objective {
        milestone: if objective.start { Milestone::Start } else { Milestone::End },
        within_s: objective.within_s,
    }))
}

/// Whether the job has tasks that may be assigned now.
fn is_ready(now: Millis, job: &Job) -> bool {
    let has_work = job.status == JobStatus::Pending && !job.tasks.pending.is_empty();
    let is_held_back = now < job.wait.not_before || job.records.stale || job.records.resharding;
    // A gang starts again only once all tasks of its old attempt are gone.
    let is_partly_placed_gang = job.spec.kind == JobKind::Gang && job.tasks.placed > 0;
    has_work && !is_held_back && !is_partly_placed_gang
}

/// Whether nothing of the job has run long enough to count as a start, and by
/// now it should have.
///
/// Guard: a job that fails everywhere would go before all others for as long as
/// it is wanted.
pub fn is_overdue(now: Millis, job: &Job) -> bool {
    !job.wait.has_effective_start && job.age_s(now) >= OVERDUE_S && !job.failures.is_job_faulty()
}

/// Whether the job is overdue and none of its tasks is even assigned.
pub fn is_overdue_unplaced(now: Millis, job: &Job) -> bool {
    job.tasks.placed == 0 && is_overdue(now, job)
}
