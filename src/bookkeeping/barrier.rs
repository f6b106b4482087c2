//! The read barrier: an answer about a job may be given only after a read of
//! the changes that was *sent* after the question came. One read serves all
//! who were queued_waiters when it was sent.

#[derive(Debug)]
pub struct Barrier<W> {
    queued_waiters: Vec<(u64, W)>,
    in_flight_waiters: Vec<(u64, W)>,
    in_flight: bool,
    not_before: u64,
}

impl<W> Default for Barrier<W> {
    fn default() -> Self {
        Barrier { queued_waiters: Vec::new(), in_flight_waiters: Vec::new(), in_flight: false, not_before: 0 }
    }
}

impl<W> Barrier<W> {
    pub fn join(&mut self, now: u64, who: W) {
        self.queued_waiters.push((now, who));
    }

    /// The next read need not keep the gap: somebody waits for it who is seldom.
    pub fn expedite(&mut self, now: u64) {
        self.not_before = self.not_before.min(now);
    }

    pub fn len(&self) -> usize {
        self.queued_waiters.len() + self.in_flight_waiters.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True when a read should be sent now; the caller must then say how it ended.
    pub fn due(&self, now: u64) -> bool {
        !self.in_flight && !self.queued_waiters.is_empty() && now >= self.not_before
    }

    pub fn sent(&mut self, now: u64, gap_ms: u64) {
        self.in_flight = true;
        self.not_before = now + gap_ms;
        self.in_flight_waiters = std::mem::take(&mut self.queued_waiters);
    }

    /// The read ended; whoever it carried may be answered (or told 503).
    pub fn ended(&mut self) -> Vec<W> {
        self.in_flight = false;
        std::mem::take(&mut self.in_flight_waiters).into_iter().map(|(_, w)| w).collect()
    }

    /// Those who have waited longer than they will listen.
    pub fn overdue(&mut self, now: u64, max_ms: u64) -> Vec<W> {
        let mut out = Vec::new();
        for list in [&mut self.queued_waiters, &mut self.in_flight_waiters] {
            for (at, w) in std::mem::take(list) {
                if now.saturating_sub(at) > max_ms {
                    out.push(w);
                } else {
                    list.push((at, w));
                }
            }
        }
        out
    }
}

#[cfg(test)]
#[path = "tests/barrier.rs"]
mod tests;
