//! Machines become known, and the snapshot learns which of them take new tasks.

use super::{ClusterState, RECENT_UNMET_DEMAND_MS};
use crate::{
    coordination::model::{Machine, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis},
    protocol::{ids::Incarnation, names::ZoneIndex},
    storage::job_cache::JobIndex,
};

/// A machine with GPUs is expensive per CPU beyond this many times the cheapest.
const GPU_PRICE_FACTOR: f64 = 2.0;
/// How long after its second missed heartbeat a machine still takes new tasks, in ms.
const HEARTBEAT_SLACK_MS: Millis = 500;

impl ClusterState {
    /// The machine of this name, added if it isn't known yet.
    pub fn find_or_add_machine(&mut self, now: Millis, id: &str, zone: ZoneIndex) -> MachineIndex {
        match self.machines.find(id) {
            Some(index) => index,
            None => self.machines.add(Machine::new(id, zone, self.term.first_token(), now)),
        }
    }

    /// Shows the snapshot what a machine is and whether it takes new tasks.
    pub fn refresh(&mut self, now: Millis, index: MachineIndex) {
        let machine = &self.machines[index.as_usize()];
        let machine_type = if is_present(machine) { self.type_of(machine) } else { None };
        let open = self.takes_new_tasks(now, machine);
        let gpu_only = machine_type.is_some_and(|machine_type| self.reserved_for_gpu_work(now, machine, machine_type));
        let (zone, spot) = (machine.zone, machine.spot);
        let pool = match machine_type {
            None => None,
            Some(machine_type) => match self.snapshot.find_pool(machine_type.index, zone, spot) {
                Some(pool) => Some(pool),
                None => {
                    let machine_type = machine_type.clone();
                    Some(self.snapshot.pool_of(&machine_type, zone, spot))
                }
            },
        };
        let was_open = self.snapshot.hosts.get(index.as_usize()).is_some_and(|host| host.schedulable);
        self.cycle_requested |= open && !was_open;
        self.snapshot.move_to(index.as_usize(), pool);
        self.snapshot.set_schedulable(index.as_usize(), open && pool.is_some(), gpu_only);
    }

    /// The machine has fetched, or is fetching, the image of the job.
    pub(in crate::coordination) fn record_cached_image(&mut self, machine: MachineIndex, job: JobIndex) {
        let Some(job) = self.jobs.get(job) else { return };
        if let Some(host) = self.snapshot.hosts.get_mut(machine.as_usize()) {
            let cache_gb = host.pool.map_or(0.0, |pool| self.snapshot.pools[pool].cache_gb);
            host.note_image(job.spec.image, job.spec.image_gb, cache_gb);
        }
    }

    fn takes_new_tasks(&self, now: Millis, machine: &Machine) -> bool {
        let heartbeat_limit_ms = 2 * self.config.heartbeat_interval_ms + HEARTBEAT_SLACK_MS;
        machine.lifecycle == MachineLifecycle::Up
            // Guard: a machine that reaches no controller answers calls, but its
            // lease is running out: what starts there would soon be lost.
            && machine.heartbeats.last_heartbeat.is_some_and(|last| now < last + heartbeat_limit_ms)
            // Guard: it has shown our token, so our answers reach it. A delayed
            // copy of an old heartbeat, of a machine that was released, say,
            // can't show it.
            && machine.is_fenced()
            && machine.heartbeats.incarnation > machine.heartbeats.expired_incarnation
            && machine.spot_interruption_at.is_none()
            && !machine.cordoned
            && now >= machine.unschedulable_until
    }

    /// Whether a machine takes only GPU work: an expensive one whose GPUs are idle,
    /// while no work waits for its type. So it becomes empty and can be released.
    pub fn reserved_for_gpu_work(&self, now: Millis, machine: &Machine, machine_type: &MachineTypeSpec) -> bool {
        if machine_type.capacity.gpus <= 0.0
            || machine_type.capacity.cpus <= 0.0
            || self.backlog.has_recent_unmet_demand_for(now, machine_type.index)
        {
            return false;
        }
        let price_per_cpu = |t: &MachineTypeSpec| t.price_of(machine.spot) / t.capacity.cpus;
        let cheapest =
            self.types.iter().filter(|t| t.capacity.cpus > 0.0).map(price_per_cpu).fold(f64::INFINITY, f64::min);
        machine.load.gpu_idle_since.is_some_and(|since| now > since + RECENT_UNMET_DEMAND_MS)
            && price_per_cpu(machine_type) > GPU_PRICE_FACTOR * cheapest
    }
}

/// Whether a machine is rented and its worker has sent a heartbeat.
fn is_present(machine: &Machine) -> bool {
    matches!(machine.lifecycle, MachineLifecycle::Up | MachineLifecycle::Releasing)
        && machine.heartbeats.incarnation != Incarnation::NONE
}
