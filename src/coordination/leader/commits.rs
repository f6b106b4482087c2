//! The leader's interface to its commits: each call is delegated to the commit
//! pipeline, together with the cluster state.

use ciborium::Value;

use super::Leader;
use crate::{
    coordination::{commits::WriteAllowance, effects::CommitOutcome, model::Millis},
    protocol::{ids::Revision, names::Interners, store::Transaction},
};

impl Leader {
    /// Sets whether all controllers run a version that can follow a resharded job.
    pub fn set_may_reshard(&mut self, may_reshard: bool) {
        self.commits.set_resharding_enabled(may_reshard);
    }

    /// Returns whether a transaction may be sent: none awaits its response, and the
    /// pause after a failed one is over.
    pub fn may_commit(&self, now: Millis) -> bool {
        self.commits.may_send(now)
    }

    /// Returns a key to read before the next transaction, to learn whether the last one
    /// was applied.
    pub fn resync_key(&self) -> Option<&str> {
        self.commits.resync_key()
    }

    /// Processes the read of a key that [`Leader::resync_key`] returned. `found`: its
    /// value and its revision; None: the key doesn't exist.
    pub fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>) {
        self.commits.resynced(now, key, found, &mut self.cluster);
    }

    /// Returns whether any record must be written, or the last transaction is not settled.
    /// `has_spare_budget`: the request budget covers more than the urgent writes.
    pub fn has_writes(&mut self, now: Millis, has_spare_budget: bool) -> bool {
        self.commits.has_writes(now, has_spare_budget, &mut self.cluster)
    }

    /// Returns the next transaction, of at most `max_writes` writes; a transaction without
    /// a response is sent again, unchanged. `has_spare_budget`: the request budget covers
    /// more than the urgent writes.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        max_writes: usize,
        has_spare_budget: bool,
        interners: &Interners,
    ) -> Option<Transaction> {
        let allowance = WriteAllowance { max_writes, has_spare_budget };
        self.commits.next_transaction(now, allowance, &mut self.cluster, interners)
    }

    /// Processes the outcome of the transaction that was sent. Returns false if the
    /// leadership is lost.
    pub fn transaction_finished(&mut self, now: Millis, outcome: CommitOutcome) -> bool {
        self.commits.finish(now, outcome, &mut self.cluster).is_ok()
    }
}
