//! Assignments of tasks to machines, and exited tasks that are still to be reaped.

use super::{CallId, MachineIndex, Millis};
use crate::{
    protocol::{
        ids::{Attempt, FencingToken, Incarnation},
        names::ZoneIndex,
        workers::{ExitReason, TaskState},
    },
    storage::job_cache::JobIndex,
};

/// Progress of a task on the machine to which it is assigned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// The worker has not listed the task yet, or no longer lists it. The task is
    /// launched once its record is written.
    Wanted,
    /// The worker lists the task in this state.
    Reported(TaskState),
    /// The task exited. The exit is not final while a command sent earlier may still
    /// arrive and start the task again.
    Exited(ExitReason),
}

impl AssignmentState {
    /// Reports whether the worker lists the task as running.
    pub fn is_running(&self) -> bool {
        *self == AssignmentState::Reported(TaskState::Running)
    }
}

/// A request to stop a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Halt {
    /// Grace period given to the task, in seconds.
    pub grace_s: f64,
    /// When the halt was last sent to the worker; `None`: not sent yet.
    pub sent_at: Option<Millis>,
}

/// The assignment of a task to a machine: the task is, or may be, on it.
#[derive(Debug)]
pub struct Assignment {
    /// The task's job.
    pub job: JobIndex,
    /// Number of the task within its job.
    pub task: u32,
    /// The machine to which the task is assigned.
    pub machine: MachineIndex,
    /// The zone of that machine.
    pub zone: ZoneIndex,
    /// The worker's incarnation for which the task was assigned.
    pub incarnation: Incarnation,
    /// Number of the attempt to run the task.
    pub attempt: Attempt,
    /// Version of its chunk that first contained this assignment.
    pub chunk_version: u64,
    /// Progress of the task on the machine.
    pub state: AssignmentState,
    /// When the launch of the task was last sent; `None`: it was not sent, or is to be
    /// sent again at once.
    pub sent_at: Option<Millis>,
    /// The token of the last direct call with the launch that the worker executed; `None`: it
    /// executed none. Until the worker has acknowledged a higher token, a copy of that call
    /// may launch the task again if the worker no longer knows the attempt.
    pub executed_launch_token: Option<FencingToken>,
    /// When a heartbeat first reported the task as running; `None`: none has.
    pub running_since: Option<Millis>,
    /// The request to stop the task; `None`: it is not to be stopped.
    pub halt: Option<Halt>,
    /// When the assignment was made.
    pub assigned_at: Millis,
    /// Whether the assignment was recovered from a record: an earlier leader may have
    /// sent its launch.
    pub recovered: bool,
    /// Whether the assignment was recovered from a record and no heartbeat of the worker was
    /// received since then, so that it is not known whether the task runs.
    pub unconfirmed: bool,
}

impl Assignment {
    /// Reports whether no leader can have sent the task's launch yet, or the worker refused
    /// it.
    pub fn never_launched(&self) -> bool {
        self.state == AssignmentState::Wanted
            && self.sent_at.is_none()
            && self.executed_launch_token.is_none()
            && !self.recovered
    }

    /// Returns the identity of this assignment's launch.
    pub fn launch_id(&self) -> LaunchId {
        LaunchId { job: self.job, task: self.task, attempt: self.attempt }
    }
}

/// For a task that its worker still lists although it has no assignment there: the
/// record that must be written before the task is reaped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitRecord {
    /// The exit is recorded once this version of its chunk is written.
    WrittenWith {
        /// Index of the chunk within its job.
        chunk: usize,
        /// Version of the chunk's wanted state.
        version: u64,
    },
    /// The task runs although no record of it exists. Halts are sent until it exits,
    /// then it is reaped.
    Orphaned,
}

/// A task that its worker still lists and that is to be reaped once its exit
/// is recorded.
#[derive(Debug, Clone)]
pub struct PendingReap {
    /// Name of the task, as its worker lists it.
    pub task: String,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The task's job.
    pub job: JobIndex,
    /// Whether the exit is to be recorded, and with which version of its chunk.
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

/// A direct call to a worker whose response is pending.
#[derive(Debug, Clone)]
pub struct DirectCall {
    /// Number of the call, unique within the leader's term.
    pub id: CallId,
    /// Fencing token of the call.
    pub token: FencingToken,
    /// Launches that the call carries.
    pub launches: Vec<LaunchId>,
}
