//! The read barrier, which makes reads from the local cache linearizable.
//!
//! A request about a job is answered only after a read of the changes from the
//! key-value store that was *sent* after the request arrived. One read serves all
//! requests that were queued when it was sent.

/// A request that waits for the read barrier.
#[derive(Debug)]
struct Queued<W> {
    /// When the request was queued.
    since: u64,
    waiter: W,
}

/// Requests that wait for a read. Times are in ms on the steady clock.
#[derive(Debug)]
pub struct ReadBarrier<W> {
    /// Requests that the next read will serve.
    queued_waiters: Vec<Queued<W>>,
    /// Requests that the read in flight serves.
    in_flight_waiters: Vec<Queued<W>>,
    /// Whether a read is in flight.
    in_flight: bool,
    /// Earliest time of the next read, which limits their rate.
    not_before: u64,
}

impl<W> Default for ReadBarrier<W> {
    fn default() -> Self {
        ReadBarrier { queued_waiters: Vec::new(), in_flight_waiters: Vec::new(), in_flight: false, not_before: 0 }
    }
}

impl<W> ReadBarrier<W> {
    /// Adds a request.
    pub fn enqueue(&mut self, now: u64, waiter: W) {
        self.queued_waiters.push(Queued { since: now, waiter });
    }

    /// Lets the next read be sent at once, for a rare request that needs it.
    pub fn expedite(&mut self, now: u64) {
        self.not_before = self.not_before.min(now);
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.queued_waiters.len() + self.in_flight_waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a read should be sent now. The caller must then call
    /// [`read_sent`](Self::read_sent), and [`read_finished`](Self::read_finished) when the read is over.
    pub fn is_read_due(&self, now: u64) -> bool {
        !self.in_flight && !self.queued_waiters.is_empty() && now >= self.not_before
    }

    /// A read was sent for all queued requests; the next one keeps a gap of `gap_ms`.
    pub fn read_sent(&mut self, now: u64, gap_ms: u64) {
        self.in_flight = true;
        self.not_before = now + gap_ms;
        self.in_flight_waiters = std::mem::take(&mut self.queued_waiters);
    }

    /// The read is over: returns the requests that it was sent for.
    pub fn read_finished(&mut self) -> Vec<W> {
        self.in_flight = false;
        std::mem::take(&mut self.in_flight_waiters).into_iter().map(|queued| queued.waiter).collect()
    }

    /// Removes and returns the requests that have waited longer than `max_ms`.
    pub fn take_expired(&mut self, now: u64, max_ms: u64) -> Vec<W> {
        let mut overdue = Vec::new();
        for list in [&mut self.queued_waiters, &mut self.in_flight_waiters] {
            for queued in std::mem::take(list) {
                if now.saturating_sub(queued.since) > max_ms {
                    overdue.push(queued.waiter);
                } else {
                    list.push(queued);
                }
            }
        }
        overdue
    }
}

#[cfg(test)]
#[path = "tests/read_barrier.rs"]
mod tests;
