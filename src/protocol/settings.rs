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

/// Settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub label: String,
    /// Zone that this controller runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Listen address for users, workers and health probes.
    pub client_listen: SocketAddr,
    /// Listen address for peers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peer_settings: Vec<PeerSettings>,
    /// Addresses of the cloud and of the key-value store.
    #[serde(rename = "outside")]
    pub service_addresses: ServiceAddresses,
    /// Settings that are the same for all controllers.
    pub cluster: ClusterSettings,
}

/// Settings about another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerSettings {
    /// Name of the controller.
    pub label: String,
    /// Zone that the controller runs in; empty if the file names none.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address at which the controller listens for peers.
    #[serde(rename = "endpoint")]
    pub endpoint: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings of the whole cluster, the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct ClusterSettings {
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum difference between a controller's wall clock and the true time, in ms.
    #[serde(default)]
    pub skew_ms: f64,
    /// Quotas of the teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives of job classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of the interface with workers.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of each controller's process.
    pub limits: ProcessLimits,
}

impl ClusterSettings {
    /// Reports whether a team is best-effort: it has no guarantee, while another team
    /// has one.
    pub fn is_best_effort(&self, team: &str) -> bool {
        let mut guaranteed = self.teams.iter().filter(|known| known.has_guarantee()).peekable();
        guaranteed.peek().is_some() && !guaranteed.any(|known| known.name == team)
    }
}

/// Intervals and timeouts of the interface with workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval between heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker lease: a worker that receives no response for this long
    /// stops its tasks.
    pub lease_s: f64,
    /// Time for which a worker waits for the other members of a gang to start.
    pub gang_wait_s: f64,
    /// Time within which the members of a running gang detect that one is gone.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job must have exited.
    pub cancel_s: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let path_text = path.display().to_string();
        let text =
            fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path_text.clone(), source })?;
        Settings::parse(&text, &path_text)
    }

    /// Parses and validates settings; `path` is the file name in errors.
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
