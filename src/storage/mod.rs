//! The records in the key-value store, a local cache of the jobs' records, the
//! read barrier in front of it, and the rate limits of the outside services.

pub mod job_cache;
pub mod rate_limit;
pub mod read_barrier;
pub mod records;
pub mod versions;
