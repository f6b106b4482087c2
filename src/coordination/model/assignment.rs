//! Assignments of tasks to machines, and what is left of those that ended.

use super::{CallId, MachineIndex, Millis};
use crate::{
    protocol::{
        ids::{Attempt, Incarnation},
        names::ZoneIndex,
        workers::{ExitReason, TaskState},
    },
    storage::job_cache::JobIndex,
};

/// How far a task has come on the machine it is assigned to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// Part of the wanted state; launched once its record is written.
    Wanted,
    /// Listed by its worker in this state.
    Reported(TaskState),
    /// Ended, but not settled while an earlier command may still arrive and
    /// start it again.
    Exited(ExitReason),
}

/// A task that is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Halt {
    /// Grace period of the halt, in seconds.
    pub grace_s: f64,
    /// When the halt was last sent to the worker.
    pub sent: Option<Millis>,
}

/// A task that is, or may be, on a machine.
#[derive(Debug)]
pub struct Assignment {
    /// The task's job.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// The machine that it is assigned to.
    pub machine: MachineIndex,
    /// The zone of that machine.
    pub zone: ZoneIndex,
    /// The worker's incarnation for which the task was assigned.
    pub incarnation: Incarnation,
    /// Number of the attempt to run the task.
    pub attempt: Attempt,
    /// Version of its chunk that first contained this assignment.
    pub chunk_version: u64,
    /// How far the task has come.
    pub state: AssignmentState,
    /// When its launch was last sent.
    pub sent: Option<Millis>,
    /// When a heartbeat first showed that it runs; `None`: none has.
    pub running_since: Option<Millis>,
    /// The halt of the task; `None`: it is not to be stopped.
    pub halt: Option<Halt>,
    /// When the assignment was made.
    pub assigned_at: Millis,
    /// Read from a record: an earlier leader may have sent its launch.
    pub recovered: bool,
}

impl Assignment {
    /// Whether no leader can have sent the task's launch yet.
    pub fn never_launched(&self) -> bool {
        self.state == AssignmentState::Wanted && self.sent.is_none() && !self.recovered
    }

    /// Identifies the launch of this assignment.
    pub fn launch_id(&self) -> LaunchId {
        LaunchId { job: self.job, task: self.task, attempt: self.attempt }
    }
}

/// Why a worker still lists a task that has no assignment on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitRecord {
    /// Its end is recorded once this version of its chunk is written.
    WrittenWith {
        /// Index of the chunk within its job.
        chunk: usize,
        /// Version of the chunk's wanted state.
        version: u64,
    },
    /// It runs though no record says so: halted until it ends, then reaped.
    Orphaned,
}

/// A task that its worker still lists and that is to be reaped once its end
/// is written.
#[derive(Debug, Clone)]
pub struct PendingReap {
    /// Name of the task, as its worker lists it.
    pub task: String,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The task's job.
    pub job: JobIndex,
    /// Whether its end is or will be recorded.
    pub record: ExitRecord,
}

/// Identifies one launch command of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaunchId {
    /// The task's job.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: Attempt,
}

/// A command that was sent directly to a worker and is not answered yet.
#[derive(Debug, Clone)]
pub struct DirectCall {
    /// Number of the call, unique within the leadership.
    pub id: CallId,
    /// The launches that it carries.
    pub launches: Vec<LaunchId>,
}
