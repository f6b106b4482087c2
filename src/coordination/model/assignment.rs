//! Assignments of tasks to machines, and what is left of those that ended.

use super::{MachineIx, Ms};
use crate::{
    bookkeeping::job_cache::JobIx,
    protocol::{
        names::ZoneIx,
        workers::{ExitReason, TaskState},
    },
};

/// How far a task has come on the machine it is assigned to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AssignmentState {
    /// Part of the wanted state; launched once its record is written.
    Wanted,
    /// Listed by its worker in this state.
    Seen(TaskState),
    /// Ended, but not settled while an earlier command may still arrive and
    /// start it again.
    Ended(ExitReason),
}

/// A task that is to be stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Halt {
    pub grace_s: f64,
    /// When the halt was last sent to the worker.
    pub sent: Option<Ms>,
}

/// A task that is, or may be, on a machine.
#[derive(Debug)]
pub struct Assignment {
    pub job: JobIx,
    pub task: u32,
    pub machine: MachineIx,
    pub zone: ZoneIx,
    /// The worker's session for which the task was assigned.
    pub session: u64,
    pub attempt: u64,
    /// Version of its chunk that first contained this assignment.
    pub chunk_version: u64,
    pub state: AssignmentState,
    /// When its launch was last sent.
    pub sent: Option<Ms>,
    pub running_since: Option<Ms>,
    pub halt: Option<Halt>,
    /// When the assignment was made.
    pub made: Ms,
    /// Read from a record: an earlier leader may have sent its launch.
    pub inherited: bool,
}

impl Assignment {
    /// Whether no leader can have sent the task's launch yet.
    pub fn never_launched(&self) -> bool {
        self.state == AssignmentState::Wanted && self.sent.is_none() && !self.inherited
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
    WrittenWith { chunk: usize, version: u64 },
    /// It runs though no record says so: halted until it ends, then reaped.
    Stray,
}

/// A task that its worker still lists and that is to be reaped once its end
/// is written.
#[derive(Debug, Clone)]
pub struct UnreapedExit {
    pub task: String,
    pub attempt: u64,
    pub job: JobIx,
    pub record: ExitRecord,
}

/// Identifies one launch command of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaunchId {
    pub job: JobIx,
    pub task: u32,
    pub attempt: u64,
}

/// A command that was sent straight to a worker and is not answered yet.
#[derive(Debug, Clone)]
pub struct DirectCall {
    pub id: u64,
    /// The launches that it carries.
    pub launches: Vec<LaunchId>,
}
