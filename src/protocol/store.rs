//! State service's interface.

use ciborium::Value;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Condition {
    pub key: String,
    /// 0: the key must not exist.
    pub stamp: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Op {
    Put {
        #[serde(rename = "write")]
        key: String,
        v: Value,
        #[serde(skip_serializing_if = "Option::is_none", default)]
        permit: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    pub writes: Vec<Op>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Epoch {
    pub epoch: u64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(default)]
    pub epoch: u64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Pair {
    pub key: String,
    pub v: Value,
    pub stamp: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub permit: Option<u64>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    pub pairs: Vec<Pair>,
    #[serde(default)]
    pub truncated: bool,
    pub epoch: u64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Permit {
    pub permit: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GrantRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Changes {
    pub epoch: u64,
    #[serde(default)]
    pub events: Vec<Change>,
}

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
