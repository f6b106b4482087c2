//! Capacity of machines that are requested or booting.

use super::{
    boot_delays::is_boot_late,
    offer::{Offer, OfferQuantity},
};
use crate::coordination::{
    cluster::ClusterState,
    model::{MachineLifecycle, Millis, Resources, RESOURCE_TOLERANCE},
};

/// Machines of one offer that are not up yet.
struct PendingMachines {
    offer: Offer,
    /// Capacity of one of them.
    capacity: Resources,
    /// Number of machines that are entirely unallocated.
    unallocated: u32,
    /// Remaining capacity of each partly allocated machine.
    remainders: Vec<Resources>,
}

/// Capacity of machines that are not up yet, by offer.
#[derive(Default)]
pub struct PendingCapacity(Vec<PendingMachines>);

impl PendingCapacity {
    /// Collects the capacity of the `requested` machines, and of the booting machines that
    /// have no assignments and whose boot is not late.
    pub fn new(now: Millis, cluster: &ClusterState, requested: &[OfferQuantity]) -> PendingCapacity {
        let mut pending_capacity = PendingCapacity::default();
        for machine in cluster.machines() {
            if machine.lifecycle != MachineLifecycle::Booting || !machine.load.assignments.is_empty() {
                continue;
            }
            let Some(machine_type) = cluster.machine_type_of(machine) else { continue };
            // A machine whose boot is late may never come up.
            if !is_boot_late(now, machine, machine_type) {
                let offer = Offer { machine_type: machine_type.index, zone: machine.zone, spot: machine.spot };
                pending_capacity.add(offer, machine_type.capacity, 1);
            }
        }
        for request in requested {
            if let Some(machine_type) = request.offer.type_spec(cluster.machine_types()) {
                pending_capacity.add(request.offer, machine_type.capacity, request.machines);
            }
        }
        pending_capacity
    }

    /// Adds machines of an offer, each with this capacity.
    pub fn add(&mut self, offer: Offer, capacity: Resources, machines: u32) {
        match self.0.iter_mut().find(|pending| pending.offer == offer) {
            Some(pending) => pending.unallocated += machines,
            None => self.0.push(PendingMachines { offer, capacity, unallocated: machines, remainders: Vec::new() }),
        }
    }

    /// Returns how many tasks that each need `request` fit on machines of the allowed
    /// offers, up to `limit`.
    pub fn count_fitting(&self, request: &Resources, limit: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut tasks = 0;
        for pending in self.0.iter().filter(|pending| allows(&pending.offer)) {
            tasks += pending.remainders.iter().map(|remainder| request.count_fitting_in(remainder)).sum::<u32>();
            let on_unallocated = request.count_fitting_in(&pending.capacity).saturating_mul(pending.unallocated);
            tasks = tasks.saturating_add(on_unallocated).min(limit);
            if tasks == limit {
                break;
            }
        }
        tasks
    }

    /// Allocates capacity of the allowed offers for at most `tasks` tasks that each need
    /// `request`. Returns the number of tasks for which there was enough capacity.
    pub fn allocate(&mut self, request: &Resources, tasks: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut remaining_tasks = tasks;
        for pending in self.0.iter_mut().filter(|pending| allows(&pending.offer)) {
            remaining_tasks -= pending.allocate(request, remaining_tasks);
            if remaining_tasks == 0 {
                break;
            }
        }
        tasks - remaining_tasks
    }
}

impl PendingMachines {
    fn allocate(&mut self, request: &Resources, tasks: u32) -> u32 {
        let on_remainders = self.allocate_on_remainders(request, tasks);
        on_remainders + self.allocate_on_whole_machines(request, tasks - on_remainders)
    }

    fn allocate_on_remainders(&mut self, request: &Resources, tasks: u32) -> u32 {
        let mut remaining_tasks = tasks;
        for remainder in &mut self.remainders {
            let count = request.count_fitting_in(remainder).min(remaining_tasks);
            *remainder -= *request * f64::from(count);
            remaining_tasks -= count;
        }
        tasks - remaining_tasks
    }

    fn allocate_on_whole_machines(&mut self, request: &Resources, tasks: u32) -> u32 {
        let mut remaining_tasks = tasks;
        let per_machine = request.count_fitting_in(&self.capacity);
        while remaining_tasks > 0 && self.unallocated > 0 && per_machine > 0 {
            let count = per_machine.min(remaining_tasks);
            self.unallocated -= 1;
            remaining_tasks -= count;
            let remainder = self.capacity - *request * f64::from(count);
            if remainder.cpus > RESOURCE_TOLERANCE {
                self.remainders.push(remainder);
            }
        }
        tasks - remaining_tasks
    }
}

#[cfg(test)]
#[path = "tests/pending_capacity.rs"]
mod tests;
