//! The table of jobs that are not over.

use crate::{coordination::model::Job, storage::job_cache::JobIndex};

/// The active jobs: those that are not over, or whose tasks are still somewhere.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    /// By index; `None`: not known, or over and removed.
    entries: Vec<Option<Job>>,
    /// Indices of the jobs, in the order in which they came.
    active: Vec<JobIndex>,
}

impl JobTable {
    /// An active job.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.entries.get(index.as_usize()).and_then(Option::as_ref)
    }

    /// As [`JobTable::get`], to be changed.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.entries.get_mut(index.as_usize()).and_then(Option::as_mut)
    }

    /// Indices of the active jobs, in the order in which they came.
    pub fn indices(&self) -> &[JobIndex] {
        &self.active
    }

    /// The active jobs, in the order in which they came.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|&index| self.get(index))
    }

    /// How many jobs are active.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Adds a job, which is active from now on.
    pub fn insert(&mut self, job: Job) {
        let index = job.index;
        if self.entries.len() <= index.as_usize() {
            self.entries.resize_with(index.as_usize() + 1, || None);
        }
        self.entries[index.as_usize()] = Some(job);
        self.active.push(index);
    }

    /// Removes a job that is over.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.entries.get_mut(index.as_usize())?.take()?;
        self.active.retain(|&active| active != index);
        Some(job)
    }

    /// Changes every active job, in the order in which they came.
    pub fn for_each_mut(&mut self, mut change: impl FnMut(&mut Job)) {
        for &index in &self.active {
            if let Some(job) = self.entries.get_mut(index.as_usize()).and_then(Option::as_mut) {
                change(job);
            }
        }
    }
}
