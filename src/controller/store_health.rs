//! Whether the key-value store serves this controller.

use crate::{
    coordination::model::Millis,
    transport::{http::status::SERVICE_UNAVAILABLE, CallError, Reply},
};

/// When the key-value store answered, and since when it has been failing.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// When it last answered with anything but 503.
    last_response: Millis,
    /// When it began to fail, if it does.
    failing_since: Option<Millis>,
}

impl StoreHealth {
    /// A request to the store ended: a 503, or no answer, counts as a failure.
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

    /// Milliseconds since the last answer.
    pub fn response_age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_response)
    }

    /// When the store began to fail; None: it serves this controller.
    pub fn failing_since(&self) -> Option<Millis> {
        self.failing_since
    }

    /// Whether the store serves, and answered within the last `within_ms`.
    pub fn responded_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.failing_since.is_none() && now < self.last_response + within_ms
    }
}

#[cfg(test)]
#[path = "tests/store_health.rs"]
mod tests;
