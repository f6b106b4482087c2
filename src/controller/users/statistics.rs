//! How users' requests were answered, for the log.

use crate::coordination::model::Millis;

/// Interval, in ms, at which the outcomes of users' requests are logged.
const LOG_INTERVAL_MS: Millis = 5_000;

/// How users' requests were answered since this was last logged.
#[derive(Debug, Default)]
pub(super) struct RequestStatistics {
    /// Answered with 503.
    unavailable: u32,
    /// Answered with 429.
    over_budget: u32,
    /// Submissions answered with 201.
    accepted: u32,
    next_log: Millis,
}

impl RequestStatistics {
    /// A request was answered with 503.
    pub(super) fn record_unavailable(&mut self) {
        self.unavailable += 1;
    }

    /// A request was answered with 429.
    pub(super) fn record_over_budget(&mut self) {
        self.over_budget += 1;
    }

    /// A submission was answered with 201.
    pub(super) fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Logs and resets the counts when that is due, if some users have to retry.
    pub(super) fn log_if_due(&mut self, now: Millis) {
        if now < self.next_log {
            return;
        }
        let RequestStatistics { unavailable, over_budget, accepted, .. } = std::mem::take(self);
        self.next_log = now + LOG_INTERVAL_MS;
        if unavailable + over_budget > 0 {
            tracing::info!(accepted, over_budget, unavailable, "user requests told to retry");
        }
    }
}

#[cfg(test)]
#[path = "../tests/statistics.rs"]
mod tests;
