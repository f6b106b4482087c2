//! The leader's transactions: one at a time.

use super::{
    in_flight::{InFlightTransaction, TransactionContents, TransactionTag},
    job_records::JobRecordWriter,
    obsolete_records::ObsoleteRecordDeletion,
    oversized::shrink_chunk,
    resharding::{reshard_transaction, Resharding},
    statistics::WriteStatistics,
    transaction_builder::TransactionBuilder,
    write_priority::WritePriority,
};
use crate::{
    coordination::{cluster::ClusterState, model::Millis},
    protocol::{names::Interners, store::Transaction},
    storage::records,
};

/// How many writes the request budget allows at present.
#[derive(Debug, Clone, Copy)]
pub struct WriteAllowance {
    /// Most writes of the next transaction.
    pub max_ops: usize,
    /// There is budget for more than what is urgent.
    pub has_spare_budget: bool,
}

/// Writes the cluster state to the key-value store, in one transaction at a time.
#[derive(Debug)]
pub struct CommitPipeline {
    /// The transaction that is not settled yet.
    in_flight: Option<InFlightTransaction>,
    last_tag: TransactionTag,
    /// Most writes of a transaction that the store is known to accept.
    accepted_ops: usize,
    /// No transaction is sent before.
    paused_until: Millis,
    obsolete_record_deletion: ObsoleteRecordDeletion,
    resharding: Resharding,
    statistics: WriteStatistics,
    /// The time of day minus the steady clock, in ms.
    wall_clock_offset_ms: i64,
}

impl CommitPipeline {
    /// No transaction was sent yet; their tags begin above `last_tag`.
    pub fn new(last_tag: u64) -> CommitPipeline {
        CommitPipeline {
            in_flight: None,
            last_tag: TransactionTag(last_tag),
            accepted_ops: usize::MAX,
            paused_until: 0,
            obsolete_record_deletion: ObsoleteRecordDeletion::default(),
            resharding: Resharding::default(),
            statistics: WriteStatistics::default(),
            wall_clock_offset_ms: 0,
        }
    }

    /// Sets the time of day, in ms since the Unix epoch.
    pub fn set_wall_clock(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    /// Sets whether all controllers run a version that can follow a resharded job.
    pub fn set_resharding_enabled(&mut self, is_enabled: bool) {
        self.resharding.set_enabled(is_enabled);
    }

    /// What was written since the last call.
    pub fn take_statistics(&mut self) -> WriteStatistics {
        std::mem::take(&mut self.statistics)
    }

    /// Whether a transaction may be sent: none is unanswered, and no pause is
    /// kept after one that failed.
    pub fn may_send(&self, now: Millis) -> bool {
        now >= self.paused_until && !self.in_flight.as_ref().is_some_and(InFlightTransaction::is_sent)
    }

    /// A key to read before the next transaction, to learn whether the last one
    /// was applied; [`CommitPipeline::resynced`] takes its value.
    pub fn resync_key(&self) -> Option<&str> {
        self.in_flight.as_ref()?.resync_key()
    }

    /// Whether something is to be written. `has_spare_budget`: there is budget for more
    /// than what is urgent.
    pub fn has_writes(&mut self, now: Millis, has_spare_budget: bool, cluster: &mut ClusterState) -> bool {
        cluster.note_unwritten_changes(now);
        let max_ops = self.max_ops(cluster);
        self.resharding.is_due(now, max_ops, has_spare_budget, cluster)
            || self.in_flight.is_some()
            || (has_spare_budget && cluster.has_obsolete_records())
            || cluster.active_jobs().any(|job| WritePriority::of(job, now, has_spare_budget).is_some())
    }

    /// The next transaction: jobs that completed first, then placements by
    /// priority, then exits that have waited; a job whose chunks don't fit waits
    /// for the next one. An unanswered transaction is sent again as it was.
    pub fn next_transaction(
        &mut self,
        now: Millis,
        allowance: WriteAllowance,
        cluster: &mut ClusterState,
        interners: &Interners,
    ) -> Option<Transaction> {
        if let Some(in_flight) = &mut self.in_flight {
            return in_flight.resend();
        }
        let max_ops = allowance.max_ops.min(self.max_ops(cluster));
        let allowance = WriteAllowance { max_ops, ..allowance };
        let resharding = self.reshard_transaction(now, allowance, cluster, interners);
        resharding.or_else(|| self.record_transaction(now, allowance, cluster, interners))
    }

    /// Most writes of a transaction, whatever the request budget allows.
    fn max_ops(&self, cluster: &ClusterState) -> usize {
        cluster.config().txn_ops.min(self.accepted_ops)
    }

    /// A transaction that reshards a job, if one is to be resharded.
    fn reshard_transaction(
        &mut self,
        now: Millis,
        allowance: WriteAllowance,
        cluster: &mut ClusterState,
        interners: &Interners,
    ) -> Option<Transaction> {
        let job = self.resharding.candidate(now, self.max_ops(cluster), allowance.has_spare_budget, cluster)?;
        let (job_index, record) = (job.index, job.records.oversized_record.as_ref()?);
        let tag = self.last_tag.next();
        let (transaction, contents) = reshard_transaction(cluster, interners, job, record, tag);
        if transaction.writes.len() > allowance.max_ops {
            return None;
        }
        self.last_tag = tag;
        self.resharding.record_start(now);
        if let Some(job) = cluster.job_mut(job_index) {
            job.records.resharding = true;
        }
        Some(self.send(cluster, transaction, contents, tag))
    }

    /// A transaction that writes and deletes records, if there is anything to write.
    fn record_transaction(
        &mut self,
        now: Millis,
        allowance: WriteAllowance,
        cluster: &mut ClusterState,
        interners: &Interners,
    ) -> Option<Transaction> {
        self.last_tag = self.last_tag.next();
        let mut builder = TransactionBuilder::new(self.last_tag, allowance.max_ops);
        let has_spare_budget = allowance.has_spare_budget;
        let wall_ms = self.wall_ms(now);
        JobRecordWriter { cluster, interners, now, wall_ms, has_spare_budget }.add_due_jobs(&mut builder);
        for oversized in std::mem::take(&mut builder.oversized_chunks) {
            shrink_chunk(cluster, now, oversized);
        }
        if has_spare_budget {
            self.obsolete_record_deletion.add_deletes(now, cluster.records_mut(), &mut builder);
        }
        if builder.is_empty() {
            return None;
        }
        // Guard: whoever leads by the time it is applied, only this
        // leadership's writes count.
        builder.require(records::LEADER_KEY.to_owned(), cluster.term().0);
        let tag = builder.tag();
        let (transaction, contents) = builder.build();
        Some(self.send(cluster, transaction, contents, tag))
    }

    /// The time of day, in ms since the Unix epoch.
    fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_clock_offset_ms).max(0) as u64
    }

    /// Notes a transaction as sent and returns the copy to send.
    fn send(
        &mut self,
        cluster: &mut ClusterState,
        transaction: Transaction,
        contents: TransactionContents,
        tag: TransactionTag,
    ) -> Transaction {
        let copy = transaction.clone();
        self.keep_in_flight(cluster, InFlightTransaction::new(transaction, contents, tag));
        copy
    }

    /// Keeps a transaction that is not settled yet.
    pub(super) fn keep_in_flight(&mut self, cluster: &mut ClusterState, in_flight: InFlightTransaction) {
        cluster.records_mut().set_in_flight(in_flight.contents.jobs());
        self.in_flight = Some(in_flight);
    }

    /// Removes the transaction that is not settled yet, to settle it.
    pub(super) fn take_in_flight(&mut self, cluster: &mut ClusterState) -> Option<InFlightTransaction> {
        cluster.records_mut().clear_in_flight();
        self.in_flight.take()
    }

    /// Sends no transaction before this moment.
    pub(super) fn pause_until(&mut self, until: Millis) {
        self.paused_until = until;
    }

    /// The store refuses transactions of this many writes, or of fewer.
    pub(super) fn limit_ops_below(&mut self, refused_ops: usize) {
        self.accepted_ops = (refused_ops / 2).max(1);
    }

    /// The counts of what was written.
    pub(super) fn statistics_mut(&mut self) -> &mut WriteStatistics {
        &mut self.statistics
    }
}
