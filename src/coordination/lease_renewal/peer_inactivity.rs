//! Tracks the time during which the other controllers certainly renewed no worker lease.

/// A span of time on this controller's monotonic clock, in ms; empty if it ends before
/// it begins. It may start before this process did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// Start of the span, in ms.
    pub from: i64,
    /// End of the span, in ms.
    pub to: i64,
}

impl TimeSpan {
    /// The span that covers all times. The bounds leave a margin, so that additions to
    /// them don't overflow.
    pub const ALWAYS: TimeSpan = TimeSpan { from: i64::MIN / 2, to: i64::MAX / 2 };
    /// The empty span.
    pub const EMPTY: TimeSpan = TimeSpan { from: i64::MAX / 2, to: i64::MIN / 2 };

    fn overlaps(&self, other: &TimeSpan) -> bool {
        other.from <= self.to && other.to >= self.from
    }

    fn intersection(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.max(other.from), to: self.to.min(other.to) }
    }

    /// Returns the smallest span that covers both.
    fn cover(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.min(other.from), to: self.to.max(other.to) }
    }
}

/// The time during which each other controller is known to have renewed no worker lease.
#[derive(Debug)]
pub struct PeerInactivity {
    /// The spans by peer index; `None`: no span was recorded.
    spans: Vec<Option<TimeSpan>>,
}

impl PeerInactivity {
    /// Creates the state for this many peers, with no span recorded.
    pub fn new(peers: usize) -> PeerInactivity {
        PeerInactivity { spans: vec![None; peers] }
    }

    /// Records that `peer` renewed no lease between these moments, in ms. A span that
    /// was recorded before is joined with the new one only if they overlap, so that the
    /// result has no gap; otherwise the later one is kept.
    pub fn record_inactive(&mut self, peer: usize, from: i64, to: i64) {
        if to < from {
            return;
        }
        let Some(known) = self.spans.get_mut(peer) else { return };
        let new = TimeSpan { from, to };
        *known = match *known {
            Some(span) if span.overlaps(&new) => Some(span.cover(&new)),
            Some(span) if to < span.from => Some(span),
            _ => Some(new),
        };
    }

    /// Returns the time during which no other controller renewed any worker lease; empty
    /// if no span was recorded for at least one of them.
    pub fn span(&self) -> TimeSpan {
        let known = self.spans.iter().map(|span| span.unwrap_or(TimeSpan::EMPTY));
        known.fold(TimeSpan::ALWAYS, |common, span| common.intersection(&span))
    }
}

#[cfg(test)]
#[path = "../tests/peer_inactivity.rs"]
mod tests;
