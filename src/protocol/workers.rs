//! Workers' interface: reports, commands, their answers.

use serde::{Deserialize, Serialize};

use super::cbor::maybe_number;

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
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "warningS", default, deserialize_with = "maybe_number")]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskReport>,
}

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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

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
    /// A later version's state: it is there, no more is known.
    #[serde(other, rename = "other")]
    Other,
}

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
    #[serde(other, rename = "other")]
    Other,
}

#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename = "launch")]
    Launch {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Halt {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Reap {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// Both stop the same attempt, with whatever grace.
    pub fn same_halt(&self, other: &Order) -> bool {
        match (self, other) {
            (Order::Halt { task: a, attempt: x, .. }, Order::Halt { task: b, attempt: y, .. }) => a == b && x == y,
            _ => false,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "baton")]
    pub token: u64,
    pub orders: Vec<Order>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DirectCommandRequest {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    pub orders: Vec<Order>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect<'a> {
    #[serde(rename = "boss", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}

/// Splits `j-000412/3`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, n) = name.rsplit_once('/')?;
    Some((job, n.parse().ok()?))
}
