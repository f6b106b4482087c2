//! The sequence of the leader's transactions, of which one is in flight at a time.

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

/// The writes that the request budget currently allows.
#[derive(Debug, Clone, Copy)]
pub struct WriteAllowance {
    /// Maximum number of writes in the next transaction.
    pub max_writes: usize,
    /// Whether the request budget covers more than the urgent writes.
    pub has_spare_budget: bool,
}

/// Writes the cluster state to the key-value store, in one transaction at a time.
#[derive(Debug)]
pub struct CommitPipeline {
    /// The transaction that is not settled yet.
    in_flight: Option<InFlightTransaction>,
    last_tag: TransactionTag,
    /// Maximum number of writes in a transaction, lowered after the store refused a larger
    /// one; `usize::MAX`: none was refused.
    accepted_writes: usize,
    /// Earliest time at which a transaction is sent, in ms.
    paused_until: Millis,
    obsolete_record_deletion: ObsoleteRecordDeletion,
    resharding: Resharding,
    statistics: WriteStatistics,
    /// Wall clock minus monotonic clock, in ms.
    wall_clock_offset_ms: i64,
}

impl CommitPipeline {
    /// Returns a pipeline that has sent no transaction; tags start above `last_tag`.
    pub fn new(last_tag: u64) -> CommitPipeline {
        CommitPipeline {
            in_flight: None,
            last_tag: TransactionTag(last_tag),
            accepted_writes: usize::MAX,
            paused_until: 0,
            obsolete_record_deletion: ObsoleteRecordDeletion::default(),
            resharding: Resharding::default(),
            statistics: WriteStatistics::default(),
            wall_clock_offset_ms: 0,
        }
    }

    /// Sets the wall-clock time, in ms since the Unix epoch.
    pub fn set_wall_clock(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    /// Sets whether all controllers run a version that can follow a resharded job.
    pub fn set_resharding_enabled(&mut self, is_enabled: bool) {
        self.resharding.set_enabled(is_enabled);
    }

    /// Returns the counts of the writes since the last call, and resets them.
    pub fn take_statistics(&mut self) -> WriteStatistics {
        std::mem::take(&mut self.statistics)
    }

    /// Returns whether a transaction may be sent: none awaits its response, and the
    /// pause after a failed one is over.
    pub fn may_send(&self, now: Millis) -> bool {
        now >= self.paused_until && !self.in_flight.as_ref().is_some_and(InFlightTransaction::is_sent)
    }

    /// Returns a key to read before the next transaction, to learn whether the last one
    /// was applied. [`CommitPipeline::resynced`] processes its value.
    pub fn resync_key(&self) -> Option<&str> {
        self.in_flight.as_ref()?.resync_key()
    }

    /// Returns whether any record must be written, or the last transaction is not settled.
    /// `has_spare_budget`: the request budget covers more than the urgent writes.
    pub fn has_writes(&mut self, now: Millis, has_spare_budget: bool, cluster: &mut ClusterState) -> bool {
        cluster.record_unwritten_changes(now);
        let max_writes = self.max_writes(cluster);
        self.resharding.is_due(now, max_writes, has_spare_budget, cluster)
            || self.in_flight.is_some()
            || (has_spare_budget && cluster.has_obsolete_records())
            || cluster.active_jobs().any(|job| WritePriority::of(job, now, has_spare_budget).is_some())
    }

    /// Returns the next transaction to send. A transaction without a response is sent
    /// again, unchanged. Otherwise, if a job is due for resharding, the transaction reshards
    /// that job. Any other transaction records completed jobs first, then placements by
    /// priority, then exits whose delay is over, and deletes obsolete records last; a job
    /// whose chunks don't fit waits for a later transaction.
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
        let max_writes = allowance.max_writes.min(self.max_writes(cluster));
        let allowance = WriteAllowance { max_writes, ..allowance };
        let resharding = self.reshard_transaction(now, allowance, cluster, interners);
        resharding.or_else(|| self.record_transaction(now, allowance, cluster, interners))
    }

    /// Returns the maximum number of writes in a transaction, before the request budget
    /// is applied.
    fn max_writes(&self, cluster: &ClusterState) -> usize {
        cluster.config().max_transaction_writes.min(self.accepted_writes)
    }

    /// Returns a transaction that reshards a job, if one is due for resharding.
    fn reshard_transaction(
        &mut self,
        now: Millis,
        allowance: WriteAllowance,
        cluster: &mut ClusterState,
        interners: &Interners,
    ) -> Option<Transaction> {
        let job = self.resharding.candidate(now, self.max_writes(cluster), allowance.has_spare_budget, cluster)?;
        let (job_index, record) = (job.index, job.records.oversized_record.as_ref()?);
        let tag = self.last_tag.next();
        let (transaction, contents) = reshard_transaction(cluster, interners, job, record, tag);
        if transaction.writes.len() > allowance.max_writes {
            return None;
        }
        self.last_tag = tag;
        self.resharding.record_start(now);
        if let Some(job) = cluster.job_mut(job_index) {
            job.records.resharding = true;
        }
        Some(self.send(cluster, transaction, contents, tag))
    }

    /// Returns a transaction that writes and deletes records, if any of that is due.
    fn record_transaction(
        &mut self,
        now: Millis,
        allowance: WriteAllowance,
        cluster: &mut ClusterState,
        interners: &Interners,
    ) -> Option<Transaction> {
        self.last_tag = self.last_tag.next();
        let mut builder = TransactionBuilder::new(self.last_tag, allowance.max_writes);
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
        // The transaction must fail if another leadership has begun by the time it is
        // executed: its writes are valid only under this leadership.
        builder.require(records::LEADER_KEY.to_owned(), cluster.term().0);
        let tag = builder.tag();
        let (transaction, contents) = builder.build();
        Some(self.send(cluster, transaction, contents, tag))
    }

    /// Returns the wall-clock time, in ms since the Unix epoch.
    fn wall_ms(&self, now: Millis) -> u64 {
        (now as i64 + self.wall_clock_offset_ms).max(0) as u64
    }

    /// Records a transaction as sent and returns the copy to send.
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

    /// Stores a transaction that is not settled yet.
    pub(super) fn keep_in_flight(&mut self, cluster: &mut ClusterState, in_flight: InFlightTransaction) {
        cluster.records_mut().set_in_flight(in_flight.contents.jobs());
        self.in_flight = Some(in_flight);
    }

    /// Removes and returns the transaction that is not settled yet, to settle it.
    pub(super) fn take_in_flight(&mut self, cluster: &mut ClusterState) -> Option<InFlightTransaction> {
        cluster.records_mut().clear_in_flight();
        self.in_flight.take()
    }

    /// Sets the earliest time at which the next transaction is sent, in ms.
    pub(super) fn pause_until(&mut self, until: Millis) {
        self.paused_until = until;
    }

    /// Lowers the limit on the writes of a transaction to half of `refused_writes`: the store
    /// refuses transactions of that many writes, and may refuse smaller ones.
    pub(super) fn limit_writes_below(&mut self, refused_writes: usize) {
        self.accepted_writes = (refused_writes / 2).max(1);
    }

    /// Returns the counts of writes, to be updated.
    pub(super) fn statistics_mut(&mut self) -> &mut WriteStatistics {
        &mut self.statistics
    }
}
