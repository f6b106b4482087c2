//! The records of a job in the key-value store, compared with its wanted state.
//!
//! The tasks of a job are split into chunks, each with a record of its own, so
//! that a value stays below the limit of the store.

use std::rc::Rc;

use crate::{coordination::model::Millis, protocol::ids::Revision, storage::records::JobRecord};

/// State of one chunk record (`t/`), which holds a part of a job's tasks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chunk {
    /// Version of the wanted state.
    pub version: u64,
    /// The version that the written record holds.
    pub committed_version: u64,
    /// The version that last gained an assignment: its launch waits for the write.
    pub placement_version: u64,
    /// Revision of the written record; 0: there is none.
    pub revision: Revision,
    /// Not written before: its value was larger than may be written.
    pub retry_at: Millis,
}

impl Chunk {
    /// Whether the wanted state differs from the written record.
    pub fn is_dirty(&self) -> bool {
        self.version != self.committed_version
    }

    /// Whether an assignment waits for the record to be written.
    pub fn has_unwritten_placement(&self) -> bool {
        self.placement_version > self.committed_version
    }
}

/// How the records of a job in the key-value store compare with its wanted state.
#[derive(Debug)]
pub struct JobRecords {
    /// Revision of its record.
    pub revision: Revision,
    /// The revision and the status known here are out of date: a transaction found
    /// the record changed. Nothing of the job is written or assigned until the job
    /// cache shows the change.
    pub stale: bool,
    /// Tasks per chunk.
    pub chunk_size: u32,
    /// State of its chunk records, by chunk number.
    pub chunks: Vec<Chunk>,
    /// Tasks per chunk according to its record.
    pub recorded_chunk_size: u32,
    /// A transaction is under way that reshards the job, that is, splits its tasks
    /// into smaller chunks. None of its tasks may be assigned meanwhile.
    pub resharding: bool,
    /// Its record, while that splits its tasks into chunks that are too large
    /// for the key-value store's lower limit.
    pub oversized_record: Option<Rc<JobRecord>>,
    /// Since when changes wait to be written.
    pub unwritten_since: Option<Millis>,
}

impl JobRecords {
    /// The records of a job of `tasks` tasks, of which no chunk is written yet.
    /// `oversized_record`: its record, if its chunks are too large for the lower limit.
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
