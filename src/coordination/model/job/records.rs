//! The records of a job in the key-value store, compared with its wanted state.
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
    /// The latest version that added an assignment. The launch is sent only after this
    /// version is written.
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

/// The records of a job in the key-value store, compared with its wanted state.
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
    /// The job record, as long as its chunks are too large for the key-value store's
    /// lower limit; `None`: they are not.
    pub oversized_record: Option<Rc<JobRecord>>,
    /// Since when changes wait to be written; `None`: no changes wait.
    pub unwritten_since: Option<Millis>,
}

impl JobRecords {
    /// Creates the records of a job with `tasks` tasks, of which no chunk is written
    /// yet. `oversized_record`: the job record, if its chunks are too large for the
    /// lower limit.
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
