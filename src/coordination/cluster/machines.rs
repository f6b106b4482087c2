//! Registers machines, and records in the snapshot which of them accept new tasks.

use super::{ClusterState, RECENT_UNMET_DEMAND_MS};
use crate::{
    coordination::model::{Machine, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis},
    protocol::{ids::Incarnation, names::ZoneIndex},
    storage::job_cache::JobIndex,
};

/// A machine with GPUs is expensive if its price per CPU exceeds the lowest price
/// per CPU by more than this factor.
const GPU_PRICE_FACTOR: f64 = 2.0;
/// How long after its second missed heartbeat a machine still accepts new tasks, in
/// ms.
const HEARTBEAT_SLACK_MS: Millis = 500;

impl ClusterState {
    /// Returns the index of the machine with this name, adding the machine if it is
    /// not known yet.
    pub fn find_or_add_machine(&mut self, now: Millis, id: &str, zone: ZoneIndex) -> MachineIndex {
        match self.machines.find(id) {
            Some(index) => index,
            None => self.machines.add(Machine::new(id, zone, self.term.first_token(), now)),
        }
    }

    /// Updates a machine's pool in the snapshot, and whether it accepts new tasks.
    /// Requests a scheduling cycle if it accepts them now but did not before.
    pub fn update_snapshot_host(&mut self, now: Millis, index: MachineIndex) {
        let machine = &self.machines[index.as_usize()];
        let machine_type = if is_present(machine) { self.machine_type_of(machine) } else { None };
        let accepts_tasks = self.accepts_new_tasks(now, machine);
        let gpu_only = machine_type.is_some_and(|machine_type| self.takes_only_gpu_tasks(now, machine, machine_type));
        let (zone, spot) = (machine.zone, machine.spot);
        let pool = match machine_type {
            None => None,
            Some(machine_type) => match self.snapshot.find_pool(machine_type.index, zone, spot) {
                Some(pool) => Some(pool),
                None => {
                    let machine_type = machine_type.clone();
                    Some(self.snapshot.find_or_add_pool(&machine_type, zone, spot))
                }
            },
        };
        let was_schedulable = self.snapshot.hosts.get(index.as_usize()).is_some_and(|host| host.schedulable);
        self.cycle_requested |= accepts_tasks && !was_schedulable;
        self.snapshot.set_pool(index.as_usize(), pool);
        self.snapshot.set_schedulable(index.as_usize(), accepts_tasks && pool.is_some(), gpu_only);
    }

    /// Records that a machine has fetched, or is fetching, the image of a job.
    pub(in crate::coordination) fn record_cached_image(&mut self, machine: MachineIndex, job: JobIndex) {
        let Some(job) = self.jobs.get(job) else { return };
        if let Some(host) = self.snapshot.hosts.get_mut(machine.as_usize()) {
            let cache_gb = host.pool.map_or(0.0, |pool| self.snapshot.pools[pool].cache_gb);
            host.record_image(job.spec.image, job.spec.image_gb, cache_gb);
        }
    }

    fn accepts_new_tasks(&self, now: Millis, machine: &Machine) -> bool {
        let heartbeat_limit_ms = 2 * self.config.heartbeat_interval_ms + HEARTBEAT_SLACK_MS;
        machine.lifecycle == MachineLifecycle::Up
            // A machine that reaches no controller still responds to calls, but its
            // worker lease is about to expire: tasks started there would soon be lost.
            && machine.heartbeats.last_heartbeat.is_some_and(|last| now < last + heartbeat_limit_ms)
            // The worker has reported this leader's fencing token, so the leader's
            // responses reach it. A delayed copy of an old heartbeat, for example of a
            // machine that was released, cannot contain that token.
            && machine.is_fenced()
            && machine.heartbeats.incarnation > machine.heartbeats.expired_incarnation
            && machine.spot_interruption_at.is_none()
            && !machine.cordoned
            && now >= machine.unschedulable_until
    }

    /// Reports whether a machine accepts only GPU tasks, so that it becomes empty and
    /// can be released. This applies to an expensive machine whose GPUs have been idle
    /// for some time, while there is no recent unmet demand for its type.
    pub fn takes_only_gpu_tasks(&self, now: Millis, machine: &Machine, machine_type: &MachineTypeSpec) -> bool {
        if machine_type.capacity.gpus <= 0.0
            || machine_type.capacity.cpus <= 0.0
            || self.unmet_demand.has_recent_unmet_demand_for(now, machine_type.index)
        {
            return false;
        }
        let price_per_cpu = |t: &MachineTypeSpec| t.price_of(machine.spot) / t.capacity.cpus;
        let cheapest = self
            .machine_types
            .iter()
            .filter(|t| t.capacity.cpus > 0.0)
            .map(price_per_cpu)
            .fold(f64::INFINITY, f64::min);
        machine.load.gpu_idle_since.is_some_and(|since| now > since + RECENT_UNMET_DEMAND_MS)
            && price_per_cpu(machine_type) > GPU_PRICE_FACTOR * cheapest
    }
}

/// Reports whether a machine is provisioned and its worker has sent a heartbeat.
fn is_present(machine: &Machine) -> bool {
    matches!(machine.lifecycle, MachineLifecycle::Up | MachineLifecycle::Releasing)
        && machine.heartbeats.incarnation != Incarnation::NONE
}
