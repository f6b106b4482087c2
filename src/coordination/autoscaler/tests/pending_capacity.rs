use super::*;
use crate::protocol::names::{MachineTypeIndex, ZoneIndex};

fn offer(zone: u32) -> Offer {
    Offer { machine_type: MachineTypeIndex(0), zone: ZoneIndex(zone), spot: false }
}

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: 1.0 }
}

/// Two machines of 4 CPUs in zone 0, one in zone 1.
fn pending() -> PendingCapacity {
    let capacity = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 16.0 };
    let mut pending = PendingCapacity::default();
    pending.add(offer(0), capacity, 1);
    pending.add(offer(1), capacity, 1);
    pending.add(offer(0), capacity, 1);
    pending
}

#[test]
fn count_fitting_counts_tasks_up_to_the_limit_on_allowed_offers() {
    assert_eq!(pending().count_fitting(&cpus(2.0), 10, |_| true), 6);
    assert_eq!(pending().count_fitting(&cpus(2.0), 5, |_| true), 5);
    assert_eq!(pending().count_fitting(&cpus(3.0), 10, |offer| offer.zone == ZoneIndex(0)), 2);
    assert_eq!(pending().count_fitting(&cpus(5.0), 10, |_| true), 0);
}

#[test]
fn allocated_capacity_is_used_once_and_remainders_are_used_first() {
    let mut pending = pending();
    let in_zone_0 = |offer: &Offer| offer.zone == ZoneIndex(0);
    assert_eq!(pending.allocate(&cpus(3.0), 1, in_zone_0), 1);
    assert_eq!(pending.allocate(&cpus(1.0), 1, in_zone_0), 1, "on the remainder of the first machine");
    assert_eq!(pending.count_fitting(&cpus(4.0), 10, in_zone_0), 1, "nothing is allocated on the second machine");
    assert_eq!(pending.allocate(&cpus(4.0), 3, |_| true), 2, "one in each zone");
    assert_eq!(pending.count_fitting(&cpus(1.0), 10, |_| true), 0);
}
