//! Which jobs' progress is published next to the other controllers.

use std::collections::HashSet;

use super::job_table::JobTable;
use crate::{
    coordination::model::{Job, JobProgress},
    protocol::peers::Count,
    storage::job_cache::JobIndex,
};

/// Most jobs per message whose unchanged progress is repeated. With a message
/// every 0.4 s, some hundred jobs are through within the seconds by which a
/// user's answer may lag.
const MAX_REPEATED_COUNTS: usize = 60;

/// Chooses the jobs whose progress goes into the next message.
#[derive(Debug, Default)]
pub(super) struct ProgressFeed {
    /// Jobs whose progress changed since it was last published.
    changed: HashSet<JobIndex>,
    /// Position among the active jobs from which progress is repeated next.
    next_repeated: usize,
}

impl ProgressFeed {
    /// A job's progress may have changed.
    pub fn mark_changed(&mut self, job: JobIndex) {
        self.changed.insert(job);
    }

    /// Progress of at most `max` jobs: of those that changed since the last
    /// call, and again of some others that have begun. Guard: a controller that
    /// missed the first message, or didn't know the job then, would go on
    /// calling a running job pending.
    pub fn take(&mut self, max: usize, jobs: &mut JobTable) -> Vec<Count> {
        let mut counts = self.changed_counts(max, jobs);
        let repeated = self.repeated_counts(MAX_REPEATED_COUNTS.min(max - counts.len()), jobs);
        counts.extend(repeated);
        counts
    }

    fn changed_counts(&mut self, max: usize, jobs: &mut JobTable) -> Vec<Count> {
        let changed: Vec<JobIndex> = self.changed.iter().copied().take(max).collect();
        let mut counts = Vec::with_capacity(changed.len());
        for index in changed {
            self.changed.remove(&index);
            let Some(job) = jobs.get_mut(index) else { continue };
            let progress = JobProgress { done: job.tasks.done, running: job.tasks.running };
            if job.published != progress {
                job.published = progress;
                counts.push(count_of(job));
            }
        }
        counts
    }

    /// The next jobs in turn, of all that are active.
    fn repeated_counts(&mut self, max: usize, jobs: &JobTable) -> Vec<Count> {
        let active = jobs.indices();
        let looked_at = max.min(active.len());
        let from = self.next_repeated;
        self.next_repeated = from.wrapping_add(looked_at);
        let next = (0..looked_at).filter_map(|n| jobs.get(active[from.wrapping_add(n) % active.len()]));
        next.filter(|job| job.tasks.done + job.tasks.running > 0).map(count_of).collect()
    }
}

fn count_of(job: &Job) -> Count {
    Count { job: job.id.to_string(), done: job.tasks.done, running: job.tasks.running }
}
