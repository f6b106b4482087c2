//! The interface with workers: their reports, the answers, and direct commands.

use serde::{Deserialize, Serialize};

use super::cbor::maybe_number;

/// What a worker says of itself and of its tasks.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Report {
    #[serde(rename = "host")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Starts at 1 and increases whenever the worker's lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Increases with every report and answer: of two messages the one with the
    /// larger session and number is newer.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen; 0: none.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// For a spot machine that is being reclaimed: seconds until it is taken away.
    #[serde(rename = "warningS", default, deserialize_with = "maybe_number")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

/// The state of one attempt of a task on the worker.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct TaskReport {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitReason>,
    /// Whether the attempt saved its state before it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// The states of an attempt on a worker.
#[derive(Debug, Clone, Copy, Deserialize, Serialize, PartialEq, Eq)]
pub enum TaskState {
    #[serde(rename = "fetching")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// A state that a later version added; the attempt exists, no more is known.
    #[serde(other, rename = "other")]
    Other,
}

/// Why an attempt ended, or was not started.
#[derive(Debug, Clone, Copy, Deserialize, Serialize, PartialEq, Eq)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A reason that a later version added.
    #[serde(other, rename = "other")]
    Other,
}

/// What a worker is told to do with one attempt of a task.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb")]
pub enum Order {
    /// Start the attempt.
    #[serde(rename = "launch")]
    Launch {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the attempt after a grace period.
    #[serde(rename = "halt")]
    Halt {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Forget the attempt, which has ended.
    #[serde(rename = "reap")]
    Reap {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// Whether both orders stop the same attempt, whatever the grace period.
    pub fn same_halt(&self, other: &Order) -> bool {
        match (self, other) {
            (Order::Halt { task, attempt, .. }, Order::Halt { task: other_task, attempt: other_attempt, .. }) => {
                task == other_task && attempt == other_attempt
            }
            _ => false,
        }
    }
}

/// The answer to a report; it renews the worker's lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: Vec<Order>,
}

/// Orders that the leader sends to a worker without waiting for its report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    pub orders: Vec<Order>,
}

/// The answer to a report that this controller doesn't serve: whom to report to.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    #[serde(rename = "boss", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}

/// Splits the name of a task, such as `j-000412/3`, into its job and number.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
