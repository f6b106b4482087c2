//! Read barrier, which makes reads from the local cache linearizable.
//!
//! The response to a request about a job is sent only after the completion of a read
//! of the changes from the key-value store, and that read must have been *sent* after
//! the request arrived. One read serves all requests that were queued when it was
//! sent.

/// Request that waits for the read barrier.
#[derive(Debug)]
struct QueuedRequest<W> {
    /// Time at which the request was queued, in ms.
    queued_at: u64,
    waiter: W,
}

/// Requests that wait for a read. Times are in ms on the monotonic clock.
#[derive(Debug)]
pub struct ReadBarrier<W> {
    /// Requests that the next read will serve.
    queued_waiters: Vec<QueuedRequest<W>>,
    /// Requests that the read in flight serves.
    in_flight_waiters: Vec<QueuedRequest<W>>,
    /// Whether a read is in flight.
    in_flight: bool,
    /// Earliest time of the next read, which limits the rate of reads.
    earliest_read_at: u64,
}

impl<W> Default for ReadBarrier<W> {
    fn default() -> Self {
        ReadBarrier { queued_waiters: Vec::new(), in_flight_waiters: Vec::new(), in_flight: false, earliest_read_at: 0 }
    }
}

impl<W> ReadBarrier<W> {
    /// Adds a request, which the next read will serve.
    pub fn enqueue(&mut self, now: u64, waiter: W) {
        self.queued_waiters.push(QueuedRequest { queued_at: now, waiter });
    }

    /// Allows the next read to be sent at once, for a rare request that needs it.
    pub fn expedite(&mut self, now: u64) {
        self.earliest_read_at = self.earliest_read_at.min(now);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queued_waiters.len() + self.in_flight_waiters.len()
    }

    /// Reports whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reports whether a read should be sent now. The caller must then call
    /// [`read_sent`](Self::read_sent), and [`read_finished`](Self::read_finished) when the read completes.
    pub fn is_read_due(&self, now: u64) -> bool {
        !self.in_flight && !self.queued_waiters.is_empty() && now >= self.earliest_read_at
    }

    /// Records that a read was sent for all queued requests. The next read is sent
    /// `gap_ms` later at the earliest.
    pub fn read_sent(&mut self, now: u64, gap_ms: u64) {
        self.in_flight = true;
        self.earliest_read_at = now + gap_ms;
        self.in_flight_waiters = std::mem::take(&mut self.queued_waiters);
    }

    /// Records that the read completed, and returns the requests for which it was
    /// sent.
    pub fn read_finished(&mut self) -> Vec<W> {
        self.in_flight = false;
        std::mem::take(&mut self.in_flight_waiters).into_iter().map(|queued| queued.waiter).collect()
    }

    /// Removes and returns the requests that have waited longer than `max_ms`.
    pub fn take_expired(&mut self, now: u64, max_ms: u64) -> Vec<W> {
        let mut expired = Vec::new();
        for list in [&mut self.queued_waiters, &mut self.in_flight_waiters] {
            for queued in std::mem::take(list) {
                if now.saturating_sub(queued.queued_at) > max_ms {
                    expired.push(queued.waiter);
                } else {
                    list.push(queued);
                }
            }
        }
        expired
    }
}

#[cfg(test)]
#[path = "tests/read_barrier.rs"]
mod tests;
