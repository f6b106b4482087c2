//! What outlives a process: records in the state service, the job cache of them,
//! the read barrier, and the budgets that outside services are asked within.

pub mod barrier;
pub mod budget;
pub mod job_cache;
pub mod records;
pub mod versions;
