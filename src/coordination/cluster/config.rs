//! Settings of one leadership.

use crate::{
    coordination::model::{Millis, TeamLimits},
    protocol::names::ClassIndex,
};

/// Settings of the cluster as a leader gets them when its leadership begins.
#[derive(Debug, Clone)]
pub struct Config {
    /// How long a worker's lease lasts, in ms.
    pub worker_lease_ms: Millis,
    /// The interval of workers' heartbeats, in ms.
    pub heartbeat_interval_ms: Millis,
    /// How long a gang's task waits for the others, in seconds.
    pub gang_peer_s: f64,
    /// Most writes of a transaction that the key-value store accepts.
    pub max_transaction_writes: usize,
    /// Largest value, in bytes, under the key-value store's present limit.
    pub max_value_bytes: usize,
    /// Largest value, in bytes, that fits under its lower limit as well, which may
    /// replace the present one at any time.
    pub reduced_max_value_bytes: usize,
    /// Tasks per chunk whose record fits under the lower limit.
    pub reduced_chunk_size: u32,
    /// How old the cloud's list of hosts may be, in ms.
    pub host_list_delay_ms: Millis,
    /// Guarantee and limit of each team, by index of the team.
    pub teams: Vec<TeamLimits>,
    /// Service-level objectives of classes, the shortest time first.
    pub objectives: Vec<ServiceObjective>,
    /// How long an idle machine is kept at least, in ms.
    pub min_idle_ms: Millis,
    /// How long after its heartbeat was due a machine is taken to have failed, in ms.
    pub heartbeat_timeout_ms: Millis,
    /// Most machines rented at once; `usize::MAX`: no limit.
    pub max_machines: usize,
    /// Whether spot machines may be rented.
    pub use_spot: bool,
}

/// Service-level objective of a class: its jobs start or end within a time limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceObjective {
    /// The class of jobs that it holds for.
    pub class: ClassIndex,
    /// True: the first tasks run by then; false: all are done.
    pub applies_to_start: bool,
    /// The time limit, in seconds.
    pub within_s: f64,
}
