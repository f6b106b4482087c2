//! Timers of the autoscaler's steps.

use crate::coordination::model::Millis;

/// A timer that is due once per interval.
#[derive(Debug)]
pub struct Interval {
    interval_ms: Millis,
    next_due: Millis,
}

impl Interval {
    /// Creates a timer that is first due at `first_due`.
    pub fn starting_at(first_due: Millis, interval_ms: Millis) -> Interval {
        Interval { interval_ms, next_due: first_due }
    }

    /// Reports whether the timer is due; if so, restarts it from `now`.
    pub fn is_due(&mut self, now: Millis) -> bool {
        if now < self.next_due {
            return false;
        }
        self.next_due = now + self.interval_ms;
        true
    }
}

#[cfg(test)]
#[path = "tests/interval.rs"]
mod tests;
