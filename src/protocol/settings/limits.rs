//! Limits of the external services and of this process.

use serde::Deserialize;

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of writes per transaction.
    pub txn_ops: usize,
    /// Limits that take effect at some later time, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that will replace those of [`StoreLimits`]; `None`: unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Writes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of writes per transaction.
    pub txn_ops: Option<usize>,
}

/// Phase of the key-value store's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPhase {
    /// The limits in force at the start.
    Current,
    /// The limits of [`StoreLimits::next`] where they are lower than those in force
    /// at the start.
    Lowered,
}

/// Rate limits of the key-value store, per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreRates {
    /// Requests of any kind.
    pub requests: f64,
    /// Writes.
    pub writes: f64,
}

impl StoreLimits {
    fn min_with_next(&self, next: fn(&NextLimits) -> Option<f64>, current: f64) -> f64 {
        self.next.as_ref().and_then(next).map_or(current, |next| next.min(current))
    }

    /// Returns the maximum size of a value, in KiB, that fits both the current and the
    /// next limits.
    pub fn fitting_value_kb(&self) -> f64 {
        self.min_with_next(|next| next.value_kb, self.value_kb)
    }

    /// Returns the maximum number of writes per transaction that fits both the current
    /// and the next limits, and that does not exceed the writes allowed in one second; at
    /// least 1.
    pub fn fitting_txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        let ops = next.map_or(self.txn_ops, |next| next.min(self.txn_ops));
        ops.min(self.rates(LimitPhase::Lowered).writes as usize).max(1)
    }

    /// Returns the rates that are allowed in a phase.
    pub fn rates(&self, phase: LimitPhase) -> StoreRates {
        match phase {
            LimitPhase::Current => StoreRates { requests: self.rps, writes: self.write_rps },
            LimitPhase::Lowered => StoreRates {
                requests: self.min_with_next(|next| next.rps, self.rps),
                writes: self.min_with_next(|next| next.write_rps, self.write_rps),
            },
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of the list of hosts, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// CPU time that the process may use, in CPUs; 0 if the file gives no limit.
    #[serde(default)]
    pub cpu: f64,
    /// Memory that the process may use, in MB; 0 if the file gives no limit.
    #[serde(default)]
    pub ram_mb: f64,
    /// Maximum number of sockets open at once.
    pub sockets: usize,
}
