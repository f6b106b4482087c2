//! The table of assignments, which reuses the indices of released assignments.

use crate::coordination::model::{Assignment, AssignmentIndex};

/// All assignments, by a dense index.
#[derive(Debug, Default)]
pub(super) struct AssignmentTable {
    entries: Vec<Option<Assignment>>,
    /// Indices of free entries; the last one is reused first.
    free: Vec<AssignmentIndex>,
}

impl AssignmentTable {
    pub fn get(&self, index: AssignmentIndex) -> Option<&Assignment> {
        self.entries.get(index.as_usize()).and_then(Option::as_ref)
    }

    pub fn get_mut(&mut self, index: AssignmentIndex) -> Option<&mut Assignment> {
        self.entries.get_mut(index.as_usize()).and_then(Option::as_mut)
    }

    pub fn insert(&mut self, assignment: Assignment) -> AssignmentIndex {
        match self.free.pop() {
            Some(index) => {
                self.entries[index.as_usize()] = Some(assignment);
                index
            }
            None => {
                self.entries.push(Some(assignment));
                AssignmentIndex(self.entries.len() as u32 - 1)
            }
        }
    }

    pub fn remove(&mut self, index: AssignmentIndex) -> Option<Assignment> {
        let assignment = self.entries.get_mut(index.as_usize())?.take()?;
        self.free.push(index);
        Some(assignment)
    }
}
