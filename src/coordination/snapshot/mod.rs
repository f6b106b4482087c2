//! The cluster snapshot: the machines' capacity, on which placements are tried.
//!
//! It is updated as assignments are added and released, and indexed by machine
//! type, zone and free capacity, so that a search examines a few machines and
//! not all of them. A trial adds assumed tasks to it and removes them again;
//! [`ClusterSnapshot::reserve`] reserves capacity for a job until the end of a
//! scheduling cycle.

mod host;
mod pool;
mod reservations;
mod search;

use std::collections::BTreeSet;

use self::reservations::Reservation;
pub use self::{
    host::{CapacityKind, Host, LoadChange},
    pool::Pool,
    search::HOSTS_EXAMINED_MAX,
};
use super::model::{MachineTypeSpec, Resources};
use crate::protocol::{
    jobs::JobSpec,
    names::{MachineTypeIndex, ZoneIndex},
};

/// The capacity of all machines, grouped into pools by type, zone and billing kind
/// (spot or on-demand).
#[derive(Debug, Default)]
pub struct ClusterSnapshot {
    /// One entry per machine, at the machine's index.
    pub hosts: Vec<Host>,
    /// The pools, in order of creation.
    pub pools: Vec<Pool>,
    /// Schedulable machines on which tasks are being stopped.
    stopping_hosts: BTreeSet<u32>,
    reservations: Vec<Reservation>,
    /// Number of machines examined so far, which measures the cost of searches.
    pub hosts_examined: u64,
}

impl ClusterSnapshot {
    /// Returns the index of the pool with this type, zone and billing kind, if there
    /// is one.
    pub fn find_pool(&self, machine_type: MachineTypeIndex, zone: ZoneIndex, spot: bool) -> Option<usize> {
        self.pools.iter().position(|pool| pool.machine_type == machine_type && pool.zone == zone && pool.spot == spot)
    }

    /// Returns the number of zones in which there are machines.
    pub fn zone_count(&self) -> usize {
        let mut zones: Vec<ZoneIndex> =
            self.pools.iter().filter(|pool| !pool.members.is_empty()).map(|pool| pool.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Returns the index of the pool with this type, zone and billing kind, creating
    /// the pool if there is none.
    pub fn find_or_add_pool(&mut self, machine_type: &MachineTypeSpec, zone: ZoneIndex, spot: bool) -> usize {
        if let Some(pool) = self.find_pool(machine_type.index, zone, spot) {
            return pool;
        }
        self.pools.push(Pool::new(machine_type, zone, spot));
        self.pools.len() - 1
    }

    /// Applies changed machine types. Prices change; capacities may, in principle.
    pub fn update_machine_types(&mut self, types: &[MachineTypeSpec]) {
        for pool_index in 0..self.pools.len() {
            let pool = &mut self.pools[pool_index];
            let Some(machine_type) = types.iter().find(|t| t.index == pool.machine_type) else { continue };
            let growth = machine_type.capacity - pool.capacity;
            pool.price = machine_type.price_of(pool.spot);
            pool.fetch_gb_per_s = machine_type.fetch_gb_per_s;
            pool.cache_gb = machine_type.cache_gb;
            if growth != Resources::default() {
                self.change_pool_capacity(pool_index, machine_type.capacity, growth);
            }
        }
    }

    fn change_pool_capacity(&mut self, pool_index: usize, capacity: Resources, growth: Resources) {
        let members: Vec<u32> = self.pools[pool_index].members.iter().copied().collect();
        for &host in &members {
            self.unindex(host as usize);
        }
        self.pools[pool_index].capacity = capacity;
        for host in members {
            self.hosts[host as usize].free += growth;
            self.index(host as usize);
        }
    }

    /// Removes a machine from the indices, as is required before it is changed.
    fn unindex(&mut self, host_index: usize) {
        let host = &self.hosts[host_index];
        let Some(pool) = host.pool else { return };
        if host.schedulable {
            self.pools[pool].unindex(host_index as u32, &host.free);
        }
        self.stopping_hosts.remove(&(host_index as u32));
    }

    /// Adds a machine to the indices.
    fn index(&mut self, host_index: usize) {
        let host = &self.hosts[host_index];
        let Some(pool) = host.pool else { return };
        if host.schedulable {
            self.pools[pool].index(host_index as u32, &host.free);
            if host.stopping.is_nonzero() {
                self.stopping_hosts.insert(host_index as u32);
            }
        }
    }

    /// Applies `change` to a machine and updates the indices. Returns the result of
    /// `change`.
    pub fn update_host<T>(&mut self, host_index: usize, change: impl FnOnce(&mut Host) -> T) -> T {
        if self.hosts.len() <= host_index {
            self.hosts.resize_with(host_index + 1, Host::default);
        }
        self.unindex(host_index);
        let result = change(&mut self.hosts[host_index]);
        self.index(host_index);
        result
    }

    /// Moves a machine to a pool, or to none, and adjusts its free capacity. Its
    /// assignments stay.
    pub fn set_pool(&mut self, host_index: usize, pool: Option<usize>) {
        if self.hosts.get(host_index).map_or(pool.is_none(), |host| host.pool == pool) {
            return;
        }
        self.update_host(host_index, |_| {});
        self.unindex(host_index);
        let previous = self.hosts[host_index].pool;
        if let Some(previous) = previous {
            self.pools[previous].members.remove(&(host_index as u32));
        }
        let growth = self.capacity_of(pool) - self.capacity_of(previous);
        let host = &mut self.hosts[host_index];
        host.pool = pool;
        host.free += growth;
        if let Some(pool) = pool {
            self.pools[pool].members.insert(host_index as u32);
        }
        self.index(host_index);
    }

    fn capacity_of(&self, pool: Option<usize>) -> Resources {
        pool.map_or(Resources::default(), |pool| self.pools[pool].capacity)
    }

    /// Sets whether the machine accepts new tasks, and whether only GPU tasks.
    pub fn set_schedulable(&mut self, host_index: usize, schedulable: bool, gpu_only: bool) {
        if self.hosts.get(host_index).is_none_or(|host| (host.schedulable, host.gpu_only) != (schedulable, gpu_only)) {
            self.update_host(host_index, |host| (host.schedulable, host.gpu_only) = (schedulable, gpu_only));
        }
    }

    /// Adds a task that was assigned to the machine.
    pub fn add_task(&mut self, host_index: usize, spec: &JobSpec) {
        self.update_host(host_index, |host| {
            host.assignments += 1;
            host.apply_load_change(spec, LoadChange::Added);
            host.used_by_priority[spec.priority as usize] += Resources::of(spec);
        });
    }

    /// Removes a task whose assignment to the machine was released. `was_stopping`:
    /// the task was being stopped.
    pub fn remove_task(&mut self, host_index: usize, spec: &JobSpec, was_stopping: bool) {
        self.update_host(host_index, |host| {
            host.assignments -= 1;
            host.apply_load_change(spec, LoadChange::Removed);
            if was_stopping {
                host.stopping -= Resources::of(spec);
            } else {
                host.used_by_priority[spec.priority as usize] -= Resources::of(spec);
            }
        });
    }

    /// Marks one task on the machine as being stopped.
    pub fn mark_stopping(&mut self, host_index: usize, spec: &JobSpec) {
        self.update_host(host_index, |host| {
            host.stopping += Resources::of(spec);
            host.used_by_priority[spec.priority as usize] -= Resources::of(spec);
        });
    }

    /// Accounts for a task as if it were on the machine, until
    /// [`ClusterSnapshot::remove_assumed`].
    pub fn add_assumed(&mut self, host_index: usize, spec: &JobSpec) {
        self.update_host(host_index, |host| host.apply_load_change(spec, LoadChange::Added));
    }

    /// Removes an assumed task.
    pub fn remove_assumed(&mut self, host_index: usize, spec: &JobSpec) {
        self.update_host(host_index, |host| host.apply_load_change(spec, LoadChange::Removed));
    }

    /// Reserves capacity until [`ClusterSnapshot::truncate_reservations`], so that no
    /// later job takes it: first from the capacity that the tasks being stopped will
    /// free, then from what is free now. `also_freed`: capacity of tasks that are
    /// planned to be stopped but not marked as being stopped yet.
    pub fn reserve(&mut self, host_index: usize, need: Resources, also_freed: Resources) {
        let reservation = self.update_host(host_index, |host| Reservation::reserve(host_index, host, need, also_freed));
        self.reservations.push(reservation);
    }

    /// Reserves capacity for one task of `spec` on each of these machines, in order. A
    /// machine may be listed several times, once for each task.
    pub fn reserve_for_tasks(&mut self, spec: &JobSpec, host_indices: impl IntoIterator<Item = usize>) {
        for host_index in host_indices {
            self.reserve(host_index, Resources::of(spec), Resources::default());
        }
    }

    /// Releases all reservations but the first `keep`.
    pub fn truncate_reservations(&mut self, keep: usize) {
        while self.reservations.len() > keep {
            let Some(reservation) = self.reservations.pop() else { return };
            self.update_host(reservation.host_index(), |host| reservation.undo(host));
        }
    }

    /// Returns the number of reservations.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Reports whether a task is being stopped on any schedulable machine.
    pub fn has_stopping_tasks(&self) -> bool {
        !self.stopping_hosts.is_empty()
    }
}
