//! Splits the tasks of a job into smaller chunks, whose records also fit the store's
//! lower limit on the size of a value: once the store lowers its limit, the records of the
//! old chunks might exceed it. While there is spare request budget, jobs are split before
//! that.

use super::{
    in_flight::{TransactionContents, TransactionTag},
    job_records::chunk_value,
    transaction_builder::TRANSACTION_BYTES_LIMIT,
};
use crate::{
    coordination::{
        cluster::{AppliedPlan, ClusterState, ReshardPlan},
        model::{Job, Millis, Slot},
    },
    protocol::{
        ids::Revision,
        names::Interners,
        store::{Condition, Transaction, WriteOperation},
    },
    storage::records::{self, JobRecord, JobStatus},
};

/// Pause between the resharding of two jobs, and between two searches for a job to
/// reshard, in ms.
const RESHARD_INTERVAL_MS: Millis = 200;

/// The write to a chunk's record when its job is resharded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkWrite {
    Put,
    Delete,
    None,
}

/// Chooses the jobs to reshard, one at a time.
#[derive(Debug, Default)]
pub struct Resharding {
    /// Whether all controllers run a version that can follow a resharded job.
    is_enabled: bool,
    /// Earliest time of the next resharding, in ms.
    not_before: Millis,
}

impl Resharding {
    /// Sets whether all controllers run a version that can follow a resharded job.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Returns whether a job is due for resharding. `max_writes`: maximum number of writes
    /// in a transaction; `has_spare_budget`: the request budget covers more than the
    /// urgent writes.
    pub fn is_due(&mut self, now: Millis, max_writes: usize, has_spare_budget: bool, cluster: &ClusterState) -> bool {
        let is_due = self.candidate(now, max_writes, has_spare_budget, cluster).is_some();
        if !is_due && now >= self.not_before {
            // The search visits every job, so it isn't repeated on every call.
            self.not_before = now + RESHARD_INTERVAL_MS;
        }
        is_due
    }

    /// Returns an unfinished job whose chunks were sized for a larger limit and that can
    /// be resharded in one transaction.
    pub fn candidate<'a>(
        &self,
        now: Millis,
        max_writes: usize,
        has_spare_budget: bool,
        cluster: &'a ClusterState,
    ) -> Option<&'a Job> {
        // A controller that runs the previous version would continue with the old
        // chunks once it leads.
        if !self.is_enabled {
            return None;
        }
        // Until resharding is required, it must not use budget needed by writes that a
        // job or a user waits for.
        let is_required = cluster.value_limit() <= cluster.config().reduced_max_value_bytes;
        if !(is_required || has_spare_budget) || now < self.not_before {
            return None;
        }
        let values_per_transaction = TRANSACTION_BYTES_LIMIT / cluster.config().reduced_max_value_bytes.max(1);
        let max_writes = max_writes.min(values_per_transaction).max(1);
        cluster.active_jobs().find(|job| {
            job.records.oversized_record.is_some()
                && job.status == JobStatus::Pending
                && !job.records.stale
                && !job.all_done()
                && write_count(job, cluster.config().reduced_chunk_size) < max_writes
        })
    }

    /// Records that a job is being resharded, so that the next one waits.
    pub fn record_start(&mut self, now: Millis) {
        self.not_before = now + RESHARD_INTERVAL_MS;
    }
}

/// Returns the number of chunk records that resharding a job writes or deletes.
fn write_count(job: &Job, chunk_size: u32) -> usize {
    chunk_writes(job, chunk_size).iter().filter(|write| **write != ChunkWrite::None).count()
}

/// Returns the write to each chunk's record when its job is split into chunks of
/// `chunk_size` tasks.
fn chunk_writes(job: &Job, chunk_size: u32) -> Vec<ChunkWrite> {
    let chunk_write = |(chunk_number, slots): (usize, &[Slot])| {
        if slots.iter().any(|slot| *slot != Slot::Pending) {
            ChunkWrite::Put
        } else if job.records.chunks.get(chunk_number).is_some_and(|chunk| !chunk.revision.is_absent()) {
            ChunkWrite::Delete
        } else {
            ChunkWrite::None
        }
    };
    job.tasks.slots.chunks(chunk_size as usize).enumerate().map(chunk_write).collect()
}

/// Returns the transaction that reshards a job, and its contents.
pub fn reshard_transaction(
    cluster: &ClusterState,
    interners: &Interners,
    job: &Job,
    record: &JobRecord,
    tag: TransactionTag,
) -> (Transaction, TransactionContents) {
    let chunk_size = cluster.config().reduced_chunk_size;
    let record = JobRecord { tasks_per_chunk: chunk_size, ..record.clone() };
    let job_key = records::job_key(&job.id);
    let mut transaction = Transaction::default();
    transaction.conditions.push(Condition { key: job_key.clone(), revision: job.records.revision });
    transaction.writes.push(WriteOperation::Put { key: job_key, value: records::to_value(&record), store_lease: None });
    let mut written_chunks = Vec::new();
    for (chunk_number, write) in chunk_writes(job, chunk_size).into_iter().enumerate() {
        let key = records::chunk_key(&job.id, chunk_number as u32);
        match write {
            ChunkWrite::None => continue,
            ChunkWrite::Delete => transaction.writes.push(WriteOperation::Delete { key: key.clone() }),
            ChunkWrite::Put => {
                let size = chunk_size as usize;
                let tasks = chunk_number * size..(chunk_number + 1) * size;
                let value = chunk_value(cluster, interners, job, tasks, tag);
                transaction.writes.push(WriteOperation::Put { key: key.clone(), value, store_lease: None });
                written_chunks.push(chunk_number);
            }
        }
        let revision = job.records.chunks.get(chunk_number).map_or(Revision::ABSENT, |chunk| chunk.revision);
        transaction.conditions.push(Condition { key, revision });
    }
    // As every transaction, this one must fail once another leadership has begun.
    transaction.conditions.push(Condition { key: records::LEADER_KEY.to_owned(), revision: cluster.term().0 });
    let versions = job.records.chunks.iter().map(|chunk| chunk.version).collect();
    let plan = ReshardPlan { job: job.index, slots: job.tasks.slots.clone(), versions, written_chunks };
    (transaction, TransactionContents { reshard: Some(plan), ..TransactionContents::default() })
}

/// Applies the resharding of a job whose records were written with `revision`.
pub fn reshard_applied(cluster: &mut ClusterState, now: Millis, plan: &ReshardPlan, revision: Revision) {
    let chunk_size = cluster.config().reduced_chunk_size;
    let Some(job) = cluster.job_mut(plan.job) else { return };
    job.records.revision = job.records.revision.max(revision);
    job.records.recorded_chunk_size = chunk_size;
    job.records.unwritten_since = None;
    cluster.apply_sharding(plan.job, chunk_size, Some(AppliedPlan { plan, revision }));
    let Some(job) = cluster.job(plan.job) else { return };
    cluster.schedule_dispatch_for(now, job.assignments(), |_| true);
    cluster.remove_if_finished(plan.job);
}

/// Reverts to the recorded chunks: the transaction that reshards the job was
/// definitely not applied.
pub fn reshard_aborted(cluster: &mut ClusterState, plan: &ReshardPlan) {
    if let Some(job) = cluster.job_mut(plan.job) {
        job.records.resharding = false;
    }
    cluster.adopt_recorded_sharding(plan.job);
    cluster.remove_if_finished(plan.job);
}
