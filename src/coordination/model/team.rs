//! Quotas of teams: what is guaranteed to them, and their limits.

use super::{Resources, RESOURCE_TOLERANCE};
use crate::protocol::jobs::{JobKind, JobSpec};

/// A team's quota. `None`: no amount is set.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimits {
    /// Guaranteed CPUs.
    pub cpus: Option<f64>,
    /// Guaranteed GPUs.
    pub gpus: Option<f64>,
    /// Most CPUs that the team may use at once.
    pub cpus_max: Option<f64>,
    /// Most GPUs that the team may use at once.
    pub gpus_max: Option<f64>,
}

impl TeamLimits {
    /// Whether any amount is guaranteed to the team.
    pub fn has_guarantee(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }

    /// How many more tasks of this job the limit allows on top of `used`;
    /// `u32::MAX` if nothing limits them.
    pub fn tasks_within_limit(&self, spec: &JobSpec, used: &Resources) -> u32 {
        let tasks_within = |limit: Option<f64>, used: f64, need: f64| match limit {
            Some(limit) if need > 0.0 => ((limit - used + RESOURCE_TOLERANCE) / need).floor().max(0.0) as u32,
            _ => u32::MAX,
        };
        tasks_within(self.cpus_max, used.cpus, spec.cpus).min(tasks_within(self.gpus_max, used.gpus, spec.gpus))
    }

    /// Whether the limit can ever admit the job. A submission that it can't is
    /// rejected with 422. Tasks of an array may run one after another; those of
    /// other kinds run at the same time.
    pub fn ever_allows(&self, spec: &JobSpec) -> bool {
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        self.tasks_within_limit(spec, &Resources::default()) >= concurrent_tasks
    }
}
