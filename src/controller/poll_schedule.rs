//! The schedule of a request that is repeated for ever.

use crate::coordination::model::Millis;

/// When a repeated request is sent: at most one at a time, each after a pause.
#[derive(Debug, Default)]
pub struct PollSchedule {
    in_flight: bool,
    /// Earliest time of the next request, in ms.
    not_before: Millis,
}

impl PollSchedule {
    /// Whether the next request should be sent.
    pub fn is_due(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.not_before
    }

    /// A request was sent; none is due until it is over.
    pub fn begin(&mut self) {
        self.in_flight = true;
    }

    /// The request is over; the time of the next one stays as it is.
    pub fn end(&mut self) {
        self.in_flight = false;
    }

    /// The request is over; the next one is sent no earlier than `not_before`.
    pub fn end_and_wait_until(&mut self, not_before: Millis) {
        self.in_flight = false;
        self.not_before = not_before;
    }

    /// The next request may be sent from `not_before` on, whether or not one is in flight.
    pub fn set_not_before(&mut self, not_before: Millis) {
        self.not_before = not_before;
    }
}

#[cfg(test)]
#[path = "tests/poll_schedule.rs"]
mod tests;
