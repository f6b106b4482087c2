//! The state of a transaction between the time it is sent and the time its outcome
//! is certain.

use std::collections::HashSet;

use crate::{
    coordination::cluster::ReshardPlan,
    protocol::{
        ids::Revision,
        store::{Transaction, WriteOperation},
    },
    storage::{job_cache::JobIndex, records},
};

/// Number that identifies a transaction. It is written into each chunk record of
/// the transaction, so that a leader recognizes its own write when it reads the
/// record again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionTag(pub u64);

impl TransactionTag {
    /// Returns the tag of the next transaction.
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

/// The parts of the wanted state that a transaction writes.
#[derive(Debug, Default)]
pub struct TransactionContents {
    /// Chunks whose records the transaction writes.
    pub chunks: Vec<WrittenChunk>,
    /// Jobs that the transaction records as completed.
    pub completed_jobs: Vec<JobIndex>,
    /// Keys of obsolete records that the transaction deletes.
    pub deleted_keys: Vec<String>,
    /// Resharding of one job, if the transaction carries it out.
    pub reshard: Option<ReshardPlan>,
}

impl TransactionContents {
    /// Returns the jobs whose chunks the transaction writes.
    pub fn jobs(&self) -> HashSet<JobIndex> {
        let written = self.chunks.iter().map(|written| written.job);
        written.chain(self.reshard.iter().map(|plan| plan.job)).collect()
    }
}

/// The next step that settles a transaction.
#[derive(Debug)]
pub enum TransactionState {
    /// Wait for the response to the copy that was sent last.
    Sent,
    /// Send the transaction again, unchanged.
    Resend,
    /// Read these keys, the last one first, to learn whether the transaction was applied.
    Resync(Vec<String>),
}

/// A transaction whose outcome is not settled yet.
#[derive(Debug)]
pub struct InFlightTransaction {
    /// The transaction as sent to the store.
    pub transaction: Transaction,
    /// The parts of the wanted state that the transaction writes.
    pub contents: TransactionContents,
    /// Identifies the transaction in the chunk records that it writes.
    pub tag: TransactionTag,
    /// Whether at least one copy of the transaction was sent and got no response: that copy
    /// may have been applied, or may still be applied later.
    pub has_copy_without_response: bool,
    /// The next step that settles the transaction.
    pub state: TransactionState,
}

impl InFlightTransaction {
    /// Returns the state of a transaction that is sent for the first time.
    pub fn new(transaction: Transaction, contents: TransactionContents, tag: TransactionTag) -> InFlightTransaction {
        InFlightTransaction {
            transaction,
            contents,
            tag,
            has_copy_without_response: false,
            state: TransactionState::Sent,
        }
    }

    /// Returns whether the transaction was sent and its response is outstanding.
    pub fn is_sent(&self) -> bool {
        matches!(self.state, TransactionState::Sent)
    }

    /// If the transaction must be sent again, marks it as sent and returns the copy to send.
    pub fn resend(&mut self) -> Option<Transaction> {
        if !matches!(self.state, TransactionState::Resend) {
            return None;
        }
        self.state = TransactionState::Sent;
        Some(self.transaction.clone())
    }

    /// Schedules another copy of the transaction, after a response or a timeout.
    pub fn schedule_resend(&mut self) {
        if self.is_sent() {
            self.state = TransactionState::Resend;
        }
    }

    /// Returns the key to read next to learn whether the transaction was applied.
    pub fn resync_key(&self) -> Option<&str> {
        match &self.state {
            TransactionState::Resync(keys) => keys.last().map(String::as_str),
            TransactionState::Sent | TransactionState::Resend => None,
        }
    }

    /// Records that `key` was read again and doesn't hold this transaction's write.
    /// Returns whether other keys must still be read.
    pub fn key_resynced(&mut self, key: &str) -> bool {
        let TransactionState::Resync(keys) = &mut self.state else { return false };
        keys.retain(|other| other != key);
        !keys.is_empty()
    }

    /// Returns the revision that the transaction's conditions require of `key`.
    pub fn expected_revision(&self, key: &str) -> Revision {
        let mut conditions = self.transaction.conditions.iter();
        conditions.find(|condition| condition.key == key).map_or(Revision::ABSENT, |condition| condition.revision)
    }

    /// Returns the keys of the chunk records that the transaction writes.
    pub fn written_chunk_keys(&self) -> Vec<String> {
        let chunk_key = |op: &WriteOperation| match op {
            WriteOperation::Put { key, .. } if key.starts_with(records::CHUNK_KEY_PREFIX) => Some(key.clone()),
            _ => None,
        };
        self.transaction.writes.iter().filter_map(chunk_key).collect()
    }
}
