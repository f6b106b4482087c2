//! Jobs as they come, change, end and are forgotten.

use std::rc::Rc;

use super::{records::ObsoleteRecord, ClusterState, TaskFate};
use crate::{
    coordination::model::{
        AssignmentIndex, Chunk, ExitRecord, Halt, Job, JobFailures, JobProgress, JobRecords, JobStatistics, Millis,
        Slot, TaskTable, UnreapedExit, WaitState,
    },
    protocol::{jobs::JobSpec, peers::Count},
    storage::{
        job_cache::{JobCache, JobIndex},
        records::{self, JobStatus},
    },
};

/// Greatest age of a job that is believed, in ms (about 35 years): a time of
/// day that is far off must not overflow what is computed with it.
const OLDEST_MS: u64 = 1 << 40;
/// Most jobs per message whose unchanged progress is repeated. With a message
/// every 0.4 s, some hundred jobs are through within the seconds by which a
/// user's answer may lag.
const REPEATED_COUNTS: usize = 60;

impl ClusterState {
    /// The job cache shows a job's record, new or changed.
    pub fn job_update(&mut self, now: Millis, wall_ms: u64, index: JobIndex, job_cache: &JobCache) {
        let entry = job_cache.get(index);
        self.reserve_job_slot(index);
        match (&mut self.jobs[index.at()], entry.status) {
            // Guard: until the ends of all that it depends on are written, a job
            // takes part in no trial, and holds no part of any limit or guarantee.
            (None, JobStatus::Pending) if job_cache.waits(index) => return,
            (None, JobStatus::Pending) => {
                let Some(spec) = job_cache.effective_spec(index) else { return };
                self.add_job(now, wall_ms, index, spec, job_cache);
            }
            (Some(job), JobStatus::Pending) => {
                job.records.revision = entry.revision;
                job.records.stale = false;
                job.records.recorded_chunk_size = entry.chunk;
                self.adopt_recorded_sharding(index);
                if let Some(spec) = job_cache.effective_spec(index) {
                    self.change_spec(index, spec);
                }
            }
            (Some(job), JobStatus::Cancelled) => {
                job.records.revision = entry.revision;
                job.records.stale = false;
                if job.status != JobStatus::Cancelled {
                    job.status = JobStatus::Cancelled;
                    tracing::info!(job = &*job.id, "cancelled by its user");
                    self.changed_progress.insert(index);
                    self.stop_job(now, index, 0.0);
                }
            }
            (Some(_), JobStatus::Done) => self.finish(index),
            (None, _) => {}
        }
        self.cycle_needed = true;
    }

    pub(in crate::coordination) fn reserve_job_slot(&mut self, index: JobIndex) {
        if self.jobs.len() <= index.at() {
            self.jobs.resize_with(index.at() + 1, || None);
        }
    }

    /// Jobs that depend on this one changed its priority or its deadline.
    fn change_spec(&mut self, index: JobIndex, spec: Rc<JobSpec>) {
        let Some(job) = self.jobs[index.at()].as_mut() else { return };
        if *job.spec == *spec {
            return;
        }
        let previous = std::mem::replace(&mut job.spec, spec.clone());
        for assignment_index in job.assignments() {
            let Some(assignment) = self.assignments.get(assignment_index) else { continue };
            let host = assignment.machine.at();
            let is_stopping = assignment.halt.is_some();
            // The snapshot counts by priority what may be stopped.
            self.snapshot.give(host, &previous, is_stopping);
            self.snapshot.take(host, &spec);
            if is_stopping {
                self.snapshot.stop(host, &spec);
            }
        }
    }

    pub(in crate::coordination) fn add_job(
        &mut self,
        now: Millis,
        wall_ms: u64,
        index: JobIndex,
        spec: Rc<JobSpec>,
        job_cache: &JobCache,
    ) {
        let entry = job_cache.get(index);
        let tasks = spec.tasks;
        let is_oversized = entry.chunk > self.config.chunk_fit && tasks > self.config.chunk_fit;
        let age_ms = wall_ms.saturating_sub(job_cache.ready_ms(index)).min(OLDEST_MS) as i64;
        self.jobs[index.at()] = Some(Job {
            index,
            id: entry.id.clone(),
            spec,
            records: JobRecords {
                revision: entry.revision,
                stale: false,
                chunk_size: entry.chunk,
                chunks: vec![Chunk::default(); tasks.div_ceil(entry.chunk) as usize],
                recorded_chunk_size: entry.chunk,
                resharding: false,
                oversized_record: entry.record.clone().filter(|_| is_oversized),
                unwritten_since: None,
            },
            status: entry.status,
            wait: WaitState {
                since: now as i64 - age_ms,
                waiting_since: now,
                not_before: 0,
                next_preemption: 0,
                has_counted_start: false,
                ever_assigned: false,
            },
            tasks: TaskTable {
                slots: vec![Slot::Pending; tasks as usize],
                pending: (0..tasks).rev().collect(),
                done: 0,
                placed: 0,
                running: 0,
                zone_used: Vec::new(),
            },
            failures: JobFailures::default(),
            published: JobProgress::default(),
            within_guarantee: false,
            statistics: JobStatistics { stop_count: 0, lost_count: 0, last_assigned: now },
        });
        self.active.push(index);
    }

    /// Stops all of a job's tasks; those that were never launched are simply dropped.
    pub fn stop_job(&mut self, now: Millis, index: JobIndex, grace_s: f64) {
        let Some(job) = self.job(index) else { return };
        for assignment_index in job.assignments() {
            self.halt(now, assignment_index, grace_s);
        }
        self.remove_if_finished(index);
    }

    /// Wants a task stopped. An assignment whose launch was never sent is
    /// released at once.
    pub fn halt(&mut self, now: Millis, index: AssignmentIndex, grace_s: f64) {
        let Some(assignment) = self.assignments.get_mut(index) else { return };
        if assignment.never_launched() {
            self.release_assignment(index, TaskFate::Unfinished);
            return;
        }
        let (job_index, machine) = (assignment.job, assignment.machine);
        match &mut assignment.halt {
            Some(halt) if grace_s < halt.grace_s => {
                halt.grace_s = grace_s;
                halt.sent = None;
            }
            Some(_) => return,
            None => {
                assignment.halt = Some(Halt { grace_s, sent: None });
                if let Some(job) = self.jobs.get(job_index.at()).and_then(Option::as_ref) {
                    self.snapshot.stop(machine.at(), &job.spec);
                }
            }
        }
        self.dispatch_queue.schedule(now, machine);
    }

    /// Notes which jobs have changes that wait to be written.
    pub(in crate::coordination) fn note_unwritten_changes(&mut self, now: Millis) {
        for &index in &self.active {
            let Some(job) = self.jobs.get_mut(index.at()).and_then(Option::as_mut) else { continue };
            if job.records.unwritten_since.is_none() && job.has_unwritten_changes() {
                job.records.unwritten_since = Some(now);
            }
        }
    }

    /// Forgets a job that is over and has no assignments; its records are dropped.
    pub(in crate::coordination) fn remove_if_finished(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        if job.status != JobStatus::Pending && job.tasks.placed == 0 && !self.records.is_in_flight(index) {
            self.forget(index);
        }
    }

    pub(in crate::coordination) fn finish(&mut self, index: JobIndex) {
        self.blame_machines_of(index);
        if let Some(job) = self.job_mut(index) {
            job.status = JobStatus::Done;
        }
        self.remove_if_finished(index);
    }

    /// A job that failed somewhere has completed: its machines were at fault.
    pub(in crate::coordination) fn blame_machines_of(&mut self, index: JobIndex) {
        let Some(job) = self.job(index) else { return };
        for machine in job.failures.machines.clone() {
            let failures = &mut self.machines[machine.at()].recent_failures;
            failures.iter_mut().filter(|failure| failure.job == index).for_each(|failure| failure.job_is_sound = true);
        }
    }

    fn forget(&mut self, index: JobIndex) {
        let Some(job) = self.jobs[index.at()].take() else { return };
        self.active.retain(|&active| active != index);
        for (chunk_number, chunk) in job.records.chunks.iter().enumerate() {
            if !chunk.revision.is_absent() {
                let key = records::chunk_key(&job.id, chunk_number as u32);
                self.records.delete_later(ObsoleteRecord { key, revision: chunk.revision });
            }
        }
    }

    /// Whether an end is written, or its job is over: then it may be reaped.
    pub(in crate::coordination) fn is_exit_recorded(&self, exit: &UnreapedExit) -> bool {
        let Some(job) = self.job(exit.job) else { return true };
        match exit.record {
            ExitRecord::WrittenWith { chunk, version } => {
                job.records.chunks.get(chunk).is_none_or(|chunk| chunk.committed_version >= version)
            }
            ExitRecord::Stray => false,
        }
    }

    /// Progress of at most `max` jobs: of those that changed since the last
    /// call, and again of some others that have begun. Guard: a controller that
    /// missed the first message, or didn't know the job then, would go on
    /// calling a running job pending.
    pub fn take_progress(&mut self, max: usize) -> Vec<Count> {
        let mut counts = self.changed_counts(max);
        let repeated = self.repeated_counts(REPEATED_COUNTS.min(max - counts.len()));
        counts.extend(repeated);
        counts
    }

    fn changed_counts(&mut self, max: usize) -> Vec<Count> {
        let changed: Vec<JobIndex> = self.changed_progress.iter().copied().take(max).collect();
        let mut counts = Vec::with_capacity(changed.len());
        for index in changed {
            self.changed_progress.remove(&index);
            let Some(job) = self.job_mut(index) else { continue };
            let progress = JobProgress { done: job.tasks.done, running: job.tasks.running };
            if job.published != progress {
                job.published = progress;
                counts.push(count_of(job));
            }
        }
        counts
    }

    /// The next jobs in turn, of all that are active.
    fn repeated_counts(&mut self, max: usize) -> Vec<Count> {
        let looked_at = max.min(self.active.len());
        let from = self.next_repeated;
        self.next_repeated = from.wrapping_add(looked_at);
        let jobs = (0..looked_at).filter_map(|n| self.job(self.active[from.wrapping_add(n) % self.active.len()]));
        jobs.filter(|job| job.tasks.done + job.tasks.running > 0).map(count_of).collect()
    }
}

fn count_of(job: &Job) -> Count {
    Count { job: job.id.to_string(), done: job.tasks.done, running: job.tasks.running }
}
