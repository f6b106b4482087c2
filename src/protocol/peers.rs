//! What controllers tell one another, in `bitcode`. Every frame repeats the
//! whole picture it speaks of, so a lost one costs nothing but time.

use bitcode::{Decode, Encode};

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Gossip {
    pub from: String,
    /// Of this start of the process.
    pub nonce: u64,
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
    /// From the leader: counts of jobs that changed lately, for display.
    pub counts: Vec<Count>,
}

#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Count {
    pub job: String,
    pub done: u32,
    pub running: u32,
}

pub fn encode(g: &Gossip) -> Vec<u8> {
    bitcode::encode(g)
}

pub fn decode(bytes: &[u8]) -> Option<Gossip> {
    bitcode::decode(bytes).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_survive_the_way_and_garbage_is_refused() {
        let g = Gossip {
            from: "a".into(),
            nonce: 7,
            state_age_ms: 3,
            knocks: 1,
            leading: true,
            reads_used: 7.5,
            writes_used: 0.5,
            commits_used: 1.0,
            counts: vec![Count { job: "j-1".into(), done: 2, running: 3 }],
        };
        let bytes = encode(&g);
        assert_eq!(decode(&bytes), Some(g));
        for n in 0..bytes.len() {
            assert_eq!(decode(&bytes[..n]), None, "cut at {n}");
        }
        assert_eq!(decode(&[0xff; 64]), None);
    }
}
