//! Selects the jobs whose progress is included in the next message to the other
//! controllers.

use std::collections::HashSet;

use super::job_table::JobTable;
use crate::{
    coordination::model::{Job, JobProgress},
    protocol::peers::TaskCounts,
    storage::job_cache::JobIndex,
};

/// Maximum number of jobs per message whose unchanged progress is repeated. The
/// response to a user may be out of date by some seconds; with a message every 0.4 s,
/// the progress of some hundred jobs is repeated within those seconds.
const MAX_REPEATED_COUNTS: usize = 60;

/// Selects the jobs whose progress is included in the next message.
#[derive(Debug, Default)]
pub(super) struct ProgressFeed {
    /// Jobs whose progress changed since it was last published.
    changed: HashSet<JobIndex>,
    /// Position among the active jobs from which progress is repeated next.
    next_repeated: usize,
}

impl ProgressFeed {
    /// Records that a job's progress may have changed.
    pub fn mark_changed(&mut self, job: JobIndex) {
        self.changed.insert(job);
    }

    /// Returns the progress of at most `max` jobs: first of those whose progress
    /// changed since it was last published, then of some jobs that have started, whose
    /// progress is repeated. Without the repetition, a controller that missed the first
    /// message, or did not know the job at that time, would continue to report a running
    /// job as pending.
    pub fn take(&mut self, max: usize, jobs: &mut JobTable) -> Vec<TaskCounts> {
        let mut counts = self.changed_counts(max, jobs);
        let repeated = self.repeated_counts(MAX_REPEATED_COUNTS.min(max - counts.len()), jobs);
        counts.extend(repeated);
        counts
    }

    fn changed_counts(&mut self, max: usize, jobs: &mut JobTable) -> Vec<TaskCounts> {
        let changed: Vec<JobIndex> = self.changed.iter().copied().take(max).collect();
        let mut counts = Vec::with_capacity(changed.len());
        for index in changed {
            self.changed.remove(&index);
            let Some(job) = jobs.get_mut(index) else { continue };
            let progress = JobProgress { done: job.tasks.done, running: job.tasks.running };
            if job.published != progress {
                job.published = progress;
                counts.push(to_count(job));
            }
        }
        counts
    }

    /// Examines the next active jobs, at most `max`, in round-robin order, and returns
    /// the progress of those that have started.
    fn repeated_counts(&mut self, max: usize, jobs: &JobTable) -> Vec<TaskCounts> {
        let active = jobs.indices();
        let examined_count = max.min(active.len());
        let from = self.next_repeated;
        self.next_repeated = from.wrapping_add(examined_count);
        let examined = (0..examined_count).filter_map(|n| jobs.get(active[from.wrapping_add(n) % active.len()]));
        examined.filter(|job| job.tasks.done + job.tasks.running > 0).map(to_count).collect()
    }
}

fn to_count(job: &Job) -> TaskCounts {
    TaskCounts { job: job.id.to_string(), done: job.tasks.done, running: job.tasks.running }
}
