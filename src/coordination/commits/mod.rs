//! Commits: compare-and-swap transactions that write the cluster state to the
//! key-value store, one at a time.
//!
//! [`CommitPipeline`] builds the next transaction, keeps it until its outcome is
//! known, and applies that outcome to the cluster state. A transaction whose
//! outcome stays unknown is *resynced*: its keys are read again to learn whether
//! it was applied. A job is *resharded* by splitting its tasks into smaller chunk
//! records, because the store has lowered its limit on the size of a value, or may do
//! so later.

mod applied;
mod in_flight;
mod job_records;
mod obsolete_records;
mod outcomes;
mod oversized;
mod pipeline;
mod resharding;
mod statistics;
mod transaction_builder;
mod write_priority;

pub use self::pipeline::{CommitPipeline, WriteAllowance};

#[cfg(test)]
#[path = "../tests/commits.rs"]
mod tests;
