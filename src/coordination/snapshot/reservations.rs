//! Capacity that is reserved until the end of a scheduling cycle.

use super::ClusterSnapshot;
use crate::coordination::model::Resources;

/// Capacity reserved on one machine, taken off what is free and off what will be.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination) struct Reservation {
    host: usize,
    free: Resources,
    stopping: Resources,
}

impl ClusterSnapshot {
    /// Reserves capacity until it is released: first what is about to be free, then
    /// what is free now, so that no later job takes it. `also_freed`: what else
    /// is about to be free there.
    pub fn reserve(&mut self, host_index: usize, need: Resources, also_freed: Resources) {
        let mut reservation =
            Reservation { host: host_index, free: Resources::default(), stopping: Resources::default() };
        self.change(host_index, |host| {
            let from_stopping = need.min((host.stopping + also_freed).clamp_to_zero());
            reservation.stopping = from_stopping - also_freed;
            reservation.free = need - from_stopping;
            host.stopping -= reservation.stopping;
            host.free -= reservation.free;
        });
        self.reservations.push(reservation);
    }

    /// Releases all reservations after the first `keep`.
    pub fn release(&mut self, keep: usize) {
        while self.reservations.len() > keep {
            let Some(reservation) = self.reservations.pop() else { return };
            self.change(reservation.host, |host| {
                host.stopping += reservation.stopping;
                host.free += reservation.free;
            });
        }
    }

    /// The number of reservations.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }
}
