//! Builds a transaction within the limits of the key-value store.

use ciborium::Value;

use super::in_flight::{TransactionContents, TransactionTag};
use crate::{
    coordination::cluster::ObsoleteRecord,
    protocol::{
        ids::Revision,
        store::{Condition, Transaction, WriteOperation},
    },
    storage::job_cache::JobIndex,
};

/// Total size of the writes, in bytes, above which a transaction accepts no further
/// write; well below the largest request that the store accepts.
pub const TRANSACTION_BYTES_LIMIT: usize = 48 * 1024;
/// Size of a write without its value, in bytes: its key, its condition and the framing.
const WRITE_OVERHEAD_BYTES: usize = 64;

/// A chunk whose value is too large to be written.
#[derive(Debug, Clone, Copy)]
pub struct OversizedChunk {
    /// The job that the chunk belongs to.
    pub job: JobIndex,
    /// Index of the chunk within its job.
    pub chunk: usize,
}

/// A transaction that is being built.
#[derive(Debug)]
pub struct TransactionBuilder {
    transaction: Transaction,
    /// The parts of the wanted state that the transaction writes so far.
    pub contents: TransactionContents,
    /// Chunks that were left out because they are too large.
    pub oversized_chunks: Vec<OversizedChunk>,
    /// Maximum number of writes.
    max_writes: usize,
    /// Size of the writes so far, in bytes.
    bytes: usize,
    tag: TransactionTag,
}

impl TransactionBuilder {
    /// Returns an empty transaction that may hold up to `max_writes` writes.
    pub fn new(tag: TransactionTag, max_writes: usize) -> TransactionBuilder {
        TransactionBuilder {
            transaction: Transaction::default(),
            contents: TransactionContents::default(),
            oversized_chunks: Vec::new(),
            max_writes,
            bytes: 0,
            tag,
        }
    }

    /// Returns the tag of the transaction.
    pub fn tag(&self) -> TransactionTag {
        self.tag
    }

    /// Returns how many more writes the transaction may hold.
    pub fn writes_left(&self) -> usize {
        self.max_writes.saturating_sub(self.transaction.writes.len())
    }

    /// Returns whether the transaction accepts the writes of one job; `writes` is their
    /// number. If they don't all fit, only an empty transaction accepts them: the writes of
    /// a job too large for any transaction are split over several transactions.
    pub fn accepts_job_writes(&self, writes: usize) -> bool {
        let writes_left = self.writes_left();
        writes <= writes_left || writes_left >= self.max_writes
    }

    /// Returns whether the writes have reached the limit on the bytes of a transaction.
    pub fn has_reached_byte_limit(&self) -> bool {
        self.bytes > TRANSACTION_BYTES_LIMIT
    }

    /// Returns whether the transaction accepts no further write.
    pub fn is_full(&self) -> bool {
        self.writes_left() == 0 || self.has_reached_byte_limit()
    }

    /// Returns whether the transaction holds no write.
    pub fn is_empty(&self) -> bool {
        self.transaction.writes.is_empty()
    }

    /// Adds a write of `value`, which takes `value_bytes` bytes as JSON.
    pub fn put(&mut self, key: String, value: Value, value_bytes: usize) {
        self.bytes += value_bytes + WRITE_OVERHEAD_BYTES;
        self.transaction.writes.push(WriteOperation::Put { key, value, store_lease: None });
    }

    /// Adds the deletion of a record, on the condition that the record has not changed.
    pub fn delete(&mut self, record: ObsoleteRecord) {
        self.require(record.key.clone(), record.revision);
        self.transaction.writes.push(WriteOperation::Delete { key: record.key.clone() });
        self.contents.deleted_keys.push(record.key);
    }

    /// Adds the condition that `key` has `revision`.
    pub fn require(&mut self, key: String, revision: Revision) {
        self.transaction.conditions.push(Condition { key, revision });
    }

    /// Returns the transaction and its contents.
    pub fn build(self) -> (Transaction, TransactionContents) {
        (self.transaction, self.contents)
    }
}
