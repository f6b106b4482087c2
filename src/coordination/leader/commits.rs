//! The leader's part in commits: each call goes to the commit pipeline, which
//! works on the cluster state.

use ciborium::Value;

use super::Leader;
use crate::{
    coordination::{commits::WriteAllowance, effects::CommitOutcome, model::Millis},
    protocol::{ids::Revision, names::Interners, store::Transaction},
};

impl Leader {
    /// Whether all controllers run a version that can follow a resharded job.
    pub fn set_may_reshard(&mut self, may_reshard: bool) {
        self.commits.set_resharding_enabled(may_reshard);
    }

    /// Whether a transaction may be sent: none is unanswered, and no pause is kept
    /// after one that failed.
    pub fn may_commit(&self, now: Millis) -> bool {
        self.commits.may_send(now)
    }

    /// A key to read before the next transaction, to learn whether the last one
    /// was applied.
    pub fn resync_key(&self) -> Option<&str> {
        self.commits.resync_key()
    }

    /// A key asked for by [`Leader::resync_key`] was read: its value and its
    /// revision, or `None` if it doesn't exist.
    pub fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>) {
        self.commits.resynced(now, key, found, &mut self.cluster);
    }

    /// Whether something is to be written. `has_spare_budget`: there is budget for more
    /// than what is urgent.
    pub fn has_writes(&mut self, now: Millis, has_spare_budget: bool) -> bool {
        self.commits.has_writes(now, has_spare_budget, &mut self.cluster)
    }

    /// The next transaction, of at most `max_ops` writes; an unanswered one is
    /// sent again as it was. `has_spare_budget`: there is budget for more than what is urgent.
    pub fn commit(
        &mut self,
        now: Millis,
        max_ops: usize,
        has_spare_budget: bool,
        interners: &Interners,
    ) -> Option<Transaction> {
        let allowance = WriteAllowance { max_ops, has_spare_budget };
        self.commits.next_transaction(now, allowance, &mut self.cluster, interners)
    }

    /// Takes the outcome of the transaction that was sent. False: the leadership
    /// is lost.
    pub fn transaction_finished(&mut self, now: Millis, outcome: CommitOutcome) -> bool {
        self.commits.finish(now, outcome, &mut self.cluster).is_ok()
    }
}
