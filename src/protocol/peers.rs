//! Frames between controllers, encoded with `bitcode`.
//!
//! Each frame repeats the sender's complete state, so a lost frame only causes a
//! delay. Every version can decode gossip. A message that a later version adds has
//! a frame type of its own and is sent only to peers whose gossip shows that they
//! can decode it (see [`Gossip::reads_notices`]); correctness must never depend on
//! it.

use std::collections::VecDeque;

use bitcode::{Decode, Encode};

use crate::protocol::ids::Revision;

/// State of one controller, sent periodically.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// Label of the sender.
    pub from: String,
    /// Identifies one start of the sender's process.
    pub nonce: u64,
    /// Sequence number of the frame within that start of the process.
    pub count: u64,
    /// Milliseconds since the sender last received a response from the key-value
    /// store.
    pub state_age_ms: u64,
    /// Number of workers' heartbeats that the sender rejected in the last seconds.
    pub rejected_heartbeats: u32,
    /// Whether the sender is the leader.
    pub leading: bool,
    /// Requests of any kind per second that the sender sends to the key-value store.
    pub reads_used: f64,
    /// Writes per second that the sender uses for users' requests.
    pub writes_used: f64,
    /// Writes per second that the sender uses for its own work as the leader, and for
    /// keys that are attached to its store leases.
    pub commits_used: f64,
    /// The sender's monotonic clock, in ms.
    pub clock_ms: u64,
    /// The clocks that the sender last received from its peers.
    pub echoes: Vec<ClockEcho>,
    /// Milliseconds since the sender last renewed a worker lease without being the
    /// leader.
    pub since_leaderless_renewal_ms: u64,
    /// From the leader: task counts of recently changed jobs, for display only.
    pub counts: Vec<TaskCounts>,
}

/// Monotonic clock of a peer, as the sender of the gossip last received it in a frame
/// of that peer.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ClockEcho {
    /// Label of the peer.
    pub peer_label: String,
    /// Nonce of the peer's process that sent the frame; identifies one start of the process.
    pub nonce: u64,
    /// The peer's monotonic clock in that frame, in ms.
    pub clock_ms: u64,
}

/// Task counts of one job.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TaskCounts {
    /// Id of the job.
    pub job: String,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Confirmed cancellation of a job, whose record is stored with this revision.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancelled {
    /// Id of the job.
    pub job: String,
    /// Revision of the cancelled job's record.
    pub revision: Revision,
}

/// Cancellations that the sender confirmed recently. They are final, so delayed
/// and duplicate frames do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Label of the sender.
    pub from: String,
    /// The cancellations, in no particular order.
    pub cancelled: Vec<Cancelled>,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// Periodic state of a controller.
    Gossip(Gossip),
    /// Cancellations that were confirmed recently.
    Notice(Notice),
}

/// First byte of a frame with [`Gossip`].
const GOSSIP_FRAME_TYPE: u8 = 3;
/// First byte of a frame with a [`Notice`].
const NOTICE_FRAME_TYPE: u8 = 4;

impl Gossip {
    /// Returns the entry of `echoes` that announces which frame types the sender
    /// can decode. It names no peer, so the first version ignores it.
    pub fn supported_frames_marker() -> ClockEcho {
        ClockEcho { peer_label: String::new(), nonce: u64::from(NOTICE_FRAME_TYPE), clock_ms: 0 }
    }

    /// Reports whether the sender can decode frames with a [`Notice`].
    pub fn reads_notices(&self) -> bool {
        self.echoes.iter().any(|echo| echo.peer_label.is_empty() && echo.nonce >= u64::from(NOTICE_FRAME_TYPE))
    }
}

/// Error of decoding a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame has no bytes.
    #[error("empty frame")]
    Empty,
    /// The first byte is a frame type that this version can't decode.
    #[error("unknown frame type {0}")]
    UnknownType(u8),
    /// The bytes after the frame type can't be decoded.
    #[error("malformed frame")]
    Malformed,
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let (frame_type, bytes) = match frame {
        Frame::Gossip(gossip) => (GOSSIP_FRAME_TYPE, bitcode::encode(gossip)),
        Frame::Notice(notice) => (NOTICE_FRAME_TYPE, bitcode::encode(notice)),
    };
    let mut out = vec![frame_type];
    out.extend(bytes);
    out
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let malformed = |_| FrameError::Malformed;
    match bytes.split_first() {
        None => Err(FrameError::Empty),
        Some((&GOSSIP_FRAME_TYPE, rest)) => bitcode::decode(rest).map(Frame::Gossip).map_err(malformed),
        Some((&NOTICE_FRAME_TYPE, rest)) => bitcode::decode(rest).map(Frame::Notice).map_err(malformed),
        Some((&frame_type, _)) => Err(FrameError::UnknownType(frame_type)),
    }
}

/// Maximum number of earlier starts of a peer's process that are kept, to recognize
/// their delayed frames.
const MAX_EARLIER_STARTS: usize = 16;

/// Recognizes which of a peer's frames are new. Delayed frames of a process that has
/// exited may arrive after frames of the process that the peer started next.
#[derive(Debug, Default)]
pub struct FrameOrder {
    nonce: u64,
    count: u64,
    earlier_starts: VecDeque<u64>,
}

impl FrameOrder {
    /// Records a frame and returns whether it is newer than all frames received
    /// before.
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
