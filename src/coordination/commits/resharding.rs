//! Splits the tasks of a job into smaller chunks, once the store lowers its
//! limit on the size of a value: the old chunks' records might not fit any more.

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

/// Pause between two jobs that are resharded, and between two searches for one, in ms.
const RESHARD_INTERVAL_MS: Millis = 200;

/// What becomes of a chunk's record when its job is resharded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkWrite {
    Put,
    Delete,
    None,
}

/// Chooses the jobs that are to be resharded, one at a time.
#[derive(Debug, Default)]
pub struct Resharding {
    /// All controllers run a version that can follow a resharded job.
    is_enabled: bool,
    /// No job is resharded before.
    not_before: Millis,
}

impl Resharding {
    /// Sets whether all controllers run a version that can follow a resharded job.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    /// Whether a job is to be resharded now. `max_ops`: most writes of a
    /// transaction; `has_spare`: there is budget for more than what is urgent.
    pub fn is_due(&mut self, now: Millis, max_ops: usize, has_spare: bool, cluster: &ClusterState) -> bool {
        let is_due = self.candidate(now, max_ops, has_spare, cluster).is_some();
        if !is_due && now >= self.not_before {
            // The search looks at every job: it is not made on every call.
            self.not_before = now + RESHARD_INTERVAL_MS;
        }
        is_due
    }

    /// An unfinished job whose chunks were sized for a larger limit, and that
    /// can be resharded in one transaction.
    pub fn candidate<'a>(
        &self,
        now: Millis,
        max_ops: usize,
        has_spare: bool,
        cluster: &'a ClusterState,
    ) -> Option<&'a Job> {
        // Guard: a controller of the version before would go on with the old
        // chunks once it leads.
        if !self.is_enabled {
            return None;
        }
        // Until it must be done, it takes nothing from what somebody waits for.
        let is_required = cluster.value_limit() <= cluster.config().reduced_max_value_bytes;
        if !(is_required || has_spare) || now < self.not_before {
            return None;
        }
        let values_per_transaction = TRANSACTION_BYTES_LIMIT / cluster.config().reduced_max_value_bytes.max(1);
        let max_writes = max_ops.min(values_per_transaction).max(1);
        cluster.active_jobs().find(|job| {
            job.records.oversized_record.is_some()
                && job.status == JobStatus::Pending
                && !job.records.stale
                && !job.all_done()
                && write_count(job, cluster.config().reduced_chunk_size) < max_writes
        })
    }

    /// A job is being resharded: the next one has to wait.
    pub fn record_start(&mut self, now: Millis) {
        self.not_before = now + RESHARD_INTERVAL_MS;
    }
}

/// How many chunk records resharding a job writes or deletes.
fn write_count(job: &Job, chunk_size: u32) -> usize {
    chunk_writes(job, chunk_size).iter().filter(|write| **write != ChunkWrite::None).count()
}

/// What becomes of each chunk's record when its job is split into chunks of
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

/// The transaction that reshards a job, and what it writes.
pub fn reshard_transaction(
    cluster: &ClusterState,
    interners: &Interners,
    job: &Job,
    record: &JobRecord,
    tag: TransactionTag,
) -> (Transaction, TransactionContents) {
    let chunk_size = cluster.config().reduced_chunk_size;
    let record = JobRecord { chunk: chunk_size, ..record.clone() };
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
    // Guard: as for every transaction, only this leadership's writes count.
    transaction.conditions.push(Condition { key: records::LEADER_KEY.to_owned(), revision: cluster.term().0 });
    let versions = job.records.chunks.iter().map(|chunk| chunk.version).collect();
    let plan = ReshardPlan { job: job.index, slots: job.tasks.slots.clone(), versions, written_chunks };
    (transaction, TransactionContents { reshard: Some(plan), ..TransactionContents::default() })
}

/// The resharded records of a job were written, with this revision.
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

/// The transaction that reshards a job was certainly not applied.
pub fn reshard_aborted(cluster: &mut ClusterState, plan: &ReshardPlan) {
    if let Some(job) = cluster.job_mut(plan.job) {
        job.records.resharding = false;
    }
    cluster.adopt_recorded_sharding(plan.job);
    cluster.remove_if_finished(plan.job);
}
