//! Dense indices of jobs.

use crate::protocol::names::index_type;

index_type!(
    /// Dense index of a job in this process.
    JobIndex
);
