//! Adds the records of jobs to a transaction.

use std::ops::Range;

use ciborium::Value;

use super::{
    in_flight::{TransactionTag, WrittenChunk},
    transaction_builder::{OversizedChunk, TransactionBuilder},
    write_priority::WritePriority,
};
use crate::{
    coordination::{
        cluster::ClusterState,
        model::{Assignment, Chunk, Job, Millis, Slot},
    },
    protocol::{jobs::Submission, names::Interners},
    storage::records::{self, AssignmentRecord, ChunkRecord, JobRecord, JobStatus},
};

/// Writes the records of jobs so that they match the cluster state.
pub struct JobRecordWriter<'a> {
    /// The state to write.
    pub cluster: &'a ClusterState,
    /// Names of the items that the cluster state refers to by index.
    pub interners: &'a Interners,
    /// The current time on the monotonic clock, in ms.
    pub now: Millis,
    /// The current wall-clock time, in ms since the Unix epoch.
    pub wall_ms: u64,
    /// Whether the request budget covers more than the urgent writes.
    pub has_spare_budget: bool,
}

impl JobRecordWriter<'_> {
    /// Adds the records that are due, the most urgent first, until the
    /// transaction is full.
    pub fn add_due_jobs(&self, builder: &mut TransactionBuilder) {
        for (priority, job) in self.due_jobs() {
            if builder.is_full() {
                break;
            }
            let is_written = if priority == WritePriority::CompletedJob {
                self.add_completed_job(job, builder);
                true
            } else {
                self.add_due_chunks(job, priority, builder)
            };
            if is_written {
                builder.require(records::job_key(&job.id), job.records.revision);
            }
        }
    }

    /// Returns the jobs with records that are due, in the order in which they are written.
    fn due_jobs(&self) -> Vec<(WritePriority, &Job)> {
        let with_priority = |job| Some((WritePriority::of(job, self.now, self.has_spare_budget)?, job));
        let mut due: Vec<(WritePriority, &Job)> = self.cluster.active_jobs().filter_map(with_priority).collect();
        due.sort_unstable_by_key(|(priority, job)| (*priority, job.wait.ready_since, job.index));
        due
    }

    fn add_completed_job(&self, job: &Job, builder: &mut TransactionBuilder) {
        let submission = Submission { tasks: Some(f64::from(job.spec.tasks)), ..Submission::default() };
        // The next leader measures from this time how long the job's dependents have waited.
        let at_ms = self.wall_ms;
        let record = JobRecord { submission, status: JobStatus::Done, at_ms, tasks_per_chunk: job.records.chunk_size };
        let value = records::to_value(&record);
        let bytes = records::json_size(&value);
        builder.put(records::job_key(&job.id), value, bytes);
        builder.contents.completed_jobs.push(job.index);
    }

    /// Adds the job's chunks that are due. Returns whether any was added.
    fn add_due_chunks(&self, job: &Job, priority: WritePriority, builder: &mut TransactionBuilder) -> bool {
        let due = self.due_chunks(job, priority);
        // The chunks of a job are split over several transactions only if they don't fit
        // into an empty one.
        if !builder.accepts_job_writes(due.len()) {
            return false;
        }
        let writes_left = builder.writes_left();
        let mut is_written = false;
        for chunk in due.into_iter().take(writes_left) {
            if builder.has_reached_byte_limit() {
                break;
            }
            is_written |= self.add_chunk(job, chunk, builder);
        }
        is_written
    }

    fn due_chunks(&self, job: &Job, priority: WritePriority) -> Vec<usize> {
        let is_due = |chunk: &Chunk| {
            let needs_write = chunk.has_unwritten_placement() || (priority == WritePriority::Exits && chunk.is_dirty());
            self.now >= chunk.retry_at && needs_write
        };
        let chunks = job.records.chunks.iter().enumerate();
        chunks.filter(|(_, chunk)| is_due(chunk)).map(|(index, _)| index).collect()
    }

    /// Adds one chunk. Returns whether it was added; a chunk that is too large is not.
    fn add_chunk(&self, job: &Job, chunk: usize, builder: &mut TransactionBuilder) -> bool {
        let size = job.records.chunk_size as usize;
        let value = chunk_value(self.cluster, self.interners, job, chunk * size..(chunk + 1) * size, builder.tag());
        let bytes = records::json_size(&value);
        // A chunk that is too large must not be sent as it is: the store would refuse it
        // permanently.
        if bytes > self.cluster.value_limit() {
            builder.oversized_chunks.push(OversizedChunk { job: job.index, chunk });
            return false;
        }
        let key = records::chunk_key(&job.id, chunk as u32);
        let state = &job.records.chunks[chunk];
        builder.require(key.clone(), state.revision);
        builder.put(key, value, bytes);
        builder.contents.chunks.push(WrittenChunk { job: job.index, chunk, version: state.version });
        true
    }
}

/// Returns the chunk record of a range of a job's tasks; the range may extend beyond
/// the last task.
pub fn chunk_value(
    cluster: &ClusterState,
    interners: &Interners,
    job: &Job,
    tasks: Range<usize>,
    tag: TransactionTag,
) -> Value {
    let slots = &job.tasks.slots[tasks.start..tasks.end.min(job.tasks.slots.len())];
    let assigned = |slot: &Slot| match slot {
        Slot::Assigned(index) => cluster.assignment(*index),
        Slot::Pending | Slot::Done => None,
    };
    let to_record = |assignment| assignment_record(cluster, interners, assignment);
    let assignments = slots.iter().filter_map(assigned).map(to_record).collect();
    let done = records::pack_done(slots.iter().map(|slot| *slot == Slot::Done));
    records::to_value(&ChunkRecord { done, assignments, tag: tag.0 })
}

fn assignment_record(cluster: &ClusterState, interners: &Interners, assignment: &Assignment) -> AssignmentRecord {
    AssignmentRecord(
        assignment.task,
        cluster.machine(assignment.machine).id.clone(),
        assignment.incarnation,
        assignment.attempt,
        interners.zones.name(assignment.zone.0).to_owned(),
    )
}
