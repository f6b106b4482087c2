//! Counts the outcomes of users' requests, for the log.

use crate::coordination::model::Millis;

/// Interval, in ms, at which the outcomes of users' requests are logged.
const LOG_INTERVAL_MS: Millis = 5_000;

/// Outcomes of users' requests since they were last logged.
#[derive(Debug, Default)]
pub(super) struct RequestStatistics {
    /// Requests that received 503.
    unavailable: u32,
    /// Requests that received 429.
    over_budget: u32,
    /// Submissions that received 201.
    accepted: u32,
    /// When the counts are next logged, in ms.
    next_log: Millis,
}

impl RequestStatistics {
    /// Counts a request that received 503.
    pub(super) fn record_unavailable(&mut self) {
        self.unavailable += 1;
    }

    /// Counts a request that received 429.
    pub(super) fn record_over_budget(&mut self) {
        self.over_budget += 1;
    }

    /// Counts a submission that received 201.
    pub(super) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// If the log interval is over, resets the counts, and logs them if any request
    /// received 429 or 503.
    pub(super) fn log_if_due(&mut self, now: Millis) {
        if now < self.next_log {
            return;
        }
        let RequestStatistics { unavailable, over_budget, accepted, .. } = std::mem::take(self);
        self.next_log = now + LOG_INTERVAL_MS;
        if unavailable + over_budget > 0 {
            tracing::info!(accepted, over_budget, unavailable, "user requests rejected, to be retried");
        }
    }
}

#[cfg(test)]
#[path = "../tests/statistics.rs"]
mod tests;
