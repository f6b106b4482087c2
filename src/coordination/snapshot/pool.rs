//! Pools: machines of one type, zone and billing kind (spot or on-demand).

use std::collections::BTreeSet;

use super::host::{is_costly_to_preempt, Host};
use crate::{
    coordination::model::{MachineTypeSpec, Resources},
    protocol::{
        jobs::JobSpec,
        names::{MachineTypeIndex, ZoneIndex},
    },
};

/// Number of steps into which the index divides a machine's free share of CPUs and
/// memory.
const SHARE_STEPS: f64 = 1e4;
/// Number of steps into which the index divides one GPU.
const GPU_STEPS: f64 = 100.0;
/// Added before an index key is truncated to an integer, so that a rounding error
/// does not lower the key by a step.
const KEY_TOLERANCE: f64 = 0.01;

/// A machine in an index, ordered by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination) struct IndexEntry {
    pub key: u32,
    pub host: u32,
}

/// Machines of one type, zone and billing kind.
#[derive(Debug)]
pub struct Pool {
    /// Type of the machines.
    pub machine_type: MachineTypeIndex,
    /// Zone of the machines.
    pub zone: ZoneIndex,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Capacity of one machine.
    pub capacity: Resources,
    /// Size of a machine's image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price per hour of one machine.
    pub price: f64,
    /// For each resource, the largest request among the GPU tasks that were seen
    /// recently and that these machines could run. Tasks without GPUs that are costly to
    /// preempt must leave this much of each machine free. `None`: nothing is reserved.
    pub reserved_for_gpu_tasks: Option<Resources>,
    /// Indices of the machines of the pool.
    pub members: BTreeSet<u32>,
    /// Schedulable machines with free capacity, by their free share of CPUs or of
    /// memory, whichever is smaller.
    by_free_share: BTreeSet<IndexEntry>,
    /// Schedulable machines with free GPUs, by the number of free GPUs.
    by_gpus: BTreeSet<IndexEntry>,
    /// Free capacity of all schedulable machines together.
    pub free: Resources,
}

impl Pool {
    pub(in crate::coordination) fn new(machine_type: &MachineTypeSpec, zone: ZoneIndex, spot: bool) -> Pool {
        Pool {
            machine_type: machine_type.index,
            zone,
            spot,
            capacity: machine_type.capacity,
            cache_gb: machine_type.cache_gb,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
            price: machine_type.price_of(spot),
            reserved_for_gpu_tasks: None,
            members: BTreeSet::new(),
            by_free_share: BTreeSet::new(),
            by_gpus: BTreeSet::new(),
            free: Resources::default(),
        }
    }

    fn share_key(&self, free: &Resources) -> u32 {
        let share = |have: f64, capacity: f64| if capacity > 0.0 { (have / capacity).clamp(0.0, 1.0) } else { 1.0 };
        let scarcer = share(free.cpus, self.capacity.cpus).min(share(free.memory_gb, self.capacity.memory_gb));
        (scarcer * SHARE_STEPS + KEY_TOLERANCE) as u32
    }

    fn gpu_key(free: &Resources) -> u32 {
        (free.gpus.max(0.0) * GPU_STEPS + KEY_TOLERANCE) as u32
    }

    pub(in crate::coordination) fn index(&mut self, host: u32, free: &Resources) {
        let share_key = self.share_key(free);
        let gpu_key = Pool::gpu_key(free);
        if share_key > 0 {
            self.by_free_share.insert(IndexEntry { key: share_key, host });
        }
        if gpu_key > 0 {
            self.by_gpus.insert(IndexEntry { key: gpu_key, host });
        }
        self.free += free.clamp_to_zero();
    }

    pub(in crate::coordination) fn unindex(&mut self, host: u32, free: &Resources) {
        let share_key = self.share_key(free);
        self.by_free_share.remove(&IndexEntry { key: share_key, host });
        self.by_gpus.remove(&IndexEntry { key: Pool::gpu_key(free), host });
        self.free -= free.clamp_to_zero();
    }

    /// Returns the schedulable machines on which `need` may fit, those with the least
    /// free capacity first.
    pub(in crate::coordination) fn hosts_that_may_fit(
        &self,
        need: &Resources,
        needs_gpus: bool,
    ) -> impl Iterator<Item = usize> + '_ {
        let (index, least_key) = if needs_gpus {
            (&self.by_gpus, Pool::gpu_key(need).saturating_sub(1))
        } else {
            // A machine is indexed by the smaller of its free shares of CPUs and memory. If
            // `need` fits, that is at least the smaller of the two shares that it needs.
            let share = |need: f64, capacity: f64| if capacity > 0.0 { need / capacity } else { 1.0 };
            let smaller = share(need.cpus, self.capacity.cpus).min(share(need.memory_gb, self.capacity.memory_gb));
            (&self.by_free_share, (smaller * SHARE_STEPS) as u32)
        };
        index.range(IndexEntry { key: least_key, host: 0 }..).map(|entry| entry.host as usize)
    }

    /// Reports whether tasks of this job may run on machines of this pool at all.
    pub fn allows(&self, spec: &JobSpec) -> bool {
        spec.allows_type(self.machine_type)
            && spec.zone.is_none_or(|zone| zone == self.zone)
            && (spec.spot || !self.spot)
            && Resources::of(spec).fits_in(&self.capacity)
    }

    /// Reports whether a task would block GPU tasks on this machine: it has no GPUs, is
    /// costly to preempt, and would, with the other such tasks there, leave less capacity
    /// than is reserved for GPU tasks.
    /// If such tasks were accepted, a replica that runs for hours on a few CPUs of a
    /// machine with GPUs would keep all GPU tasks off it, and tasks without checkpoints
    /// would be preempted for GPU tasks and lose all of their progress.
    fn blocks_gpu_tasks(&self, host: &Host, spec: &JobSpec) -> bool {
        let need = Resources::of(spec);
        need.gpus <= 0.0
            && is_costly_to_preempt(spec)
            && self
                .reserved_for_gpu_tasks
                .is_some_and(|reserved| !(reserved + need + host.used_by_costly_to_preempt).fits_in(&self.capacity))
    }

    /// Reports whether this machine accepts new tasks of this job, regardless of its
    /// free capacity.
    pub fn host_allows(&self, host: &Host, spec: &JobSpec) -> bool {
        host.schedulable && !(host.gpu_only && spec.gpus <= 0.0) && !self.blocks_gpu_tasks(host, spec)
    }
}
