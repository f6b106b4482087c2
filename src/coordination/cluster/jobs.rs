//! Lifecycle of a job: it is added, changed, stopped, completed and removed.

use std::rc::Rc;

use super::{records::ObsoleteRecord, ClusterState, ReleaseReason};
use crate::{
    coordination::model::{
        AssignmentIndex, ExitRecord, Halt, Job, JobFailures, JobRecords, JobStatistics, Millis, PendingReap, TaskTable,
        WaitState,
    },
    protocol::{ids::Revision, jobs::JobSpec, peers::TaskCounts},
    storage::{
        job_cache::{JobCache, JobIndex, JobProgress},
        records::{self, JobStatus},
    },
};

/// Maximum age of a job, in ms (about 35 years); a greater age is reduced to it.
/// Otherwise a wall clock that is far off could overflow the times computed from it.
const MAX_JOB_AGE_MS: u64 = 1 << 40;

impl ClusterState {
    /// Applies a new or changed job record from the job cache. `wall_ms`: the wall
    /// clock, in ms since the Unix epoch.
    pub fn apply_job_record(&mut self, now: Millis, wall_ms: u64, index: JobIndex, job_cache: &JobCache) {
        match (self.job(index).is_some(), job_cache.get(index).status) {
            // Until the completion of all its prerequisites is written, a job takes
            // part in no placement trial and uses no part of any limit or guarantee.
            (false, JobStatus::Pending) if job_cache.has_unfinished_prerequisites(index) => return,
            (false, JobStatus::Pending) => {
                let Some(spec) = job_cache.effective_spec(index) else { return };
                self.add_job(now, wall_ms, index, spec, job_cache);
            }
            (true, JobStatus::Pending) => self.apply_record_change(index, job_cache),
            (true, JobStatus::Cancelled) => self.apply_cancellation(now, index, job_cache.get(index).revision),
            (true, JobStatus::Done) => self.complete_job(index),
            (false, JobStatus::Cancelled | JobStatus::Done) => {}
        }
        self.cycle_requested = true;
    }

    /// Applies a changed record of an unfinished job.
    fn apply_record_change(&mut self, index: JobIndex, job_cache: &JobCache) {
        let entry = job_cache.get(index);
        if let Some(job) = self.jobs.get_mut(index) {
            job.records.revision = entry.revision;
            job.records.stale = false;
            job.records.recorded_chunk_size = entry.tasks_per_chunk;
        }
        self.adopt_recorded_sharding(index);
        if let Some(spec) = job_cache.effective_spec(index) {
            self.update_spec(index, spec);
        }
    }

    /// Applies a cancellation found in a job's record, which has this revision.
    fn apply_cancellation(&mut self, now: Millis, index: JobIndex, revision: Revision) {
        let Some(job) = self.jobs.get_mut(index) else { return };
        job.records.revision = revision;
        job.records.stale = false;
        if job.status != JobStatus::Cancelled {
            job.status = JobStatus::Cancelled;
            tracing::info!(job = &*job.id, "job cancelled");
            self.progress_feed.mark_changed(index);
            self.stop_job(now, index, 0.0);
        }
    }

    /// Replaces the spec of a job whose priority or deadline changed because of the
    /// jobs that depend on it.
    fn update_spec(&mut self, index: JobIndex, spec: Rc<JobSpec>) {
        let Some(job) = self.jobs.get_mut(index) else { return };
        if *job.spec == *spec {
            return;
        }
        let previous = std::mem::replace(&mut job.spec, spec.clone());
        for assignment_index in job.assignments() {
            let Some(assignment) = self.assignments.get(assignment_index) else { continue };
            let host = assignment.machine.as_usize();
            let is_stopping = assignment.halt.is_some();
            // The snapshot keeps the used capacity by priority, from which preemption
            // computes how much capacity it may free, so the task's share is moved to the
            // new priority.
            self.snapshot.remove_task(host, &previous, is_stopping);
            self.snapshot.add_task(host, &spec);
            if is_stopping {
                self.snapshot.mark_stopping(host, &spec);
            }
        }
    }

    /// Adds a job from the job cache. Its age is computed from `wall_ms`, the wall
    /// clock in ms since the Unix epoch.
    pub(in crate::coordination) fn add_job(
        &mut self,
        now: Millis,
        wall_ms: u64,
        index: JobIndex,
        spec: Rc<JobSpec>,
        job_cache: &JobCache,
    ) {
        let entry = job_cache.get(index);
        let is_oversized =
            entry.tasks_per_chunk > self.config.reduced_chunk_size && spec.tasks > self.config.reduced_chunk_size;
        let oversized_record = entry.record.clone().filter(|_| is_oversized);
        let age_ms = wall_ms.saturating_sub(job_cache.ready_ms(index)).min(MAX_JOB_AGE_MS) as i64;
        self.jobs.insert(Job {
            index,
            id: entry.id.clone(),
            records: JobRecords::new(entry.revision, entry.tasks_per_chunk, spec.tasks, oversized_record),
            status: entry.status,
            wait: WaitState::new(now, age_ms),
            tasks: TaskTable::new(spec.tasks),
            spec,
            failures: JobFailures::default(),
            published: JobProgress::default(),
            within_guarantee: false,
            statistics: JobStatistics::new(now),
        });
    }

    /// Stops all tasks of a job, with a grace period of `grace_s` seconds. Tasks that
    /// were never launched are released immediately.
    pub fn stop_job(&mut self, now: Millis, index: JobIndex, grace_s: f64) {
        let Some(job) = self.job(index) else { return };
        for assignment_index in job.assignments() {
            self.halt(now, assignment_index, grace_s);
        }
        self.remove_if_finished(index);
    }

    /// Requests that a task be stopped, with a grace period of `grace_s` seconds; of
    /// several requests the shortest period takes effect. An assignment whose launch
    /// was never sent is released immediately.
    pub fn halt(&mut self, now: Millis, index: AssignmentIndex, grace_s: f64) {
        let Some(assignment) = self.assignments.get_mut(index) else { return };
        if assignment.never_launched() {
            self.release_assignment(index, ReleaseReason::Unfinished);
            return;
        }
        let (job_index, machine) = (assignment.job, assignment.machine);
        match &mut assignment.halt {
            Some(halt) if grace_s < halt.grace_s => {
                halt.grace_s = grace_s;
                halt.sent_at = None;
            }
            Some(_) => return,
            None => {
                assignment.halt = Some(Halt { grace_s, sent_at: None });
                if let Some(job) = self.jobs.get(job_index) {
                    self.snapshot.mark_stopping(machine.as_usize(), &job.spec);
                }
            }
        }
        self.dispatch_queue.schedule(now, machine);
    }

    /// Records since when jobs have had unwritten changes.
    pub(in crate::coordination) fn record_unwritten_changes(&mut self, now: Millis) {
        self.jobs.for_each_mut(|job| {
            if job.records.unwritten_since.is_none() && job.has_unwritten_changes() {
                job.records.unwritten_since = Some(now);
            }
        });
    }

    /// Removes a job that is finished, has no assignments and is not part of a
    /// transaction in flight. Its chunk records become obsolete.
    pub(in crate::coordination) fn remove_if_finished(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        if job.status != JobStatus::Pending && job.tasks.placed == 0 && !self.records.is_in_flight(index) {
            self.remove_job(index);
        }
    }

    /// Marks a job as done after its completion was recorded in the key-value store,
    /// and removes it if possible.
    pub(in crate::coordination) fn complete_job(&mut self, index: JobIndex) {
        self.attribute_failures_to_machines(index);
        if let Some(job) = self.job_mut(index) {
            job.status = JobStatus::Done;
        }
        self.remove_if_finished(index);
    }

    /// Attributes the failures of a job that completed to the machines on which they
    /// occurred: as the job is not faulty, those machines are.
    pub(in crate::coordination) fn attribute_failures_to_machines(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        for machine in job.failures.machines.clone() {
            let failures = &mut self.machines[machine.as_usize()].recent_failures;
            failures
                .iter_mut()
                .filter(|failure| failure.job == index)
                .for_each(|failure| failure.job_is_healthy = true);
        }
    }

    fn remove_job(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.remove(index) else { return };
        for (chunk_number, chunk) in job.records.chunks.iter().enumerate() {
            if !chunk.revision.is_absent() {
                let key = records::chunk_key(&job.id, chunk_number as u32);
                self.records.queue_deletion(ObsoleteRecord { key, revision: chunk.revision });
            }
        }
    }

    /// Reports whether a task's exit is recorded, or its job is no longer active.
    /// Only then may the worker reap the task.
    pub(in crate::coordination) fn is_exit_recorded(&self, exit: &PendingReap) -> bool {
        let Some(job) = self.job(exit.job) else { return true };
        match exit.record {
            ExitRecord::WrittenWith { chunk, version } => {
                job.records.chunks.get(chunk).is_none_or(|chunk| chunk.committed_version >= version)
            }
            ExitRecord::Orphaned => false,
        }
    }

    /// Returns the progress of at most `max` jobs, to be published to the other
    /// controllers. It is empty until all records are read: before that, the counts lack
    /// tasks that run. `job_cache` holds the progress that this controller reported last.
    pub fn take_progress(&mut self, max: usize, job_cache: &JobCache) -> Vec<TaskCounts> {
        if !self.loaded {
            return Vec::new();
        }
        let last_reported = |job| job_cache.get(job).reported_progress;
        self.progress_feed.take(max, &mut self.jobs, &last_reported)
    }
}
