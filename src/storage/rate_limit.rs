//! Client-side rate limits, which keep this controller below the limits of the
//! external services.
//!
//! A request that exceeds the rate is rejected at once; nothing is queued here.

mod allotment;
mod token_bucket;

pub use self::{
    allotment::{allotted_rate, LimitUser},
    token_bucket::{RateLimited, RateLimiter, Urgency},
};

#[cfg(test)]
#[path = "tests/rate_limit.rs"]
mod tests;
