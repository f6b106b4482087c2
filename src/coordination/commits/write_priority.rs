//! The order in which the records of jobs are written.

use crate::{
    coordination::model::{Job, Millis},
    protocol::jobs::Priority,
    storage::records::JobStatus,
};

/// Time, in ms, that exits of tasks wait for further exits to be written with them.
const EXIT_BATCH_DELAY_MS: Millis = 8_000;
/// The same delay, in ms, while there is spare request budget.
const EXIT_BATCH_DELAY_SPARE_BUDGET_MS: Millis = 1_500;

/// Urgency of writing a job's records, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// All tasks of the job completed.
    CompletedJob,
    /// Unwritten assignments of a production-priority job delay the launch of its tasks.
    ProductionPlacement,
    /// Unwritten assignments of a high-priority job delay the launch of its tasks.
    HighPlacement,
    /// Unwritten assignments of a normal-priority job delay the launch of its tasks.
    NormalPlacement,
    /// Unwritten assignments of a low-priority job delay the launch of its tasks.
    LowPlacement,
    /// Only exits of tasks are unwritten.
    Exits,
}

impl WritePriority {
    /// Returns the urgency of writing a job's records; None: nothing is due. Exits are
    /// delayed so that several are written together: only the reaping of exited tasks
    /// depends on their records, and a later leader learns of the exits from the workers.
    pub fn of(job: &Job, now: Millis, has_spare_budget: bool) -> Option<WritePriority> {
        if job.records.stale || job.records.resharding {
            return None;
        }
        if job.status != JobStatus::Pending {
            return None; // its records are deleted once none of its tasks remains
        }
        if job.all_done() {
            return Some(WritePriority::CompletedJob);
        }
        if job.has_unwritten_placement() {
            return Some(WritePriority::of_placement(job.spec.priority));
        }
        let waited_ms = now.saturating_sub(job.records.unwritten_since?);
        let delay_ms = if has_spare_budget { EXIT_BATCH_DELAY_SPARE_BUDGET_MS } else { EXIT_BATCH_DELAY_MS };
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
