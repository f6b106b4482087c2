//! Frames between controllers, encoded with `bitcode`.
//!
//! Each frame repeats the sender's whole state, so a lost frame causes only
//! delay. Every version reads gossip. A newer message is a frame type of its own
//! and is sent only to peers whose gossip shows that they read it (see
//! [`Gossip::reads_notices`]); correctness must never depend on it.

use std::collections::VecDeque;

use bitcode::{Decode, Encode};

use crate::protocol::ids::Revision;

/// The periodic state of one controller.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// Label of the sender.
    pub from: String,
    /// Identifies one start of the sender's process.
    pub nonce: u64,
    /// Number of the frame within that start.
    pub count: u64,
    /// Milliseconds since the key-value store last answered the sender.
    pub state_age_ms: u64,
    /// Workers' heartbeats that the sender rejected in the last seconds.
    pub rejected_heartbeats: u32,
    /// Whether the sender leads.
    pub leading: bool,
    /// Reads per second that the sender uses of the key-value store's limit.
    pub reads_used: f64,
    /// Writes per second for users' requests.
    pub writes_used: f64,
    /// Writes per second for the sender's own work as the leader.
    pub commits_used: f64,
    /// The sender's steady clock.
    pub clock_ms: u64,
    /// The clocks that it last received from its peers.
    pub echoes: Vec<ClockEcho>,
    /// Milliseconds since the sender last renewed a worker's lease without leading.
    pub since_leaderless_renewal_ms: u64,
    /// From the leader: task counts of jobs that changed lately, for display.
    pub counts: Vec<TaskCounts>,
}

/// What the sender last received from a peer: which start of its process, and
/// its clock.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ClockEcho {
    /// Label of the peer.
    pub peer_label: String,
    /// Identifies the start of the peer's process that was heard.
    pub nonce: u64,
    /// The peer's steady clock in the last frame, in ms.
    pub clock_ms: u64,
}

/// Task counts of one job.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TaskCounts {
    /// Id of the job.
    pub job: String,
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}

/// A confirmed cancellation: the job's record is stored with this revision.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancelled {
    /// Id of the job.
    pub job: String,
    /// Revision of the cancelled job's record.
    pub revision: Revision,
}

/// Cancellations that the sender confirmed lately. They are final, so delayed
/// and repeated frames do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Label of the sender.
    pub from: String,
    /// The cancellations, in no particular order.
    pub cancelled: Vec<Cancelled>,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// The periodic state of a controller.
    Gossip(Gossip),
    /// Cancellations that were confirmed lately.
    Notice(Notice),
}

/// First byte of a frame with [`Gossip`].
const GOSSIP: u8 = 3;
/// First byte of a frame with a [`Notice`].
const NOTICE: u8 = 4;

impl Gossip {
    /// The entry of `echoes` that announces which frame types the sender reads:
    /// it names no peer, so the first version ignores it.
    pub fn supported_frames_marker() -> ClockEcho {
        ClockEcho { peer_label: String::new(), nonce: u64::from(NOTICE), clock_ms: 0 }
    }

    /// Whether the sender reads frames with a [`Notice`].
    pub fn reads_notices(&self) -> bool {
        self.echoes.iter().any(|echo| echo.peer_label.is_empty() && echo.nonce >= u64::from(NOTICE))
    }
}

/// A frame that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame has no byte at all.
    #[error("an empty frame")]
    Empty,
    /// The first byte names a frame type that this version doesn't read.
    #[error("a frame of version {0}")]
    UnknownType(u8),
    /// The bytes after the frame type can't be decoded.
    #[error("a frame that can't be read")]
    Malformed,
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let (frame_type, bytes) = match frame {
        Frame::Gossip(gossip) => (GOSSIP, bitcode::encode(gossip)),
        Frame::Notice(notice) => (NOTICE, bitcode::encode(notice)),
    };
    let mut out = vec![frame_type];
    out.extend(bytes);
    out
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let garbled = |_| FrameError::Malformed;
    match bytes.split_first() {
        None => Err(FrameError::Empty),
        Some((&GOSSIP, rest)) => bitcode::decode(rest).map(Frame::Gossip).map_err(garbled),
        Some((&NOTICE, rest)) => bitcode::decode(rest).map(Frame::Notice).map_err(garbled),
        Some((&frame_type, _)) => Err(FrameError::UnknownType(frame_type)),
    }
}

/// Earlier starts of a peer that are remembered, to recognize their late frames.
const MAX_EARLIER_STARTS: usize = 16;

/// The order of a peer's frames: those of a process that ended may arrive after
/// frames of its next start.
#[derive(Debug, Default)]
pub struct FrameOrder {
    nonce: u64,
    count: u64,
    earlier_starts: VecDeque<u64>,
}

impl FrameOrder {
    /// Whether a frame is newer than all that were seen.
    pub fn accept_if_newer(&mut self, gossip: &Gossip) -> bool {
        if gossip.nonce == self.nonce {
            let is_newer = gossip.count > self.count;
            self.count = self.count.max(gossip.count);
            return is_newer;
        }
        if self.earlier_starts.contains(&gossip.nonce) {
            return false;
        }
        if self.nonce != 0 {
            self.earlier_starts.push_back(self.nonce);
            if self.earlier_starts.len() > MAX_EARLIER_STARTS {
                self.earlier_starts.pop_front();
            }
        }
        self.nonce = gossip.nonce;
        self.count = gossip.count;
        true
    }
}

#[cfg(test)]
#[path = "tests/peers.rs"]
mod tests;
