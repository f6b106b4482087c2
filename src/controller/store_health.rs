//! Tracks whether the key-value store responds to this controller.

use crate::{
    coordination::model::Millis,
    transport::{http::status::SERVICE_UNAVAILABLE, CallError, Reply},
};

/// The time of the key-value store's last response, and since when it has been failing.
/// Times are in ms on the monotonic clock.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When the last response with a status other than 503 was received.
    last_response: Millis,
    /// When the store began to fail; None if it doesn't.
    failing_since: Option<Millis>,
}

impl StoreHealth {
    /// Records the result of a request to the store. A 503 or a missing response is a failure.
    pub fn record(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        match result {
            Ok(reply) if reply.status != SERVICE_UNAVAILABLE => {
                self.last_response = now;
                self.failing_since = None;
            }
            Ok(_) | Err(_) => {
                self.failing_since.get_or_insert(now);
            }
        }
    }

    /// Returns the time, in ms, since the last response other than 503.
    pub fn response_age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_response)
    }

    /// Returns when the store began to fail, in ms; None if it responds to this controller.
    pub fn failing_since(&self) -> Option<Millis> {
        self.failing_since
    }

    /// Reports whether the store is not failing and responded within the last `within_ms`.
    pub fn responded_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.failing_since.is_none() && now < self.last_response + within_ms
    }
}

#[cfg(test)]
#[path = "tests/store_health.rs"]
mod tests;
