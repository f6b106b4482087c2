//! Room on machines that are rented but not up yet.

use super::{Call, Offer};
use crate::coordination::{
    leader::Leader,
    model::{MachineLifecycle, Ms, Res, RESOURCE_TOLERANCE},
};

/// Machines of one offer that are not up yet.
struct ArrivingMachines {
    offer: Offer,
    /// Capacity of one of them.
    capacity: Res,
    /// Those of which nothing is allotted yet.
    untouched: u32,
    /// What is left of those on which tasks are counted.
    remainders: Vec<Res>,
}

/// Machines that are not up yet, by offer.
#[derive(Default)]
pub(super) struct Arrivals(Vec<ArrivingMachines>);

impl Arrivals {
    pub fn add(&mut self, offer: Offer, capacity: Res, count: u32) {
        match self.0.iter_mut().find(|arriving| arriving.offer == offer) {
            Some(arriving) => arriving.untouched += count,
            None => self.0.push(ArrivingMachines { offer, capacity, untouched: count, remainders: Vec::new() }),
        }
    }

    /// Room on them for tasks of this shape, counted up to `limit`.
    pub fn room(&self, need: &Res, limit: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
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
    pub fn allot(&mut self, need: &Res, tasks: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
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

impl ArrivingMachines {
    fn allot(&mut self, need: &Res, tasks: u32) -> u32 {
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
    pub(super) fn arrivals(&self, now: Ms) -> Arrivals {
        let mut arrivals = Arrivals::default();
        for machine in &self.machines {
            if machine.lifecycle != MachineLifecycle::Booting || !machine.assignments.is_empty() {
                continue;
            }
            let Some(machine_type) = self.type_of(machine) else { continue };
            // A late machine is not counted on: it may never come.
            if !self.is_late(now, machine, machine_type) {
                let offer = Offer { machine_type: machine_type.ix, zone: machine.zone, spot: machine.spot };
                arrivals.add(offer, machine_type.cap, 1);
            }
        }
        let requested = self.fleet.calls.values().filter_map(|call| match call {
            Call::Rent { offer, req } => Some((*offer, req.count)),
            Call::Return(_) | Call::List => None,
        });
        let retried = self.fleet.retries.iter().map(|retry| (retry.offer, retry.req.count));
        for (offer, count) in requested.chain(retried) {
            if let Some(machine_type) = self.types.iter().find(|known| known.ix == offer.machine_type) {
                arrivals.add(offer, machine_type.cap, count);
            }
        }
        arrivals
    }
}
