//! Applies the outcome of a transaction to the cluster state.

use std::fmt;

use ciborium::Value;

use super::{
    applied::{chunk_applied, completion_applied},
    in_flight::{InFlightTransaction, TransactionContents, TransactionState, WrittenChunk},
    oversized::shrink_chunk,
    pipeline::CommitPipeline,
    resharding::{reshard_aborted, reshard_applied},
    transaction_builder::OversizedChunk,
};
use crate::{
    coordination::{
        cluster::{ClusterState, ObsoleteRecord},
        effects::{CommitOutcome, REFUSED_PAUSE_MS},
        model::Millis,
    },
    protocol::ids::Revision,
    storage::{
        job_cache::JobIndex,
        records::{self, ChunkRecord},
    },
};

/// Pause, in ms, before a transaction without a response is sent again.
const NO_RESPONSE_PAUSE_MS: Millis = 100;
/// Pause, in ms, after a transaction was refused as too large although it was within
/// the lower limits.
const TOO_LARGE_PAUSE_MS: Millis = 1_000;

/// Error of a leader whose key was written by another controller: the leadership has
/// ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipLost;

impl fmt::Display for LeadershipLost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("another controller has written the leader's key")
    }
}

impl std::error::Error for LeadershipLost {}

impl CommitPipeline {
    /// Processes the outcome of the transaction that was sent.
    ///
    /// # Errors
    ///
    /// [`LeadershipLost`] if the transaction failed because another controller has
    /// written the leader's key.
    pub fn finish(
        &mut self,
        now: Millis,
        outcome: CommitOutcome,
        cluster: &mut ClusterState,
    ) -> Result<(), LeadershipLost> {
        let Some(in_flight) = self.take_in_flight(cluster) else { return Ok(()) };
        match outcome {
            CommitOutcome::Applied(revision) => self.applied(now, &in_flight.contents, revision, cluster),
            CommitOutcome::Refused => self.refused(now, in_flight, cluster),
            CommitOutcome::TooLarge => self.too_large(now, in_flight, cluster),
            CommitOutcome::Unknown => self.outcome_unknown(now, in_flight, cluster),
            CommitOutcome::Conflict(failed_keys) => return self.handle_conflict(in_flight, failed_keys, cluster),
        }
        Ok(())
    }

    /// Processes the read of a key that [`CommitPipeline::resync_key`] returned.
    /// `found`: its value and its revision; None: the key doesn't exist.
    pub fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>, cluster: &mut ClusterState) {
        let Some(mut in_flight) = self.take_in_flight(cluster) else { return };
        let mut current_revision = Revision::ABSENT;
        if let Some((value, revision)) = found {
            current_revision = revision;
            let record = value.deserialized::<ChunkRecord>().unwrap_or_default();
            if record.tag == in_flight.tag.0 {
                // The transaction was applied: all records that it wrote have this revision.
                self.applied(now, &in_flight.contents, revision, cluster);
                return;
            }
        }
        set_chunk_revision(cluster, key, current_revision);
        if in_flight.key_resynced(key) {
            self.keep_in_flight(cluster, in_flight);
            return;
        }
        self.pause_until(now);
        abort(cluster, &in_flight);
    }

    /// Processes a refusal: this copy of the transaction was definitely not executed. If
    /// an earlier copy got no response, that copy must be settled first, so the transaction
    /// is sent again. Otherwise the transaction is dropped, and a later one writes the same
    /// records in their state at that time.
    fn refused(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        self.pause_until(now + REFUSED_PAUSE_MS);
        if in_flight.has_copy_without_response {
            in_flight.schedule_resend();
            self.keep_in_flight(cluster, in_flight);
        } else {
            abort(cluster, &in_flight);
        }
    }

    /// Schedules the same transaction again, because the copy that was sent may still
    /// be applied later. With the same conditions, at most one of the copies can be
    /// applied.
    fn outcome_unknown(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        self.pause_until(now + NO_RESPONSE_PAUSE_MS);
        in_flight.schedule_resend();
        in_flight.has_copy_without_response = true;
        self.keep_in_flight(cluster, in_flight);
    }

    /// Processes a conflict: the transaction's conditions failed at `failed_keys`.
    fn handle_conflict(
        &mut self,
        mut in_flight: InFlightTransaction,
        failed_keys: Vec<String>,
        cluster: &mut ClusterState,
    ) -> Result<(), LeadershipLost> {
        if failed_keys.iter().any(|key| key == records::LEADER_KEY) {
            return Err(LeadershipLost);
        }
        for key in &failed_keys {
            if let Some(id) = key.strip_prefix(records::JOB_KEY_PREFIX) {
                mark_stale(cluster, id, in_flight.expected_revision(key));
            }
        }
        let deleted_keys = &mut in_flight.contents.deleted_keys;
        // A key to be deleted that has changed or no longer exists is not read again:
        // the next leader deletes the remaining records of a finished job.
        let (undeletable, resync): (Vec<String>, Vec<String>) = failed_keys
            .into_iter()
            .filter(|key| key.starts_with(records::CHUNK_KEY_PREFIX))
            .partition(|key| deleted_keys.contains(key));
        deleted_keys.retain(|key| !undeletable.contains(key));
        if resync.is_empty() {
            abort(cluster, &in_flight);
        } else {
            in_flight.state = TransactionState::Resync(resync);
            self.keep_in_flight(cluster, in_flight);
        }
        Ok(())
    }

    /// Processes a refusal as too large. The first one shows that the store's lower
    /// limits are in effect. A transaction that is within them and is still refused is
    /// followed by smaller ones; a single write that is refused is left out.
    fn too_large(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        let reduced_limit = cluster.config().reduced_max_value_bytes;
        if cluster.value_limit() > reduced_limit {
            tracing::warn!(value_bytes = reduced_limit, "value size limit lowered");
            cluster.records_mut().set_value_limit(reduced_limit);
            self.pause_until(now + REFUSED_PAUSE_MS);
        } else {
            self.pause_until(now + TOO_LARGE_PAUSE_MS);
            self.limit_writes_below(in_flight.transaction.writes.len());
            if in_flight.transaction.writes.len() == 1 {
                handle_oversized_write(cluster, now, &in_flight.contents);
            }
        }
        // If an earlier copy got no response, it may have been applied: its keys are read
        // first, to learn which transaction wrote them last.
        if in_flight.has_copy_without_response {
            let keys = in_flight.written_chunk_keys();
            if !keys.is_empty() {
                in_flight.state = TransactionState::Resync(keys);
                self.keep_in_flight(cluster, in_flight);
                return;
            }
        }
        abort(cluster, &in_flight);
    }

    /// Processes an applied transaction: all records that it wrote have `revision` now.
    fn applied(&mut self, now: Millis, contents: &TransactionContents, revision: Revision, cluster: &mut ClusterState) {
        let statistics = self.statistics_mut();
        statistics.transactions += 1;
        statistics.completed_jobs += contents.completed_jobs.len() as u32;
        statistics.deleted_records += contents.deleted_keys.len() as u32;
        for written in &contents.chunks {
            chunk_applied(cluster, statistics, now, written, revision);
        }
        if let Some(plan) = &contents.reshard {
            reshard_applied(cluster, now, plan, revision);
        }
        for &index in &contents.completed_jobs {
            completion_applied(cluster, now, index, revision);
        }
        remove_finished_jobs(cluster, &contents.chunks);
    }
}

/// Drops a transaction that was definitely not applied. A later transaction writes the
/// same records in their state at that time.
fn abort(cluster: &mut ClusterState, in_flight: &InFlightTransaction) {
    if let Some(plan) = &in_flight.contents.reshard {
        reshard_aborted(cluster, plan);
    }
    for key in &in_flight.contents.deleted_keys {
        let revision = in_flight.expected_revision(key);
        cluster.records_mut().queue_deletion(ObsoleteRecord { key: key.clone(), revision });
    }
    remove_finished_jobs(cluster, &in_flight.contents.chunks);
}

/// Removes the finished jobs that were kept only until their transaction was settled.
fn remove_finished_jobs(cluster: &mut ClusterState, chunks: &[WrittenChunk]) {
    for written in chunks {
        cluster.remove_if_finished(written.job);
    }
    cluster.request_scheduling_cycle();
}

/// Handles a write that is refused as too large even on its own: a chunk is shrunk and
/// left out for some time, and a job's resharding isn't tried again.
fn handle_oversized_write(cluster: &mut ClusterState, now: Millis, contents: &TransactionContents) {
    for written in &contents.chunks {
        shrink_chunk(cluster, now, OversizedChunk { job: written.job, chunk: written.chunk });
    }
    for job in &contents.completed_jobs {
        tracing::error!(job = job.0, "completion record refused as too large");
    }
    if let Some(job) = contents.reshard.as_ref().and_then(|plan| cluster.job_mut(plan.job)) {
        job.records.oversized_record = None;
    }
}

/// Marks a job as stale: its record changed before a transaction that expected
/// `sent_revision` was executed.
fn mark_stale(cluster: &mut ClusterState, id: &str, sent_revision: Revision) {
    for index in active_jobs_with_id(cluster, id) {
        // If the revision differs, the job cache has shown the change already.
        if let Some(job) = cluster.job_mut(index).filter(|job| job.records.revision == sent_revision) {
            job.records.stale = true;
        }
    }
}

fn set_chunk_revision(cluster: &mut ClusterState, key: &str, revision: Revision) {
    let Some((id, chunk_number)) = records::split_chunk_key(key) else { return };
    for index in active_jobs_with_id(cluster, id) {
        let chunk = cluster.job_mut(index).and_then(|job| job.records.chunks.get_mut(chunk_number as usize));
        if let Some(chunk) = chunk {
            chunk.revision = revision;
        }
    }
}

fn active_jobs_with_id(cluster: &ClusterState, id: &str) -> Vec<JobIndex> {
    cluster.active_jobs().filter(|job| &*job.id == id).map(|job| job.index).collect()
}
