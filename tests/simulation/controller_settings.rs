//! Configuration of the simulated controllers, and faults of the leading one.

use shedhook::coordination::{
    cluster::Config,
    model::{Millis, TeamLimits},
};

use super::{HEARTBEAT_INTERVAL_MS, LEASE_MS};

/// Most writes that a transaction may have.
pub(super) const TRANSACTION_WRITES_MAX: usize = 8;

/// Longer than any simulation.
const NEVER_MS: Millis = 1 << 40;

/// Quotas of the teams in GPUs; team "blue" has no guarantee. `None`: not set.
#[derive(Clone, Copy, Default)]
pub struct TeamQuotas {
    pub red_gpus_max: Option<f64>,
    pub blue_gpus_max: Option<f64>,
    pub red_gpus_guaranteed: Option<f64>,
}

impl TeamQuotas {
    fn limits(self) -> Vec<TeamLimits> {
        let limits = |gpus_max| TeamLimits { gpus_max, ..TeamLimits::default() };
        vec![TeamLimits { gpus: self.red_gpus_guaranteed, ..limits(self.red_gpus_max) }, limits(self.blue_gpus_max)]
    }
}

/// Configuration of the controllers, and faults of the leading one.
pub struct ControllerSettings {
    /// Quotas of the teams; takes effect at the next election.
    pub quotas: TeamQuotas,
    /// A machine is replaced when no heartbeat has been received from it for this long.
    pub heartbeat_timeout_ms: Millis,
    /// The store's present limit on a value, as configured, in bytes.
    pub value_bytes_max: usize,
    /// Size of the largest value that also fits the lower limit which may replace the
    /// present one, in bytes.
    pub reduced_value_bytes_max: usize,
    /// Number of tasks per chunk up to which a chunk's record also fits that lower limit.
    pub reduced_tasks_per_chunk: u32,
    /// Whether all controllers support resharding: dividing a job into chunks again.
    pub may_reshard: bool,
    /// The leader writes records as the previous version did: without the completion
    /// time of a job.
    pub writes_previous_format: bool,
    /// The leader doesn't read the store's changes.
    pub reads_paused: bool,
    /// The leader crashes just before it sends its next transaction; the crash clears this
    /// setting.
    pub crash_before_transaction: bool,
    /// The leader crashes just after the store has processed its next transaction, before
    /// it receives the response; the crash clears this setting.
    pub crash_after_transaction: bool,
    /// Since when the controllers behind a partition have been unreachable; `None`: all
    /// controllers are reachable.
    pub peers_unreachable_since: Option<Millis>,
}

impl Default for ControllerSettings {
    fn default() -> ControllerSettings {
        ControllerSettings {
            quotas: TeamQuotas::default(),
            heartbeat_timeout_ms: NEVER_MS,
            value_bytes_max: usize::MAX,
            reduced_value_bytes_max: usize::MAX,
            reduced_tasks_per_chunk: u32::MAX,
            may_reshard: false,
            writes_previous_format: false,
            reads_paused: false,
            crash_before_transaction: false,
            crash_after_transaction: false,
            peers_unreachable_since: None,
        }
    }
}

impl ControllerSettings {
    /// Returns the configuration with which a leader starts.
    pub(super) fn leader_config(&self) -> Config {
        Config {
            worker_lease_ms: LEASE_MS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            gang_peer_s: 8.0,
            max_transaction_writes: TRANSACTION_WRITES_MAX,
            max_value_bytes: self.value_bytes_max,
            reduced_max_value_bytes: self.reduced_value_bytes_max,
            reduced_chunk_size: self.reduced_tasks_per_chunk,
            host_list_delay_ms: 1_000,
            teams: self.quotas.limits(),
            objectives: Vec::new(),
            min_idle_ms: NEVER_MS,
            heartbeat_timeout_ms: self.heartbeat_timeout_ms,
            max_machines: usize::MAX,
            use_spot: true,
        }
    }
}
