//! Deletes the records of finished jobs.

use super::transaction_builder::TransactionBuilder;
use crate::coordination::{cluster::RecordState, model::Millis};

/// Maximum number of obsolete records that one transaction deletes.
const DELETES_PER_TRANSACTION: usize = 4;
/// Pause between transactions that delete obsolete records, in ms.
const DELETE_INTERVAL_MS: Millis = 800;

/// Rate-limited deletion of obsolete records: the many records of a large job must
/// not use up the request budget needed by writes that a job or a user waits for.
#[derive(Debug, Default)]
pub struct ObsoleteRecordDeletion {
    /// Earliest time of the next deletion, in ms.
    not_before: Millis,
}

impl ObsoleteRecordDeletion {
    /// Adds the deletion of some obsolete records to a transaction, if the pause since
    /// the last deletion is over.
    pub fn add_deletes(&mut self, now: Millis, records: &mut RecordState, builder: &mut TransactionBuilder) {
        if now < self.not_before {
            return;
        }
        for _ in 0..builder.writes_left().min(DELETES_PER_TRANSACTION) {
            let Some(record) = records.pop_obsolete() else { break };
            self.not_before = now + DELETE_INTERVAL_MS;
            builder.delete(record);
        }
    }
}
