//! The only source of random numbers in a simulation, so that the seed determines the
//! whole run.

use std::ops::Range;

use rand::{rngs::SmallRng, RngExt, SeedableRng};
use shedhook::coordination::model::Millis;

/// A seeded random number generator.
pub struct RandomSource(SmallRng);

impl RandomSource {
    pub fn with_seed(seed: u64) -> RandomSource {
        RandomSource(SmallRng::seed_from_u64(seed))
    }

    /// Returns true with a probability of `percent` in 100; draws no number if it is 0.
    pub fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.0.random_range(0..100) < percent
    }

    /// Returns true with a probability of one half.
    pub fn coin(&mut self) -> bool {
        self.0.random_range(0..2) == 0
    }

    /// Returns a number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    /// Returns a delay in ms within `range`.
    pub fn delay(&mut self, range: Range<Millis>) -> Millis {
        self.0.random_range(range)
    }

    /// Returns a nonce, which identifies one start of a process.
    pub fn nonce(&mut self) -> u64 {
        self.0.random()
    }
}
