use super::*;
use crate::protocol::{
    jobs::{JobKind, JobSpec, Priority},
    names::{ClassIndex, ImageIndex, TeamIndex},
};

/// A job of this kind, priority and number of tasks; each needs `cpus` and 1 GB.
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
fn limits_table() {
    let some = |c: f64, g: f64| TeamLimits {
        cpus_max: (c > 0.0).then_some(c),
        gpus_max: (g > 0.0).then_some(g),
        ..TeamLimits::default()
    };
    // (limit, gpus a task, used gpus, tasks more, kind, tasks, ever)
    let cases = [
        (some(0.0, 0.0), 4.0, 100.0, u32::MAX, JobKind::Gang, 9, true),
        (some(0.0, 16.0), 4.0, 8.0, 2, JobKind::Gang, 4, true),
        (some(0.0, 16.0), 4.0, 8.0, 2, JobKind::Gang, 5, false),
        (some(0.0, 16.0), 4.0, 16.0, 0, JobKind::Array, 50, true),
        (some(0.0, 3.0), 4.0, 0.0, 0, JobKind::Array, 1, false),
        (some(0.0, 16.0), 0.0, 16.0, u32::MAX, JobKind::Service, 3, true),
        (some(5.0, 0.0), 0.0, 0.0, 2, JobKind::Service, 3, false),
    ];
    for (i, (limits, gpus, used, room, kind, tasks, ever)) in cases.into_iter().enumerate() {
        let mut s = spec(kind, Priority::Low, tasks, 2.0);
        s.gpus = gpus;
        let used = Resources { gpus: used, ..Resources::default() };
        assert_eq!(limits.tasks_within_limit(&s, &used), room, "case {i}");
        assert_eq!(limits.ever_allows(&s), ever, "case {i}");
    }
}
