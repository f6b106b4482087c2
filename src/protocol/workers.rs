//! Interface with workers: their heartbeats, the responses, and direct commands.

use serde::{Deserialize, Serialize};

use super::cbor::optional_number;
use crate::protocol::ids::{Attempt, FencingToken, Incarnation, SequenceNumber};

/// Heartbeat of a worker, which reports its machine and its tasks.
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
    /// Incarnation of the worker; starts at 1 and increases whenever its worker
    /// lease expires.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every heartbeat and response that the
    /// worker sends. Of two messages, the one with the higher incarnation is newer; within
    /// an incarnation, the one with the higher sequence number.
    #[serde(rename = "tick")]
    pub sequence: SequenceNumber,
    /// The highest fencing token that the worker has seen; 0: none.
    #[serde(rename = "baton", default)]
    pub token: FencingToken,
    /// Seconds until the cloud takes the spot machine away; `None` unless it is being
    /// reclaimed.
    #[serde(rename = "warningS", default, deserialize_with = "optional_number")]
    pub reclaim_notice_s: Option<f64>,
    /// Attempts on the machine, including exited ones that are not reaped yet. On the wire: `pieces`.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Entry of a heartbeat about one attempt of a task: its state and, once it has exited, why.
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
    /// Reason why the attempt exited; `None` until it has. On the wire: `cause`.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether the attempt saved its state before it exited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// State of an attempt on a worker.
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
    /// Saving its state before it exits. On the wire: `flushing`.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited, but not reaped yet. On the wire: `ended`.
    #[serde(rename = "ended")]
    Exited,
    /// Any state added by a later version; it only shows that the attempt exists.
    #[serde(other, rename = "other")]
    Other,
}

/// Reason why an attempt exited or was not started.
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
    /// Not all tasks of its gang were started in time.
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
    /// Any reason added by a later version.
    #[serde(other, rename = "other")]
    Other,
}

/// Command to a worker about one attempt of a task.
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
    /// Remove the attempt, which has exited.
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
    /// Reports whether both commands stop the same attempt, regardless of the grace
    /// period.
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

/// Response to a heartbeat; it renews the worker lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token that the worker must hold from now on. On the wire: `baton`.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Commands that the worker must execute in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Request with commands that the leader sends to a worker without waiting for its
/// heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    /// Fencing token of the leader. On the wire: `baton`.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The worker's incarnation that the commands are meant for. On the wire: `shift`.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Commands that the worker must execute in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Response to a heartbeat that this controller doesn't serve. It names the leader, to
/// which the worker is to send its heartbeats.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Label of the leader; `None` if no leader is known. On the wire: `boss`.
    #[serde(rename = "boss", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}

/// Splits the name of a task, such as `j-000412/3`, into the job's id and the task's
/// number; `None` if the name has another form.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
