//! Machines that may have to be sent a command, and when to look.

use std::collections::BTreeSet;

use crate::coordination::model::{MachineIndex, Millis};

/// Queue of machines ordered by time, then by index.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue(BTreeSet<DispatchEntry>);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchEntry {
    at: Millis,
    machine: MachineIndex,
}

impl DispatchQueue {
    /// Has a machine looked at once `at` is reached.
    pub fn schedule(&mut self, at: Millis, machine: MachineIndex) {
        self.0.insert(DispatchEntry { at, machine });
    }

    /// Removes and returns the first machine that is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<MachineIndex> {
        let due = *self.0.first().filter(|first| first.at <= now)?;
        self.0.remove(&due);
        Some(due.machine)
    }
}
