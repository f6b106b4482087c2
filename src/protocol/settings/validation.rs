//! Validation of settings that were parsed without error.

use std::fmt;

use super::{ClusterSettings, NextLimits, Settings, Team};

/// Minimum difference, in seconds, by which `cancel_s` exceeds `lease_s`. With a smaller
/// one, no worker lease could be renewed, because every renewed lease could outlast the
/// time limit of a cancellation.
const MIN_CANCEL_MARGIN_S: f64 = 4.0;
/// Minimum number of sockets: some are reserved for outgoing calls, some for users.
const MIN_SOCKETS: usize = 32;
/// Minimum number of writes per transaction: a commit of the leader has one write
/// besides the leader's own.
const MIN_TXN_OPS: usize = 2;

/// Requirement that the value of a setting must meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Requirement {
    /// A string of at least one character.
    NotEmpty,
    /// A finite number above 0.
    Positive,
    /// A finite number of at least 0.
    NotNegative,
    /// A number of at least the given one.
    AtLeast(f64),
}

impl fmt::Display for Requirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::NotEmpty => formatter.write_str("must not be empty"),
            Requirement::Positive => formatter.write_str("must be above 0"),
            Requirement::NotNegative => formatter.write_str("must be 0 or more"),
            Requirement::AtLeast(least) => write!(formatter, "must be {least} or more"),
        }
    }
}

/// Error about a setting whose value is not allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{setting} = {value}: {requirement}")]
pub struct InvalidValue {
    /// Full name of the setting, such as `cluster.state.rps`.
    pub setting: &'static str,
    /// The value that was given.
    pub value: String,
    /// Requirement that the value violates.
    pub requirement: Requirement,
}

fn require(
    holds: bool,
    setting: &'static str,
    value: &impl ToString,
    requirement: Requirement,
) -> Result<(), InvalidValue> {
    if holds {
        Ok(())
    } else {
        Err(InvalidValue { setting, value: value.to_string(), requirement })
    }
}

fn is_positive(amount: f64) -> bool {
    amount.is_finite() && amount > 0.0
}

fn require_positive(setting: &'static str, amount: f64) -> Result<(), InvalidValue> {
    require(is_positive(amount), setting, &amount, Requirement::Positive)
}

fn require_not_negative(setting: &'static str, amount: f64) -> Result<(), InvalidValue> {
    require(amount.is_finite() && amount >= 0.0, setting, &amount, Requirement::NotNegative)
}

fn require_at_least(setting: &'static str, count: usize, least: usize) -> Result<(), InvalidValue> {
    require(count >= least, setting, &count, Requirement::AtLeast(least as f64))
}

fn require_not_empty(setting: &'static str, text: &str) -> Result<(), InvalidValue> {
    require(!text.is_empty(), setting, &"\"\"", Requirement::NotEmpty)
}

impl Settings {
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        require_not_empty("label", &self.label)?;
        self.cluster.validate()
    }
}

impl ClusterSettings {
    fn validate(&self) -> Result<(), InvalidValue> {
        let workers = &self.workers;
        require_positive("cluster.workers.report_s", workers.heartbeat_interval_s)?;
        require_positive("cluster.workers.lease_s", workers.lease_s)?;
        require_positive("cluster.workers.gang_wait_s", workers.gang_wait_s)?;
        require_positive("cluster.workers.gang_peer_s", workers.gang_peer_s)?;
        require_positive("cluster.workers.cancel_s", workers.cancel_s)?;
        let min_cancel_s = workers.lease_s + MIN_CANCEL_MARGIN_S;
        let is_cancel_time_sufficient = workers.cancel_s >= min_cancel_s;
        let requirement = Requirement::AtLeast(min_cancel_s);
        require(is_cancel_time_sufficient, "cluster.workers.cancel_s", &workers.cancel_s, requirement)?;
        require_positive("cluster.state.rps", self.store.rps)?;
        require_positive("cluster.state.write_rps", self.store.write_rps)?;
        require_positive("cluster.state.value_kb", self.store.value_kb)?;
        require_at_least("cluster.state.txn_ops", self.store.txn_ops, MIN_TXN_OPS)?;
        require_positive("cluster.cloud.rps", self.cloud.rps)?;
        require_at_least("cluster.limits.sockets", self.limits.sockets, MIN_SOCKETS)?;
        if let Some(next) = &self.store.next {
            next.validate()?;
        }
        self.teams.iter().try_for_each(Team::validate)
    }
}

impl NextLimits {
    fn validate(&self) -> Result<(), InvalidValue> {
        let amounts = [
            ("cluster.state.next.rps", self.rps),
            ("cluster.state.next.write_rps", self.write_rps),
            ("cluster.state.next.value_kb", self.value_kb),
        ];
        for (setting, amount) in amounts {
            amount.map_or(Ok(()), |amount| require_positive(setting, amount))?;
        }
        let txn_ops = self.txn_ops;
        txn_ops.map_or(Ok(()), |count| require_at_least("cluster.state.next.txn_ops", count, 1))
    }
}

impl Team {
    fn validate(&self) -> Result<(), InvalidValue> {
        require_not_empty("cluster.teams.name", &self.name)?;
        require_not_negative("cluster.teams.cpus", self.cpus)?;
        require_not_negative("cluster.teams.cpus_max", self.cpus_max)?;
        require_not_negative("cluster.teams.gpus", self.gpus)?;
        require_not_negative("cluster.teams.gpus_max", self.gpus_max)
    }
}
