//! The schedule of a request that is repeated for ever.

use crate::coordination::model::Millis;

/// A request that is repeated: at most one at a time, each after a pause.
#[derive(Debug, Default)]
pub(super) struct PollLoop {
    pub in_flight: bool,
    /// Earliest time of the next request.
    pub after: Millis,
}

impl PollLoop {
    /// Whether the next request should be sent.
    pub fn due(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.after
    }

    /// The request is over; the next one follows no earlier than `after`.
    pub fn finish(&mut self, after: Millis) {
        self.in_flight = false;
        self.after = after;
    }
}
