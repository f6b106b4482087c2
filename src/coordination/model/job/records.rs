//! The records of a job in the key-value store, compared with its wanted state: the
//! assignments and completed tasks that the records should contain.
//!
//! The tasks of a job are split into chunks, each with its own record, so that each
//! value stays below the store's size limit.

use std::rc::Rc;

use crate::{coordination::model::Millis, protocol::ids::Revision, storage::records::JobRecord};

/// State of one chunk record (`t/`), which holds a part of a job's tasks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chunk {
    /// Version of the wanted state.
    pub version: u64,
    /// The version that the written record holds.
    pub committed_version: u64,
    /// The latest version that added an assignment. A gang is launched only after this
    /// version of each of its chunks is written.
    pub placement_version: u64,
    /// Revision of the written record; 0: there is no record.
    pub revision: Revision,
    /// The record is not written before this time, because its value exceeded the size
    /// limit.
    pub retry_at: Millis,
}

impl Chunk {
    /// Reports whether the wanted state differs from the written record.
    pub fn is_dirty(&self) -> bool {
        self.version != self.committed_version
    }

    /// Reports whether the chunk holds an assignment that is not written yet.
    pub fn has_unwritten_placement(&self) -> bool {
        self.placement_version > self.committed_version
    }
}

/// State of a job's records: their revisions, and which changes are not written yet.
#[derive(Debug)]
pub struct JobRecords {
    /// Revision of the job record.
    pub revision: Revision,
    /// Whether the known revision and status are out of date: a transaction found that
    /// the record had changed. Until the job cache contains the change, nothing of the job
    /// is written or assigned.
    pub stale: bool,
    /// Tasks per chunk.
    pub chunk_size: u32,
    /// State of the chunk records, by chunk number.
    pub chunks: Vec<Chunk>,
    /// Tasks per chunk according to the job record.
    pub recorded_chunk_size: u32,
    /// Whether a transaction is in flight that reshards the job, that is, splits its
    /// tasks into smaller chunks. Until it completes, no task of the job may be assigned.
    pub resharding: bool,
    /// The job record, as long as the job's chunks are too large for the reduced limit of
    /// the key-value store; `None`: they are not, or the transaction that reshards the job
    /// was refused as too large.
    pub oversized_record: Option<Rc<JobRecord>>,
    /// Since when changes wait to be written; `None`: no changes wait.
    pub unwritten_since: Option<Millis>,
}

impl JobRecords {
    /// Creates the state for a job with `tasks` tasks, before any of its chunks is
    /// written. `oversized_record`: the job record, if the chunks are too large for the
    /// reduced limit.
    pub fn new(revision: Revision, chunk_size: u32, tasks: u32, oversized_record: Option<Rc<JobRecord>>) -> JobRecords {
        JobRecords {
            revision,
            stale: false,
            chunk_size,
            chunks: vec![Chunk::default(); tasks.div_ceil(chunk_size) as usize],
            recorded_chunk_size: chunk_size,
            resharding: false,
            oversized_record,
            unwritten_since: None,
        }
    }
}
