//! A transaction from when it is sent until its outcome is known for certain.

use std::collections::HashSet;

use crate::{
    coordination::cluster::ReshardPlan,
    protocol::{
        ids::Revision,
        store::{Transaction, WriteOperation},
    },
    storage::{job_cache::JobIndex, records},
};

/// Identifies a transaction. It is written into each of its chunk records, so
/// that a leader recognizes its own write when it reads the record again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionTag(pub u64);

impl TransactionTag {
    /// The tag of the next transaction.
    pub fn next(self) -> TransactionTag {
        TransactionTag(self.0 + 1)
    }
}

/// A chunk and the version of it that a transaction writes.
#[derive(Debug, Clone, Copy)]
pub struct WrittenChunk {
    /// The job that the chunk belongs to.
    pub job: JobIndex,
    /// Index of the chunk within its job.
    pub chunk: usize,
    /// The version of the chunk's wanted state that is written.
    pub version: u64,
}

/// What of the wanted state a transaction writes.
#[derive(Debug, Default)]
pub struct TransactionContents {
    /// The chunks whose records it writes.
    pub chunks: Vec<WrittenChunk>,
    /// Jobs that it records as completed.
    pub completed_jobs: Vec<JobIndex>,
    /// Keys of obsolete records that it deletes.
    pub deleted_keys: Vec<String>,
    /// A job whose chunks it reshards.
    pub reshard: Option<ReshardPlan>,
}

impl TransactionContents {
    /// Jobs of which it writes chunks.
    pub fn jobs(&self) -> HashSet<JobIndex> {
        let written = self.chunks.iter().map(|written| written.job);
        written.chain(self.reshard.iter().map(|plan| plan.job)).collect()
    }
}

/// What is to be done next to settle a transaction.
#[derive(Debug)]
pub enum TransactionState {
    /// Wait: it was sent and is unanswered.
    Sent,
    /// Send it again as it was.
    Resend,
    /// Read these keys, the last one first, to learn whether it was applied.
    Resync(Vec<String>),
}

/// A transaction whose outcome is not settled yet.
#[derive(Debug)]
pub struct InFlightTransaction {
    /// What was sent.
    pub transaction: Transaction,
    /// What of the wanted state it writes.
    pub contents: TransactionContents,
    /// Identifies it.
    pub tag: TransactionTag,
    /// A copy of it went unanswered: that one may have been applied, or may yet be.
    pub has_copy_without_response: bool,
    /// What is to be done next.
    pub state: TransactionState,
}

impl InFlightTransaction {
    /// A transaction that is being sent for the first time.
    pub fn new(transaction: Transaction, contents: TransactionContents, tag: TransactionTag) -> InFlightTransaction {
        InFlightTransaction {
            transaction,
            contents,
            tag,
            has_copy_without_response: false,
            state: TransactionState::Sent,
        }
    }

    /// Whether it was sent and is unanswered.
    pub fn is_sent(&self) -> bool {
        matches!(self.state, TransactionState::Sent)
    }

    /// Returns a copy to send, if it is to be sent again.
    pub fn resend(&mut self) -> Option<Transaction> {
        if !matches!(self.state, TransactionState::Resend) {
            return None;
        }
        self.state = TransactionState::Sent;
        Some(self.transaction.clone())
    }

    /// An answer came, or none in time: it is to be sent again.
    pub fn schedule_resend(&mut self) {
        if self.is_sent() {
            self.state = TransactionState::Resend;
        }
    }

    /// The key to be read next, to learn whether it was applied.
    pub fn resync_key(&self) -> Option<&str> {
        match &self.state {
            TransactionState::Resync(keys) => keys.last().map(String::as_str),
            TransactionState::Sent | TransactionState::Resend => None,
        }
    }

    /// A key was read again and doesn't hold its write. Returns whether other
    /// keys are still to be read.
    pub fn key_resynced(&mut self, key: &str) -> bool {
        let TransactionState::Resync(keys) = &mut self.state else { return false };
        keys.retain(|other| other != key);
        !keys.is_empty()
    }

    /// The revision that it expects of a key.
    pub fn expected_revision(&self, key: &str) -> Revision {
        let mut conditions = self.transaction.conditions.iter();
        conditions.find(|condition| condition.key == key).map_or(Revision::ABSENT, |condition| condition.revision)
    }

    /// Keys of the chunk records that it writes.
    pub fn written_chunk_keys(&self) -> Vec<String> {
        let chunk_key = |op: &WriteOperation| match op {
            WriteOperation::Put { key, .. } if key.starts_with(records::CHUNK_KEY_PREFIX) => Some(key.clone()),
            _ => None,
        };
        self.transaction.writes.iter().filter_map(chunk_key).collect()
    }
}
