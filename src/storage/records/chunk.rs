//! Chunk records: which of a job's tasks are done, and where the others may run.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::protocol::ids::{Attempt, Incarnation};

/// Assignment of one task to the machine where it may be running; encoded as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRecord(
    /// Number of the task.
    pub u32,
    /// Name of the machine.
    pub String,
    /// Incarnation of the worker.
    pub Incarnation,
    /// Number of the attempt.
    pub Attempt,
    /// Name of the zone.
    pub String,
);

/// Record of a chunk of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ChunkRecord {
    /// Done tasks as hex digits; the first task is the lowest bit of the first digit.
    #[serde(rename = "d")]
    pub done: String,
    /// Assignments of tasks that are not done. Recorded as `p`.
    #[serde(rename = "p")]
    pub assignments: Vec<AssignmentRecord>,
    /// Identifies the writer, so that it recognizes its own delayed write.
    #[serde(rename = "w")]
    pub tag: u64,
}

/// Maximum size, in bytes, of an [`AssignmentRecord`] in JSON form without the zone's
/// name: fields of 6, 14, 7 and 20 bytes, brackets, quotes, commas and spaces, plus a
/// margin.
const ASSIGNMENT_BYTES: f64 = 63.0;
/// Size, in bytes, of a [`ChunkRecord`] without its assignments.
const CHUNK_OVERHEAD_BYTES: f64 = 64.0;
/// Tasks per hex digit of [`ChunkRecord::done`].
const TASKS_PER_DIGIT: usize = 4;
/// Minimum and maximum number of tasks per chunk. A larger chunk would make each write
/// of it more expensive, and conflicts more likely.
const MIN_CHUNK_SIZE: u32 = 4;
const MAX_CHUNK_SIZE: u32 = 128;

/// Returns the number of tasks per chunk with which the record of a full chunk stays
/// below the size limit of a value. `zone_len` is the length, in bytes, of the longest
/// name of a zone.
pub fn chunk_size(value_kb: f64, zone_len: usize) -> u32 {
    let assignment_bytes = ASSIGNMENT_BYTES + zone_len as f64;
    let fitting = ((value_kb * 1024.0 - CHUNK_OVERHEAD_BYTES) / assignment_bytes).max(0.0) as u32;
    let tasks_per_digit = TASKS_PER_DIGIT as u32;
    fitting.clamp(MIN_CHUNK_SIZE, MAX_CHUNK_SIZE) / tasks_per_digit * tasks_per_digit
}

/// Encodes which tasks are done as hex digits, for [`ChunkRecord::done`].
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

/// Reports whether the task at a position in the chunk is done.
pub fn is_done(packed: &str, position: usize) -> bool {
    let byte = packed.as_bytes().get(position / TASKS_PER_DIGIT);
    let digit = byte.and_then(|&byte| char::from(byte).to_digit(16));
    digit.is_some_and(|digit| digit >> (position % TASKS_PER_DIGIT) & 1 == 1)
}
