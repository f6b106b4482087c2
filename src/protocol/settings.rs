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
pub mod tests {
    use super::*;

    pub const SAMPLE: &str = r#"
label = "n-0"
domain = "a"
client_listen = "127.0.0.1:0"
cluster_listen = "127.0.0.1:0"
novelty = 3
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 3
zones = ["a", "b"]
skew_ms = 25.0
[[cluster.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0
[cluster.workers]
report_s = 3.0
lease_s = 30
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 50.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 4.0
list_lag_s = 6.0
[cluster.limits]
cpu = 0.12
ram_mb = 200.0
sockets = 3500
"#;

    #[test]
    fn settings_table() {
        let cases = [
            ("as given", "", "", None),
            ("unknown fields", "novelty = 3", "novelty = { a = 1 }", None),
            ("no label", "label = \"n-0\"", "", Some("label")),
            ("wrong type", "txn_ops = 24", "txn_ops = \"many\"", Some("txn_ops")),
            ("zero lease", "lease_s = 30", "lease_s = 0", Some("lease_s")),
            ("no time to cancel", "cancel_s = 50.0", "cancel_s = 33.0", Some("cancel_s")),
            ("NaN", "lease_s = 30", "lease_s = nan", Some("lease_s")),
            ("bad address", "cloud = \"127.0.0.1:1\"", "cloud = \"here\"", Some("cloud")),
            ("next limits", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = 2", None),
            ("no writes later", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\ntxn_ops = 0", Some("next")),
            ("no value later", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = nan", Some("next")),
            ("negative team", "gpus = 8.0", "gpus = -8.0", Some("teams")),
        ];
        for (name, from, to, want) in cases {
            let text = if from.is_empty() { SAMPLE.to_owned() } else { SAMPLE.replacen(from, to, 1) };
            match (Settings::parse(&text, "x.toml"), want) {
                (Ok(_), None) => {}
                (Err(e), Some(field)) => {
                    let line = e.to_string();
                    assert!(line.contains(field) && !line.contains('\n'), "{name}: {line}");
                }
                (got, want) => panic!("{name}: {:?}, wanted {want:?}", got.err()),
            }
        }
    }

    #[test]
    fn the_smaller_of_both_limits() {
        // (next, value, operations, rates later)
        let cases = [
            ("", 16.0, 24, (100.0, 30.0)),
            ("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 21.0", 2.0, 4, (100.0, 21.0)),
            ("value_kb = 64.0\ntxn_ops = 99\nrps = 500.0\nwrite_rps = 500", 16.0, 24, (100.0, 30.0)),
            ("rps = 10.0\nwrite_rps = 3.5", 16.0, 3, (10.0, 3.5)),
            ("write_rps = 0.5", 16.0, 1, (100.0, 0.5)),
        ];
        for (next, value, ops, rates) in cases {
            let text = SAMPLE.replacen("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]"), 1);
            let st = Settings::parse(&text, "x.toml").unwrap().cluster.state;
            let got = (st.fitting_value_kb(), st.fitting_txn_ops(), st.rates(true));
            assert_eq!(got, (value, ops, rates), "{next}");
            assert_eq!(st.rates(false), (100.0, 30.0), "{next}");
        }
    }
}
