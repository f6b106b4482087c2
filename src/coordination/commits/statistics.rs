//! Counts of writes, for the logs.

use crate::coordination::model::Millis;

/// Counts of the writes since the last summary.
#[derive(Debug, Default)]
pub struct WriteStatistics {
    /// Transactions that were applied.
    pub transactions: u32,
    /// Chunk records written with a new assignment.
    pub placements: u32,
    /// Chunk records written only for the exits of tasks.
    pub exits: u32,
    /// Jobs recorded as completed.
    pub completed_jobs: u32,
    /// Obsolete records deleted.
    pub deleted_records: u32,
    /// Total time that new assignments waited for their records, in ms.
    pub placement_wait_ms: Millis,
}

impl WriteStatistics {
    /// Returns the average time that a new assignment waited for its record, in ms.
    pub fn mean_placement_wait_ms(&self) -> Millis {
        self.placement_wait_ms / u64::from(self.placements.max(1))
    }
}
