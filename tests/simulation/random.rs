//! The one source of random numbers of a simulation, so that a seed determines
//! everything that happens.

use std::ops::Range;

use rand::{rngs::SmallRng, RngExt, SeedableRng};
use shedhook::coordination::model::Millis;

pub struct RandomSource(SmallRng);

impl RandomSource {
    pub fn with_seed(seed: u64) -> RandomSource {
        RandomSource(SmallRng::seed_from_u64(seed))
    }

    /// True in `percent` of a hundred draws; nothing is drawn for 0.
    pub fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.0.random_range(0..100) < percent
    }

    pub fn coin(&mut self) -> bool {
        self.0.random_range(0..2) == 0
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    pub fn delay(&mut self, range: Range<Millis>) -> Millis {
        self.0.random_range(range)
    }

    pub fn nonce(&mut self) -> u64 {
        self.0.random()
    }
}
