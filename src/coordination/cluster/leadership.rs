//! The leadership to which a cluster state belongs: its settings, its term, its
//! loading progress, and the state of the records in the key-value store.

use super::{ClusterState, Config, RecordState};
use crate::coordination::model::{Millis, Term};

impl ClusterState {
    /// Returns the settings of this leadership.
    pub(in crate::coordination) fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the term of this leadership.
    pub(in crate::coordination) fn term(&self) -> Term {
        self.term
    }

    /// Returns when this leadership began.
    pub(in crate::coordination) fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Reports whether all records in the key-value store are read.
    pub(in crate::coordination) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Marks all records in the key-value store as read.
    pub(in crate::coordination) fn mark_loaded(&mut self) {
        self.loaded = true;
    }

    /// Records the time of the event that is being processed.
    pub(in crate::coordination) fn record_event_at(&mut self, now: Millis) {
        self.last_event_at = now;
    }

    /// Returns the maximum size of a value, in bytes, that the key-value store is
    /// known to accept.
    pub(in crate::coordination) fn value_limit(&self) -> usize {
        self.records.value_limit()
    }

    /// Returns the state of the records in the key-value store, for modification.
    pub(in crate::coordination) fn records_mut(&mut self) -> &mut RecordState {
        &mut self.records
    }

    /// Reports whether any record waits to be deleted.
    pub(in crate::coordination) fn has_obsolete_records(&self) -> bool {
        self.records.has_obsolete()
    }
}
