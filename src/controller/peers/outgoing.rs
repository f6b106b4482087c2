//! The events that this controller reports to its peers in addition to its current state,
//! and the schedule of its gossip.

use std::collections::VecDeque;

use crate::{coordination::model::Millis, protocol::peers::Cancelled};

/// Interval of gossip, in ms. It is a fraction of the time without frames after which a
/// peer is considered unavailable, so several frames fit into that time.
const GOSSIP_INTERVAL_MS: Millis = 400;
/// For how long, in ms, a confirmed cancellation is repeated to peers.
const NOTICE_REPEAT_MS: Millis = 12_000;
/// Maximum number of cancellations that are repeated, which bounds the size of a frame.
const MAX_REPEATED_NOTICES: usize = 256;
/// For how long, in ms, a rejected heartbeat is included in the count.
const REJECTED_HEARTBEAT_MS: Millis = 4_000;
/// Maximum number of rejected heartbeats that are kept; the oldest are removed first. It
/// is far above the count that indicates a fault, so that this limit doesn't hide a fault,
/// however many machines send heartbeats.
const MAX_REJECTED_HEARTBEATS: usize = 10_000;

/// A cancellation that this controller confirmed to a user.
#[derive(Debug)]
struct ConfirmedCancellation {
    confirmed_at: Millis,
    cancelled: Cancelled,
}

/// The schedule of outgoing gossip and the recent events that it reports.
#[derive(Debug, Default)]
pub(super) struct OutgoingGossip {
    next_at: Millis,
    frames_sent: u64,
    /// When workers' heartbeats were recently rejected, in ms, oldest first.
    rejected_heartbeats: VecDeque<Millis>,
    /// Cancellations that this controller recently confirmed, oldest first.
    cancellations: VecDeque<ConfirmedCancellation>,
}

impl OutgoingGossip {
    /// Reports whether gossip is due now. If so, the next one is due an interval later.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + GOSSIP_INTERVAL_MS;
        }
        is_due
    }

    /// Returns the number of the next frame, and increments it.
    pub(super) fn next_frame_number(&mut self) -> u64 {
        let number = self.frames_sent;
        self.frames_sent += 1;
        number
    }

    /// Records that a worker's heartbeat was rejected.
    pub(super) fn record_rejected_heartbeat(&mut self, now: Millis) {
        self.rejected_heartbeats.push_back(now);
        if self.rejected_heartbeats.len() > MAX_REJECTED_HEARTBEATS {
            self.rejected_heartbeats.pop_front();
        }
    }

    /// Returns the number of heartbeats that were rejected within the last
    /// [`REJECTED_HEARTBEAT_MS`].
    pub(super) fn recent_rejection_count(&mut self, now: Millis) -> u32 {
        self.rejected_heartbeats.retain(|&rejected_at| now < rejected_at + REJECTED_HEARTBEAT_MS);
        self.rejected_heartbeats.len() as u32
    }

    /// Records that a cancellation was confirmed to a user.
    pub(super) fn record_cancellation(&mut self, now: Millis, cancelled: Cancelled) {
        self.cancellations.push_back(ConfirmedCancellation { confirmed_at: now, cancelled });
        if self.cancellations.len() > MAX_REPEATED_NOTICES {
            self.cancellations.pop_front();
        }
    }

    /// Returns the cancellations that are still to be repeated.
    pub(super) fn repeated_cancellations(&mut self, now: Millis) -> Vec<Cancelled> {
        self.cancellations.retain(|cancellation| now < cancellation.confirmed_at + NOTICE_REPEAT_MS);
        self.cancellations.iter().map(|cancellation| cancellation.cancelled.clone()).collect()
    }
}

#[cfg(test)]
#[path = "../tests/gossip.rs"]
mod tests;
