//! The interface with workers: their heartbeats, the answers, and direct commands.

use serde::{Deserialize, Serialize};

use super::cbor::optional_number;
use crate::protocol::ids::{Attempt, FencingToken, Incarnation, SequenceNumber};

/// What a worker says of itself and of its tasks.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Heartbeat {
    /// Name of the machine. On the wire: `host`.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address of the worker, for direct commands and probes. On the wire: `endpoint`.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type. On the wire: `breed`.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Name of the machine's zone. On the wire: `yard`.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine. On the wire: `loaners`.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Starts at 1 and increases whenever the worker's lease expires.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Increases with every heartbeat and answer: of two messages the one with the
    /// larger incarnation and number is newer.
    #[serde(rename = "tick")]
    pub sequence: SequenceNumber,
    /// The highest fencing token that the worker has seen; 0: none.
    #[serde(rename = "baton", default)]
    pub token: FencingToken,
    /// For a spot machine that is being reclaimed: seconds until it is taken away.
    #[serde(rename = "warningS", default, deserialize_with = "optional_number")]
    pub reclaim_notice_s: Option<f64>,
    /// Attempts on the machine, also ended ones that are not reaped yet. On the wire: `pieces`.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The state of one attempt of a task on the worker.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct TaskStatus {
    /// Name of the task, such as `j-000412/3`. On the wire: `piece`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt. On the wire: `try`.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the attempt. On the wire: `status`.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the attempt ended; None while it has not. On the wire: `cause`.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt saved its state before it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// The states of an attempt on a worker.
#[derive(Debug, Clone, Copy, Deserialize, Serialize, PartialEq, Eq)]
pub enum TaskState {
    /// Fetching the image.
    #[serde(rename = "fetching")]
    Fetching,
    /// Waiting for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Saving its state before it ends. On the wire: `flushing`.
    #[serde(rename = "flushing")]
    Saving,
    /// Over, but not reaped yet. On the wire: `ended`.
    #[serde(rename = "ended")]
    Exited,
    /// A state that a later version added; the attempt exists, no more is known.
    #[serde(other, rename = "other")]
    Other,
}

/// Why an attempt ended, or was not started.
#[derive(Debug, Clone, Copy, Deserialize, Serialize, PartialEq, Eq)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command. On the wire: `halted`.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    Peers,
    /// The gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// Not started: the machine lacks free resources. On the wire: `full`.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Not started: another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Not started: there is no such job or task. On the wire: `no_such`.
    #[serde(rename = "no_such")]
    Unknown,
    /// A reason that a later version added.
    #[serde(other, rename = "other")]
    Other,
}

/// What a worker is told to do with one attempt of a task.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb")]
pub enum WorkerCommand {
    /// Start the attempt.
    #[serde(rename = "launch")]
    Launch {
        /// Name of the task. On the wire: `piece`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt. On the wire: `try`.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop the attempt after a grace period.
    #[serde(rename = "halt")]
    Halt {
        /// Name of the task. On the wire: `piece`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt. On the wire: `try`.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Seconds that the attempt gets to save its state. On the wire: `leewayS`.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Forget the attempt, which has ended.
    #[serde(rename = "reap")]
    Reap {
        /// Name of the task. On the wire: `piece`.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt. On the wire: `try`.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl WorkerCommand {
    /// Whether both commands stop the same attempt, whatever the grace period.
    pub fn stops_same_attempt(&self, other: &WorkerCommand) -> bool {
        match (self, other) {
            (
                WorkerCommand::Halt { task, attempt, .. },
                WorkerCommand::Halt { task: other_task, attempt: other_attempt, .. },
            ) => task == other_task && attempt == other_attempt,
            _ => false,
        }
    }
}

/// The answer to a heartbeat; it renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token that the worker is to hold from now on. On the wire: `baton`.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// What the worker is to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands that the leader sends to a worker without waiting for its heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// Fencing token of the leader. On the wire: `baton`.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The worker's incarnation that the commands are meant for. On the wire: `shift`.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// What the worker is to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The answer to a heartbeat that this controller doesn't serve: whom to send heartbeats to.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Label of the leader; None if no leader is known. On the wire: `boss`.
    #[serde(rename = "boss", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// Splits the name of a task, such as `j-000412/3`, into its job and number.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
