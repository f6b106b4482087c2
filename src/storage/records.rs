//! Keys and values of the records in the key-value store.
//!
//! | Key | Value |
//! |---|---|
//! | `leader` | the current leader, attached to its store lease |
//! | `leader/LABEL` | a controller that may renew worker leases, attached to a store lease of its own |
//! | `j/ID` | a job: its submission and status |
//! | `t/ID/CHUNK` | a chunk of the job's tasks: which of them are done, and where the others may run |

mod chunk;
mod json_size;
mod keys;

use ciborium::Value;
use serde::{Deserialize, Serialize};

pub use self::{
    chunk::{chunk_size, is_done, pack_done, AssignmentRecord, ChunkRecord},
    json_size::json_size,
    keys::{chunk_key, job_key, renewal_key, split_chunk_key, CHUNK_KEY_PREFIX, JOB_KEY_PREFIX, LEADER_KEY},
};
use crate::protocol::jobs::Submission;

/// Status of a job. The last two are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Accepted, and neither done nor cancelled. Recorded as `p`.
    #[serde(rename = "p")]
    Pending,
    /// Cancelled by its user. Recorded as `c`.
    #[serde(rename = "c")]
    Cancelled,
    /// All of its tasks completed. Recorded as `d`.
    #[serde(rename = "d")]
    Done,
}

/// Record of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Submission of the user. Recorded as `s`.
    #[serde(rename = "s")]
    pub submission: Submission,
    /// Status of the job. Recorded as `st`.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Wall-clock time of acceptance, in ms. Recorded as `at`.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Tasks per chunk record.
    #[serde(rename = "ch")]
    pub tasks_per_chunk: u32,
}

/// Record of the leader, or of a controller that may renew worker leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the controller. Recorded as `l`.
    #[serde(rename = "l")]
    pub label: String,
    /// Identifies the start of the process and its store lease: the nonce of the
    /// process plus the id of the store lease, if there is one.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Encodes a record as a value of the key-value store.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

#[cfg(test)]
#[path = "tests/records.rs"]
mod tests;
