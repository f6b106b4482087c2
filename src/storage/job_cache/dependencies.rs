//! Dependencies of one unfinished job, and the urgency that it inherits.

use super::index::JobIndex;
use crate::protocol::jobs::{JobSpec, Priority};

/// Dependencies between an unfinished job and others; most jobs have none.
#[derive(Debug, Clone)]
pub(super) struct Dependencies {
    /// Prerequisites that are known and were unfinished when they were linked.
    pub prereqs: Vec<JobIndex>,
    pub dependents: Vec<JobIndex>,
    /// Number of prerequisites without a `done` record, including those whose record
    /// was not seen yet.
    pub unfinished_prereqs: u32,
    /// Wall-clock time, in ms, of the latest known completion of a prerequisite, or of
    /// the job's acceptance if that is later.
    pub ready_ms: u64,
    pub urgency: Urgency,
    /// Whether the job is in the queue of `JobCache::propagate_urgency`.
    pub is_queued: bool,
}

/// Scheduling urgency of a job, including the urgency inherited from all jobs that
/// depend on it. Times are wall-clock times in ms, infinite if there is no deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Urgency {
    pub priority: Priority,
    pub deadline_ms: f64,
    pub extended_deadline_ms: f64,
}

impl Urgency {
    fn of(accepted_ms: u64, spec: Option<&JobSpec>) -> Urgency {
        let wall_clock_ms =
            |after_s: Option<f64>| after_s.map_or(f64::INFINITY, |seconds| accepted_ms as f64 + seconds * 1000.0);
        Urgency {
            priority: spec.map_or(Priority::Low, |spec| spec.priority),
            deadline_ms: wall_clock_ms(spec.and_then(|spec| spec.deadline_s)),
            extended_deadline_ms: wall_clock_ms(spec.and_then(|spec| spec.extended_deadline_s)),
        }
    }

    /// Returns the urgency that a prerequisite inherits from a job with this urgency
    /// and run time.
    pub fn of_prerequisite(self, run_ms: f64) -> Urgency {
        Urgency {
            deadline_ms: (self.deadline_ms - run_ms).max(0.0),
            extended_deadline_ms: (self.extended_deadline_ms - run_ms).max(0.0),
            ..self
        }
    }

    /// Raises the urgency to at least `other`; returns false if it was at least as
    /// high already.
    pub fn raise(&mut self, other: Urgency) -> bool {
        let before = *self;
        self.priority = self.priority.max(other.priority);
        self.deadline_ms = self.deadline_ms.min(other.deadline_ms);
        self.extended_deadline_ms = self.extended_deadline_ms.min(other.extended_deadline_ms);
        *self != before
    }
}

impl Dependencies {
    pub fn new(accepted_ms: u64, spec: Option<&JobSpec>) -> Dependencies {
        Dependencies {
            prereqs: Vec::new(),
            dependents: Vec::new(),
            unfinished_prereqs: 0,
            ready_ms: accepted_ms,
            urgency: Urgency::of(accepted_ms, spec),
            is_queued: false,
        }
    }
}
