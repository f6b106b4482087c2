//! Loading, by a new leader, of the records that earlier leaders wrote.

use super::Leader;
use crate::{
    coordination::{
        cluster::{ClusterState, NewAssignment, ObsoleteRecord},
        model::{Job, Millis, Slot},
    },
    protocol::{names::Interners, store::KeyValue},
    storage::{
        job_cache::{JobCache, JobIndex},
        records::{self, AssignmentRecord, ChunkRecord, JobStatus},
    },
};

impl Leader {
    /// Adds the contents of a chunk record, read at the start of the leadership, to the
    /// cluster state. `wall_ms`: wall-clock time, in ms since the Unix epoch.
    pub fn load_chunk_record(
        &mut self,
        now: Millis,
        wall_ms: u64,
        pair: &KeyValue,
        job_cache: &JobCache,
        interners: &mut Interners,
    ) {
        let Some((id, chunk_number)) = records::split_chunk_key(&pair.key) else { return };
        let Some(index) = job_cache.find(id) else { return };
        if job_cache.get(index).status == JobStatus::Done {
            let obsolete = ObsoleteRecord { key: pair.key.clone(), revision: pair.revision };
            self.cluster.records_mut().queue_deletion(obsolete);
            return;
        }
        if !self.add_job_of_record(now, wall_ms, index, &pair.key, job_cache) {
            return;
        }
        let Ok(record) = pair.value.deserialized::<ChunkRecord>() else {
            tracing::error!(key = pair.key, "chunk record unreadable");
            return;
        };
        let Some(job) = self.cluster.job_mut(index) else { return };
        let Some(chunk) = job.records.chunks.get_mut(chunk_number as usize) else { return };
        chunk.revision = pair.revision;
        load_done_tasks(job, chunk_number, &record.done);
        load_assignments(&mut self.cluster, now, index, record.assignments, interners);
        // The record in the store matches the state just loaded.
        if let Some(job) = self.cluster.job_mut(index) {
            let chunk = &mut job.records.chunks[chunk_number as usize];
            chunk.version = chunk.version.max(1);
            chunk.committed_version = chunk.version;
        }
    }

    /// Adds the job that a chunk record belongs to, if it is not active yet.
    /// Returns whether it is active now.
    fn add_job_of_record(
        &mut self,
        now: Millis,
        wall_ms: u64,
        index: JobIndex,
        key: &str,
        job_cache: &JobCache,
    ) -> bool {
        if self.cluster.job(index).is_some() {
            return true;
        }
        // No task of a job with unfinished prerequisites can have been assigned. If
        // there is an assignment despite that, it must still be taken into account.
        if job_cache.has_unfinished_prerequisites(index) {
            tracing::error!(key, "chunk record of a job with unfinished prerequisites");
        }
        let Some(spec) = job_cache.effective_spec(index) else { return false };
        self.cluster.add_job(now, wall_ms, index, spec, job_cache);
        true
    }

    /// Completes the loading, once all records are read. `wall_ms`: wall-clock time, in
    /// ms since the Unix epoch.
    pub fn finish_loading(&mut self, now: Millis, wall_ms: u64, job_cache: &JobCache) {
        self.cluster.mark_loaded();
        self.commits.set_wall_clock(now, wall_ms);
        for index in job_cache.all() {
            if job_cache.get(index).status == JobStatus::Pending && self.cluster.job(index).is_none() {
                self.update_job(now, wall_ms, index, job_cache);
            }
        }
        for index in self.cluster.active_jobs().map(|job| job.index).collect::<Vec<_>>() {
            if job_cache.get(index).status == JobStatus::Cancelled {
                self.cluster.stop_job(now, index, 0.0);
            }
        }
        let placed: u32 = self.cluster.active_jobs().map(|job| job.tasks.placed).sum();
        tracing::info!(jobs = self.cluster.active_job_count(), placed, "records loaded");
        self.cluster.request_scheduling_cycle();
    }
}

/// Adds the assignments of a chunk record to the cluster state.
fn load_assignments(
    cluster: &mut ClusterState,
    now: Millis,
    job: JobIndex,
    assignments: Vec<AssignmentRecord>,
    interners: &mut Interners,
) {
    for AssignmentRecord(task, machine_id, incarnation, attempt, zone_name) in assignments {
        let zone = interners.zones.intern(&zone_name);
        let machine = cluster.find_or_add_machine(now, &machine_id, zone);
        cluster.machine_mut(machine).heartbeats.lease_renewed_at = now;
        let new = NewAssignment { job, task, machine, incarnation, attempt, zone };
        let Some(assignment_index) = cluster.add_assignment(now, new) else { continue };
        cluster.mark_recovered(now, assignment_index);
    }
}

/// Marks as done the tasks that a chunk record lists as done.
fn load_done_tasks(job: &mut Job, chunk_number: u32, packed_done: &str) {
    let first = chunk_number * job.records.chunk_size;
    let mut newly_done = 0;
    for offset in 0..job.records.chunk_size.min(job.spec.tasks.saturating_sub(first)) {
        let slot = &mut job.tasks.slots[(first + offset) as usize];
        if *slot == Slot::Pending && records::is_done(packed_done, offset as usize) {
            *slot = Slot::Done;
            newly_done += 1;
        }
    }
    if newly_done == 0 {
        return;
    }
    job.tasks.done += newly_done;
    job.wait.ever_assigned = true;
    job.wait.has_effective_start = true;
    let slots = &job.tasks.slots;
    job.tasks.pending.retain(|&task| slots[task as usize] == Slot::Pending);
}
