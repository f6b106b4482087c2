//! Queue of machines to be checked for commands that are due.

use std::collections::BTreeSet;

use crate::coordination::model::{MachineIndex, Millis};

/// Machines to be checked for due commands, ordered by time, then by index.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue(BTreeSet<DispatchEntry>);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchEntry {
    at: Millis,
    machine: MachineIndex,
}

impl DispatchQueue {
    /// Schedules a check of a machine at `at`.
    pub fn schedule(&mut self, at: Millis, machine: MachineIndex) {
        self.0.insert(DispatchEntry { at, machine });
    }

    /// Removes and returns the first machine whose check is due, if any.
    pub fn pop_due(&mut self, now: Millis) -> Option<MachineIndex> {
        let due = *self.0.first().filter(|first| first.at <= now)?;
        self.0.remove(&due);
        Some(due.machine)
    }
}
