//! Keys and values in the key-value store.
//!
//! | Key | Value |
//! |---|---|
//! | `leader` | the current leader, attached to its grant |
//! | `leader/LABEL` | a controller that may renew workers' leases, attached to a grant of its own |
//! | `j/ID` | a job: its submission and status |
//! | `t/ID/CHUNK` | which of a chunk of the job's tasks are done, and where the others may run |

use std::fmt::Write as _;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::protocol::{
    ids::{Attempt, Incarnation},
    jobs::Submission,
};

/// Key of the leader, and prefix of the renewal keys.
pub const LEADER: &str = "leader";
/// Prefix of the jobs' keys.
pub const JOBS: &str = "j/";
/// Prefix of the chunks' keys.
pub const TASKS: &str = "t/";

/// The key of a controller that may renew leases without leading.
pub fn renewal_key(label: &str) -> String {
    format!("{LEADER}/{label}")
}

/// The key of a job.
pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The key of a chunk of a job's tasks.
pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("{TASKS}{id}/{chunk:06}")
}

/// The job and the number of a chunk's key.
pub fn split_chunk_key(key: &str) -> Option<(&str, u32)> {
    let (id, chunk) = key.strip_prefix(TASKS)?.rsplit_once('/')?;
    Some((id, chunk.parse().ok()?))
}

/// Status of a job. The last two are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Accepted, and not over. Recorded as `p`.
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
    /// What the user submitted. Recorded as `s`.
    #[serde(rename = "s")]
    pub submission: Submission,
    /// Status of the job. Recorded as `st`.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Time of day at acceptance, in ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Tasks per chunk record.
    #[serde(rename = "ch")]
    pub chunk: u32,
}

/// Record of a controller that leads, or may renew leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the controller. Recorded as `l`.
    #[serde(rename = "l")]
    pub label: String,
    /// Identifies the start of the process, or its grant.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Where one task may be running; encoded as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord(
    /// Task number.
    pub u32,
    /// Machine.
    pub String,
    /// The worker's incarnation.
    pub Incarnation,
    /// Attempt.
    pub Attempt,
    /// Zone.
    pub String,
);

/// Record of a chunk of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ChunkRecord {
    /// Done tasks as hex digits; the first task is the lowest bit of the first digit.
    #[serde(rename = "d")]
    pub done: String,
    /// Where the tasks that are not done may run. Recorded as `p`.
    #[serde(rename = "p")]
    pub assignments: Vec<AssignmentRecord>,
    /// Identifies the writer, which so recognizes its own late write.
    #[serde(rename = "w")]
    pub tag: u64,
}

/// Bytes of an [`AssignmentRecord`] in JSON form without the zone's name, at
/// most: fields of 6, 14, 7 and 20 bytes, brackets, quotes, commas and spaces;
/// and some in reserve.
const ASSIGNMENT_BYTES: f64 = 63.0;
/// Bytes of a [`ChunkRecord`] besides its assignments.
const CHUNK_OVERHEAD_BYTES: f64 = 64.0;
/// Tasks per hex digit of [`ChunkRecord::done`].
const TASKS_PER_DIGIT: usize = 4;
/// Fewest and most tasks per chunk. A larger chunk would make each write of it
/// more expensive, and conflicts more likely.
const MIN_CHUNK_SIZE: u32 = 4;
const MAX_CHUNK_SIZE: u32 = 128;

/// Tasks per chunk, so that the record of a full one stays below the limit of a
/// value. `zone_len` is the length of the longest name of a zone.
pub fn chunk_size(value_kb: f64, zone_len: usize) -> u32 {
    let assignment_bytes = ASSIGNMENT_BYTES + zone_len as f64;
    let fitting = ((value_kb * 1024.0 - CHUNK_OVERHEAD_BYTES) / assignment_bytes).max(0.0) as u32;
    let digit = TASKS_PER_DIGIT as u32;
    fitting.clamp(MIN_CHUNK_SIZE, MAX_CHUNK_SIZE) / digit * digit
}

/// Packs which tasks are done, for [`ChunkRecord::done`].
pub fn pack_done(done: impl Iterator<Item = bool>) -> String {
    let mut packed = String::new();
    let mut digit = 0u8;
    let mut count = 0;
    for is_done in done {
        digit |= u8::from(is_done) << (count % TASKS_PER_DIGIT);
        count += 1;
        if count % TASKS_PER_DIGIT == 0 {
            let _ = write!(packed, "{digit:x}");
            digit = 0;
        }
    }
    if count % TASKS_PER_DIGIT != 0 {
        let _ = write!(packed, "{digit:x}");
    }
    packed
}

/// Whether a task is done, by its position in the chunk.
pub fn is_done(packed: &str, position: usize) -> bool {
    let byte = packed.as_bytes().get(position / TASKS_PER_DIGIT);
    let digit = byte.and_then(|&byte| char::from(byte).to_digit(16));
    digit.is_some_and(|digit| digit >> (position % TASKS_PER_DIGIT) & 1 == 1)
}

/// A record as a value of the key-value store.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

// Sizes of JSON forms, in bytes, rounded up.
const JSON_WORD_BYTES: usize = 5;
const JSON_FLOAT_BYTES: usize = 20;
const JSON_OTHER_BYTES: usize = 32;
/// Bytes that escaping adds to a character: `\u0000` instead of one.
const JSON_ESCAPE_BYTES: usize = 5;
/// Brackets, braces or quotes around a value.
const JSON_DELIMITER_BYTES: usize = 2;

/// Size of a value as the service counts it, in JSON form, rounded up.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(_) => JSON_WORD_BYTES,
        Value::Integer(integer) => {
            let integer = i128::from(*integer);
            let further_digits = integer.unsigned_abs().checked_ilog10().unwrap_or(0) as usize;
            usize::from(integer < 0) + further_digits + 1
        }
        Value::Float(_) => JSON_FLOAT_BYTES,
        Value::Text(text) => {
            let escaped = text.bytes().filter(|byte| *byte < b' ' || matches!(byte, b'"' | b'\\')).count();
            text.len() + escaped * JSON_ESCAPE_BYTES + JSON_DELIMITER_BYTES
        }
        Value::Array(items) => JSON_DELIMITER_BYTES + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(entries) => {
            let entry_size = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 2;
            JSON_DELIMITER_BYTES + entries.iter().map(entry_size).sum::<usize>()
        }
        _ => JSON_OTHER_BYTES,
    }
}

#[cfg(test)]
#[path = "tests/records.rs"]
mod tests;
