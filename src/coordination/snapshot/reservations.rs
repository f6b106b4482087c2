//! Capacity of a machine that is reserved until the end of a scheduling cycle.

use super::host::Host;
use crate::coordination::model::Resources;

/// Capacity reserved on one machine, subtracted from the capacity that is free now
/// and from the capacity that will be free.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination) struct Reservation {
    host_index: usize,
    free: Resources,
    stopping: Resources,
}

impl Reservation {
    /// Subtracts `need` from the capacity of a machine: first from the capacity that
    /// the tasks being stopped will free, then from what is free now. `also_freed`, the
    /// capacity of tasks that are planned to be stopped but not marked as being stopped
    /// yet, is added to the former.
    pub fn reserve(host_index: usize, host: &mut Host, need: Resources, also_freed: Resources) -> Reservation {
        let from_stopping = need.min((host.stopping + also_freed).clamp_to_zero());
        let reservation = Reservation { host_index, free: need - from_stopping, stopping: from_stopping - also_freed };
        host.stopping -= reservation.stopping;
        host.free -= reservation.free;
        reservation
    }

    /// Returns the machine's index.
    pub fn host_index(&self) -> usize {
        self.host_index
    }

    /// Returns the reserved capacity to its machine.
    pub fn undo(&self, host: &mut Host) {
        host.stopping += self.stopping;
        host.free += self.free;
    }
}
