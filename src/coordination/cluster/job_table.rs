//! The table of active jobs.

use crate::{coordination::model::Job, storage::job_cache::JobIndex};

/// The active jobs: those that are unfinished, or whose tasks still have
/// assignments.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    /// Jobs by index; `None`: the job is unknown, or was finished and removed.
    entries: Vec<Option<Job>>,
    /// Indices of the active jobs, in the order in which they were added.
    active: Vec<JobIndex>,
}

impl JobTable {
    /// Returns an active job.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.entries.get(index.as_usize()).and_then(Option::as_ref)
    }

    /// Returns an active job for modification.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.entries.get_mut(index.as_usize()).and_then(Option::as_mut)
    }

    /// Returns the indices of the active jobs, in the order in which they were added.
    pub fn indices(&self) -> &[JobIndex] {
        &self.active
    }

    /// Returns the active jobs in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|&index| self.get(index))
    }

    /// Returns the number of active jobs.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Adds an active job.
    pub fn insert(&mut self, job: Job) {
        let index = job.index;
        if self.entries.len() <= index.as_usize() {
            self.entries.resize_with(index.as_usize() + 1, || None);
        }
        self.entries[index.as_usize()] = Some(job);
        self.active.push(index);
    }

    /// Removes and returns a finished job.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.entries.get_mut(index.as_usize())?.take()?;
        self.active.retain(|&active| active != index);
        Some(job)
    }

    /// Applies `change` to every active job, in the order in which they were added.
    pub fn for_each_mut(&mut self, mut change: impl FnMut(&mut Job)) {
        for &index in &self.active {
            if let Some(job) = self.entries.get_mut(index.as_usize()).and_then(Option::as_mut) {
                change(job);
            }
        }
    }
}
