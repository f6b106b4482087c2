//! The order in which a scheduling cycle tries the waiting jobs.

use std::{cmp::Ordering, collections::HashMap};

use crate::{
    coordination::{
        leader::Leader,
        model::{Job, Millis},
    },
    protocol::{
        jobs::{Kind, Priority},
        names::ClassIndex,
    },
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// Users are promised that a job begins within four minutes: what has waited
/// this long without a start goes before all but services.
const OVERDUE_S: f64 = 150.0;
/// Among overdue jobs, the largest of a class goes as if it had waited this
/// much longer.
const LARGEST_BONUS_S: f64 = 60.0;
/// A job is given up for an aim only when it would miss it even if its run took
/// just this share of the estimate: estimates are often twice too high.
const HOPED_RUN_SHARE: f64 = 0.4;
/// Fetch rate and longest fetch assumed before a machine is chosen.
const ASSUMED_FETCH_GB_PER_S: f64 = 0.5;
const ASSUMED_FETCH_MAX_S: f64 = 30.0;
/// Most of the fetch that counts against an aim: often the image is there.
const HOPED_FETCH_MAX_S: f64 = 5.0;
/// A GPU counts as this many CPUs in the amount of a job's work.
const CPUS_PER_GPU: f64 = 8.0;
/// Least CPUs that a task counts as.
const CPUS_MIN: f64 = 0.1;

/// Jobs of an earlier tier go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Production,
    Overdue,
    High,
    Normal,
    Low,
}

/// How a job stands to its team's guarantee; within a tier, the earlier goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Guaranteed,
    Beyond,
    /// Nothing is guaranteed to its team: it gets what the others leave.
    BestEffort,
}

/// A job's position among those of its tier: the smaller goes first.
#[derive(Debug, Clone, Copy)]
struct Turn {
    /// Aims that it has missed already.
    missed_targets: u32,
    /// Its work, or, negated, its age.
    cost: f64,
}

/// A job's position in the order of a scheduling cycle.
struct Rank {
    tier: Tier,
    standing: Standing,
    turn: Turn,
    job: JobIndex,
}

impl Rank {
    fn compare(&self, other: &Rank) -> Ordering {
        self.tier
            .cmp(&other.tier)
            .then(self.standing.cmp(&other.standing))
            .then(self.turn.missed_targets.cmp(&other.turn.missed_targets))
            .then(self.turn.cost.total_cmp(&other.turn.cost))
            .then(self.job.cmp(&other.job))
    }
}

/// An end or a start that a job should reach within some seconds.
#[derive(Clone, Copy)]
struct TimeTarget {
    is_start: bool,
    within_s: f64,
}

impl Leader {
    /// Services first; then what has waited so long without a start that its
    /// beginning is overdue, the oldest first; then by priority, work within its
    /// team's guarantee before other work.
    pub fn scheduling_order(&self, now: Millis) -> Vec<JobIndex> {
        let largest = self.largest_by_class();
        let mut ranks: Vec<Rank> = self
            .cluster
            .active_jobs()
            .filter(|job| is_ready(now, job))
            .map(|job| self.rank(now, job, largest.get(&job.spec.class).copied().unwrap_or(0)))
            .collect();
        ranks.sort_by(Rank::compare);
        ranks.into_iter().map(|rank| rank.job).collect()
    }

    /// The task count of the largest unfinished job of each class.
    fn largest_by_class(&self) -> HashMap<ClassIndex, u32> {
        let mut largest: HashMap<ClassIndex, u32> = HashMap::new();
        for job in self.cluster.active_jobs() {
            let tasks = largest.entry(job.spec.class).or_default();
            *tasks = (*tasks).max(job.spec.tasks);
        }
        largest
    }

    fn rank(&self, now: Millis, job: &Job, largest_of_class: u32) -> Rank {
        let tier = match job.spec.priority {
            Priority::Production => Tier::Production,
            _ if is_overdue_unplaced(now, job) => Tier::Overdue,
            Priority::High => Tier::High,
            Priority::Normal => Tier::Normal,
            Priority::Low => Tier::Low,
        };
        if tier != Tier::Overdue {
            return Rank { tier, standing: self.standing(job), turn: self.turn(now, job), job: job.index };
        }
        // Guard: when more is overdue than there is room for, the largest of a
        // class, hardest to find room for, would come too late.
        let share_of_largest = f64::from(job.spec.tasks) / f64::from(largest_of_class.max(1));
        let cost = -job.age_s(now) - LARGEST_BONUS_S * share_of_largest;
        Rank { tier, standing: Standing::Guaranteed, turn: Turn { missed_targets: 0, cost }, job: job.index }
    }

    fn standing(&self, job: &Job) -> Standing {
        if job.within_guarantee {
            Standing::Guaranteed
        } else if self.cluster.is_best_effort(job.spec.team) {
            Standing::BestEffort
        } else {
            Standing::Beyond
        }
    }

    /// Among equals, jobs whose aim can still be met come before those that have
    /// missed it, and small ones before large ones: so most are in time when
    /// there is too little for all. What missed every aim goes by age.
    fn turn(&self, now: Millis, job: &Job) -> Turn {
        let age_s = job.age_s(now);
        let run_s = self.cluster.run_times.expected_s(&job.spec);
        let fetch_s = (job.spec.image_gb / ASSUMED_FETCH_GB_PER_S).min(ASSUMED_FETCH_MAX_S);
        let hoped_end_s = age_s + HOPED_RUN_SHARE * run_s + fetch_s.min(HOPED_FETCH_MAX_S);
        for (position, aim) in self.targets_of(job).enumerate() {
            if aim.is_start && job.wait.ever_assigned {
                continue;
            }
            let reached_s = if aim.is_start { age_s } else { hoped_end_s };
            if reached_s <= aim.within_s {
                let cpus = (job.spec.cpus + CPUS_PER_GPU * job.spec.gpus).max(CPUS_MIN);
                let work = job.tasks.pending.len() as f64 * run_s * cpus;
                return Turn { missed_targets: position as u32, cost: work };
            }
        }
        Turn { missed_targets: u32::MAX, cost: -age_s }
    }

    /// The job's own deadlines, then what users expect of its class.
    fn targets_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = TimeTarget> + 'a {
        let deadlines = [job.spec.deadline_s, job.spec.overdue_s].into_iter().flatten();
        let own = deadlines.map(|within_s| TimeTarget { is_start: false, within_s });
        let objectives = self.cluster.config.objectives.iter().filter(|objective| objective.class == job.spec.class);
        own.chain(objectives.map(|objective| TimeTarget { is_start: objective.start, within_s: objective.within_s }))
    }
}

/// Whether the job has tasks that may be assigned now.
fn is_ready(now: Millis, job: &Job) -> bool {
    let has_work = job.status == JobStatus::Pending && !job.tasks.pending.is_empty();
    let is_held_back = now < job.wait.not_before || job.records.stale || job.records.resharding;
    // A gang starts again only once all of its old attempt is gone.
    let is_partly_placed_gang = job.spec.kind == Kind::Gang && job.tasks.placed > 0;
    has_work && !is_held_back && !is_partly_placed_gang
}

/// Nothing of it has started for good, and by now it should have. Guard: a job
/// that fails everywhere would go before all others for as long as it is wanted.
pub fn is_overdue(now: Millis, job: &Job) -> bool {
    !job.wait.has_counted_start && job.age_s(now) >= OVERDUE_S && !job.failures.job_is_at_fault()
}

/// It is overdue and none of its tasks is even assigned.
pub fn is_overdue_unplaced(now: Millis, job: &Job) -> bool {
    job.tasks.placed == 0 && is_overdue(now, job)
}
