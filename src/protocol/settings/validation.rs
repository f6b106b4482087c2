//! Checks of values that the form of the file allows.

use super::{Cluster, NextLimits, Settings, Team};

/// Seconds by which `cancel_s` must exceed `lease_s`. With less, no lease could
/// be renewed without outliving a cancellation.
const MIN_CANCEL_MARGIN_S: f64 = 4.0;
/// Fewest sockets: some are reserved for outgoing calls, some for users.
const MIN_SOCKETS: usize = 32;
/// Fewest writes of a transaction: the leader commits with one besides its own.
const MIN_TXN_OPS: usize = 2;

/// A setting with a value that is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct InvalidValue {
    /// Full name of the setting, such as `cluster.state.rps`.
    pub field: &'static str,
    /// What is required of it.
    pub message: &'static str,
}

fn require(holds: bool, field: &'static str, message: &'static str) -> Result<(), InvalidValue> {
    if holds {
        Ok(())
    } else {
        Err(InvalidValue { field, message })
    }
}

fn is_positive(amount: f64) -> bool {
    amount.is_finite() && amount > 0.0
}

fn require_positive(amount: f64, field: &'static str) -> Result<(), InvalidValue> {
    require(is_positive(amount), field, "must be above 0")
}

impl Settings {
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        require(!self.label.is_empty(), "label", "must not be empty")?;
        self.cluster.validate()
    }
}

impl Cluster {
    fn validate(&self) -> Result<(), InvalidValue> {
        let workers = &self.workers;
        require_positive(workers.report_s, "cluster.workers.report_s")?;
        require_positive(workers.lease_s, "cluster.workers.lease_s")?;
        require_positive(workers.gang_wait_s, "cluster.workers.gang_wait_s")?;
        require_positive(workers.gang_peer_s, "cluster.workers.gang_peer_s")?;
        require_positive(workers.cancel_s, "cluster.workers.cancel_s")?;
        let enough = workers.cancel_s >= workers.lease_s + MIN_CANCEL_MARGIN_S;
        require(enough, "cluster.workers.cancel_s", "must be 4 s above lease_s")?;
        require_positive(self.state.rps, "cluster.state.rps")?;
        require_positive(self.state.write_rps, "cluster.state.write_rps")?;
        require_positive(self.state.value_kb, "cluster.state.value_kb")?;
        require(self.state.txn_ops >= MIN_TXN_OPS, "cluster.state.txn_ops", "must be 2 or more")?;
        require_positive(self.cloud.rps, "cluster.cloud.rps")?;
        require(self.limits.sockets >= MIN_SOCKETS, "cluster.limits.sockets", "must be 32 or more")?;
        if let Some(next) = &self.state.next {
            require(next.is_valid(), "cluster.state.next", "must be above 0")?;
        }
        for team in &self.teams {
            require(team.is_valid(), "cluster.teams", "a name and amounts of 0 or more are needed")?;
        }
        Ok(())
    }
}

impl NextLimits {
    fn is_valid(&self) -> bool {
        let amounts = [self.rps, self.write_rps, self.value_kb];
        amounts.into_iter().flatten().all(is_positive) && self.txn_ops != Some(0)
    }
}

impl Team {
    fn is_valid(&self) -> bool {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        !self.name.is_empty() && amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
    }
}
