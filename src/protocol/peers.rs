//! What controllers tell one another, in `bitcode`. Every frame repeats the
//! whole picture it speaks of, so a lost one costs nothing but time.

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
    pub knocks: u32,
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
    pub quiet_ms: u64,
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

/// First byte of every frame: the form of what follows.
const VERSION: u8 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("an empty frame")]
    Empty,
    #[error("a frame of version {0}")]
    Version(u8),
    #[error("a frame that can't be read")]
    Garbled,
}

pub fn encode(g: &Gossip) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend(bitcode::encode(g));
    out
}

pub fn decode(bytes: &[u8]) -> Result<Gossip, FrameError> {
    match bytes.split_first() {
        None => Err(FrameError::Empty),
        Some((&VERSION, rest)) => bitcode::decode(rest).map_err(|_| FrameError::Garbled),
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
mod tests {
    use super::*;

    fn gossip(nonce: u64, count: u64) -> Gossip {
        Gossip {
            from: "a".into(),
            nonce,
            count,
            state_age_ms: 3,
            knocks: 1,
            leading: true,
            reads_used: 7.5,
            writes_used: 0.5,
            commits_used: 1.0,
            clock_ms: 40,
            echoes: vec![Echo { of: "b".into(), nonce: 9, clock_ms: 17 }],
            quiet_ms: 12,
            counts: vec![Count { job: "j-1".into(), done: 2, running: 3 }],
        }
    }

    #[test]
    fn frames_survive_the_way_and_garbage_is_refused() {
        let g = gossip(7, 1);
        let bytes = encode(&g);
        assert_eq!(decode(&bytes), Ok(g));
        assert_eq!(decode(&[]), Err(FrameError::Empty));
        for n in 1..bytes.len() {
            assert_eq!(decode(&bytes[..n]), Err(FrameError::Garbled), "cut at {n}");
        }
        let mut other = bytes.clone();
        other[0] = 9;
        assert_eq!(decode(&other), Err(FrameError::Version(9)));
        let mut huge = vec![VERSION];
        huge.extend(vec![0xff; 300_000]);
        assert_eq!(decode(&huge), Err(FrameError::Garbled));
    }

    /// Guard: late frames of a process that is over are no news of the peer.
    #[test]
    fn frames_of_an_earlier_start_are_no_news() {
        let mut o = Order::default();
        // (nonce, count, news)
        for (nonce, count, news) in
            [(5, 1, true), (5, 3, true), (5, 2, false), (5, 3, false), (6, 1, true), (5, 4, false), (6, 2, true)]
        {
            assert_eq!(o.is_news(&gossip(nonce, count)), news, "{nonce} {count}");
        }
    }
}
