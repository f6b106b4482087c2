//! During which time the other controllers certainly renewed no lease.

/// A span of time on this controller's clock, in ms; empty if it ends before it
/// begins. It may reach back to before this process began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// Start of the span, in ms.
    pub from: i64,
    /// End of the span, in ms.
    pub to: i64,
}

impl TimeSpan {
    /// All of time. The bounds leave room for what is added to them.
    pub const ALWAYS: TimeSpan = TimeSpan { from: i64::MIN / 2, to: i64::MAX / 2 };
    /// No time at all.
    pub const NEVER: TimeSpan = TimeSpan { from: i64::MAX / 2, to: i64::MIN / 2 };

    fn overlaps(&self, other: &TimeSpan) -> bool {
        other.from <= self.to && other.to >= self.from
    }

    fn intersection(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.max(other.from), to: self.to.min(other.to) }
    }

    /// The span that covers both.
    fn cover(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.min(other.from), to: self.to.max(other.to) }
    }
}

/// During which time each other controller is known to have renewed no lease.
#[derive(Debug)]
pub struct PeerInactivity {
    /// By peer; `None`: nothing is known.
    spans: Vec<Option<TimeSpan>>,
}

impl PeerInactivity {
    /// Nothing is known of this many peers.
    pub fn new(peers: usize) -> PeerInactivity {
        PeerInactivity { spans: vec![None; peers] }
    }

    /// Between these moments, in ms, `peer` renewed nothing. A span that was
    /// recorded earlier is kept only if the two overlap, as one without gaps.
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

    /// The time during which no other controller renewed any lease.
    pub fn span(&self) -> TimeSpan {
        let known = self.spans.iter().map(|span| span.unwrap_or(TimeSpan::NEVER));
        known.fold(TimeSpan::ALWAYS, |common, span| common.intersection(&span))
    }
}

#[cfg(test)]
#[path = "../tests/peer_inactivity.rs"]
mod tests;
