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
    /// Addresses of the cloud and of the state service.
    pub outside: Outside,
    /// What all controllers have in common.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name of the controller.
    pub label: String,
    /// Zone that it runs in; empty if the file names none.
    #[serde(default)]
    pub domain: String,
    /// Address at which it listens for peers.
    pub endpoint: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What holds for the whole cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Most by which a controller's time of day may differ from the true time, in ms.
    #[serde(default)]
    pub skew_ms: f64,
    /// Guarantees and limits of teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives of classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers' interface.
    pub workers: WorkerSettings,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of each controller's process.
    pub limits: ProcessLimits,
}

/// A team's guaranteed and largest amounts; 0: none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs that are guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs in use at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that are guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at once.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether any amount is guaranteed to the team.
    pub fn has_guarantee(&self) -> bool {
        self.cpus > 0.0 || self.gpus > 0.0
    }
}

impl Cluster {
    /// Whether nothing is guaranteed to this team, while something is to another.
    pub fn is_best_effort(&self, team: &str) -> bool {
        let mut guaranteed = self.teams.iter().filter(|known| known.has_guarantee()).peekable();
        guaranteed.peek().is_some() && !guaranteed.any(|known| known.name == team)
    }
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
    /// What is measured.
    pub kind: ObjectiveKind,
    /// Name of the class of jobs; None if the objective names none.
    #[serde(default)]
    pub class: Option<String>,
    /// The time limit, in seconds; None if the objective has none.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must keep the time, from 0 to 1; None if it has none.
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
    /// Seconds within which the members of a running gang notice that one is gone.
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
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Largest value, in KiB.
    pub value_kb: Option<f64>,
    /// Most writes of a transaction.
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
    /// Requests of any kind.
    pub requests: f64,
    /// Writes.
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
    /// CPU time that the process may use, in CPUs; 0 if the file names none.
    #[serde(default)]
    pub cpu: f64,
    /// Memory that the process may use, in MB; 0 if the file names none.
    #[serde(default)]
    pub ram_mb: f64,
    /// Most sockets open at once.
    pub sockets: usize,
}

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the read.
        source: io::Error,
    },
    /// The file is not TOML of the expected form.
    #[error("{path}: {message}")]
    Form {
        /// Path of the file.
        path: String,
        /// The parser's message, on one line.
        message: String,
    },
    /// A setting has a value that is not allowed.
    #[error("{path}: {source}")]
    Value {
        /// Path of the file.
        path: String,
        /// The setting, and what is wrong with it.
        source: InvalidValue,
    },
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

/// Tests of the settings, and a sample file that other tests use.
#[cfg(test)]
#[path = "tests/settings.rs"]
pub mod tests;
