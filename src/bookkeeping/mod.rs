//! The records in the state service, a local cache of the jobs' records, the read
//! barrier in front of it, and the request budgets of the outside services.

pub mod barrier;
pub mod budget;
pub mod job_cache;
pub mod records;
pub mod versions;
