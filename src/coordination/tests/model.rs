use super::*;
use crate::protocol::{
    jobs::{JobKind, JobSpec, Priority},
    names::{ClassIndex, ImageIndex, TeamIndex},
};

/// Returns a job spec of this kind, priority and number of tasks. Each task requests
/// `cpus` CPUs and 1 GB of memory.
pub fn spec(kind: JobKind, priority: Priority, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        class: ClassIndex(0),
        team: TeamIndex(0),
        kind,
        priority,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: ImageIndex(0),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        extended_deadline_s: None,
    }
}

#[test]
fn team_limit_bounds_further_tasks_and_rejects_jobs_that_can_never_fit() {
    let team_limits = |cpus: f64, gpus: f64| TeamLimits {
        cpus_max: (cpus > 0.0).then_some(cpus),
        gpus_max: (gpus > 0.0).then_some(gpus),
        ..TeamLimits::default()
    };
    // (limits, GPUs per task, used GPUs, further tasks allowed, kind, tasks, can ever be admitted)
    let cases = [
        (team_limits(0.0, 0.0), 4.0, 100.0, u32::MAX, JobKind::Gang, 9, true),
        (team_limits(0.0, 16.0), 4.0, 8.0, 2, JobKind::Gang, 4, true),
        (team_limits(0.0, 16.0), 4.0, 8.0, 2, JobKind::Gang, 5, false),
        (team_limits(0.0, 16.0), 4.0, 16.0, 0, JobKind::Array, 50, true),
        (team_limits(0.0, 3.0), 4.0, 0.0, 0, JobKind::Array, 1, false),
        (team_limits(0.0, 16.0), 0.0, 16.0, u32::MAX, JobKind::Service, 3, true),
        (team_limits(5.0, 0.0), 0.0, 0.0, 2, JobKind::Service, 3, false),
    ];
    for (i, (limits, gpus, used, further_tasks, kind, tasks, can_be_admitted)) in cases.into_iter().enumerate() {
        let mut job_spec = spec(kind, Priority::Low, tasks, 2.0);
        job_spec.gpus = gpus;
        let used = Resources { gpus: used, ..Resources::default() };
        assert_eq!(limits.tasks_within_limit(&job_spec, &used), further_tasks, "case {i}");
        assert_eq!(limits.can_admit(&job_spec), can_be_admitted, "case {i}");
    }
}
