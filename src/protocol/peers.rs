//! What controllers tell one another, in `bitcode`. Every frame repeats the
//! whole snapshot it speaks of, so a lost one costs nothing but time.
//!
//! Gossip is the form that every version reads. A newer form is a frame of its
//! own, beside gossip, and goes only to a peer whose gossip has shown (`reads`)
//! that it takes it; what rests on it must hold without it too.

use std::collections::VecDeque;

use bitcode::{Decode, Encode};

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Gossip {
    pub from: String,
    /// Of this start of the process, and which of its frames this is.
    pub nonce: u64,
    pub count: u64,
    /// Milliseconds since the state service last answered the sender.
    pub state_age_ms: u64,
    /// Workers' reports this controller turned away in the last seconds.
    pub rejected_reports: u32,
    pub leading: bool,
    /// What the sender uses a second of the state service's limits.
    pub reads_used: f64,
    /// For users' requests, and for its own work as the leader.
    pub writes_used: f64,
    pub commits_used: f64,
    /// The sender's steady clock, and those it last heard of others.
    pub clock_ms: u64,
    pub echoes: Vec<Echo>,
    /// For how long it has kept no worker's lease.
    pub no_renewal_ms: u64,
    /// From the leader: counts of jobs that changed lately, for display.
    pub counts: Vec<Count>,
}

/// What was last heard from a controller: which start of it, and its clock then.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Echo {
    pub of: String,
    pub nonce: u64,
    pub clock_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Count {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

/// A cancellation that a user was told of: the job's record stands with this stamp.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Cancelled {
    pub job: String,
    pub stamp: u64,
}

/// Cancellations that the sender confirmed lately. They are facts, so late and
/// repeated frames do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    pub from: String,
    pub cancelled: Vec<Cancelled>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    Gossip(Gossip),
    Notice(Notice),
}

/// First byte of every frame: the form of what follows.
const GOSSIP: u8 = 3;
const NOTICE: u8 = 4;

impl Gossip {
    /// Says in gossip which forms the sender reads: an echo of nobody, which
    /// the first version passes over.
    pub fn reads_mark() -> Echo {
        Echo { of: String::new(), nonce: u64::from(NOTICE), clock_ms: 0 }
    }

    /// Whether the sender reads notices.
    pub fn reads_notices(&self) -> bool {
        self.echoes.iter().any(|e| e.of.is_empty() && e.nonce >= u64::from(NOTICE))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("an empty frame")]
    Empty,
    #[error("a frame of version {0}")]
    Version(u8),
    #[error("a frame that can't be read")]
    Garbled,
}

pub fn encode(f: &Frame) -> Vec<u8> {
    let (form, bytes) = match f {
        Frame::Gossip(g) => (GOSSIP, bitcode::encode(g)),
        Frame::Notice(n) => (NOTICE, bitcode::encode(n)),
    };
    let mut out = vec![form];
    out.extend(bytes);
    out
}

pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let garbled = |_| FrameError::Garbled;
    match bytes.split_first() {
        None => Err(FrameError::Empty),
        Some((&GOSSIP, rest)) => bitcode::decode(rest).map(Frame::Gossip).map_err(garbled),
        Some((&NOTICE, rest)) => bitcode::decode(rest).map(Frame::Notice).map_err(garbled),
        Some((&v, _)) => Err(FrameError::Version(v)),
    }
}

/// Which frames of a peer are news: a process that ended may have left some
/// on their way, which arrive after those of its next start.
#[derive(Debug, Default)]
pub struct Order {
    nonce: u64,
    count: u64,
    over: VecDeque<u64>,
}

/// Starts of a peer remembered as over.
const STARTS: usize = 16;

impl Order {
    pub fn is_news(&mut self, g: &Gossip) -> bool {
        if g.nonce == self.nonce {
            let news = g.count > self.count;
            self.count = self.count.max(g.count);
            return news;
        }
        if self.over.contains(&g.nonce) {
            return false;
        }
        if self.nonce != 0 {
            self.over.push_back(self.nonce);
            if self.over.len() > STARTS {
                self.over.pop_front();
            }
        }
        (self.nonce, self.count) = (g.nonce, g.count);
        true
    }
}

#[cfg(test)]
#[path = "tests/peers.rs"]
mod tests;
