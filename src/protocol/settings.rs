//! The platform's settings file (TOML). Unknown fields are ignored.

use std::{fs, net::SocketAddr, path::Path};

use serde::Deserialize;

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub label: String,
    pub domain: String,
    pub client_listen: SocketAddr,
    pub cluster_listen: SocketAddr,
    #[serde(default)]
    pub seeds: Vec<Seed>,
    pub outside: Outside,
    pub cluster: Cluster,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    pub label: String,
    #[serde(default)]
    pub domain: String,
    pub endpoint: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

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
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Own,
}

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

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// None: as now.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    fn least(&self, of: fn(&NextLimits) -> Option<f64>, now: f64) -> f64 {
        self.next.as_ref().and_then(of).map_or(now, |n| n.min(now))
    }

    /// Size of a value that fits now and later.
    pub fn fitting_value_kb(&self) -> f64 {
        self.least(|n| n.value_kb, self.value_kb)
    }

    /// Writes of a transaction that fit now and later, and into a burst of
    /// one second.
    pub fn fitting_txn_ops(&self) -> usize {
        let ops = self.next.as_ref().and_then(|n| n.txn_ops).map_or(self.txn_ops, |n| n.min(self.txn_ops));
        ops.min(self.rates(true).1 as usize).max(1)
    }

    /// Requests and writes a second, as they are now or `later`.
    pub fn rates(&self, later: bool) -> (f64, f64) {
        if later {
            (self.least(|n| n.rps, self.rps), self.least(|n| n.write_rps, self.write_rps))
        } else {
            (self.rps, self.write_rps)
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Own {
    #[serde(default)]
    pub cpu: f64,
    #[serde(default)]
    pub ram_mb: f64,
    pub sockets: usize,
}

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {message}")]
    Form { path: String, message: String },
    #[error("{path}: {field}: {message}")]
    Value { path: String, field: &'static str, message: &'static str },
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Read { path: shown.clone(), source })?;
        Settings::parse(&text, &shown)
    }

    pub fn parse(text: &str, path: &str) -> Result<Settings, SettingsError> {
        let s: Settings = toml::from_str(text).map_err(|e| SettingsError::Form {
            path: path.to_owned(),
            message: e.to_string().split_whitespace().collect::<Vec<_>>().join(" "),
        })?;
        s.check().map_err(|(field, message)| SettingsError::Value { path: path.to_owned(), field, message })?;
        Ok(s)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let c = &self.cluster;
        let table: [(bool, &'static str, &'static str); 13] = [
            (!self.label.is_empty(), "label", "must not be empty"),
            (positive(c.workers.report_s), "cluster.workers.report_s", "must be above 0"),
            (positive(c.workers.lease_s), "cluster.workers.lease_s", "must be above 0"),
            (positive(c.workers.gang_wait_s), "cluster.workers.gang_wait_s", "must be above 0"),
            (positive(c.workers.gang_peer_s), "cluster.workers.gang_peer_s", "must be above 0"),
            (positive(c.workers.cancel_s), "cluster.workers.cancel_s", "must be above 0"),
            // No lease could be renewed without outliving a cancellation.
            (c.workers.cancel_s >= c.workers.lease_s + 4.0, "cluster.workers.cancel_s", "must be 4 s above lease_s"),
            (positive(c.state.rps), "cluster.state.rps", "must be above 0"),
            (positive(c.state.write_rps), "cluster.state.write_rps", "must be above 0"),
            (positive(c.state.value_kb), "cluster.state.value_kb", "must be above 0"),
            (c.state.txn_ops >= 2, "cluster.state.txn_ops", "must be 2 or more"),
            (positive(c.cloud.rps), "cluster.cloud.rps", "must be above 0"),
            (c.limits.sockets >= 32, "cluster.limits.sockets", "must be 32 or more"),
        ];
        for (ok, field, message) in table {
            if !ok {
                return Err((field, message));
            }
        }
        if let Some(n) = &c.state.next {
            let amounts = [n.rps, n.write_rps, n.value_kb];
            if amounts.into_iter().flatten().any(|x| !positive(x)) || n.txn_ops == Some(0) {
                return Err(("cluster.state.next", "must be above 0"));
            }
        }
        for t in &c.teams {
            let amounts = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
            if t.name.is_empty() || amounts.iter().any(|x| !x.is_finite() || *x < 0.0) {
                return Err(("cluster.teams", "a name and amounts of 0 or more are needed"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "tests/settings.rs"]
pub mod tests;
