//! Unfinished jobs and the state of their tasks.

use std::rc::Rc;

use super::{AssignmentIndex, JobFailures, Millis};
use crate::{
    protocol::{ids::Revision, jobs::JobSpec},
    storage::{
        job_cache::JobIndex,
        records::{JobRecord, JobStatus},
    },
};

/// Where one task of a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// Not assigned to any machine.
    Pending,
    /// Completed.
    Done,
    /// On a machine, or on its way there.
    At(AssignmentIndex),
}

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
    /// Its value is larger than may be written; not to be tried before.
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

/// Task counts of a job, as users see them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}

/// How the records of a job in the state service compare with its wanted state.
#[derive(Debug)]
pub struct JobRecords {
    /// Revision of its record.
    pub revision: Revision,
    /// A transaction found the record changed; wait until the job cache shows it.
    pub stale: bool,
    /// Tasks per chunk.
    pub chunk_size: u32,
    /// State of its chunk records, by chunk number.
    pub chunks: Vec<Chunk>,
    /// Tasks per chunk according to its record.
    pub recorded_chunk_size: u32,
    /// Its chunks are being resharded: none of its tasks may be assigned.
    pub resharding: bool,
    /// Its record, while that splits its tasks into chunks that are too large
    /// for the state service's lower limit.
    pub oversized_record: Option<Rc<JobRecord>>,
    /// Since when changes wait to be written.
    pub unwritten_since: Option<Millis>,
}

/// Where the tasks of a job stand.
#[derive(Debug)]
pub struct TaskTable {
    /// Where each task stands, by task number.
    pub slots: Vec<Slot>,
    /// Pending task numbers, the next one last.
    pub pending: Vec<u32>,
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that have an assignment.
    pub placed: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Its assignments by zone, if it restricts zones.
    pub zone_used: Vec<u32>,
}

/// How long a job has waited, and what holds it back.
#[derive(Debug)]
pub struct WaitState {
    /// Since when it may run, on the leader's steady clock; may lie before the
    /// clock's start.
    pub since: i64,
    /// Since when it waits without room, for preemption, rentals and the logs.
    pub waiting_since: Millis,
    /// None of its tasks are to be assigned before.
    pub not_before: Millis,
    /// No tasks are stopped for it before.
    pub next_preemption: Millis,
    /// A task completed, or ran long enough to count as a start.
    pub has_counted_start: bool,
    /// At least one of its tasks was assigned before.
    pub ever_assigned: bool,
}

/// Counts and times for the logs.
#[derive(Debug)]
pub struct JobStatistics {
    /// Tasks stopped by command, for the logs.
    pub stop_count: u32,
    /// Tasks lost with their machine, for the logs.
    pub lost_count: u32,
    /// When one of its tasks was last assigned, for the logs.
    pub last_assigned: Millis,
}

/// A job that is not over, or whose tasks are still somewhere.
#[derive(Debug)]
pub struct Job {
    /// Index of the job.
    pub index: JobIndex,
    /// Id of the job, as users see it.
    pub id: Rc<str>,
    /// What was submitted.
    pub spec: Rc<JobSpec>,
    /// How the records of a job in the state service compare with its wanted state.
    pub records: JobRecords,
    /// Status according to its record.
    pub status: JobStatus,
    /// How long a job has waited, and what holds it back.
    pub wait: WaitState,
    /// Where the tasks of a job stand.
    pub tasks: TaskTable,
    /// Failures of its tasks so far.
    pub failures: JobFailures,
    /// The progress last published to the other controllers.
    pub published: JobProgress,
    /// Within its team's guarantee, as of the last scheduling cycle.
    pub within_guarantee: bool,
    /// Counts and times for the logs.
    pub statistics: JobStatistics,
}

impl Job {
    /// Whether every task completed.
    pub fn all_done(&self) -> bool {
        self.tasks.done as usize == self.tasks.slots.len()
    }

    /// The chunk that holds a task.
    pub fn chunk_of(&self, task: u32) -> usize {
        (task / self.records.chunk_size) as usize
    }

    /// Marks a task's chunk as changed and returns its new version.
    pub fn touch(&mut self, task: u32) -> u64 {
        let chunk = self.chunk_of(task);
        self.records.chunks[chunk].version += 1;
        self.records.chunks[chunk].version
    }

    /// Whether any chunk differs from its written record.
    pub fn has_unwritten_changes(&self) -> bool {
        self.records.chunks.iter().any(Chunk::is_dirty)
    }

    /// Whether an assignment waits to be written.
    pub fn has_unwritten_placement(&self) -> bool {
        self.records.chunks.iter().any(Chunk::has_unwritten_placement)
    }

    /// Seconds since it became ready to run.
    pub fn age_s(&self, now: Millis) -> f64 {
        (now as i64 - self.wait.since) as f64 / 1000.0
    }

    /// Milliseconds since it began to wait for room; negative if that lies ahead.
    pub fn waited_ms(&self, now: Millis) -> i64 {
        now as i64 - self.wait.waiting_since as i64
    }

    /// All of its assignments, in the order of its tasks.
    pub fn assignments(&self) -> Vec<AssignmentIndex> {
        assignments_in(&self.tasks.slots)
    }

    /// The assignments of one chunk's tasks.
    pub fn assignments_of_chunk(&self, chunk: usize) -> Vec<AssignmentIndex> {
        let size = self.records.chunk_size as usize;
        let start = chunk * size;
        assignments_in(&self.tasks.slots[start..(start + size).min(self.tasks.slots.len())])
    }
}

fn assignments_in(slots: &[Slot]) -> Vec<AssignmentIndex> {
    let assigned = |slot: &Slot| match slot {
        Slot::At(assignment) => Some(*assignment),
        Slot::Pending | Slot::Done => None,
    };
    slots.iter().filter_map(assigned).collect()
}
