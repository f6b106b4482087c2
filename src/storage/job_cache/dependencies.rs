//! What ties one unfinished job to others, and the urgency that it inherits.

use super::index::JobIndex;
use crate::protocol::jobs::{JobSpec, Priority};

/// What ties an unfinished job to others; most jobs have none.
#[derive(Debug, Clone)]
pub(super) struct Dependencies {
    /// Prerequisites that are known and were unfinished when they were linked.
    pub prereqs: Vec<JobIndex>,
    pub dependents: Vec<JobIndex>,
    /// Prerequisites without a `done` record, unseen ones included.
    pub unfinished: u32,
    /// Time of day at which the last of them ended, as far as is known.
    pub ready_ms: u64,
    pub urgency: Urgency,
    /// Waits in the queue of `JobCache::propagate_urgency`.
    pub is_queued: bool,
}

/// What a job and all that need it ask of the scheduler. Times are times of
/// day, infinite if there is no deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Urgency {
    pub priority: Priority,
    pub due_ms: f64,
    pub overdue_ms: f64,
}

impl Urgency {
    fn of(accepted_ms: u64, spec: Option<&JobSpec>) -> Urgency {
        let time_of_day =
            |after_s: Option<f64>| after_s.map_or(f64::INFINITY, |seconds| accepted_ms as f64 + seconds * 1000.0);
        Urgency {
            priority: spec.map_or(Priority::Low, |spec| spec.priority),
            due_ms: time_of_day(spec.and_then(|spec| spec.deadline_s)),
            overdue_ms: time_of_day(spec.and_then(|spec| spec.extended_deadline_s)),
        }
    }

    /// The urgency of a prerequisite of a job that runs for this long.
    pub fn of_prerequisite(self, run_ms: f64) -> Urgency {
        Urgency { due_ms: (self.due_ms - run_ms).max(0.0), overdue_ms: (self.overdue_ms - run_ms).max(0.0), ..self }
    }

    /// Raises to at least `other`; false if it was as urgent already.
    pub fn raise(&mut self, other: Urgency) -> bool {
        let before = *self;
        self.priority = self.priority.max(other.priority);
        self.due_ms = self.due_ms.min(other.due_ms);
        self.overdue_ms = self.overdue_ms.min(other.overdue_ms);
        *self != before
    }
}

impl Dependencies {
    pub fn new(accepted_ms: u64, spec: Option<&JobSpec>) -> Dependencies {
        Dependencies {
            prereqs: Vec::new(),
            dependents: Vec::new(),
            unfinished: 0,
            ready_ms: accepted_ms,
            urgency: Urgency::of(accepted_ms, spec),
            is_queued: false,
        }
    }
}
