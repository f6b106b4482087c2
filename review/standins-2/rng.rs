//! Random numbers with a seed that the record names.

use std::sync::Mutex;

static STATE: Mutex<u64> = Mutex::new(0x9e37_79b9_7f4a_7c15);

pub fn seed(seed: u64) {
    *STATE.lock().unwrap() = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
}

pub fn next() -> u64 {
    let mut state = STATE.lock().unwrap();
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 11
}

/// A number from 0 to `bound` - 1.
pub fn below(bound: u32) -> u32 {
    (next() % u64::from(bound.max(1))) as u32
}

pub fn percent(share: u32) -> bool {
    share > 0 && below(100) < share
}
