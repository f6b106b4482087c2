//! The table of assignments, whose freed entries are used again.

use crate::coordination::model::{Assignment, AssignmentIx};

/// All assignments, by a dense index.
#[derive(Debug, Default)]
pub(super) struct AssignmentTable {
    entries: Vec<Option<Assignment>>,
    /// Free entries, the next to be used last.
    free: Vec<AssignmentIx>,
}

impl AssignmentTable {
    pub fn get(&self, ix: AssignmentIx) -> Option<&Assignment> {
        self.entries.get(ix.at()).and_then(Option::as_ref)
    }

    pub fn get_mut(&mut self, ix: AssignmentIx) -> Option<&mut Assignment> {
        self.entries.get_mut(ix.at()).and_then(Option::as_mut)
    }

    pub fn insert(&mut self, assignment: Assignment) -> AssignmentIx {
        match self.free.pop() {
            Some(ix) => {
                self.entries[ix.at()] = Some(assignment);
                ix
            }
            None => {
                self.entries.push(Some(assignment));
                AssignmentIx(self.entries.len() as u32 - 1)
            }
        }
    }

    pub fn remove(&mut self, ix: AssignmentIx) -> Option<Assignment> {
        let assignment = self.entries.get_mut(ix.at())?.take()?;
        self.free.push(ix);
        Some(assignment)
    }
}
