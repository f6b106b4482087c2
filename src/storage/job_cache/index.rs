//! Dense index of a job.

use crate::protocol::names::index_type;

index_type!(
    /// Dense index of a job, valid in this process only.
    JobIndex
);
