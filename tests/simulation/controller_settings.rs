//! How the simulated controllers are configured, and what befalls the one that leads.

use shedhook::coordination::{
    cluster::Config,
    model::{Millis, TeamLimits},
};

use super::{HEARTBEAT_INTERVAL_MS, LEASE_MS};

/// Most writes of a transaction.
pub(super) const TRANSACTION_WRITES_MAX: usize = 8;

/// So long that it never passes in a simulation.
const NEVER_MS: Millis = 1 << 40;

/// Quotas of the teams in GPUs; "blue" has no guarantee.
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

/// How the controllers are configured, and what befalls the one that leads.
pub struct ControllerSettings {
    /// From the next election on.
    pub quotas: TeamQuotas,
    /// A machine that is silent for so long is replaced.
    pub heartbeat_timeout_ms: Millis,
    /// The announced limit of a value in bytes.
    pub value_bytes_max: usize,
    /// The size of values that fit later too, in bytes.
    pub reduced_value_bytes_max: usize,
    /// Tasks per chunk whose record fits later too.
    pub reduced_tasks_per_chunk: u32,
    /// All controllers know that jobs can be divided into chunks anew.
    pub may_reshard: bool,
    /// The leader writes records as the version before did: no time in the end
    /// of a job.
    pub writes_previous_format: bool,
    /// The leader reads no changes.
    pub reads_paused: bool,
    /// Once: the leader crashes just before its next transaction.
    pub crash_before_transaction: bool,
    /// Once: the leader crashes just after its next transaction.
    pub crash_after_transaction: bool,
    /// Since when the controllers behind a partition have not been heard.
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
    /// The settings with which a leader begins.
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
