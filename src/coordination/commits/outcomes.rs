//! Takes in how a transaction ended.

use ciborium::Value;

use super::pipeline::{InFlightTxn, TxnState, WrittenChunk};
use crate::{
    coordination::{
        cluster::ObsoleteRecord,
        effects::{CommitOutcome, REFUSED_PAUSE_MS},
        leader::Leader,
        model::{AssignmentState, MachineIndex, Millis},
    },
    protocol::{ids::Revision, jobs::Kind, store::Op},
    storage::{
        job_cache::JobIndex,
        records::{self, ChunkRecord},
    },
};

/// Pause before an unanswered transaction is sent again.
const UNANSWERED_PAUSE_MS: Millis = 100;
/// Pause after a transaction within the lower limits was refused as too large.
const TOO_LARGE_PAUSE_MS: Millis = 1_000;

impl Leader {
    /// How the transaction under way ended. False: the leadership is lost.
    pub fn committed(&mut self, now: Millis, outcome: CommitOutcome) -> bool {
        let Some(mut in_flight) = self.commits.take_in_flight(&mut self.cluster.records) else { return true };
        match outcome {
            CommitOutcome::Done(revision) => self.applied(now, in_flight, revision),
            CommitOutcome::Refused => {
                self.commits.paused_until = now + REFUSED_PAUSE_MS;
                // Rebuilt from the wanted state as it is by then. But if an
                // earlier copy went unanswered, that one must be settled first.
                if in_flight.has_unanswered_copy {
                    in_flight.mark_returned();
                    self.commits.put_in_flight(&mut self.cluster.records, in_flight);
                } else {
                    self.give_back(in_flight);
                }
            }
            CommitOutcome::TooLarge => self.too_large(now, in_flight),
            CommitOutcome::Unknown => {
                // Guard: it may yet be applied. The same transaction again, on
                // the same conditions, can be applied only once in all.
                self.commits.paused_until = now + UNANSWERED_PAUSE_MS;
                in_flight.mark_returned();
                in_flight.has_unanswered_copy = true;
                self.commits.put_in_flight(&mut self.cluster.records, in_flight);
            }
            CommitOutcome::Conflict(failed_keys) => return self.conflicted(in_flight, failed_keys),
        }
        true
    }

    /// The transaction's conditions failed at these keys. False: another leader
    /// has written.
    fn conflicted(&mut self, mut in_flight: InFlightTxn, failed_keys: Vec<String>) -> bool {
        if failed_keys.iter().any(|key| key == records::LEADER) {
            return false;
        }
        for key in &failed_keys {
            if let Some(id) = key.strip_prefix(records::JOBS) {
                self.mark_stale(id, expected_revision(&in_flight, key));
            }
        }
        let contents = &mut in_flight.contents;
        // Keys to be dropped that changed or are gone need no second look: the
        // next leader drops what is left of a job that is over.
        let (lost, resync): (Vec<String>, Vec<String>) = failed_keys
            .into_iter()
            .filter(|key| key.starts_with(records::TASKS))
            .partition(|key| contents.dropped_keys.contains(key));
        contents.dropped_keys.retain(|key| !lost.contains(key));
        if resync.is_empty() {
            self.give_back(in_flight);
        } else {
            in_flight.state = TxnState::Resync(resync);
            self.commits.put_in_flight(&mut self.cluster.records, in_flight);
        }
        true
    }

    /// A job's record changed under a transaction that expected `sent_revision`.
    fn mark_stale(&mut self, id: &str, sent_revision: Revision) {
        for index in self.active_with_id(id) {
            // Unless the job cache has shown the change already.
            if let Some(job) = self.cluster.job_mut(index).filter(|job| job.records.revision == sent_revision) {
                job.records.stale = true;
            }
        }
    }

    fn active_with_id(&self, id: &str) -> Vec<JobIndex> {
        self.cluster.active_jobs().filter(|job| &*job.id == id).map(|job| job.index).collect()
    }

    /// The first 400 shows that the lower limits hold; what fits them and is
    /// refused all the same is cut smaller, and in the end set aside.
    fn too_large(&mut self, now: Millis, mut in_flight: InFlightTxn) {
        if self.cluster.records.value_limit > self.cluster.config.value_fit {
            tracing::warn!(bytes = self.cluster.config.value_fit, "values are kept smaller from now on");
            self.cluster.records.value_limit = self.cluster.config.value_fit;
            self.commits.paused_until = now + REFUSED_PAUSE_MS;
        } else {
            self.commits.paused_until = now + TOO_LARGE_PAUSE_MS;
            self.commits.ops_cap = (in_flight.txn.writes.len() / 2).max(1);
            if in_flight.txn.writes.len() == 1 {
                self.set_aside(now, &in_flight);
            }
        }
        // Guard: an earlier copy went unanswered and may have been applied; who
        // wrote last is read first.
        if in_flight.has_unanswered_copy {
            let chunk_key = |op: &Op| match op {
                Op::Put { key, .. } if key.starts_with(records::TASKS) => Some(key.clone()),
                _ => None,
            };
            let keys: Vec<String> = in_flight.txn.writes.iter().filter_map(chunk_key).collect();
            if !keys.is_empty() {
                in_flight.state = TxnState::Resync(keys);
                self.commits.put_in_flight(&mut self.cluster.records, in_flight);
                return;
            }
        }
        self.give_back(in_flight);
    }

    /// Sets aside what is refused as too large even as the only write.
    fn set_aside(&mut self, now: Millis, in_flight: &InFlightTxn) {
        for written in &in_flight.contents.chunks {
            self.shrink_chunk(now, written.job, written.chunk);
        }
        for job in &in_flight.contents.finished_jobs {
            tracing::error!(job = job.0, "the end of a job can't be written");
        }
        if let Some(job) = in_flight.contents.reshard.as_ref().and_then(|plan| self.cluster.job_mut(plan.job)) {
            job.records.oversized_record = None;
        }
    }

    /// A transaction was certainly not applied: what it carried is written
    /// later, as it is by then.
    fn give_back(&mut self, in_flight: InFlightTxn) {
        if let Some(plan) = &in_flight.contents.reshard {
            if let Some(job) = self.cluster.job_mut(plan.job) {
                job.records.resharding = false;
            }
            self.cluster.adopt_recorded_sharding(plan.job);
            self.cluster.remove_if_finished(plan.job);
        }
        for key in &in_flight.contents.dropped_keys {
            let revision = expected_revision(&in_flight, key);
            self.cluster.records.delete_later(ObsoleteRecord { key: key.clone(), revision });
        }
        self.after_settled(&in_flight.contents.chunks);
    }

    /// A transaction is settled: jobs that were kept for it may be forgotten.
    fn after_settled(&mut self, chunks: &[WrittenChunk]) {
        for written in chunks {
            self.cluster.remove_if_finished(written.job);
        }
        self.cluster.cycle_needed = true;
    }

    fn applied(&mut self, now: Millis, in_flight: InFlightTxn, revision: Revision) {
        let contents = &in_flight.contents;
        let statistics = &mut self.commits.statistics;
        statistics.txns += 1;
        statistics.finished_jobs += contents.finished_jobs.len() as u32;
        statistics.drops += contents.dropped_keys.len() as u32;
        for written in &contents.chunks {
            self.chunk_applied(now, written, revision);
        }
        if let Some(plan) = &contents.reshard {
            self.resharded(now, plan, revision);
        }
        for &index in &contents.finished_jobs {
            self.end_applied(now, index, revision);
        }
        self.after_settled(&contents.chunks);
    }

    fn chunk_applied(&mut self, now: Millis, written: &WrittenChunk, revision: Revision) {
        let Some(job) = self.cluster.jobs.get_mut(written.job.at()).and_then(Option::as_mut) else {
            tracing::debug!("records of a job that is over were written");
            return;
        };
        let chunk = &mut job.records.chunks[written.chunk];
        let statistics = &mut self.commits.statistics;
        if chunk.has_unwritten_placement() {
            statistics.placements += 1;
            statistics.waited_ms += now.saturating_sub(job.statistics.last_assigned);
        } else {
            statistics.ends += 1;
        }
        chunk.committed_version = chunk.committed_version.max(written.version);
        chunk.revision = revision;
        job.records.unwritten_since = None;
        // A gang's launches wait for the last of its records.
        let launchable =
            if job.spec.kind == Kind::Gang { job.assignments() } else { job.assignments_of_chunk(written.chunk) };
        let machines: Vec<MachineIndex> = launchable
            .into_iter()
            .filter_map(|index| self.cluster.assignment(index))
            .filter(|assignment| assignment.state == AssignmentState::Wanted)
            .map(|assignment| assignment.machine)
            .collect();
        for machine in machines {
            self.cluster.dispatch_queue.schedule(now, machine);
        }
    }

    fn end_applied(&mut self, now: Millis, index: JobIndex, revision: Revision) {
        if let Some(job) = self.cluster.job_mut(index) {
            job.records.revision = revision;
            let last_s = (job.statistics.last_assigned as i64 - job.wait.since) as f64 / 1000.0;
            tracing::info!(
                job = &*job.id,
                age_s = job.age_s(now),
                last_s,
                tasks = job.spec.tasks,
                est = job.spec.estimate_s,
                rank = ?job.spec.priority,
                stops = job.statistics.stop_count,
                losses = job.statistics.lost_count,
                "done"
            );
        }
        self.cluster.finish(index);
    }

    /// A key asked for by `resync_key` was read: its value and its revision.
    pub fn resynced(&mut self, now: Millis, key: &str, found: Option<(Value, Revision)>) {
        let Some(mut in_flight) = self.commits.take_in_flight(&mut self.cluster.records) else { return };
        let mut current_revision = Revision::ABSENT;
        if let Some((value, revision)) = found {
            current_revision = revision;
            let record = value.deserialized::<ChunkRecord>().unwrap_or_default();
            if record.tag == in_flight.tag {
                // It was applied after all: everything in it has this one revision.
                self.applied(now, in_flight, revision);
                return;
            }
        }
        self.set_chunk_revision(key, current_revision);
        if let TxnState::Resync(keys) = &mut in_flight.state {
            keys.retain(|other| other != key);
            if !keys.is_empty() {
                self.commits.put_in_flight(&mut self.cluster.records, in_flight);
                return;
            }
        }
        self.commits.paused_until = now;
        self.give_back(in_flight);
    }

    fn set_chunk_revision(&mut self, key: &str, revision: Revision) {
        let Some((id, chunk_number)) = records::split_chunk_key(key) else { return };
        for index in self.active_with_id(id) {
            let chunk = self.cluster.job_mut(index).and_then(|job| job.records.chunks.get_mut(chunk_number as usize));
            if let Some(chunk) = chunk {
                chunk.revision = revision;
            }
        }
    }
}

/// The revision that a transaction expects of a key.
fn expected_revision(in_flight: &InFlightTxn, key: &str) -> Revision {
    let conditions = &in_flight.txn.conditions;
    conditions.iter().find(|condition| condition.key == key).map_or(Revision::ABSENT, |condition| condition.revision)
}
