//! State of the one transaction that may be under way, and of records that
//! wait to be dropped.

use std::collections::HashSet;

use crate::{
    coordination::{
        cluster::{RecordState, ReshardPlan},
        model::Millis,
    },
    protocol::store::Txn,
    storage::job_cache::JobIndex,
};

/// A chunk and the version of it that a transaction writes.
#[derive(Debug, Clone, Copy)]
pub struct WrittenChunk {
    pub job: JobIndex,
    pub chunk: usize,
    pub version: u64,
}

/// What of the wanted state a transaction carries.
#[derive(Debug, Default)]
pub struct TxnContents {
    pub chunks: Vec<WrittenChunk>,
    /// Jobs whose end it writes.
    pub finished_jobs: Vec<JobIndex>,
    /// Keys of obsolete records that it deletes.
    pub dropped_keys: Vec<String>,
    /// A job whose chunks it reshards.
    pub reshard: Option<ReshardPlan>,
}

impl TxnContents {
    /// Jobs of which it writes chunks.
    pub fn jobs(&self) -> HashSet<JobIndex> {
        let written = self.chunks.iter().map(|written| written.job);
        written.chain(self.reshard.iter().map(|plan| plan.job)).collect()
    }
}

/// Where a transaction that was not settled yet stands.
#[derive(Debug)]
pub enum TxnState {
    /// Sent and unanswered.
    Sent,
    /// To be sent again as it was.
    Resend,
    /// These keys are read before anything else, to learn whether it was applied.
    Resync(Vec<String>),
}

/// A transaction that was not settled yet.
#[derive(Debug)]
pub struct InFlightTxn {
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
pub struct WriteStatistics {
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
pub struct CommitPipeline {
    pub in_flight: Option<InFlightTxn>,
    pub last_tag: u64,
    /// Most writes of a transaction that the state service is known to take.
    pub ops_cap: usize,
    /// No transaction is sent before.
    pub paused_until: Millis,
    /// No obsolete records are dropped before.
    pub drop_after: Millis,
    /// No job is resharded before.
    pub reshard_after: Millis,
    pub statistics: WriteStatistics,
    /// All controllers run a version that can follow a resharded job.
    pub may_reshard: bool,
    /// The time of day minus the steady clock.
    pub wall_clock_offset_ms: i64,
}

impl CommitPipeline {
    /// No transaction was sent yet; their tags begin above `last_tag`.
    pub fn new(last_tag: u64) -> CommitPipeline {
        CommitPipeline {
            in_flight: None,
            last_tag,
            ops_cap: usize::MAX,
            paused_until: 0,
            drop_after: 0,
            reshard_after: 0,
            statistics: WriteStatistics::default(),
            may_reshard: false,
            wall_clock_offset_ms: 0,
        }
    }

    /// Sets the time of day.
    pub fn set_wall_clock(&mut self, now: Millis, wall_ms: u64) {
        self.wall_clock_offset_ms = wall_ms as i64 - now as i64;
    }

    /// Removes the transaction under way, to settle it.
    pub fn take_in_flight(&mut self, records: &mut RecordState) -> Option<InFlightTxn> {
        records.clear_in_flight();
        self.in_flight.take()
    }

    /// Puts back a transaction that is not settled yet.
    pub fn put_in_flight(&mut self, records: &mut RecordState, in_flight: InFlightTxn) {
        records.set_in_flight(in_flight.contents.jobs());
        self.in_flight = Some(in_flight);
    }

    /// Notes a transaction as sent and returns the copy to send.
    pub fn send(&mut self, records: &mut RecordState, txn: Txn, contents: TxnContents, tag: u64) -> Txn {
        let copy = txn.clone();
        let in_flight = InFlightTxn { txn, contents, tag, has_unanswered_copy: false, state: TxnState::Sent };
        self.put_in_flight(records, in_flight);
        copy
    }
}
