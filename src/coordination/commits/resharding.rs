//! Records that a lowered limit of the state service makes too large: shrunk,
//! or resharded into smaller chunks.

use super::{pipeline::TxnContents, transactions::TXN_BYTES_LIMIT};
use crate::{
    coordination::{
        cluster::{AppliedPlan, ReshardPlan, TaskFate},
        leader::Leader,
        model::{Job, MachineIndex, Millis, Slot},
    },
    protocol::{
        ids::Revision,
        names::Tables,
        store::{Condition, Op, Txn},
    },
    storage::{
        job_cache::JobIndex,
        records::{self, JobRecord, JobStatus},
    },
};

/// Pause between two jobs that are resharded, and between two searches for one.
pub const RESHARD_GAP_MS: Millis = 200;
/// How long a chunk that is too large to be written is set aside.
const OVERSIZED_PAUSE_MS: Millis = 2_000;

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
    pub fn shrink_chunk(&mut self, now: Millis, index: JobIndex, chunk: usize) {
        let Some(job) = self.cluster.job_mut(index) else { return };
        let retry_at = now + OVERSIZED_PAUSE_MS;
        job.records.chunks[chunk].retry_at = retry_at;
        job.wait.not_before = job.wait.not_before.max(retry_at);
        let committed_version = job.records.chunks[chunk].committed_version;
        for assignment_index in job.assignments_of_chunk(chunk) {
            let is_unwritten = self
                .cluster
                .assignment(assignment_index)
                .is_some_and(|assignment| assignment.chunk_version > committed_version && assignment.never_launched());
            if is_unwritten {
                self.cluster.release_assignment(assignment_index, TaskFate::Unfinished);
            }
        }
    }

    /// An unfinished job whose chunks were sized for a larger limit, and that
    /// can be resharded in one transaction.
    pub fn reshard_candidate(&self, now: Millis, spare: bool) -> Option<&Job> {
        // Guard: a controller of the version before would go on with the old
        // chunks once it leads.
        if !self.commits.may_reshard {
            return None;
        }
        // Until it must be done, it takes nothing from what somebody waits for.
        let must = self.cluster.records.value_limit <= self.cluster.config.value_fit;
        if !(must || spare) || now < self.commits.reshard_after {
            return None;
        }
        let values_per_txn = TXN_BYTES_LIMIT / self.cluster.config.value_fit.max(1);
        let max_writes = self.cluster.config.txn_ops.min(self.commits.ops_cap).min(values_per_txn).max(1);
        self.cluster.active_jobs().find(|job| {
            job.records.oversized_record.is_some()
                && job.status == JobStatus::Pending
                && !job.records.stale
                && !job.all_done()
                && self.new_chunks(job).iter().filter(|chunk| **chunk != NewChunk::Nothing).count() < max_writes
        })
    }

    fn new_chunks(&self, job: &Job) -> Vec<NewChunk> {
        let new_chunk = |(chunk_number, slots): (usize, &[Slot])| {
            if slots.iter().any(|slot| *slot != Slot::Pending) {
                NewChunk::Put
            } else if job.records.chunks.get(chunk_number).is_some_and(|chunk| !chunk.revision.is_absent()) {
                NewChunk::Drop
            } else {
                NewChunk::Nothing
            }
        };
        job.tasks.slots.chunks(self.cluster.config.chunk_fit as usize).enumerate().map(new_chunk).collect()
    }

    /// A transaction that reshards a job, if one is to be resharded.
    pub fn reshard(&mut self, now: Millis, max_ops: usize, spare: bool, tables: &Tables) -> Option<Txn> {
        let job = self.reshard_candidate(now, spare)?;
        let job_index = job.index;
        let tag = self.commits.last_tag + 1;
        let (txn, plan) = self.reshard_txn(job, tag, tables)?;
        if txn.writes.len() > max_ops {
            return None;
        }
        self.commits.last_tag = tag;
        self.commits.reshard_after = now + RESHARD_GAP_MS;
        if let Some(job) = self.cluster.job_mut(job_index) {
            job.records.resharding = true;
        }
        let contents = TxnContents { reshard: Some(plan), ..TxnContents::default() };
        Some(self.commits.send(&mut self.cluster.records, txn, contents, tag))
    }

    fn reshard_txn(&self, job: &Job, tag: u64, tables: &Tables) -> Option<(Txn, ReshardPlan)> {
        let size = self.cluster.config.chunk_fit;
        let record = JobRecord { chunk: size, ..(**job.records.oversized_record.as_ref()?).clone() };
        let job_key = records::job_key(&job.id);
        let mut txn = Txn::default();
        txn.conditions.push(Condition { key: job_key.clone(), revision: job.records.revision });
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
            let revision = job.records.chunks.get(chunk_number).map_or(Revision::ABSENT, |chunk| chunk.revision);
            txn.conditions.push(Condition { key, revision });
        }
        // Guard: as for every transaction, only this leadership's writes count.
        txn.conditions.push(Condition { key: records::LEADER.to_owned(), revision: self.cluster.term.0 });
        let versions = job.records.chunks.iter().map(|chunk| chunk.version).collect();
        Some((txn, ReshardPlan { job: job.index, slots: job.tasks.slots.clone(), versions, written_chunks }))
    }

    /// The resharded records are written.
    pub(super) fn resharded(&mut self, now: Millis, plan: &ReshardPlan, revision: Revision) {
        let size = self.cluster.config.chunk_fit;
        let Some(job) = self.cluster.job_mut(plan.job) else { return };
        job.records.revision = job.records.revision.max(revision);
        job.records.recorded_chunk_size = size;
        job.records.unwritten_since = None;
        self.cluster.apply_sharding(plan.job, size, Some(AppliedPlan { plan, revision }));
        let Some(job) = self.cluster.job(plan.job) else { return };
        let machines: Vec<MachineIndex> = job
            .assignments()
            .into_iter()
            .filter_map(|index| self.cluster.assignment(index))
            .map(|assignment| assignment.machine)
            .collect();
        for machine in machines {
            self.cluster.dispatch_queue.schedule(now, machine);
        }
        self.cluster.remove_if_finished(plan.job);
    }
}
