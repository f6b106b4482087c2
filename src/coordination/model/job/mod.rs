//! Unfinished jobs and the state of their tasks.

mod records;
mod tasks;

use std::rc::Rc;

pub use self::{
    records::{Chunk, JobRecords},
    tasks::{Slot, TaskTable},
};
use super::{Assignment, AssignmentIndex, AssignmentState, JobFailures, Millis};
use crate::{
    protocol::{jobs::JobSpec, names::ZoneIndex, workers::TaskState},
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// Task counts of a job, as users see them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}

/// How long a job has waited, and what holds it back.
#[derive(Debug)]
pub struct WaitState {
    /// Since when it may run, on the leader's steady clock; may lie before the
    /// clock's start.
    pub ready_since: i64,
    /// Since when it waits without free capacity, for preemption, scale-out and the logs.
    pub waiting_since: Millis,
    /// None of its tasks are to be assigned before.
    pub not_before: Millis,
    /// No tasks are stopped for it before.
    pub next_preemption: Millis,
    /// A task completed, or ran long enough to count as a start.
    pub has_effective_start: bool,
    /// At least one of its tasks was assigned before.
    pub ever_assigned: bool,
}

impl WaitState {
    /// A job that may run for `age_ms` already, and of which nothing is assigned yet.
    pub fn new(now: Millis, age_ms: i64) -> WaitState {
        WaitState {
            ready_since: now as i64 - age_ms,
            waiting_since: now,
            not_before: 0,
            next_preemption: 0,
            has_effective_start: false,
            ever_assigned: false,
        }
    }
}

/// Counts and times for the logs.
#[derive(Debug)]
pub struct JobStatistics {
    /// Tasks stopped by command, for the logs.
    pub stop_count: u32,
    /// Tasks lost with their machine, for the logs.
    pub lost_count: u32,
    /// When one of its tasks was last assigned, for the logs.
    pub last_assigned: Millis,
}

impl JobStatistics {
    /// A job that was just added.
    pub fn new(now: Millis) -> JobStatistics {
        JobStatistics { stop_count: 0, lost_count: 0, last_assigned: now }
    }
}

/// A job that is not over, or whose tasks are still somewhere.
#[derive(Debug)]
pub struct Job {
    /// Index of the job.
    pub index: JobIndex,
    /// Id of the job, as users see it.
    pub id: Rc<str>,
    /// What was submitted.
    pub spec: Rc<JobSpec>,
    /// How the records of a job in the key-value store compare with its wanted state.
    pub records: JobRecords,
    /// Status according to its record.
    pub status: JobStatus,
    /// How long a job has waited, and what holds it back.
    pub wait: WaitState,
    /// Where the tasks of a job stand.
    pub tasks: TaskTable,
    /// Failures of its tasks so far.
    pub failures: JobFailures,
    /// The progress last published to the other controllers.
    pub published: JobProgress,
    /// Within its team's guarantee, as of the last scheduling cycle.
    pub within_guarantee: bool,
    /// Counts and times for the logs.
    pub statistics: JobStatistics,
}

impl Job {
    /// Whether every task completed.
    pub fn all_done(&self) -> bool {
        self.tasks.done as usize == self.tasks.slots.len()
    }

    /// The chunk that holds a task.
    pub fn chunk_of(&self, task: u32) -> usize {
        (task / self.records.chunk_size) as usize
    }

    /// Marks a task's chunk as changed and returns its new version.
    pub fn mark_task_changed(&mut self, task: u32) -> u64 {
        let chunk = self.chunk_of(task);
        self.records.chunks[chunk].version += 1;
        self.records.chunks[chunk].version
    }

    /// Counts a pending task as assigned. Returns the version of its chunk that
    /// first contains the assignment.
    pub fn record_assignment(&mut self, now: Millis, task: u32, zone: ZoneIndex) -> u64 {
        let chunk_version = self.mark_task_changed(task);
        let chunk = self.chunk_of(task);
        self.records.chunks[chunk].placement_version = chunk_version;
        self.tasks.placed += 1;
        self.tasks.remove_pending(task);
        if self.spec.one_zone || self.spec.spread {
            self.tasks.count_in_zone(zone);
        }
        self.wait.ever_assigned = true;
        self.statistics.last_assigned = now;
        chunk_version
    }

    /// Takes a released assignment out of the counts of its tasks.
    pub fn record_release(&mut self, assignment: &Assignment) {
        self.mark_task_changed(assignment.task);
        self.tasks.placed -= 1;
        if let Some(used) = self.tasks.zone_used.get_mut(assignment.zone.as_usize()) {
            *used -= 1;
        }
        if matches!(assignment.state, AssignmentState::Reported(TaskState::Running)) {
            self.tasks.running = self.tasks.running.saturating_sub(1);
        }
    }

    /// Whether any chunk differs from its written record.
    pub fn has_unwritten_changes(&self) -> bool {
        self.records.chunks.iter().any(Chunk::is_dirty)
    }

    /// Whether an assignment waits to be written.
    pub fn has_unwritten_placement(&self) -> bool {
        self.records.chunks.iter().any(Chunk::has_unwritten_placement)
    }

    /// Seconds since it became ready to run.
    pub fn age_s(&self, now: Millis) -> f64 {
        (now as i64 - self.wait.ready_since) as f64 / 1000.0
    }

    /// Milliseconds since it began to wait for free capacity; negative if that lies ahead.
    pub fn waited_ms(&self, now: Millis) -> i64 {
        now as i64 - self.wait.waiting_since as i64
    }

    /// All of its assignments, in the order of its tasks.
    pub fn assignments(&self) -> Vec<AssignmentIndex> {
        self.tasks.assignments()
    }

    /// The assignments of one chunk's tasks.
    pub fn assignments_of_chunk(&self, chunk: usize) -> Vec<AssignmentIndex> {
        let size = self.records.chunk_size as usize;
        self.tasks.assignments_of(chunk * size..(chunk + 1) * size)
    }
}
