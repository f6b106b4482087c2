//! What this controller tells its peers besides its present state.

use std::collections::VecDeque;

use crate::{coordination::model::Millis, protocol::peers::Cancelled};

/// Interval of gossip, in ms: several frames within the time after which a peer
/// counts as silent.
const GOSSIP_INTERVAL_MS: Millis = 400;
/// For how long, in ms, a confirmed cancellation is repeated to peers.
const NOTICE_REPEAT_MS: Millis = 12_000;
/// Most cancellations that are repeated, which bounds the size of a frame.
const MAX_REPEATED_NOTICES: usize = 256;
/// For how long, in ms, a rejected heartbeat is counted.
const REJECTED_HEARTBEAT_MS: Millis = 4_000;
/// Most rejected heartbeats that are remembered, the latest ones. Far above what
/// means trouble, so that the count stays high however many machines there are.
const MAX_REJECTED_HEARTBEATS: usize = 10_000;

/// A cancellation that was confirmed here.
#[derive(Debug)]
struct ConfirmedCancellation {
    confirmed_at: Millis,
    cancelled: Cancelled,
}

/// What this controller tells its peers, and when.
#[derive(Debug, Default)]
pub(super) struct OutgoingGossip {
    next_at: Millis,
    frames_sent: u64,
    /// When workers' heartbeats were rejected lately.
    rejected_heartbeats: VecDeque<Millis>,
    /// Cancellations confirmed here lately, oldest first.
    cancellations: VecDeque<ConfirmedCancellation>,
}

impl OutgoingGossip {
    /// Whether gossip is to be sent now. If so, the next is due an interval later.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + GOSSIP_INTERVAL_MS;
        }
        is_due
    }

    /// The number of the frame that is sent next.
    pub(super) fn next_frame_number(&mut self) -> u64 {
        let number = self.frames_sent;
        self.frames_sent += 1;
        number
    }

    /// A worker's heartbeat was rejected.
    pub(super) fn record_rejected_heartbeat(&mut self, now: Millis) {
        self.rejected_heartbeats.push_back(now);
        if self.rejected_heartbeats.len() > MAX_REJECTED_HEARTBEATS {
            self.rejected_heartbeats.pop_front();
        }
    }

    /// Number of heartbeats that were rejected in the last seconds.
    pub(super) fn recent_rejection_count(&mut self, now: Millis) -> u32 {
        self.rejected_heartbeats.retain(|&rejected_at| now < rejected_at + REJECTED_HEARTBEAT_MS);
        self.rejected_heartbeats.len() as u32
    }

    /// A cancellation was confirmed to a user.
    pub(super) fn record_cancellation(&mut self, now: Millis, cancelled: Cancelled) {
        self.cancellations.push_back(ConfirmedCancellation { confirmed_at: now, cancelled });
        if self.cancellations.len() > MAX_REPEATED_NOTICES {
            self.cancellations.pop_front();
        }
    }

    /// The cancellations that are still to be repeated.
    pub(super) fn repeated_cancellations(&mut self, now: Millis) -> Vec<Cancelled> {
        self.cancellations.retain(|cancellation| now < cancellation.confirmed_at + NOTICE_REPEAT_MS);
        self.cancellations.iter().map(|cancellation| cancellation.cancelled.clone()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/gossip.rs"]
mod tests;
