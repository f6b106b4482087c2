//! Interface of the key-value store: conditional transactions (compare-and-swap),
//! listings and watches of prefixes, and store leases. A store lease has a time to
//! live; the keys attached to it are removed when it expires.

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::protocol::ids::{Revision, StoreLeaseId};

/// Condition of a transaction: the key has this revision.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Condition {
    /// Key whose revision is compared.
    pub key: String,
    /// Revision of the last write of the key; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// Write of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum WriteOperation {
    /// Sets the value of a key. On the wire, an operation with the field `write`.
    Put {
        /// Key that is written. On the wire: `write`.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Value,
        /// Store lease that the key is attached to, if any: the key is removed when
        /// the store lease expires or is revoked.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        store_lease: Option<StoreLeaseId>,
    },
    /// Removes a key. On the wire, an operation with the field `drop`.
    Delete {
        /// Key that is removed. On the wire: `drop`.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Transaction {
    /// Conditions, all of which must hold for any write to be applied. On the wire: `if`.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The writes, applied atomically.
    pub writes: Vec<WriteOperation>,
}

/// Response to a transaction that was applied: the revision of the store after it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct AppliedTransaction {
    /// Revision of the store; also the revision of each key that was written.
    #[serde(rename = "epoch")]
    pub store_revision: Revision,
}

/// Response to a transaction whose conditions did not hold.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Conflict {
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store when the conditions were checked; 0 if it is not given.
    #[serde(default)]
    #[serde(rename = "epoch")]
    pub store_revision: Revision,
}

/// Key with its value.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// Value of the key.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the key's last write.
    #[serde(rename = "stamp")]
    pub revision: Revision,
    /// Store lease that the key is attached to; `None`: it is attached to none.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub store_lease: Option<StoreLeaseId>,
}

/// Page of a listing, in the order of the keys.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    /// The keys with their values.
    pub pairs: Vec<KeyValue>,
    /// Whether the listing continues after the last key of this page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the store that the listing shows.
    #[serde(rename = "epoch")]
    pub store_revision: Revision,
}

/// Response to a request for a store lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct StoreLeaseResponse {
    /// Id of the new store lease.
    #[serde(rename = "permit")]
    pub store_lease: StoreLeaseId,
}

/// Request for a store lease, which expires unless it is renewed within its time to
/// live.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StoreLeaseRequest {
    /// Time to live of the store lease, in ms.
    pub ttl_ms: u64,
}

/// Changes under a prefix since a revision, up to `store_revision`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Changes {
    /// Revision of the store up to which the changes are complete.
    #[serde(rename = "epoch")]
    pub store_revision: Revision,
    /// The changes, not necessarily in the order of their revisions.
    #[serde(default)]
    pub events: Vec<Change>,
}

/// Change of a key, which is named by either `write` or `drop`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Change {
    /// The key if it was written; otherwise `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    /// The key if it was removed; otherwise `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    /// The value that was written; `None` for a removal.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}
