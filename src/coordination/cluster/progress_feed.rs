//! Selects the jobs whose progress is included in the next message to the other
//! controllers.

use std::collections::HashSet;

use super::job_table::JobTable;
use crate::{
    coordination::model::Job,
    protocol::peers::TaskCounts,
    storage::job_cache::{JobIndex, JobProgress},
};

/// Returns the progress of a job that this controller reported last; `None`: it reported
/// none.
pub(super) type LastReported<'a> = dyn Fn(JobIndex) -> Option<JobProgress> + 'a;

/// Maximum number of messages in which a round is completed; a round publishes the progress
/// of every active job once. The response to a user may be out of date by 3 s; with a message
/// every 0.4 s, at most 2 s pass before the progress of a job is published again.
const MESSAGES_PER_ROUND: usize = 3;

/// Selects the jobs whose progress is included in the next message.
///
/// The progress of every active job is repeated, whether or not it changed and whether or
/// not the job has started. A controller that missed a message, or did not know the job when
/// it was published, or received it from an earlier leader, has the current progress after
/// at most two rounds.
#[derive(Debug, Default)]
pub(super) struct ProgressFeed {
    /// Jobs whose progress changed since it was last published.
    changed: HashSet<JobIndex>,
    /// Number of active jobs that are still to be published in this round: the first ones
    /// of the list of active jobs. The last of them is published next, so that no job is
    /// passed over when jobs before it are removed from the list.
    left_in_round: usize,
    /// Number of jobs that each message of this round publishes.
    jobs_per_message: usize,
}

impl ProgressFeed {
    /// Records that a job's progress may have changed.
    pub fn mark_changed(&mut self, job: JobIndex) {
        self.changed.insert(job);
    }

    /// Returns the progress of at most `max` jobs: those whose turn it is in the round, and
    /// those whose progress changed since it was last published. The jobs of the round come
    /// first, so that even a large number of changes doesn't delay them.
    pub fn take(&mut self, max: usize, jobs: &mut JobTable, last_reported: &LastReported) -> Vec<TaskCounts> {
        let mut counts = self.counts_of_round(max, jobs, last_reported);
        let changed = self.changed_counts(max - counts.len(), jobs, last_reported);
        counts.extend(changed);
        counts
    }

    /// Returns the progress of the next jobs of the round, at most `max`.
    fn counts_of_round(&mut self, max: usize, jobs: &mut JobTable, last_reported: &LastReported) -> Vec<TaskCounts> {
        let active_count = jobs.indices().len();
        self.left_in_round = self.left_in_round.min(active_count);
        if self.left_in_round == 0 {
            self.left_in_round = active_count;
            self.jobs_per_message = active_count.div_ceil(MESSAGES_PER_ROUND);
        }
        let end = self.left_in_round;
        let start = end - self.jobs_per_message.min(max).min(end);
        self.left_in_round = start;
        let published: Vec<JobIndex> = jobs.indices()[start..end].to_vec();
        published.into_iter().filter_map(|index| Some(self.publish(jobs.get_mut(index)?, last_reported))).collect()
    }

    fn changed_counts(&mut self, max: usize, jobs: &mut JobTable, last_reported: &LastReported) -> Vec<TaskCounts> {
        let changed: Vec<JobIndex> = self.changed.iter().copied().take(max).collect();
        let mut counts = Vec::with_capacity(changed.len());
        for index in changed {
            self.changed.remove(&index);
            let Some(job) = jobs.get_mut(index) else { continue };
            if job.published != current_progress(job, last_reported) {
                counts.push(self.publish(job, last_reported));
            }
        }
        counts
    }

    /// Records that a job's progress is published now, and returns it.
    fn publish(&mut self, job: &mut Job, last_reported: &LastReported) -> TaskCounts {
        self.changed.remove(&job.index);
        let JobProgress { done, running } = current_progress(job, last_reported);
        job.published = JobProgress { done, running };
        TaskCounts { job: job.id.to_string(), done, running }
    }
}

fn current_progress(job: &Job, last_reported: &LastReported) -> JobProgress {
    job.progress(last_reported(job.index))
}

#[cfg(test)]
#[path = "../tests/progress_feed.rs"]
mod tests;
