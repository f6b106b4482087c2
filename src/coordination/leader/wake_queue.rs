//! Machines that may have to be sent a command, and when to look.

use std::collections::BTreeSet;

use crate::coordination::model::{MachineIx, Ms};

/// Queue of machines ordered by time, then by index.
#[derive(Debug, Default)]
pub(super) struct WakeQueue(BTreeSet<WakeUp>);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WakeUp {
    at: Ms,
    machine: MachineIx,
}

impl WakeQueue {
    /// Has a machine looked at once `at` is reached.
    pub fn schedule(&mut self, at: Ms, machine: MachineIx) {
        self.0.insert(WakeUp { at, machine });
    }

    /// Removes and returns the first machine that is due.
    pub fn pop_due(&mut self, now: Ms) -> Option<MachineIx> {
        let due = *self.0.first().filter(|first| first.at <= now)?;
        self.0.remove(&due);
        Some(due.machine)
    }
}
