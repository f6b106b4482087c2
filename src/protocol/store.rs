//! The interface of the state service: a key-value store with transactions,
//! watches and expiring grants.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A transaction is applied only if the key has this stamp.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Condition {
    pub key: String,
    /// Revision of the last write of the key; 0: the key must not exist.
    pub stamp: u64,
}

/// One write of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Op {
    Put {
        #[serde(rename = "write")]
        key: String,
        v: Value,
        /// The grant that the key is attached to: it is removed when the grant ends.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        permit: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Writes that are applied together, if all conditions hold.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    pub writes: Vec<Op>,
}

/// The answer to a transaction: the revision of the store after it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Epoch {
    pub epoch: u64,
}

/// The answer to a transaction whose conditions did not hold.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Conflict {
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(default)]
    pub epoch: u64,
}

/// A key with its value.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Pair {
    pub key: String,
    pub v: Value,
    pub stamp: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<u64>,
}

/// A part of a listing, in the order of the keys.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    pub pairs: Vec<Pair>,
    /// More keys follow after the last one.
    #[serde(default)]
    pub truncated: bool,
    pub epoch: u64,
}

/// The answer to a request for a grant.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Permit {
    pub permit: u64,
}

/// Asks for a grant, which ends unless it is renewed within its time to live.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GrantRequest {
    pub ttl_ms: u64,
}

/// The changes under a prefix since a revision, up to `epoch`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Changes {
    pub epoch: u64,
    #[serde(default)]
    pub events: Vec<Change>,
}

/// One change of a key: either `write` or `drop` names it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Change {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub v: Option<Value>,
    pub stamp: u64,
}
