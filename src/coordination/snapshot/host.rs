//! One machine's capacity and what uses it.

use crate::{
    coordination::model::Resources,
    protocol::{
        jobs::{JobKind, JobSpec, Priority},
        names::ImageIndex,
    },
};

/// An image in a machine's cache.
#[derive(Debug, Clone, Copy)]
pub struct CachedImage {
    pub image: ImageIndex,
    pub gb: f64,
}

/// One machine's capacity and what uses it.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// Index of its pool. `None`: not up, or of an unknown type.
    pub pool: Option<usize>,
    /// Whether it may take new tasks at all.
    pub schedulable: bool,
    /// Whether it takes GPU work only, so that it becomes empty when there is none.
    pub gpu_only: bool,
    /// Tasks assigned to it.
    pub assignments: u32,
    /// Free for new tasks.
    pub free: Resources,
    /// What the tasks that are being stopped will free.
    pub stopping: Resources,
    /// Used by tasks that are not being stopped, by priority.
    pub used_by_priority: [Resources; 4],
    /// Images it holds or fetches, most recent last.
    pub images: Vec<CachedImage>,
    /// Service replicas on it: a machine that dies takes them all.
    pub services: u32,
    /// Used by CPU work that can't be preempted well (`is_costly_to_preempt`).
    pub used_by_costly_to_preempt: Resources,
}

/// Which of a machine's capacity counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityKind {
    /// What is free now.
    Free,
    /// What is free once the tasks that are being stopped are gone.
    FreeOrStopping,
}

/// Whether a task's load is added to a machine or removed from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadChange {
    /// A task comes to the machine.
    Added,
    /// A task leaves the machine.
    Removed,
}

impl Host {
    /// The machine's capacity of this kind.
    pub fn capacity(&self, kind: CapacityKind) -> Resources {
        match kind {
            CapacityKind::Free => self.free,
            CapacityKind::FreeOrStopping => self.free + self.stopping,
        }
    }

    /// Whether the machine holds or fetches the image.
    pub fn has_image(&self, image: ImageIndex) -> bool {
        self.images.iter().any(|cached| cached.image == image)
    }

    /// Records that an image was fetched or used, and drops those that the cache
    /// evicted for it, least recently used first.
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

    /// Accounts for one task of the job coming or going.
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

/// Whether the job's tasks are not preempted, or only at the loss of all they did.
pub fn is_costly_to_preempt(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production || spec.checkpoint_s <= 0.0
}

#[cfg(test)]
#[path = "../tests/snapshot.rs"]
mod tests;
