//! Puts a transaction together, within the limits of the key-value store.

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

/// Bytes of values after which a transaction takes no more; well below the
/// largest request that the store accepts.
pub const TRANSACTION_BYTES_LIMIT: usize = 48 * 1024;
/// Bytes of a write besides its value: its key, its condition and the framing.
const WRITE_OVERHEAD_BYTES: usize = 64;

/// A chunk whose value is too large to be written.
#[derive(Debug, Clone, Copy)]
pub struct OversizedChunk {
    /// The job that the chunk belongs to.
    pub job: JobIndex,
    /// Index of the chunk within its job.
    pub chunk: usize,
}

/// A transaction as it is put together.
#[derive(Debug)]
pub struct TransactionBuilder {
    transaction: Transaction,
    /// What of the wanted state it writes so far.
    pub contents: TransactionContents,
    /// Chunks that were left out because they are too large.
    pub oversized_chunks: Vec<OversizedChunk>,
    /// Most writes that it may hold.
    max_ops: usize,
    /// Bytes of its writes so far.
    bytes: usize,
    tag: TransactionTag,
}

impl TransactionBuilder {
    /// An empty transaction that may hold `max_ops` writes.
    pub fn new(tag: TransactionTag, max_ops: usize) -> TransactionBuilder {
        TransactionBuilder {
            transaction: Transaction::default(),
            contents: TransactionContents::default(),
            oversized_chunks: Vec::new(),
            max_ops,
            bytes: 0,
            tag,
        }
    }

    /// The tag of the transaction.
    pub fn tag(&self) -> TransactionTag {
        self.tag
    }

    /// How many more writes it may hold.
    pub fn ops_left(&self) -> usize {
        self.max_ops.saturating_sub(self.transaction.writes.len())
    }

    /// Whether `writes` more writes fit, or would fit into no transaction at all.
    pub fn takes_whole(&self, writes: usize) -> bool {
        let ops_left = self.ops_left();
        writes <= ops_left || ops_left >= self.max_ops
    }

    /// Whether its values have reached the limit on the bytes of a transaction.
    pub fn has_reached_byte_limit(&self) -> bool {
        self.bytes > TRANSACTION_BYTES_LIMIT
    }

    /// Whether it takes no further write.
    pub fn is_full(&self) -> bool {
        self.ops_left() == 0 || self.has_reached_byte_limit()
    }

    /// Whether it holds no write.
    pub fn is_empty(&self) -> bool {
        self.transaction.writes.is_empty()
    }

    /// Adds a write of `value`, which has `value_bytes` bytes in JSON form.
    pub fn put(&mut self, key: String, value: Value, value_bytes: usize) {
        self.bytes += value_bytes + WRITE_OVERHEAD_BYTES;
        self.transaction.writes.push(WriteOperation::Put { key, value, store_lease: None });
    }

    /// Adds the deletion of a record, provided that it has not changed.
    pub fn delete(&mut self, record: ObsoleteRecord) {
        self.require(record.key.clone(), record.revision);
        self.transaction.writes.push(WriteOperation::Delete { key: record.key.clone() });
        self.contents.deleted_keys.push(record.key);
    }

    /// Adds the condition that a key has this revision.
    pub fn require(&mut self, key: String, revision: Revision) {
        self.transaction.conditions.push(Condition { key, revision });
    }

    /// The transaction, and what of the wanted state it writes.
    pub fn build(self) -> (Transaction, TransactionContents) {
        (self.transaction, self.contents)
    }
}
