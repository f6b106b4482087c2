//! A controller's settings file (TOML). Unknown fields are ignored.

mod error;
mod limits;
mod quota;
mod validation;

use std::{fs, net::SocketAddr, path::Path};

use serde::Deserialize;

pub(super) use self::error::single_line;
pub use self::{
    error::SettingsError,
    limits::{CloudLimits, LimitPhase, NextLimits, ProcessLimits, StoreLimits, StoreRates},
    quota::{Objective, ObjectiveKind, Team},
    validation::{InvalidValue, Requirement},
};

/// All settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub label: String,
    /// Zone that it runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address for users, workers and health probes.
    pub client_listen: SocketAddr,
    /// Address for peers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peer_settings: Vec<PeerSettings>,
    /// Addresses of the cloud and of the key-value store.
    #[serde(rename = "outside")]
    pub service_addresses: ServiceAddresses,
    /// What is the same for all controllers.
    pub cluster: ClusterSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Name of the controller.
    pub label: String,
    /// Zone that it runs in; empty if the file names none.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which it listens for peers.
    #[serde(rename = "endpoint")]
    pub endpoint: SocketAddr,
}

/// Addresses of the outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The key-value store.
    pub state: SocketAddr,
}

/// Settings of the whole cluster, the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Most by which a controller's time of day may differ from the true time, in ms.
    #[serde(default)]
    pub skew_ms: f64,
    /// Quotas of teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives of classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers' interface.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of each controller's process.
    pub limits: ProcessLimits,
}

impl ClusterSettings {
    /// Whether nothing is guaranteed to this team, while something is to another.
    pub fn is_best_effort(&self, team: &str) -> bool {
        let mut guaranteed = self.teams.iter().filter(|known| known.has_guarantee()).peekable();
        guaranteed.peek().is_some() && !guaranteed.any(|known| known.name == team)
    }
}

/// Times of the workers' interface, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval of a worker's heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease: without an answer for this long, it stops its tasks.
    pub lease_s: f64,
    /// How long a worker waits for the other members of a gang to start.
    pub gang_wait_s: f64,
    /// Time within which the members of a running gang notice that one is gone.
    pub gang_peer_s: f64,
    /// A cancelled job's tasks must have ended within this time.
    pub cancel_s: f64,
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
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Parse {
            path: path.to_owned(),
            message: single_line(&error.to_string()),
        })?;
        settings.validate().map_err(|source| SettingsError::Value { path: path.to_owned(), source })?;
        Ok(settings)
    }
}

/// Tests of the settings, and a sample file that other tests use.
#[cfg(test)]
#[path = "tests/settings.rs"]
pub mod tests;
