//! State shared by the key-value store's records of all jobs. The state of one job's
//! records is part of the job.

use std::collections::{HashSet, VecDeque};

use crate::{protocol::ids::Revision, storage::job_cache::JobIndex};

/// A record to be deleted, as no job needs it any more. It is deleted only if it
/// still has this revision.
#[derive(Debug)]
pub(in crate::coordination) struct ObsoleteRecord {
    pub key: String,
    pub revision: Revision,
}

/// State shared by the records of all jobs.
#[derive(Debug)]
pub(in crate::coordination) struct RecordState {
    /// Maximum size of a value, in bytes, that the key-value store is known to accept.
    value_limit: usize,
    /// Jobs whose chunk records the transaction in flight writes. Its outcome is not
    /// settled yet.
    in_flight: HashSet<JobIndex>,
    /// Records that wait to be deleted.
    obsolete: VecDeque<ObsoleteRecord>,
}

impl RecordState {
    /// Creates a state without a transaction in flight and without obsolete records.
    pub fn new(value_limit: usize) -> RecordState {
        RecordState { value_limit, in_flight: HashSet::new(), obsolete: VecDeque::new() }
    }

    /// Returns the maximum size of a value, in bytes, that the key-value store is
    /// known to accept.
    pub fn value_limit(&self) -> usize {
        self.value_limit
    }

    /// Records that the key-value store accepts values of at most `limit` bytes.
    pub fn set_value_limit(&mut self, limit: usize) {
        self.value_limit = limit;
    }

    /// Records that a transaction in flight writes records of these jobs.
    pub fn set_in_flight(&mut self, jobs: HashSet<JobIndex>) {
        self.in_flight = jobs;
    }

    /// Records that no transaction is in flight any more.
    pub fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Reports whether the transaction in flight writes records of this job.
    pub fn is_in_flight(&self, job: JobIndex) -> bool {
        self.in_flight.contains(&job)
    }

    /// Queues a record for deletion. It is deleted once there is spare write budget.
    pub fn queue_deletion(&mut self, record: ObsoleteRecord) {
        self.obsolete.push_back(record);
    }

    /// Reports whether any record waits to be deleted.
    pub fn has_obsolete(&self) -> bool {
        !self.obsolete.is_empty()
    }

    /// Removes and returns the record to be deleted next.
    pub fn pop_obsolete(&mut self) -> Option<ObsoleteRecord> {
        self.obsolete.pop_front()
    }
}
