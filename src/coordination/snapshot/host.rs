//! One machine's capacity and resource usage.

use crate::{
    coordination::model::Resources,
    protocol::{
        jobs::{JobKind, JobSpec, Priority},
        names::ImageIndex,
    },
};

/// An image in a machine's cache, with its size in GB.
#[derive(Debug, Clone, Copy)]
pub struct CachedImage {
    pub image: ImageIndex,
    pub gb: f64,
}

/// Capacity and resource usage of one machine, at the machine's index in the snapshot.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Index of its pool. `None`: no heartbeat was received from the machine, it is
    /// gone, or its type is unknown.
    pub pool: Option<usize>,
    /// Whether it accepts new tasks at all.
    pub schedulable: bool,
    /// Whether it accepts only GPU tasks, so that it becomes empty when there are
    /// none.
    pub gpu_only: bool,
    /// Number of tasks assigned to it.
    pub assignments: u32,
    /// Capacity that is free for new tasks.
    pub free: Resources,
    /// Capacity that the tasks being stopped will free.
    pub stopping: Resources,
    /// Capacity used by tasks that are not being stopped, by priority.
    pub used_by_priority: [Resources; 4],
    /// Images that it holds or fetches, the most recently used last.
    pub images: Vec<CachedImage>,
    /// Number of service replicas on it: all of them are lost if the machine fails.
    pub services: u32,
    /// Capacity used by tasks without GPUs that are costly to preempt (see
    /// `is_costly_to_preempt`).
    pub used_by_costly_to_preempt: Resources,
}

/// Which part of a machine's capacity is taken into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityKind {
    /// Capacity that is free now.
    Free,
    /// Capacity that is free once the tasks being stopped have exited.
    FreeOrStopping,
}

/// Whether a task's load is added to a machine or removed from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadChange {
    /// A task is added to the machine.
    Added,
    /// A task is removed from the machine.
    Removed,
}

impl Host {
    /// Returns the machine's capacity of this kind.
    pub fn capacity(&self, kind: CapacityKind) -> Resources {
        match kind {
            CapacityKind::Free => self.free,
            CapacityKind::FreeOrStopping => self.free + self.stopping,
        }
    }

    /// Reports whether the machine holds or fetches the image.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|cached| cached.image == image)
    }

    /// Records that an image of `gb` GB was fetched or used, and removes the images
    /// that a cache of `cache_gb` GB evicts for it, least recently used first.
    pub fn record_image(&mut self, image: ImageIndex, gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|cached| cached.image == image) {
            return;
        }
        self.images.retain(|cached| cached.image != image);
        self.images.push(CachedImage { image, gb });
        let mut sum: f64 = self.images.iter().map(|cached| cached.gb).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).gb;
        }
    }

    /// Accounts for one task of the job being added or removed.
    pub fn apply_load_change(&mut self, spec: &JobSpec, change: LoadChange) {
        let sign = match change {
            LoadChange::Added => 1.0,
            LoadChange::Removed => -1.0,
        };
        let need = Resources::of(spec) * sign;
        self.free -= need;
        if spec.kind == JobKind::Service {
            self.services = match change {
                LoadChange::Added => self.services + 1,
                LoadChange::Removed => self.services.saturating_sub(1),
            };
        }
        if is_costly_to_preempt(spec) && spec.gpus <= 0.0 {
            self.used_by_costly_to_preempt += need;
        }
    }
}

/// Reports whether preempting the job's tasks is ruled out, or loses all of their
/// progress.
pub fn is_costly_to_preempt(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production || spec.checkpoint_s <= 0.0
}

#[cfg(test)]
#[path = "../tests/snapshot.rs"]
mod tests;
