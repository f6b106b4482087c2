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

/// Pause before an unanswered transaction is sent again, in ms.
const UNANSWERED_PAUSE_MS: Millis = 100;
/// Pause after a transaction within the lower limits was refused as too large, in ms.
const TOO_LARGE_PAUSE_MS: Millis = 1_000;

/// Another controller has written the leader's key: this one leads no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipLost;

impl fmt::Display for LeadershipLost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("another controller has written the leader's key")
    }
}

impl std::error::Error for LeadershipLost {}

impl CommitPipeline {
    /// Takes the outcome of the transaction that was sent.
    ///
    /// # Errors
    ///
    /// [`LeadershipLost`] if the transaction failed because of another leader.
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
            CommitOutcome::Unknown => self.unanswered(now, in_flight, cluster),
            CommitOutcome::Conflict(failed_keys) => return self.conflicted(in_flight, failed_keys, cluster),
        }
        Ok(())
    }

    /// A key asked for by [`CommitPipeline::resync_key`] was read: its value and
    /// its revision, or `None` if it doesn't exist.
    pub fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>, cluster: &mut ClusterState) {
        let Some(mut in_flight) = self.take_in_flight(cluster) else { return };
        let mut current_revision = Revision::ABSENT;
        if let Some((value, revision)) = found {
            current_revision = revision;
            let record = value.deserialized::<ChunkRecord>().unwrap_or_default();
            if record.tag == in_flight.tag.0 {
                // It was applied after all: everything in it has this one revision.
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

    /// It was certainly not executed. What it carried is written later, as it is
    /// by then, unless an earlier copy went unanswered: that one must be settled
    /// first.
    fn refused(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        self.pause_until(now + REFUSED_PAUSE_MS);
        if in_flight.has_copy_without_response {
            in_flight.schedule_resend();
            self.keep_in_flight(cluster, in_flight);
        } else {
            abort(cluster, &in_flight);
        }
    }

    /// Guard: it may yet be applied. The same transaction again, on the same
    /// conditions, can be applied only once in all.
    fn unanswered(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        self.pause_until(now + UNANSWERED_PAUSE_MS);
        in_flight.schedule_resend();
        in_flight.has_copy_without_response = true;
        self.keep_in_flight(cluster, in_flight);
    }

    /// Its conditions failed at these keys.
    fn conflicted(
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
        // Keys to be deleted that changed or are gone need no second look: the
        // next leader deletes what is left of a job that is over.
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

    /// The first refusal shows that the store's lower limits hold; what fits
    /// them and is refused all the same is cut smaller, and in the end left out.
    fn too_large(&mut self, now: Millis, mut in_flight: InFlightTransaction, cluster: &mut ClusterState) {
        let reduced_limit = cluster.config().reduced_max_value_bytes;
        if cluster.value_limit() > reduced_limit {
            tracing::warn!(value_bytes = reduced_limit, "value size limit lowered");
            cluster.records_mut().set_value_limit(reduced_limit);
            self.pause_until(now + REFUSED_PAUSE_MS);
        } else {
            self.pause_until(now + TOO_LARGE_PAUSE_MS);
            self.limit_ops_below(in_flight.transaction.writes.len());
            if in_flight.transaction.writes.len() == 1 {
                leave_out(cluster, now, &in_flight.contents);
            }
        }
        // Guard: an earlier copy went unanswered and may have been applied; who
        // wrote last is read first.
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

    /// Everything that it wrote has this revision now.
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
        settled(cluster, &contents.chunks);
    }
}

/// A transaction was certainly not applied: what it carried is written later,
/// as it is by then.
fn abort(cluster: &mut ClusterState, in_flight: &InFlightTransaction) {
    if let Some(plan) = &in_flight.contents.reshard {
        reshard_aborted(cluster, plan);
    }
    for key in &in_flight.contents.deleted_keys {
        let revision = in_flight.expected_revision(key);
        cluster.records_mut().delete_later(ObsoleteRecord { key: key.clone(), revision });
    }
    settled(cluster, &in_flight.contents.chunks);
}

/// A transaction is settled: jobs that were kept for it may be removed.
fn settled(cluster: &mut ClusterState, chunks: &[WrittenChunk]) {
    for written in chunks {
        cluster.remove_if_finished(written.job);
    }
    cluster.request_scheduling_cycle();
}

/// Leaves out, for a while, what is refused as too large even as the only write.
fn leave_out(cluster: &mut ClusterState, now: Millis, contents: &TransactionContents) {
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

/// A job's record changed under a transaction that expected `sent_revision`.
fn mark_stale(cluster: &mut ClusterState, id: &str, sent_revision: Revision) {
    for index in active_jobs_with_id(cluster, id) {
        // Unless the job cache has shown the change already.
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
