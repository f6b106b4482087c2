//! Which job's records are written first.

use crate::{
    coordination::model::{Job, Millis},
    protocol::jobs::Priority,
    storage::records::JobStatus,
};

/// Exits of tasks wait this long for others to be written with them.
const EXITS_DELAY_MS: Millis = 8_000;
/// The same when there is budget to spare.
const EXITS_DELAY_SPARE_MS: Millis = 1_500;

/// How urgently a job's records are to be written, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// All tasks of the job completed.
    CompletedJob,
    /// Launches of a production job wait for their records.
    ProductionPlacement,
    /// The same of a job of high priority.
    HighPlacement,
    /// The same of a job of normal priority.
    NormalPlacement,
    /// The same of a job of low priority.
    LowPlacement,
    /// Only exits of tasks are unwritten.
    Exits,
}

impl WritePriority {
    /// How urgently a job's records are to be written, if at all. Exits wait for
    /// one another: nothing but the reaping of exited tasks depends on them, and
    /// a later leader learns them from the workers.
    pub fn of(job: &Job, now: Millis, has_spare_budget: bool) -> Option<WritePriority> {
        if job.records.stale || job.records.resharding {
            return None;
        }
        if job.status != JobStatus::Pending {
            return None; // its records are deleted once none of its tasks is left
        }
        if job.all_done() {
            return Some(WritePriority::CompletedJob);
        }
        if job.has_unwritten_placement() {
            return Some(WritePriority::of_placement(job.spec.priority));
        }
        let waited_ms = now.saturating_sub(job.records.unwritten_since?);
        let delay_ms = if has_spare_budget { EXITS_DELAY_SPARE_MS } else { EXITS_DELAY_MS };
        (waited_ms >= delay_ms).then_some(WritePriority::Exits)
    }

    fn of_placement(priority: Priority) -> WritePriority {
        match priority {
            Priority::Production => WritePriority::ProductionPlacement,
            Priority::High => WritePriority::HighPlacement,
            Priority::Normal => WritePriority::NormalPlacement,
            Priority::Low => WritePriority::LowPlacement,
        }
    }
}
