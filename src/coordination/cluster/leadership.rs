//! The leadership to which a cluster state belongs: its settings, its term, how
//! far it has come, and what it knows of the key-value store.

use super::{ClusterState, Config, RecordState};
use crate::coordination::model::{Millis, Term};

impl ClusterState {
    /// Settings of this leadership.
    pub(in crate::coordination) fn config(&self) -> &Config {
        &self.config
    }

    /// Identifies this leadership.
    pub(in crate::coordination) fn term(&self) -> Term {
        self.term
    }

    /// When this leadership began.
    pub(in crate::coordination) fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Whether all records are read.
    pub(in crate::coordination) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// All records are read.
    pub(in crate::coordination) fn mark_loaded(&mut self) {
        self.loaded = true;
    }

    /// An event is processed now.
    pub(in crate::coordination) fn record_event_at(&mut self, now: Millis) {
        self.last_event_at = now;
    }

    /// Largest value, in bytes, that the key-value store is known to take.
    pub(in crate::coordination) fn value_limit(&self) -> usize {
        self.records.value_limit()
    }

    /// What is known of the records in the key-value store.
    pub(in crate::coordination) fn records_mut(&mut self) -> &mut RecordState {
        &mut self.records
    }

    /// Whether any record waits to be deleted.
    pub(in crate::coordination) fn has_obsolete_records(&self) -> bool {
        self.records.has_obsolete()
    }
}
