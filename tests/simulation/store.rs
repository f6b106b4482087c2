//! The consensus-backed key-value store: versioned keys, compare-and-swap
//! transactions and reads of what changed.

use std::collections::BTreeMap;

use ciborium::Value;
use shedhook::{
    coordination::model::Millis,
    protocol::{
        ids::Revision,
        store::{Change, Changes, KeyValue, Page, Transaction, WriteOperation},
    },
    storage::records::{self, ChunkRecord, JobRecord},
};

/// The value of a key and the revision that wrote it.
#[derive(Clone)]
pub struct StoredValue {
    pub value: Value,
    pub revision: Revision,
}

/// Limits, latencies and faults of the leader's requests to the store.
pub struct StoreConditions {
    /// Number of transactions that the store still accepts; it refuses all later ones.
    /// `None`: no limit.
    pub transactions_left: Option<u32>,
    /// The leader's reads and transactions are refused with 503. A read that is already
    /// pending doesn't complete before the refusals end.
    pub refuses_leader: bool,
    /// Longest duration of a read of the changes; 0: it completes at once.
    pub read_latency_max_ms: Millis,
    /// Longest time until a transaction is applied, and longest time from then until the
    /// response arrives; 0: the response arrives at once.
    pub transaction_latency_max_ms: Millis,
    /// Size of the largest value that the store accepts now, in bytes.
    pub value_bytes_max: usize,
    /// Most writes that the store accepts in one transaction now.
    pub transaction_writes_max: usize,
}

impl Default for StoreConditions {
    fn default() -> StoreConditions {
        StoreConditions {
            transactions_left: None,
            refuses_leader: false,
            read_latency_max_ms: 0,
            transaction_latency_max_ms: 0,
            value_bytes_max: usize::MAX,
            transaction_writes_max: usize::MAX,
        }
    }
}

impl StoreConditions {
    /// Reports whether a value or the number of writes exceeds the current limits.
    pub(super) fn is_too_large(&self, transaction: &Transaction) -> bool {
        let too_large = |write: &WriteOperation| match write {
            WriteOperation::Put { value, .. } => records::json_size(value) > self.value_bytes_max,
            _ => false,
        };
        transaction.writes.len() > self.transaction_writes_max || transaction.writes.iter().any(too_large)
    }
}

/// The state of the key-value store.
#[derive(Default)]
pub struct SimulatedStore {
    pub conditions: StoreConditions,
    values: BTreeMap<String, StoredValue>,
    revision: Revision,
    log: Vec<Change>,
    records_lost: bool,
}

impl SimulatedStore {
    /// Applies a transaction, or returns the keys whose conditions failed.
    pub(super) fn apply(&mut self, transaction: &Transaction) -> Result<Revision, Vec<String>> {
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| self.revision_of(&condition.key) != condition.revision)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        let revision = self.advance();
        for write in &transaction.writes {
            match write {
                WriteOperation::Put { key, value, .. } => {
                    self.values.insert(key.clone(), StoredValue { value: value.clone(), revision });
                    self.log.push(Change {
                        write: Some(key.clone()),
                        drop: None,
                        value: Some(value.clone()),
                        revision,
                    });
                }
                WriteOperation::Delete { key } => {
                    self.values.remove(key);
                    self.log.push(Change { write: None, drop: Some(key.clone()), value: None, revision });
                }
            }
        }
        Ok(revision)
    }

    /// Writes one value without conditions.
    pub(super) fn put(&mut self, key: String, value: Value) {
        let writes = vec![WriteOperation::Put { key, value, store_lease: None }];
        self.apply(&Transaction { conditions: vec![], writes }).unwrap();
    }

    /// Writes the leader's key for a new leader and returns its new revision.
    pub(super) fn acquire_leadership(&mut self) -> Revision {
        let revision = self.advance();
        self.values.insert(records::LEADER_KEY.into(), StoredValue { value: Value::Null, revision });
        revision
    }

    pub(super) fn leadership_revision(&self) -> Revision {
        self.values[records::LEADER_KEY].revision
    }

    pub(super) fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key)
    }

    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn job_record(&self, id: &str) -> Option<JobRecord> {
        self.get(&records::job_key(id))?.value.deserialized().ok()
    }

    pub(super) fn chunk_record(&self, job: &str, chunk: u32) -> Option<ChunkRecord> {
        self.get(&records::chunk_key(job, chunk))?.value.deserialized().ok()
    }

    /// Returns the keys of all chunk records, which hold the tasks' assignments.
    pub fn chunk_keys(&self) -> Vec<&String> {
        self.values.keys().filter(|key| key.starts_with(records::CHUNK_KEY_PREFIX)).collect()
    }

    /// Removes all chunk records, which hold the tasks' assignments, without adding
    /// changes to the log.
    pub fn remove_chunk_records(&mut self) {
        self.records_lost = true;
        self.values.retain(|key, _| !key.starts_with(records::CHUNK_KEY_PREFIX));
    }

    /// Reports whether the case has removed the chunk records.
    pub(super) fn has_lost_records(&self) -> bool {
        self.records_lost
    }

    /// Returns all pairs whose key begins with `prefix`, in one page.
    pub(super) fn page(&self, prefix: &str) -> Page {
        let pairs = self
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| KeyValue {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
                store_lease: None,
            })
            .collect();
        Page { pairs, truncated: false, store_revision: self.revision }
    }

    /// Returns the writes after the revision `from` to keys that begin with `prefix`.
    pub(super) fn changes(&self, prefix: &str, from: Revision) -> Changes {
        let has_prefix = |change: &Change| change.write.as_deref().is_some_and(|key| key.starts_with(prefix));
        let events = self.log.iter().filter(|change| change.revision > from && has_prefix(change)).cloned().collect();
        Changes { store_revision: self.revision, events }
    }

    fn revision_of(&self, key: &str) -> Revision {
        self.get(key).map_or(Revision::ABSENT, |stored| stored.revision)
    }

    fn advance(&mut self) -> Revision {
        self.revision = self.revision.next();
        self.revision
    }
}
