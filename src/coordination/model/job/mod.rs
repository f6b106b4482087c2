//! Unfinished jobs and the state of their tasks.

mod records;
mod tasks;

use std::rc::Rc;

pub use self::{
    records::{Chunk, JobRecords},
    tasks::{Slot, TaskTable},
};
use super::{Assignment, AssignmentIndex, JobFailures, Millis};
use crate::{
    protocol::{jobs::JobSpec, names::ZoneIndex},
    storage::{
        job_cache::{JobIndex, JobProgress},
        records::JobStatus,
    },
};

/// Waiting times of a job, and the earliest times at which its tasks may be assigned
/// and at which tasks of other jobs may be preempted for it.
#[derive(Debug)]
pub struct WaitState {
    /// When the job became ready to run, in ms on the leader's monotonic clock. Negative
    /// if that was before the clock's start.
    pub ready_since: i64,
    /// Since when the job waits for free capacity. Used for preemption, scale-out and the
    /// logs.
    pub waiting_since: Millis,
    /// No task of the job is assigned before this time.
    pub not_before: Millis,
    /// No tasks are preempted for this job before this time.
    pub next_preemption: Millis,
    /// Whether a task of the job completed, or ran for at least
    /// [`EFFECTIVE_START_MS`](super::EFFECTIVE_START_MS).
    pub has_effective_start: bool,
    /// Whether any task of the job was ever assigned.
    pub ever_assigned: bool,
}

impl WaitState {
    /// Creates the state of a job that became ready to run `age_ms` ago and of which no
    /// task is assigned yet.
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

/// Counts and times of a job for the logs; `last_assigned` is also used in scheduling.
#[derive(Debug)]
pub struct JobStatistics {
    /// Number of tasks stopped by command.
    pub stop_count: u32,
    /// Number of tasks lost with their machine.
    pub lost_count: u32,
    /// When this leader last assigned a task of the job; until it assigns one, when it added
    /// the job to its cluster state. A best-effort job of which a task was ever assigned may
    /// exceed the budget for best-effort jobs only if this time is long enough ago.
    pub last_assigned: Millis,
}

impl JobStatistics {
    /// Creates the statistics of a job that was just added.
    pub fn new(now: Millis) -> JobStatistics {
        JobStatistics { stop_count: 0, lost_count: 0, last_assigned: now }
    }
}

/// A job that is unfinished, or whose tasks still have assignments.
#[derive(Debug)]
pub struct Job {
    /// Index of the job in the job cache.
    pub index: JobIndex,
    /// Id of the job in the users' interface.
    pub id: Rc<str>,
    /// The submitted specification.
    pub spec: Rc<JobSpec>,
    /// State of the job's records in the key-value store.
    pub records: JobRecords,
    /// Status according to the job's record.
    pub status: JobStatus,
    /// Waiting times of the job, and the earliest times at which its tasks may be
    /// assigned and at which tasks of other jobs may be preempted for it.
    pub wait: WaitState,
    /// State of the job's tasks.
    pub tasks: TaskTable,
    /// Failures of the job's tasks so far.
    pub failures: JobFailures,
    /// The progress last published to the other controllers.
    pub published: JobProgress,
    /// Whether the job was within its team's guarantee in the last scheduling cycle.
    pub within_guarantee: bool,
    /// Counts and times for the logs.
    pub statistics: JobStatistics,
}

impl Job {
    /// Reports whether every task completed.
    pub fn all_done(&self) -> bool {
        self.tasks.done as usize == self.tasks.slots.len()
    }

    /// Returns the task counts that users are told. `last_reported`: those that this
    /// controller reported last, also before it led.
    ///
    /// After a change of leader, a task that an earlier leader assigned may run or not until
    /// its worker's first heartbeat. Until then the last reported counts stay, as far as they
    /// are possible; if there are none, the tasks count as running, as most of them do.
    pub fn progress(&self, last_reported: Option<JobProgress>) -> JobProgress {
        let most_running = self.tasks.running + self.tasks.unconfirmed;
        match last_reported {
            Some(last) => JobProgress {
                // An earlier leader may have seen exits that it did not write any more.
                done: self.tasks.done.max(last.done),
                running: last.running.clamp(self.tasks.running, most_running),
            },
            None => JobProgress { done: self.tasks.done, running: most_running },
        }
    }

    /// Returns the number of the chunk that holds a task.
    pub fn chunk_of(&self, task: u32) -> usize {
        (task / self.records.chunk_size) as usize
    }

    /// Marks a task's chunk as changed and returns its new version.
    pub fn mark_task_changed(&mut self, task: u32) -> u64 {
        let chunk = self.chunk_of(task);
        self.records.chunks[chunk].version += 1;
        self.records.chunks[chunk].version
    }

    /// Records that a pending task was assigned. Returns the version of its chunk that
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

    /// Removes a released assignment from the job's task counts.
    pub fn record_release(&mut self, assignment: &Assignment) {
        self.mark_task_changed(assignment.task);
        self.tasks.placed -= 1;
        self.tasks.unconfirmed -= u32::from(assignment.unconfirmed);
        if let Some(used) = self.tasks.zone_used.get_mut(assignment.zone.as_usize()) {
            *used -= 1;
        }
        if assignment.state.is_running() {
            self.tasks.running = self.tasks.running.saturating_sub(1);
        }
    }

    /// Reports whether any chunk differs from its written record.
    pub fn has_unwritten_changes(&self) -> bool {
        self.records.chunks.iter().any(Chunk::is_dirty)
    }

    /// Reports whether any assignment is not written yet.
    pub fn has_unwritten_placement(&self) -> bool {
        self.records.chunks.iter().any(Chunk::has_unwritten_placement)
    }

    /// Returns the seconds since the job became ready to run.
    pub fn age_s(&self, now: Millis) -> f64 {
        (now as i64 - self.wait.ready_since) as f64 / 1000.0
    }

    /// Returns the milliseconds since the job began to wait for free capacity; negative
    /// if that time is in the future.
    pub fn waited_ms(&self, now: Millis) -> i64 {
        now as i64 - self.wait.waiting_since as i64
    }

    /// Returns all assignments of the job, ordered by task number.
    pub fn assignments(&self) -> Vec<AssignmentIndex> {
        self.tasks.assignments()
    }

    /// Returns the assignments of one chunk's tasks, ordered by task number.
    pub fn assignments_of_chunk(&self, chunk: usize) -> Vec<AssignmentIndex> {
        let size = self.records.chunk_size as usize;
        self.tasks.assignments_of(chunk * size..(chunk + 1) * size)
    }
}
