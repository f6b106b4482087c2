//! Room on machines that are rented but not up yet.

use super::{Call, Offer};
use crate::coordination::{
    leader::Leader,
    model::{MachineLifecycle, Millis, Resources, RESOURCE_TOLERANCE},
};

/// Machines of one offer that are not up yet.
struct PendingMachines {
    offer: Offer,
    /// Capacity of one of them.
    capacity: Resources,
    /// Those of which nothing is allotted yet.
    untouched: u32,
    /// What is left of those on which tasks are counted.
    remainders: Vec<Resources>,
}

/// Machines that are not up yet, by offer.
#[derive(Default)]
pub struct PendingCapacity(Vec<PendingMachines>);

impl PendingCapacity {
    pub fn add(&mut self, offer: Offer, capacity: Resources, count: u32) {
        match self.0.iter_mut().find(|arriving| arriving.offer == offer) {
            Some(arriving) => arriving.untouched += count,
            None => self.0.push(PendingMachines { offer, capacity, untouched: count, remainders: Vec::new() }),
        }
    }

    /// Room on them for tasks of this shape, counted up to `limit`.
    pub fn room(&self, need: &Resources, limit: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut tasks = 0;
        for arriving in self.0.iter().filter(|arriving| allows(&arriving.offer)) {
            tasks += arriving.remainders.iter().map(|remainder| need.times_in(remainder)).sum::<u32>();
            let on_untouched = need.times_in(&arriving.capacity).saturating_mul(arriving.untouched);
            tasks = tasks.saturating_add(on_untouched).min(limit);
            if tasks == limit {
                break;
            }
        }
        tasks
    }

    /// Allots room to up to `tasks` tasks and returns how many found some.
    pub fn allot(&mut self, need: &Resources, tasks: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut left = tasks;
        for arriving in self.0.iter_mut().filter(|arriving| allows(&arriving.offer)) {
            left -= arriving.allot(need, left);
            if left == 0 {
                break;
            }
        }
        tasks - left
    }
}

impl PendingMachines {
    fn allot(&mut self, need: &Resources, tasks: u32) -> u32 {
        let mut left = tasks;
        for remainder in &mut self.remainders {
            let count = need.times_in(remainder).min(left);
            *remainder -= *need * f64::from(count);
            left -= count;
        }
        let per_machine = need.times_in(&self.capacity);
        while left > 0 && self.untouched > 0 && per_machine > 0 {
            let count = per_machine.min(left);
            self.untouched -= 1;
            left -= count;
            let remainder = self.capacity - *need * f64::from(count);
            if remainder.cpus > RESOURCE_TOLERANCE {
                self.remainders.push(remainder);
            }
        }
        tasks - left
    }
}

impl Leader {
    /// All machines that are booting or asked for.
    pub fn pending_capacity(&self, now: Millis) -> PendingCapacity {
        let mut pending_capacity = PendingCapacity::default();
        for machine in &self.cluster.machines {
            if machine.lifecycle != MachineLifecycle::Booting || !machine.load.assignments.is_empty() {
                continue;
            }
            let Some(machine_type) = self.cluster.type_of(machine) else { continue };
            // A late machine is not counted on: it may never come.
            if !self.is_late(now, machine, machine_type) {
                let offer = Offer { machine_type: machine_type.index, zone: machine.zone, spot: machine.spot };
                pending_capacity.add(offer, machine_type.capacity, 1);
            }
        }
        let requested = self.autoscaler.calls.values().filter_map(|call| match call {
            Call::Rent { offer, req } => Some((*offer, req.count)),
            Call::Return(_) | Call::List => None,
        });
        let retried = self.autoscaler.retries.iter().map(|retry| (retry.offer, retry.req.count));
        for (offer, count) in requested.chain(retried) {
            if let Some(machine_type) = self.cluster.types.iter().find(|known| known.index == offer.machine_type) {
                pending_capacity.add(offer, machine_type.capacity, count);
            }
        }
        pending_capacity
    }
}
