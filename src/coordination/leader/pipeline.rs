//! State of the one transaction that may be under way, and of records that
//! wait to be dropped.

use std::collections::VecDeque;

use super::resharding::ReshardPlan;
use crate::{
    coordination::model::Millis,
    protocol::{ids::Revision, store::Txn},
    storage::job_cache::JobIndex,
};

/// A chunk and the version of it that a transaction writes.
#[derive(Debug, Clone, Copy)]
pub(super) struct WrittenChunk {
    pub job: JobIndex,
    pub chunk: usize,
    pub version: u64,
}

/// A record that no job needs any more, at its last known revision.
#[derive(Debug)]
pub(super) struct ObsoleteRecord {
    pub key: String,
    pub revision: Revision,
}

/// What of the wanted state a transaction carries.
#[derive(Debug, Default)]
pub(super) struct TxnContents {
    pub chunks: Vec<WrittenChunk>,
    /// Jobs whose end it writes.
    pub finished_jobs: Vec<JobIndex>,
    /// Keys of obsolete records that it deletes.
    pub dropped_keys: Vec<String>,
    /// A job whose chunks it reshards.
    pub reshard: Option<ReshardPlan>,
}

/// Where a transaction that was not settled yet stands.
#[derive(Debug)]
pub(super) enum TxnState {
    /// Sent and unanswered.
    Sent,
    /// To be sent again as it was.
    Resend,
    /// These keys are read before anything else, to learn whether it was applied.
    Resync(Vec<String>),
}

/// A transaction that was not settled yet.
#[derive(Debug)]
pub(super) struct InFlightTxn {
    pub txn: Txn,
    pub contents: TxnContents,
    /// Written into each of its chunk records: tells whose they are.
    pub tag: u64,
    /// A copy of it went unanswered: that one may have been applied, or may yet be.
    pub has_unanswered_copy: bool,
    pub state: TxnState,
}

impl InFlightTxn {
    /// An answer came, or none in time: it is no longer out.
    pub fn mark_returned(&mut self) {
        if matches!(self.state, TxnState::Sent) {
            self.state = TxnState::Resend;
        }
    }
}

/// What was written since the last summary, for the logs.
#[derive(Debug, Default)]
pub(super) struct WriteStatistics {
    pub txns: u32,
    pub placements: u32,
    pub ends: u32,
    pub finished_jobs: u32,
    pub drops: u32,
    /// How long placements waited for their records in all.
    pub waited_ms: u64,
}

/// The leader's transactions: one at a time.
#[derive(Debug)]
pub(super) struct TransactionPipeline {
    pub in_flight: Option<InFlightTxn>,
    pub last_tag: u64,
    /// Most writes of a transaction that the state service is known to take.
    pub ops_cap: usize,
    pub obsolete_records: VecDeque<ObsoleteRecord>,
    /// No transaction is sent before.
    pub paused_until: Millis,
    /// No obsolete records are dropped before.
    pub drop_after: Millis,
    /// No job is resharded before.
    pub reshard_after: Millis,
    pub statistics: WriteStatistics,
}

impl TransactionPipeline {
    pub fn new(last_tag: u64) -> TransactionPipeline {
        TransactionPipeline {
            in_flight: None,
            last_tag,
            ops_cap: usize::MAX,
            obsolete_records: VecDeque::new(),
            paused_until: 0,
            drop_after: 0,
            reshard_after: 0,
            statistics: WriteStatistics::default(),
        }
    }

    /// Whether the transaction under way writes chunks of this job.
    pub fn is_writing(&self, job: JobIndex) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| {
            let contents = &in_flight.contents;
            contents.chunks.iter().any(|written| written.job == job)
                || contents.reshard.as_ref().is_some_and(|plan| plan.job == job)
        })
    }

    /// Has a record dropped when there is budget to spare.
    pub fn drop_later(&mut self, record: ObsoleteRecord) {
        self.obsolete_records.push_back(record);
    }

    /// Notes a transaction as sent and returns the copy to send.
    pub fn send(&mut self, txn: Txn, contents: TxnContents, tag: u64) -> Txn {
        let copy = txn.clone();
        self.in_flight = Some(InFlightTxn { txn, contents, tag, has_unanswered_copy: false, state: TxnState::Sent });
        copy
    }
}
