//! What is known of the records in the key-value store, besides what each job keeps.

use std::collections::{HashSet, VecDeque};

use crate::{protocol::ids::Revision, storage::job_cache::JobIndex};

/// A record to be deleted, as no job needs it any more. It is deleted only at the
/// revision that is known here.
#[derive(Debug)]
pub(in crate::coordination) struct ObsoleteRecord {
    pub key: String,
    pub revision: Revision,
}

/// The records of all jobs together.
#[derive(Debug)]
pub(in crate::coordination) struct RecordState {
    /// Largest value, in bytes, that the key-value store is known to take.
    value_limit: usize,
    /// Jobs of which a transaction whose outcome is not settled writes records.
    in_flight: HashSet<JobIndex>,
    /// Records that wait to be deleted.
    obsolete: VecDeque<ObsoleteRecord>,
}

impl RecordState {
    /// No transaction is under way, and no record is obsolete.
    pub fn new(value_limit: usize) -> RecordState {
        RecordState { value_limit, in_flight: HashSet::new(), obsolete: VecDeque::new() }
    }

    /// Largest value, in bytes, that the key-value store is known to take.
    pub fn value_limit(&self) -> usize {
        self.value_limit
    }

    /// The key-value store has shown that it takes values of at most `limit` bytes.
    pub fn set_value_limit(&mut self, limit: usize) {
        self.value_limit = limit;
    }

    /// A transaction is under way that writes records of these jobs.
    pub fn set_in_flight(&mut self, jobs: HashSet<JobIndex>) {
        self.in_flight = jobs;
    }

    /// No transaction is under way any more.
    pub fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Whether the transaction under way writes records of this job.
    pub fn is_in_flight(&self, job: JobIndex) -> bool {
        self.in_flight.contains(&job)
    }

    /// Has a record deleted when there is budget to spare.
    pub fn delete_later(&mut self, record: ObsoleteRecord) {
        self.obsolete.push_back(record);
    }

    /// Whether any record waits to be deleted.
    pub fn has_obsolete(&self) -> bool {
        !self.obsolete.is_empty()
    }

    /// The record to be deleted next.
    pub fn pop_obsolete(&mut self) -> Option<ObsoleteRecord> {
        self.obsolete.pop_front()
    }
}
