//! Commits: compare-and-swap transactions that write the cluster state to the
//! state service, one at a time.

mod outcomes;
mod pipeline;
mod resharding;
mod transactions;

pub use self::pipeline::CommitPipeline;
