//! A new leader reads the records that earlier leaders wrote.

use ciborium::Value;

use super::Leader;
use crate::{
    coordination::{
        cluster::{NewAssignment, ObsoleteRecord},
        model::{Job, Millis, Slot},
    },
    protocol::{ids::Revision, names::Tables},
    storage::{
        job_cache::{JobCache, JobIndex},
        records::{self, AssignmentRecord, ChunkRecord, JobStatus},
    },
};

impl Leader {
    /// Takes in a chunk record read at the beginning.
    #[allow(clippy::too_many_arguments)]
    pub fn load(
        &mut self,
        now: Millis,
        wall_ms: u64,
        key: &str,
        value: &Value,
        revision: Revision,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let Some((id, chunk_number)) = records::split_chunk_key(key) else { return };
        let Some(index) = job_cache.find(id) else { return };
        self.cluster.reserve_job_slot(index);
        if job_cache.get(index).status == JobStatus::Done {
            self.cluster.records.delete_later(ObsoleteRecord { key: key.to_owned(), revision });
            return;
        }
        if self.cluster.jobs[index.at()].is_none() {
            // Guard: nothing of a job that still waits for others can have been
            // assigned. Were it so all the same, its assignments must count.
            if job_cache.waits(index) {
                tracing::error!(key, "a task record of a job that waits for others");
            }
            let Some(spec) = job_cache.effective_spec(index) else { return };
            self.cluster.add_job(now, wall_ms, index, spec, job_cache);
        }
        let Ok(record) = value.deserialized::<ChunkRecord>() else {
            tracing::error!(key, "a task record can't be read");
            return;
        };
        let Some(job) = self.cluster.jobs[index.at()].as_mut() else { return };
        let Some(chunk) = job.records.chunks.get_mut(chunk_number as usize) else { return };
        chunk.revision = revision;
        load_done_tasks(job, chunk_number, &record.done);
        self.load_assignments(now, index, record.assignments, tables);
        // What was read is what is written.
        if let Some(job) = self.cluster.jobs[index.at()].as_mut() {
            let chunk = &mut job.records.chunks[chunk_number as usize];
            chunk.version = chunk.version.max(1);
            chunk.committed_version = chunk.version;
        }
    }

    fn load_assignments(
        &mut self,
        now: Millis,
        job: JobIndex,
        assignments: Vec<AssignmentRecord>,
        tables: &mut Tables,
    ) {
        for AssignmentRecord(task, machine_id, incarnation, attempt, zone_name) in assignments {
            let zone = tables.zones.intern(&zone_name);
            let machine = self.cluster.machine_named(now, &machine_id, zone);
            self.cluster.machines[machine.at()].heartbeats.lease_renewed = now;
            let new = NewAssignment { job, task, machine, incarnation, attempt, zone };
            let Some(assignment_index) = self.cluster.add_assignment(now, new) else { continue };
            // Its launch may have been sent by an earlier leader.
            if let Some(assignment) = self.cluster.assignments.get_mut(assignment_index) {
                assignment.sent = Some(now);
                assignment.inherited = true;
            }
        }
    }

    /// All records are read.
    pub fn loaded(&mut self, now: Millis, wall_ms: u64, job_cache: &JobCache) {
        self.cluster.loaded = true;
        self.commits.set_wall_clock(now, wall_ms);
        for index in job_cache.all() {
            if job_cache.get(index).status == JobStatus::Pending && self.cluster.job(index).is_none() {
                self.job_update(now, wall_ms, index, job_cache);
            }
        }
        for index in self.cluster.active.clone() {
            if job_cache.get(index).status == JobStatus::Cancelled {
                self.cluster.stop_job(now, index, 0.0);
            }
        }
        let placed: u32 = self.cluster.active_jobs().map(|job| job.tasks.placed).sum();
        tracing::info!(jobs = self.cluster.active.len(), placed, "records read, leading");
        self.cluster.cycle_needed = true;
    }
}

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
    job.wait.has_counted_start = true;
    let slots = &job.tasks.slots;
    job.tasks.pending.retain(|&task| slots[task as usize] == Slot::Pending);
}
