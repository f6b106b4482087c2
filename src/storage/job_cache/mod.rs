//! Each controller's copy of all jobs' records, kept current by `/changes`.
//!
//! Two rules hold whatever the order in which records arrive: a job that was
//! seen as done or cancelled keeps that status, and a job that needs a cancelled
//! one is cancelled. `links` derives the latter.

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
    store::{Changes, Page},
};

/// What is known of one job.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// The id that its user chose.
    pub id: Rc<str>,
    /// Status, derived cancellations included.
    pub status: JobStatus,
    /// Revision of its record.
    pub revision: Revision,
    /// Time of day at acceptance; once it is done, at its end, if that is known.
    pub at_ms: u64,
    /// Tasks per chunk record.
    pub chunk: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// The validated job; dropped once it is done.
    pub spec: Option<Rc<JobSpec>>,
    /// The record; dropped once the job is over.
    pub record: Option<Rc<JobRecord>>,
    /// Tasks that are done, as the leader last said; for display.
    pub done: u32,
    /// Tasks that run, as the leader last said; for display.
    pub running: u32,
    dependencies: Option<Box<Dependencies>>,
    is_listed_as_changed: bool,
}

impl JobEntry {
    /// A job of which only the record's constants are known.
    fn new(id: Rc<str>, record: &JobRecord) -> JobEntry {
        JobEntry {
            id,
            status: JobStatus::Pending,
            revision: Revision::ABSENT,
            at_ms: record.at_ms,
            chunk: record.chunk.max(1),
            tasks: record.submission.tasks.unwrap_or(1.0) as u32,
            spec: None,
            record: None,
            done: 0,
            running: 0,
            dependencies: None,
            is_listed_as_changed: false,
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
    /// Jobs whose record changed since they were last taken.
    changed: Vec<JobIndex>,
    /// Prerequisites whose record was not seen yet, and the jobs that name them.
    unseen_prereqs: HashMap<Rc<str>, Vec<JobIndex>>,
}

impl JobCache {
    /// Whether all records were read, so that an unknown id means something.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// The revision from which changes have to be read.
    pub fn store_revision(&self) -> Revision {
        self.store_revision
    }

    /// Looks a job up by its id.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.index.get(id).copied()
    }

    /// The entry of a known job.
    pub fn get(&self, index: JobIndex) -> &JobEntry {
        &self.jobs[index.as_usize()]
    }

    /// Number of known jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// All known jobs.
    pub fn all(&self) -> impl Iterator<Item = JobIndex> {
        (0..self.jobs.len() as u32).map(JobIndex)
    }

    /// Jobs that changed since the last call, each once.
    pub fn take_changed(&mut self) -> Vec<JobIndex> {
        let changed = std::mem::take(&mut self.changed);
        for index in &changed {
            self.jobs[index.as_usize()].is_listed_as_changed = false;
        }
        changed
    }

    /// Whether the job is a service, as far as its specification is known.
    pub fn is_service(&self, index: JobIndex) -> bool {
        self.get(index).spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Service)
    }

    fn is_pending(&self, index: JobIndex) -> bool {
        self.get(index).status == JobStatus::Pending
    }

    fn note_changed(&mut self, index: JobIndex) {
        let entry = &mut self.jobs[index.as_usize()];
        if !std::mem::replace(&mut entry.is_listed_as_changed, true) {
            self.changed.push(index);
        }
    }

    /// Takes the leader's task counts, for display.
    pub fn set_progress(&mut self, id: &str, done: u32, running: u32) {
        if let Some(index) = self.find(id) {
            let entry = &mut self.jobs[index.as_usize()];
            entry.done = done.min(entry.tasks);
            entry.running = running.min(entry.tasks);
        }
    }

    /// Takes one page of the first read. Changes are watched from the first
    /// page's revision on: what later pages show besides is applied twice,
    /// which does no harm.
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

    /// Takes the answer to a read of changes.
    pub fn apply_changes(&mut self, changes: &Changes, interners: &mut Interners) {
        for change in &changes.events {
            if let (Some(key), Some(value)) = (&change.write, &change.value) {
                self.apply_record(key, value, change.revision, interners);
            }
        }
        // Two reads may be in flight; the older answer must not lower the revision.
        self.store_revision = self.store_revision.max(changes.store_revision);
    }

    /// Another controller told a user that a job is cancelled: its record has
    /// this revision, whether it was read here yet or not.
    pub fn apply_peer_cancellation(&mut self, id: &str, revision: Revision, interners: &mut Interners) {
        let Some(entry) = self.find(id).map(|index| &self.jobs[index.as_usize()]) else { return };
        let Some(record) = entry.record.clone().filter(|_| entry.status == JobStatus::Pending) else { return };
        let record = JobRecord { status: JobStatus::Cancelled, ..(*record).clone() };
        self.apply_record(&job_key(id), &to_value(&record), revision, interners);
    }

    /// The changes asked for are no longer kept: everything must be read again.
    pub fn require_reload(&mut self) {
        self.loaded = false;
    }

    /// Takes one record; keys that are no job's and older revisions are ignored.
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
        self.note_changed(index);
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
        // Guard: done and cancelled are final, so no later record turns them
        // back; nor does a pending record of a job that needs a cancelled one.
        if entry.status == JobStatus::Pending {
            entry.status = record.status;
        }
        entry.revision = revision;
        // A leader may have resharded its tasks.
        entry.chunk = record.chunk.max(1);
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
            // The leader needs the specification while tasks are being stopped.
            JobStatus::Cancelled => {
                entry.record = None;
                entry.running = 0;
            }
            JobStatus::Done => {
                entry.spec = None;
                entry.record = None;
                entry.done = entry.tasks;
                entry.running = 0;
                entry.at_ms = record.at_ms;
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/job_cache.rs"]
mod tests;
