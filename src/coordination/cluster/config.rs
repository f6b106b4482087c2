//! Settings of a leadership.

use crate::{
    coordination::model::{Millis, TeamLimits},
    protocol::names::ClassIndex,
};

/// What a leader is told of its cluster when it begins.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a worker's lease lasts.
    pub lease_ms: Millis,
    /// The interval of workers' heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// How long a gang's task waits for the others.
    pub gang_peer_s: f64,
    /// Most writes of a transaction.
    pub txn_ops: usize,
    /// Largest value, in bytes, under the state service's present limit.
    pub value_max: usize,
    /// Largest value, in bytes, that fits under its lower limit as well.
    pub value_fit: usize,
    /// Tasks per chunk whose record fits under the lower limit.
    pub chunk_fit: u32,
    /// How old the cloud's list of hosts may be, in ms.
    pub list_lag_ms: Millis,
    /// By index of the team.
    pub teams: Vec<TeamLimits>,
    /// What users expect of classes, the shortest time first.
    pub objectives: Vec<ServiceObjective>,
    /// How long an idle machine is kept at least.
    pub idle_keep_ms: Millis,
    /// How long past its due report a machine counts as silent.
    pub silent_ms: Millis,
    /// Most machines held at once; `usize::MAX`: no limit.
    pub max_machines: usize,
    /// Whether spot machines may be rented.
    pub use_spot: bool,
}

/// What users expect of a class: that its jobs start or end within some seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceObjective {
    /// The class of jobs that it is about.
    pub class: ClassIndex,
    /// True: the first tasks run by then; false: all are done.
    pub start: bool,
    /// The time limit, in seconds.
    pub within_s: f64,
}
