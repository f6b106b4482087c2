//! The platform's settings file (TOML). Unknown fields are ignored.

mod validation;

use std::{fs, io, net::SocketAddr, path::Path};

use serde::Deserialize;

pub use self::validation::InvalidValue;

/// All settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub label: String,
    /// Zone that it runs in.
    pub domain: String,
    /// Address for users, workers and health probes.
    pub client_listen: SocketAddr,
    /// Address for peers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    pub outside: Outside,
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    pub label: String,
    #[serde(default)]
    pub domain: String,
    pub endpoint: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// What holds for the whole cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerSettings,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: ProcessLimits,
}

/// A team's guaranteed and largest amounts; 0: none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What a service objective measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// The time until a job starts.
    Wait,
    /// The time until a job has finished.
    Finished,
    /// Anything else; scheduling has no use for it.
    #[serde(other)]
    Other,
}

/// A service objective: a share of a class of jobs within a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: ObjectiveKind,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times of the workers' interface.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval of a worker's reports.
    pub report_s: f64,
    /// A worker without an answer for this long stops its tasks.
    pub lease_s: f64,
    /// How long a worker waits for the other members of a gang to start.
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    /// A cancelled job's tasks must have ended within this time.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most writes of a transaction.
    pub txn_ops: usize,
    /// Limits that take effect at some later moment, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that will replace those of [`StateLimits`]; None: unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// Which of the state service's limits hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPhase {
    /// Those in force at the start.
    Current,
    /// Those of [`StateLimits::next`], as far as they are lower.
    Lowered,
}

/// The state service's limits per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateRates {
    pub requests: f64,
    pub writes: f64,
}

impl StateLimits {
    fn lower(&self, next: fn(&NextLimits) -> Option<f64>, current: f64) -> f64 {
        self.next.as_ref().and_then(next).map_or(current, |next| next.min(current))
    }

    /// Size of a value that fits now and later.
    pub fn fitting_value_kb(&self) -> f64 {
        self.lower(|next| next.value_kb, self.value_kb)
    }

    /// Writes of a transaction that fit now and later, and into a burst of
    /// one second.
    pub fn fitting_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        let ops = next.map_or(self.txn_ops, |next| next.min(self.txn_ops));
        ops.min(self.rates(LimitPhase::Lowered).writes as usize).max(1)
    }

    /// The rates that are allowed in a phase.
    pub fn rates(&self, phase: LimitPhase) -> StateRates {
        match phase {
            LimitPhase::Current => StateRates { requests: self.rps, writes: self.write_rps },
            LimitPhase::Lowered => StateRates {
                requests: self.lower(|next| next.rps, self.rps),
                writes: self.lower(|next| next.write_rps, self.write_rps),
            },
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// The list of hosts may be this old.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    #[serde(default)]
    pub cpu: f64,
    #[serde(default)]
    pub ram_mb: f64,
    pub sockets: usize,
}

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: {source}")]
    Read { path: String, source: io::Error },
    #[error("{path}: {message}")]
    Form { path: String, message: String },
    #[error("{path}: {source}")]
    Value { path: String, source: InvalidValue },
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Read { path: shown.clone(), source })?;
        Settings::parse(&text, &shown)
    }

    /// Parses and validates settings; `path` is named in errors.
    pub fn parse(text: &str, path: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|error| SettingsError::Form { path: path.to_owned(), message: single_line(&error.to_string()) })?;
        settings.validate().map_err(|source| SettingsError::Value { path: path.to_owned(), source })?;
        Ok(settings)
    }
}

/// A message without line breaks, for logs and terminals.
pub(super) fn single_line(message: &str) -> String {
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
#[path = "tests/settings.rs"]
pub mod tests;
