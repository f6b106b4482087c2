//! Local cache of all job records in each controller, kept current by `/changes`.
//!
//! Two rules hold regardless of the order in which records arrive: a job that was
//! seen as done or cancelled keeps that status, and a job with a cancelled
//! prerequisite is cancelled. `links` derives the latter.

mod dependencies;
mod index;
mod links;

use std::{collections::HashMap, rc::Rc};

use ciborium::Value;

use self::dependencies::Dependencies;
pub use self::index::JobIndex;
use super::records::{job_key, to_value, JobRecord, JobStatus, JOB_KEY_PREFIX};
use crate::protocol::{
    ids::Revision,
    jobs::{JobKind, JobSpec, SubmissionSource},
    names::Interners,
    peers::TaskCounts,
    store::{Changes, Page},
};

/// Task counts of a job, as reported to users; for display only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that run now.
    pub running: u32,
}

impl From<&TaskCounts> for JobProgress {
    fn from(counts: &TaskCounts) -> JobProgress {
        JobProgress { done: counts.done, running: counts.running }
    }
}

/// Cached state of one job.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// Id that the user chose.
    pub id: Rc<str>,
    /// Status, including cancellations derived from those of prerequisites.
    pub status: JobStatus,
    /// Revision of the job's record.
    pub revision: Revision,
    /// Wall-clock time, in ms, at which the job was accepted; for a done job, at which
    /// it completed, if its record holds that time.
    pub at_ms: u64,
    /// Tasks per chunk record.
    pub tasks_per_chunk: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Specification of the validated job; dropped once the job is done.
    pub spec: Option<Rc<JobSpec>>,
    /// Record of the job; dropped once the job is done or cancelled.
    pub record: Option<Rc<JobRecord>>,
    /// Progress that a leader last reported; `None`: none did since this process started.
    pub reported_progress: Option<JobProgress>,
    dependencies: Option<Box<Dependencies>>,
    is_listed_as_changed: bool,
}

impl JobEntry {
    /// Creates a pending entry without revision, specification and record; `update` sets
    /// these and the status.
    fn new(id: Rc<str>, record: &JobRecord) -> JobEntry {
        JobEntry {
            id,
            status: JobStatus::Pending,
            revision: Revision::ABSENT,
            at_ms: record.at_ms,
            tasks_per_chunk: record.tasks_per_chunk.max(1),
            tasks: record.submission.tasks.unwrap_or(1.0) as u32,
            spec: None,
            record: None,
            reported_progress: None,
            dependencies: None,
            is_listed_as_changed: false,
        }
    }

    /// Returns the task counts that users are told.
    pub fn progress(&self) -> JobProgress {
        match self.status {
            JobStatus::Pending => self.reported_progress.unwrap_or_default(),
            JobStatus::Done => JobProgress { done: self.tasks, running: 0 },
            JobStatus::Cancelled => JobProgress { running: 0, ..self.reported_progress.unwrap_or_default() },
        }
    }
}

/// All jobs, by id and by dense index.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: Vec<JobEntry>,
    index: HashMap<Rc<str>, JobIndex>,
    store_revision: Revision,
    loaded: bool,
    /// Jobs that changed since the last call of `take_changed`.
    changed: Vec<JobIndex>,
    /// Jobs by the id of a prerequisite whose record was not seen yet.
    unseen_prereqs: HashMap<Rc<str>, Vec<JobIndex>>,
}

impl JobCache {
    /// Reports whether all records were read. Until then, an unknown id does not mean
    /// that there is no such job.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the revision from which changes have to be read.
    pub fn store_revision(&self) -> Revision {
        self.store_revision
    }

    /// Returns the index of the job with this id, if it is known.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.index.get(id).copied()
    }

    /// Returns the entry of a known job.
    pub fn get(&self, index: JobIndex) -> &JobEntry {
        &self.jobs[index.as_usize()]
    }

    /// Returns the number of known jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the indices of all known jobs.
    pub fn all(&self) -> impl Iterator<Item = JobIndex> {
        (0..self.jobs.len() as u32).map(JobIndex)
    }

    /// Returns the jobs that changed since the last call, each once.
    pub fn take_changed(&mut self) -> Vec<JobIndex> {
        let changed = std::mem::take(&mut self.changed);
        for index in &changed {
            self.jobs[index.as_usize()].is_listed_as_changed = false;
        }
        changed
    }

    /// Reports whether the job is a service; false if its specification isn't known.
    pub fn is_service(&self, index: JobIndex) -> bool {
        self.get(index).spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service)
    }

    fn is_pending(&self, index: JobIndex) -> bool {
        self.get(index).status == JobStatus::Pending
    }

    fn mark_changed(&mut self, index: JobIndex) {
        let entry = &mut self.jobs[index.as_usize()];
        if !std::mem::replace(&mut entry.is_listed_as_changed, true) {
            self.changed.push(index);
        }
    }

    /// Sets the progress that the leader reported.
    pub fn set_progress(&mut self, id: &str, progress: JobProgress) {
        if let Some(index) = self.find(id) {
            let entry = &mut self.jobs[index.as_usize()];
            let JobProgress { done, running } = progress;
            entry.reported_progress =
                Some(JobProgress { done: done.min(entry.tasks), running: running.min(entry.tasks) });
        }
    }

    /// Applies one page of the initial listing. Changes are watched from the first
    /// page's revision on, so changes that later pages already contain are applied
    /// twice, which does no harm.
    pub fn apply_page(&mut self, page: &Page, first: bool, interners: &mut Interners) {
        if first {
            self.store_revision = page.store_revision;
        }
        for pair in &page.pairs {
            self.apply_record(&pair.key, &pair.value, pair.revision, interners);
        }
        if !page.truncated {
            self.loaded = true;
        }
    }

    /// Applies the response to a read of changes.
    pub fn apply_changes(&mut self, changes: &Changes, interners: &mut Interners) {
        for change in &changes.events {
            if let (Some(key), Some(value)) = (&change.write, &change.value) {
                self.apply_record(key, value, change.revision, interners);
            }
        }
        // Two reads may be in flight; the older response must not lower the revision.
        self.store_revision = self.store_revision.max(changes.store_revision);
    }

    /// Applies a cancellation that another controller confirmed to a user. `revision` is
    /// that of the cancelled job's record, which may not have been read here yet.
    pub fn apply_peer_cancellation(&mut self, id: &str, revision: Revision, interners: &mut Interners) {
        let Some(entry) = self.find(id).map(|index| &self.jobs[index.as_usize()]) else { return };
        let Some(record) = entry.record.clone().filter(|_| entry.status == JobStatus::Pending) else { return };
        let record = JobRecord { status: JobStatus::Cancelled, ..(*record).clone() };
        self.apply_record(&job_key(id), &to_value(&record), revision, interners);
    }

    /// Marks the cache as not loaded, because the requested changes are no longer kept
    /// and all records must be read again.
    pub fn require_reload(&mut self) {
        self.loaded = false;
    }

    /// Applies one record and returns the job's index. Ignores records of other kinds
    /// than jobs and records that can't be decoded, and returns `None` for them. Also
    /// ignores a record whose revision is not newer than the known one.
    pub fn apply_record(
        &mut self,
        key: &str,
        value: &Value,
        revision: Revision,
        interners: &mut Interners,
    ) -> Option<JobIndex> {
        let id = key.strip_prefix(JOB_KEY_PREFIX)?;
        let known = self.find(id);
        if known.is_some_and(|index| self.get(index).revision >= revision) {
            return known;
        }
        let record: JobRecord = match value.deserialized() {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(job = id, %error, "cannot decode job record");
                return None;
            }
        };
        let index = known.unwrap_or_else(|| self.insert(id, &record));
        let was_pending = self.is_pending(index);
        let prereqs = if known.is_none() { record.submission.prereqs().to_vec() } else { Vec::new() };
        self.update(index, record, revision, interners);
        self.mark_changed(index);
        if known.is_none() {
            self.link(index, prereqs);
        }
        if was_pending {
            match self.get(index).status {
                JobStatus::Pending => {}
                JobStatus::Cancelled => self.cancel_dependents(index),
                JobStatus::Done => self.release_dependents(index),
            }
        }
        Some(index)
    }

    fn insert(&mut self, id: &str, record: &JobRecord) -> JobIndex {
        let index = JobIndex(self.jobs.len() as u32);
        let id: Rc<str> = Rc::from(id);
        self.index.insert(id.clone(), index);
        self.jobs.push(JobEntry::new(id, record));
        index
    }

    fn update(&mut self, index: JobIndex, record: JobRecord, revision: Revision, interners: &mut Interners) {
        let entry = &mut self.jobs[index.as_usize()];
        // Done and cancelled are final: a record that arrives later must not make the
        // job pending again. That includes a job that is cancelled because of a
        // prerequisite: its own record stays pending.
        if entry.status == JobStatus::Pending {
            entry.status = record.status;
        }
        entry.revision = revision;
        // A leader may have resharded the job's tasks.
        entry.tasks_per_chunk = record.tasks_per_chunk.max(1);
        if entry.status != JobStatus::Done && entry.spec.is_none() {
            match record.submission.validate(interners, SubmissionSource::Record) {
                Ok(spec) => entry.spec = Some(Rc::new(spec)),
                Err(error) if entry.status == JobStatus::Pending => {
                    tracing::error!(job = &*entry.id, %error, "invalid job record");
                }
                Err(_) => {}
            }
        }
        match entry.status {
            JobStatus::Pending => entry.record = Some(Rc::new(record)),
            // The specification stays, because the leader needs it while the job's tasks
            // are being stopped.
            JobStatus::Cancelled => {
                entry.record = None;
            }
            JobStatus::Done => {
                entry.spec = None;
                entry.record = None;
                entry.at_ms = record.at_ms;
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/job_cache.rs"]
mod tests;
