//! Specification of a validated job, as the rest of the program uses it.

use crate::protocol::names::{ClassIndex, ImageIndex, MachineTypeIndex, TeamIndex, ZoneIndex};

/// Kind of a job: how its tasks depend on each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion. On the wire: `batch`.
    Array,
    /// All tasks run at the same time, or none does. On the wire: `ensemble`.
    Gang,
    /// Replicas that run until the job is cancelled. On the wire: `service`.
    Service,
}

impl JobKind {
    pub(super) fn parse(name: &str) -> Option<JobKind> {
        match name {
            "batch" => Some(JobKind::Array),
            "ensemble" => Some(JobKind::Gang),
            "service" => Some(JobKind::Service),
            _ => None,
        }
    }
}

/// Scheduling priority; the higher one is scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// On the wire: `low`.
    Low,
    /// On the wire: `normal`.
    Normal,
    /// On the wire: `high`.
    High,
    /// On the wire: `prod`.
    Production,
}

impl Priority {
    pub(super) fn parse(name: &str) -> Option<Priority> {
        match name {
            "prod" => Some(Priority::Production),
            "high" => Some(Priority::High),
            "normal" => Some(Priority::Normal),
            "low" => Some(Priority::Low),
            _ => None,
        }
    }
}

/// Specification of a validated job, with names interned to dense indices.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Class of the job; the service objectives in the settings refer to it.
    pub class: ClassIndex,
    /// Team whose quota applies.
    pub team: TeamIndex,
    /// How the job's tasks depend on each other.
    pub kind: JobKind,
    /// Priority; in the result of `JobCache::effective_spec`, at least the highest priority
    /// of the job's dependents.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// Image that a machine needs before a task can start.
    pub image: ImageIndex,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    pub types: Option<Vec<MachineTypeIndex>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<ZoneIndex>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds; 0 for services.
    pub estimate_s: f64,
    /// Run time between two checkpoints, in seconds; 0: the task never saves its state.
    pub checkpoint_s: f64,
    /// Time that a task needs to save its state when it is stopped, in seconds.
    pub save_s: f64,
    /// Deadline, in seconds from the job's acceptance, or, in the result of
    /// `JobCache::effective_spec`, from when the job became ready to start. `None`: no
    /// deadline.
    pub deadline_s: Option<f64>,
    /// Extended deadline, in seconds from the same time as the deadline: the objective
    /// for scheduling once the job can no longer meet its deadline. `None`: no deadline.
    pub extended_deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns the maximum number of this job's tasks in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Reports whether the job's tasks may run on this machine type.
    pub fn allows_type(&self, machine_type: MachineTypeIndex) -> bool {
        self.types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type))
    }
}
