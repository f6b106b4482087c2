//! Settings of one leadership.

use crate::{
    coordination::model::{Millis, TeamLimits},
    protocol::names::ClassIndex,
};

/// Settings of the cluster, fixed when a leadership begins.
#[derive(Debug, Clone)]
pub struct Config {
    /// Duration of a worker lease, in ms.
    pub worker_lease_ms: Millis,
    /// Interval between a worker's heartbeats, in ms.
    pub heartbeat_interval_ms: Millis,
    /// How long a gang's task waits for the other tasks of the gang, in seconds.
    pub gang_peer_s: f64,
    /// Maximum number of writes per transaction that the key-value store accepts.
    pub max_transaction_writes: usize,
    /// Maximum size of a value under the key-value store's present limit, in bytes.
    pub max_value_bytes: usize,
    /// Maximum size of a value, in bytes, that also fits the reduced limit, with which
    /// the store may replace its present limit at any time.
    pub reduced_max_value_bytes: usize,
    /// Number of tasks per chunk with which a chunk record fits the reduced limit.
    pub reduced_chunk_size: u32,
    /// Maximum age of the data in the cloud's list of hosts, in ms.
    pub host_list_delay_ms: Millis,
    /// Guarantee and limit of each team, by team index.
    pub teams: Vec<TeamLimits>,
    /// Service-level objectives of classes, the shortest time first.
    pub objectives: Vec<ServiceObjective>,
    /// Minimum time that an idle machine is kept, in ms.
    pub min_idle_ms: Millis,
    /// Time since the last heartbeat of a machine after which the machine is suspected
    /// of having failed, in ms.
    pub heartbeat_timeout_ms: Millis,
    /// Maximum number of machines provisioned at once; `usize::MAX`: no limit.
    pub max_machines: usize,
    /// Whether spot machines may be provisioned.
    pub use_spot: bool,
}

/// Service-level objective of a class: its jobs start or complete within a time
/// limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceObjective {
    /// The class of jobs to which it applies.
    pub class: ClassIndex,
    /// True: the first tasks must run within the limit; false: all tasks must
    /// complete within it.
    pub applies_to_start: bool,
    /// The time limit, in seconds.
    pub within_s: f64,
}
