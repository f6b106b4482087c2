//! Quotas of teams: guaranteed amounts and limits.

use super::{Resources, RESOURCE_TOLERANCE};
use crate::protocol::jobs::{JobKind, JobSpec};

/// A team's quota. `None`: no amount is set.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamLimits {
    /// Number of CPUs guaranteed to the team.
    pub cpus: Option<f64>,
    /// Number of GPUs guaranteed to the team.
    pub gpus: Option<f64>,
    /// Maximum number of CPUs that the team may use at once.
    pub cpus_max: Option<f64>,
    /// Maximum number of GPUs that the team may use at once.
    pub gpus_max: Option<f64>,
}

impl TeamLimits {
    /// Reports whether any amount is guaranteed to the team.
    pub fn has_guarantee(&self) -> bool {
        self.cpus.is_some() || self.gpus.is_some()
    }

    /// Returns how many more tasks of this job the limit allows in addition to `used`;
    /// `u32::MAX` if no limit applies.
    pub fn tasks_within_limit(&self, spec: &JobSpec, used: &Resources) -> u32 {
        let tasks_within = |limit: Option<f64>, used: f64, need: f64| match limit {
            Some(limit) if need > 0.0 => ((limit - used + RESOURCE_TOLERANCE) / need).floor().max(0.0) as u32,
            _ => u32::MAX,
        };
        tasks_within(self.cpus_max, used.cpus, spec.cpus).min(tasks_within(self.gpus_max, used.gpus, spec.gpus))
    }

    /// Reports whether the limit can ever admit the job; if not, its submission is
    /// rejected with 422. The tasks of an array may run one after another; those of
    /// other kinds run at the same time.
    pub fn can_admit(&self, spec: &JobSpec) -> bool {
        let concurrent_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => spec.tasks,
        };
        self.tasks_within_limit(spec, &Resources::default()) >= concurrent_tasks
    }
}
