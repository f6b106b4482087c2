//! The records in the state service, a local cache of the jobs' records, the read
//! read barrier in front of it, and the request budgets of the outside services.

pub mod budget;
pub mod job_cache;
pub mod read_barrier;
pub mod records;
pub mod versions;
