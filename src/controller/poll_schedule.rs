//! The schedule of a request that is repeated for as long as the process runs.

use crate::coordination::model::Millis;

/// Schedule of a repeated request: at most one is in flight at a time, and the next one is
/// due no earlier than the time that was last set for it.
#[derive(Debug, Default)]
pub struct PollSchedule {
    in_flight: bool,
    /// Earliest time of the next request, in ms.
    not_before: Millis,
}

impl PollSchedule {
    /// Reports whether the next request should be sent.
    pub fn is_due(&self, now: Millis) -> bool {
        !self.in_flight && now >= self.not_before
    }

    /// Records that a request was sent; none is due until it has completed.
    pub fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Records that the request has completed; the earliest time of the next one stays as it is.
    pub fn end(&mut self) {
        self.in_flight = false;
    }

    /// Records that the request has completed; the next one is due at `not_before`, in ms.
    pub fn end_and_wait_until(&mut self, not_before: Millis) {
        self.in_flight = false;
        self.not_before = not_before;
    }

    /// Sets the earliest time of the next request, in ms, whether or not one is in flight.
    pub fn set_not_before(&mut self, not_before: Millis) {
        self.not_before = not_before;
    }
}

#[cfg(test)]
#[path = "tests/poll_schedule.rs"]
mod tests;
