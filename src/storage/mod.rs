//! Records in the key-value store, a local cache of the job records, the read
//! barrier in front of it, and rate limits for the external services.

pub mod job_cache;
pub mod rate_limit;
pub mod read_barrier;
pub mod records;
pub mod versions;
