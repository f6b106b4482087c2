//! Keys and values in the state service.
//!
//! `leader`: who leads, attached to its grant; `leader/LABEL`: a controller that
//! may keep workers' leases, attached to a grant of its own. `j/ID`: a job's record: its
//! submission and status. `t/ID/CHUNK`: where a part of its tasks may be.

use std::fmt::Write as _;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::protocol::jobs::Submission;

pub const LEADER: &str = "leader";
pub const JOBS: &str = "j/";
pub const TASKS: &str = "t/";

/// The key under which a controller says that it may keep leases.
pub fn renewal_key(label: &str) -> String {
    format!("{LEADER}/{label}")
}

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}

pub fn chunk_key(id: &str, chunk: u32) -> String {
    format!("{TASKS}{id}/{chunk:06}")
}

pub fn split_chunk_key(key: &str) -> Option<(&str, u32)> {
    let (id, n) = key.strip_prefix(TASKS)?.rsplit_once('/')?;
    Some((id, n.parse().ok()?))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    #[serde(rename = "p")]
    Pending,
    #[serde(rename = "c")]
    Cancelled,
    #[serde(rename = "d")]
    Done,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(rename = "s")]
    pub submission: Submission,
    #[serde(rename = "st")]
    pub status: Status,
    /// Time of day at acceptance, in ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Tasks per chunk record.
    #[serde(rename = "ch")]
    pub chunk: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    #[serde(rename = "l")]
    pub label: String,
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Where one task may be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord(
    /// Task number.
    pub u32,
    /// Machine.
    pub String,
    /// The worker's session.
    pub u64,
    /// Attempt.
    pub u64,
    /// Zone.
    pub String,
);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ChunkRecord {
    /// Done tasks, four to a hex digit, first task lowest bit of the first digit.
    #[serde(rename = "d")]
    pub done: String,
    #[serde(rename = "p")]
    pub assignments: Vec<AssignmentRecord>,
    /// Who wrote it, to tell one's own late write.
    #[serde(rename = "w")]
    pub tag: u64,
}

/// Tasks per chunk, so that a full one stays below the limit of a value.
/// `zone_len`: the longest name of a zone.
pub fn chunk_size(value_kb: f64, zone_len: usize) -> u32 {
    // A place in JSON form: five fields, of up to 6, 14, 7 and 20 bytes and the
    // zone's name, in brackets, with quotes, commas and perhaps spaces; and a bit.
    let assignment = 63.0 + zone_len as f64;
    const REST: f64 = 64.0;
    (((value_kb * 1024.0 - REST) / assignment).max(0.0) as u32).clamp(4, 128) / 4 * 4
}

pub fn pack_done(done: impl Iterator<Item = bool>) -> String {
    let mut out = String::new();
    let mut nibble = 0u8;
    let mut n = 0;
    for d in done {
        nibble |= u8::from(d) << (n % 4);
        n += 1;
        if n % 4 == 0 {
            let _ = write!(out, "{nibble:x}");
            nibble = 0;
        }
    }
    if n % 4 != 0 {
        let _ = write!(out, "{nibble:x}");
    }
    out
}

pub fn is_done(packed: &str, n: usize) -> bool {
    packed.as_bytes().get(n / 4).and_then(|&b| char::from(b).to_digit(16)).is_some_and(|d| d >> (n % 4) & 1 == 1)
}

pub fn to_value<T: Serialize>(v: &T) -> Value {
    Value::serialized(v).unwrap_or(Value::Null)
}

/// Size of a value as the service counts it, in JSON form, rounded up.
pub fn json_size(v: &Value) -> usize {
    match v {
        Value::Null | Value::Bool(_) => 5,
        Value::Integer(i) => {
            let n = i128::from(*i);
            usize::from(n < 0) + n.unsigned_abs().checked_ilog10().unwrap_or(0) as usize + 1
        }
        Value::Float(_) => 20,
        Value::Text(s) => s.len() + s.bytes().filter(|b| *b < 0x20 || matches!(b, b'"' | b'\\')).count() * 5 + 2,
        Value::Array(l) => 2 + l.iter().map(|x| json_size(x) + 1).sum::<usize>(),
        Value::Map(m) => 2 + m.iter().map(|(k, x)| json_size(k) + json_size(x) + 2).sum::<usize>(),
        _ => 32,
    }
}

#[cfg(test)]
#[path = "tests/records.rs"]
mod tests;
