//! Records that a lowered limit of the state service makes too large: shrunk,
//! or resharded into smaller chunks.

use super::{commits::TXN_BYTES_LIMIT, pipeline::TxnContents, Leader, TaskFate};
use crate::{
    coordination::model::{Chunk, ExitRecord, Job, MachineIndex, Millis, Slot},
    protocol::{
        ids::Revision,
        names::Tables,
        store::{Condition, Op, Txn},
        workers::split_task,
    },
    storage::{
        job_cache::JobIndex,
        records::{self, JobRecord, JobStatus},
    },
};

/// Pause between two jobs that are resharded, and between two searches for one.
pub(super) const RESHARD_GAP_MS: Millis = 200;
/// How long a chunk that is too large to be written is set aside.
const OVERSIZED_PAUSE_MS: Millis = 2_000;

/// A resharding under way, and the job as it was when its transaction was built.
#[derive(Debug)]
pub(super) struct ReshardPlan {
    pub job: JobIndex,
    slots: Vec<Slot>,
    /// Versions of the old chunks.
    versions: Vec<u64>,
    /// Those of the new chunks that have a record.
    written_chunks: Vec<usize>,
}

/// What is written under new chunk sizes, and the revision that it has.
struct AppliedPlan<'a> {
    plan: &'a ReshardPlan,
    revision: Revision,
}

/// What becomes of a chunk's record when its job is resharded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewChunk {
    Put,
    Drop,
    Nothing,
}

impl Leader {
    /// A chunk can't be written as it is: its assignments that are not written
    /// yet are released, the rest waits for ends.
    pub(super) fn shrink_chunk(&mut self, now: Millis, index: JobIndex, chunk: usize) {
        let Some(job) = self.job_mut(index) else { return };
        let retry_at = now + OVERSIZED_PAUSE_MS;
        job.chunks[chunk].retry_at = retry_at;
        job.not_before = job.not_before.max(retry_at);
        let committed_version = job.chunks[chunk].committed_version;
        for assignment_index in job.assignments_of_chunk(chunk) {
            let is_unwritten = self
                .assignment(assignment_index)
                .is_some_and(|assignment| assignment.chunk_version > committed_version && assignment.never_launched());
            if is_unwritten {
                self.release_assignment(assignment_index, TaskFate::Unfinished);
            }
        }
    }

    /// An unfinished job whose chunks were sized for a larger limit, and that
    /// can be resharded in one transaction.
    pub(super) fn reshard_candidate(&self, now: Millis, spare: bool) -> Option<&Job> {
        // Guard: a controller of the version before would go on with the old
        // chunks once it leads.
        if !self.may_reshard {
            return None;
        }
        // Until it must be done, it takes nothing from what somebody waits for.
        let must = self.value_limit <= self.cfg.value_fit;
        if !(must || spare) || now < self.transactions.reshard_after {
            return None;
        }
        let values_per_txn = TXN_BYTES_LIMIT / self.cfg.value_fit.max(1);
        let max_writes = self.cfg.txn_ops.min(self.transactions.ops_cap).min(values_per_txn).max(1);
        self.active_jobs().find(|job| {
            job.oversized_record.is_some()
                && job.status == JobStatus::Pending
                && !job.stale
                && !job.all_done()
                && self.new_chunks(job).iter().filter(|chunk| **chunk != NewChunk::Nothing).count() < max_writes
        })
    }

    fn new_chunks(&self, job: &Job) -> Vec<NewChunk> {
        let new_chunk = |(chunk_number, slots): (usize, &[Slot])| {
            if slots.iter().any(|slot| *slot != Slot::Pending) {
                NewChunk::Put
            } else if job.chunks.get(chunk_number).is_some_and(|chunk| !chunk.revision.is_absent()) {
                NewChunk::Drop
            } else {
                NewChunk::Nothing
            }
        };
        job.slots.chunks(self.cfg.chunk_fit as usize).enumerate().map(new_chunk).collect()
    }

    /// A transaction that reshards a job, if one is to be resharded.
    pub(super) fn reshard(&mut self, now: Millis, max_ops: usize, spare: bool, tables: &Tables) -> Option<Txn> {
        let job = self.reshard_candidate(now, spare)?;
        let job_index = job.index;
        let tag = self.transactions.last_tag + 1;
        let (txn, plan) = self.reshard_txn(job, tag, tables)?;
        if txn.writes.len() > max_ops {
            return None;
        }
        self.transactions.last_tag = tag;
        self.transactions.reshard_after = now + RESHARD_GAP_MS;
        if let Some(job) = self.job_mut(job_index) {
            job.resharding = true;
        }
        let contents = TxnContents { reshard: Some(plan), ..TxnContents::default() };
        Some(self.transactions.send(txn, contents, tag))
    }

    fn reshard_txn(&self, job: &Job, tag: u64, tables: &Tables) -> Option<(Txn, ReshardPlan)> {
        let size = self.cfg.chunk_fit;
        let record = JobRecord { chunk: size, ..(**job.oversized_record.as_ref()?).clone() };
        let job_key = records::job_key(&job.id);
        let mut txn = Txn::default();
        txn.conditions.push(Condition { key: job_key.clone(), revision: job.revision });
        txn.writes.push(Op::Put { key: job_key, v: records::to_value(&record), permit: None });
        let mut written_chunks = Vec::new();
        for (chunk_number, new_chunk) in self.new_chunks(job).into_iter().enumerate() {
            let key = records::chunk_key(&job.id, chunk_number as u32);
            match new_chunk {
                NewChunk::Nothing => continue,
                NewChunk::Drop => txn.writes.push(Op::Delete { key: key.clone() }),
                NewChunk::Put => {
                    let value = self.chunk_value_of(job, chunk_number * size as usize, size as usize, tag, tables);
                    txn.writes.push(Op::Put { key: key.clone(), v: value, permit: None });
                    written_chunks.push(chunk_number);
                }
            }
            let revision = job.chunks.get(chunk_number).map_or(Revision::ABSENT, |chunk| chunk.revision);
            txn.conditions.push(Condition { key, revision });
        }
        // Guard: as for every transaction, only this leadership's writes count.
        txn.conditions.push(Condition { key: records::LEADER.to_owned(), revision: self.term.0 });
        let versions = job.chunks.iter().map(|chunk| chunk.version).collect();
        Some((txn, ReshardPlan { job: job.index, slots: job.slots.clone(), versions, written_chunks }))
    }

    /// The resharded records are written.
    pub(super) fn resharded(&mut self, now: Millis, plan: &ReshardPlan, revision: Revision) {
        let size = self.cfg.chunk_fit;
        let Some(job) = self.job_mut(plan.job) else { return };
        job.revision = job.revision.max(revision);
        job.recorded_chunk_size = size;
        job.unwritten_since = None;
        self.apply_sharding(plan.job, size, Some(AppliedPlan { plan, revision }));
        let Some(job) = self.job(plan.job) else { return };
        let machines: Vec<MachineIndex> = job
            .assignments()
            .into_iter()
            .filter_map(|index| self.assignment(index))
            .map(|assignment| assignment.machine)
            .collect();
        for machine in machines {
            self.dispatch_queue.schedule(now, machine);
        }
        self.remove_if_finished(plan.job);
    }

    /// Its record says another chunk size than ours: a write of ours that was
    /// never answered. All chunks are written once more under that size.
    pub(super) fn adopt_recorded_sharding(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        if job.recorded_chunk_size != job.chunk_size && !job.resharding {
            self.apply_sharding(index, job.recorded_chunk_size, None);
        }
    }

    /// Splits a job's tasks into chunks of `size`. `applied`: what of it is
    /// written; otherwise all of it counts as unwritten.
    fn apply_sharding(&mut self, index: JobIndex, size: u32, applied: Option<AppliedPlan<'_>>) {
        let Some(job) = self.jobs.get_mut(index.at()).and_then(Option::as_mut) else { return };
        job.oversized_record = None;
        job.resharding = false;
        job.chunk_size = size.max(1);
        let chunk_count = job.spec.tasks.div_ceil(job.chunk_size) as usize;
        let version = u64::from(applied.is_some());
        job.chunks = vec![Chunk { version, committed_version: version, ..Chunk::default() }; chunk_count];
        if let Some(AppliedPlan { plan, revision }) = &applied {
            for &chunk in &plan.written_chunks {
                job.chunks[chunk].revision = *revision;
            }
        }
        for task in 0..job.spec.tasks {
            let slot = job.slots[task as usize];
            match &applied {
                // Guard: what changed while the transaction was under way isn't
                // written yet.
                Some(applied) if applied.plan.slots[task as usize] != slot => {
                    job.touch(task);
                }
                Some(_) => {}
                None if slot != Slot::Pending => {
                    let chunk = job.chunk_of(task);
                    job.chunks[chunk].version = 1;
                    job.chunks[chunk].placement_version = 1;
                }
                None => {}
            }
            if let Slot::At(assignment_index) = slot {
                if let Some(assignment) = self.assignments.get_mut(assignment_index) {
                    assignment.chunk_version = 1;
                }
            }
        }
        self.renumber_unreaped_exits(index, applied.as_ref());
    }

    /// Guard: an end is not reaped before it is written, under the new chunks
    /// either.
    fn renumber_unreaped_exits(&mut self, index: JobIndex, applied: Option<&AppliedPlan<'_>>) {
        let Some(job) = self.jobs.get(index.at()).and_then(Option::as_ref) else { return };
        let exits = self.machines.iter_mut().flat_map(|machine| &mut machine.unreaped_exits);
        for exit in exits.filter(|exit| exit.job == index) {
            let ExitRecord::WrittenWith { chunk: old_chunk, version: old_version } = exit.record else { continue };
            let Some((_, task)) = split_task(&exit.task) else { continue };
            let is_written =
                applied.is_some_and(|applied| applied.plan.versions.get(old_chunk).is_some_and(|v| old_version <= *v));
            let chunk = job.chunk_of(task);
            let current = job.chunks.get(chunk).map_or(0, |chunk| chunk.version);
            let version = if is_written { current.min(1) } else { current };
            exit.record = ExitRecord::WrittenWith { chunk, version };
        }
    }
}
