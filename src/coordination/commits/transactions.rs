//! Builds the transactions that write the wanted state, one at a time.

use ciborium::Value;

use super::{
    pipeline::{InFlightTxn, TxnContents, TxnState, WrittenChunk},
    resharding::RESHARD_GAP_MS,
};
use crate::{
    coordination::{
        leader::Leader,
        model::{Chunk, Job, Millis, Slot},
    },
    protocol::{
        ids::Revision,
        jobs::{Priority, Submission},
        names::Tables,
        store::{Condition, Op, Txn},
    },
    storage::{
        job_cache::JobIndex,
        records::{self, AssignmentRecord, ChunkRecord, JobRecord, JobStatus},
    },
};

/// Ends of tasks wait this long for others to be written with them.
const EXITS_DELAY_MS: Millis = 8_000;
/// The same when there is budget to spare.
const EXITS_DELAY_SPARE_MS: Millis = 1_500;
/// Bytes of values after which a transaction takes no more; well below the
/// size of a request that the state service takes.
pub const TXN_BYTES_LIMIT: usize = 48 * 1024;
/// Bytes of a write besides its value: its key, its condition and the framing.
const WRITE_OVERHEAD_BYTES: usize = 64;
/// Obsolete records dropped in one transaction.
const DROPS_PER_TXN: usize = 4;
/// Pause between transactions that drop obsolete records.
const DROP_GAP_MS: Millis = 800;

/// How urgently a job's records are to be written, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteClass {
    FinishedJob,
    ProductionPlacement,
    HighPlacement,
    NormalPlacement,
    LowPlacement,
    Ends,
}

/// A chunk whose value is too large to be written.
struct OversizedChunk {
    job: JobIndex,
    chunk: usize,
}

/// A transaction as it is put together.
struct TxnBuilder {
    txn: Txn,
    contents: TxnContents,
    oversized: Vec<OversizedChunk>,
    max_ops: usize,
    bytes: usize,
    tag: u64,
}

impl TxnBuilder {
    fn ops_left(&self) -> usize {
        self.max_ops.saturating_sub(self.txn.writes.len())
    }

    fn is_full(&self) -> bool {
        self.ops_left() == 0 || self.bytes > TXN_BYTES_LIMIT
    }

    fn put(&mut self, key: String, value: Value, value_bytes: usize) {
        self.bytes += value_bytes + WRITE_OVERHEAD_BYTES;
        self.txn.writes.push(Op::Put { key, v: value, permit: None });
    }

    fn require(&mut self, key: String, revision: Revision) {
        self.txn.conditions.push(Condition { key, revision });
    }
}

/// How urgently a job's records are to be written, if at all. Ends wait for one
/// another: nothing but the reaping of what has ended depends on them, and a
/// later leader learns them from the workers.
fn write_class(job: &Job, now: Millis, spare: bool) -> Option<WriteClass> {
    if job.records.stale || job.records.resharding {
        return None;
    }
    if job.status != JobStatus::Pending {
        return None; // its records are dropped once all of it is gone
    }
    if job.all_done() {
        return Some(WriteClass::FinishedJob);
    }
    if job.has_unwritten_placement() {
        return Some(match job.spec.priority {
            Priority::Production => WriteClass::ProductionPlacement,
            Priority::High => WriteClass::HighPlacement,
            Priority::Normal => WriteClass::NormalPlacement,
            Priority::Low => WriteClass::LowPlacement,
        });
    }
    let waited_ms = now.saturating_sub(job.records.unwritten_since?);
    let delay_ms = if spare { EXITS_DELAY_SPARE_MS } else { EXITS_DELAY_MS };
    (waited_ms >= delay_ms).then_some(WriteClass::Ends)
}

impl Leader {
    fn chunk_value(&self, job: &Job, chunk: usize, tag: u64, tables: &Tables) -> Value {
        let size = job.records.chunk_size as usize;
        self.chunk_value_of(job, chunk * size, size, tag, tables)
    }

    /// The record of the `size` tasks from number `from` on.
    pub fn chunk_value_of(&self, job: &Job, from: usize, size: usize, tag: u64, tables: &Tables) -> Value {
        let to = (from + size).min(job.tasks.slots.len());
        let assigned = |slot: &Slot| match slot {
            Slot::At(index) => self.cluster.assignment(*index),
            Slot::Pending | Slot::Done => None,
        };
        let assignments = job.tasks.slots[from..to]
            .iter()
            .filter_map(assigned)
            .map(|assignment| {
                AssignmentRecord(
                    assignment.task,
                    self.cluster.machine(assignment.machine).id.clone(),
                    assignment.incarnation,
                    assignment.attempt,
                    tables.zones.name(assignment.zone.0).to_owned(),
                )
            })
            .collect();
        let done = records::pack_done(job.tasks.slots[from..to].iter().map(|slot| *slot == Slot::Done));
        records::to_value(&ChunkRecord { done, assignments, tag })
    }

    /// Whether a transaction may be sent: none is unanswered, and no pause is kept
    /// after one that failed.
    pub fn may_commit(&self, now: Millis) -> bool {
        let is_sent = |in_flight: &InFlightTxn| matches!(in_flight.state, TxnState::Sent);
        now >= self.commits.paused_until && !self.commits.in_flight.as_ref().is_some_and(is_sent)
    }

    /// A key to read before the next transaction.
    pub fn resync_key(&self) -> Option<&str> {
        match &self.commits.in_flight.as_ref()?.state {
            TxnState::Resync(keys) => keys.last().map(String::as_str),
            TxnState::Sent | TxnState::Resend => None,
        }
    }

    /// Whether something is to be written. `spare`: there is budget for more
    /// than what is urgent.
    pub fn has_writes(&mut self, now: Millis, spare: bool) -> bool {
        self.note_unwritten_changes(now);
        let reshards = self.reshard_candidate(now, spare).is_some();
        if !reshards && now >= self.commits.reshard_after {
            // The search looks at every job: it is not made on every call.
            self.commits.reshard_after = now + RESHARD_GAP_MS;
        }
        reshards
            || self.commits.in_flight.is_some()
            || (spare && self.cluster.records.has_obsolete())
            || self.cluster.active_jobs().any(|job| write_class(job, now, spare).is_some())
    }

    fn note_unwritten_changes(&mut self, now: Millis) {
        for &index in &self.cluster.active {
            let Some(job) = self.cluster.jobs.get_mut(index.at()).and_then(Option::as_mut) else { continue };
            if job.records.unwritten_since.is_none() && job.has_unwritten_changes() {
                job.records.unwritten_since = Some(now);
            }
        }
    }

    /// The next transaction of at most `max_ops` writes: jobs that are done
    /// first, then placements by priority, then ends that have waited; a job
    /// whose chunks don't fit waits for the next one. An unanswered transaction
    /// is sent again as it was.
    pub fn commit(&mut self, now: Millis, max_ops: usize, spare: bool, tables: &Tables) -> Option<Txn> {
        if let Some(in_flight) = &mut self.commits.in_flight {
            if !matches!(in_flight.state, TxnState::Resend) {
                return None;
            }
            in_flight.state = TxnState::Sent;
            return Some(in_flight.txn.clone());
        }
        let max_ops = max_ops.min(self.cluster.config.txn_ops).min(self.commits.ops_cap);
        if let Some(txn) = self.reshard(now, max_ops, spare, tables) {
            return Some(txn);
        }
        self.commits.last_tag += 1;
        let mut builder = TxnBuilder {
            txn: Txn::default(),
            contents: TxnContents::default(),
            oversized: Vec::new(),
            max_ops,
            bytes: 0,
            tag: self.commits.last_tag,
        };
        self.add_jobs(now, spare, tables, &mut builder);
        for oversized in std::mem::take(&mut builder.oversized) {
            self.shrink_chunk(now, oversized.job, oversized.chunk);
        }
        if spare {
            self.add_drops(now, &mut builder);
        }
        if builder.txn.writes.is_empty() {
            return None;
        }
        // Guard: whoever leads by the time it is applied, only this
        // leadership's writes count.
        builder.require(records::LEADER.to_owned(), self.cluster.term.0);
        Some(self.commits.send(&mut self.cluster.records, builder.txn, builder.contents, builder.tag))
    }

    fn add_jobs(&self, now: Millis, spare: bool, tables: &Tables, builder: &mut TxnBuilder) {
        let mut order: Vec<(WriteClass, &Job)> =
            self.cluster.active_jobs().filter_map(|job| Some((write_class(job, now, spare)?, job))).collect();
        order.sort_unstable_by_key(|(class, job)| (*class, job.wait.since, job.index));
        for (class, job) in order {
            if builder.is_full() {
                break;
            }
            let is_written = match class {
                WriteClass::FinishedJob => {
                    self.add_finished_job(now, job, builder);
                    true
                }
                _ => self.add_chunks(now, job, class, tables, builder),
            };
            if is_written {
                builder.require(records::job_key(&job.id), job.records.revision);
            }
        }
    }

    fn add_finished_job(&self, now: Millis, job: &Job, builder: &mut TxnBuilder) {
        let submission = Submission { tasks: Some(f64::from(job.spec.tasks)), ..Submission::default() };
        // The next leader counts from here how long its dependents have waited.
        let at_ms = (now as i64 + self.commits.wall_clock_offset_ms).max(0) as u64;
        let record = JobRecord { submission, status: JobStatus::Done, at_ms, chunk: job.records.chunk_size };
        let value = records::to_value(&record);
        let bytes = records::json_size(&value);
        builder.put(records::job_key(&job.id), value, bytes);
        builder.contents.finished_jobs.push(job.index);
    }

    /// Adds the job's chunks that are due. False: none was added.
    fn add_chunks(&self, now: Millis, job: &Job, class: WriteClass, tables: &Tables, builder: &mut TxnBuilder) -> bool {
        let is_due = |chunk: &Chunk| {
            let is_wanted = chunk.has_unwritten_placement() || (class == WriteClass::Ends && chunk.is_dirty());
            now >= chunk.retry_at && is_wanted
        };
        let due: Vec<usize> =
            (0..job.records.chunks.len()).filter(|&chunk| is_due(&job.records.chunks[chunk])).collect();
        let ops_left = builder.ops_left();
        // A job is split only if it alone is more than a transaction takes.
        if due.len() > ops_left && ops_left < builder.max_ops {
            return false;
        }
        let mut is_written = false;
        for chunk in due.into_iter().take(ops_left) {
            if builder.bytes > TXN_BYTES_LIMIT {
                break;
            }
            let value = self.chunk_value(job, chunk, builder.tag, tables);
            let bytes = records::json_size(&value);
            // Guard: what is too large is never sent again as it is; it would
            // be refused for ever.
            if bytes > self.cluster.records.value_limit {
                builder.oversized.push(OversizedChunk { job: job.index, chunk });
                continue;
            }
            let key = records::chunk_key(&job.id, chunk as u32);
            let state = &job.records.chunks[chunk];
            builder.require(key.clone(), state.revision);
            builder.put(key, value, bytes);
            builder.contents.chunks.push(WrittenChunk { job: job.index, chunk, version: state.version });
            is_written = true;
        }
        is_written
    }

    /// Records of jobs that are over are dropped slowly: a large job's must not
    /// take the budget from anything that somebody waits for.
    fn add_drops(&mut self, now: Millis, builder: &mut TxnBuilder) {
        if now < self.commits.drop_after {
            return;
        }
        for _ in 0..builder.ops_left().min(DROPS_PER_TXN) {
            let Some(record) = self.cluster.records.pop_obsolete() else { break };
            self.commits.drop_after = now + DROP_GAP_MS;
            builder.require(record.key.clone(), record.revision);
            builder.txn.writes.push(Op::Delete { key: record.key.clone() });
            builder.contents.dropped_keys.push(record.key);
        }
    }
}
