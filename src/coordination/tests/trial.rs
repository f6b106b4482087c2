use super::*;
use crate::{
    coordination::{
        model::{tests::spec, MachineTypeSpec, Resources},
        snapshot::ClusterSnapshot,
    },
    protocol::{
        jobs::{JobKind, Priority},
        names::{MachineTypeIndex, ZoneIndex},
    },
};

/// A machine of a case: zone, CPUs, GPUs, spot, what GPU work needs there.
type Machine = (u32, f64, f64, bool, Option<Resources>);

fn snapshot(machines: &[Machine]) -> ClusterSnapshot {
    let mut p = ClusterSnapshot::default();
    for (n, &(zone, cpus, gpus, spot, guard)) in machines.iter().enumerate() {
        let t = MachineTypeSpec {
            // One type for each size; those of a case without GPUs are type 0.
            index: MachineTypeIndex(0),
            capacity: Resources { cpus, gpus, memory_gb: 100.0 },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 5.0,
            zones: vec![ZoneIndex(zone)],
        };
        let pool = p.find_or_add_pool(&t, ZoneIndex(zone), spot);
        p.pools[pool].reserved_for_gpu_tasks = guard;
        p.set_pool(n, Some(pool));
        p.set_schedulable(n, true, false);
    }
    p
}

#[test]
fn the_four_results() {
    use PlacementStatus::*;
    // (M, S, R, U, result)
    let cases = [
        (2, 2, 0, 0, Success),
        (0, 0, 0, 0, Success),
        (2, 1, 1, 0, Wait),
        (2, 0, 2, 5, Wait),
        (2, 1, 0, 1, Unschedulable),
        (3, 1, 1, 1, Unschedulable),
        (2, 1, 0, 0, Unresolvable),
        (5, 1, 1, 2, Unresolvable),
    ];
    for (m, s, r, u, want) in cases {
        assert_eq!(PlacementStatus::from_counts(m, s, r, u), want, "M={m} S={s} R={r} U={u}");
    }
}

#[test]
fn trees_table() {
    use PlacementStatus::*;
    struct Case {
        name: &'static str,
        hosts: Vec<Machine>,
        kind: JobKind,
        tasks: u32,
        min: usize,
        change: fn(&mut JobSpec),
        zone_used: Vec<u32>,
        want: (PlacementStatus, usize),
    }
    let two = || vec![(0, 8.0, 0.0, false, None), (1, 4.0, 0.0, false, None)];
    let spot = (0, 8.0, 0.0, true, None);
    let gpu = (0, 8.0, 4.0, false, Some(Resources { cpus: 5.0, gpus: 4.0, memory_gb: 1.0 }));
    let prod: fn(&mut JobSpec) = |s| s.priority = Priority::Production;
    let cases = vec![
        Case {
            name: "array takes what fits",
            hosts: two(),
            kind: JobKind::Array,
            tasks: 9,
            min: 1,
            change: |_| {},
            zone_used: vec![0, 0],
            want: (Success, 6),
        },
        Case {
            name: "gang all",
            hosts: two(),
            kind: JobKind::Gang,
            tasks: 6,
            min: 6,
            change: |_| {},
            zone_used: vec![0, 0],
            want: (Success, 6),
        },
        Case {
            name: "gang or nothing",
            hosts: two(),
            kind: JobKind::Gang,
            tasks: 7,
            min: 7,
            change: |_| {},
            zone_used: vec![0, 0],
            want: (Unschedulable, 0),
        },
        Case {
            name: "one zone",
            hosts: two(),
            kind: JobKind::Gang,
            tasks: 5,
            min: 5,
            change: |s| s.one_zone = true,
            zone_used: vec![0, 0],
            want: (Unschedulable, 0),
        },
        Case {
            name: "one zone fits",
            hosts: two(),
            kind: JobKind::Gang,
            tasks: 4,
            min: 4,
            change: |s| s.one_zone = true,
            zone_used: vec![0, 0],
            want: (Success, 4),
        },
        // Guard: an old attempt still in the other zone binds the job there.
        Case {
            name: "one zone held",
            hosts: two(),
            kind: JobKind::Array,
            tasks: 4,
            min: 1,
            change: |s| s.one_zone = true,
            zone_used: vec![0, 1],
            want: (Success, 2),
        },
        Case {
            name: "spread",
            hosts: two(),
            kind: JobKind::Service,
            tasks: 5,
            min: 1,
            change: |s| s.spread = true,
            zone_used: vec![0, 0],
            want: (Success, 5),
        },
        // Guard: tasks that are already somewhere count against the half.
        Case {
            name: "spread held",
            hosts: two(),
            kind: JobKind::Service,
            tasks: 5,
            min: 1,
            change: |s| s.spread = true,
            zone_used: vec![3, 0],
            want: (Success, 2),
        },
        Case {
            name: "spread gang",
            hosts: two(),
            kind: JobKind::Gang,
            tasks: 6,
            min: 6,
            change: |s| s.spread = true,
            zone_used: vec![0, 0],
            want: (Unschedulable, 0),
        },
        Case {
            name: "no such type",
            hosts: two(),
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |s| s.types = Some(vec![MachineTypeIndex(7)]),
            zone_used: vec![0, 0],
            want: (Unschedulable, 0),
        },
        Case {
            name: "only zone 1",
            hosts: two(),
            kind: JobKind::Array,
            tasks: 9,
            min: 1,
            change: |s| s.zone = Some(ZoneIndex(1)),
            zone_used: vec![0, 0],
            want: (Success, 2),
        },
        Case {
            name: "no spot",
            hosts: vec![spot],
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |s| s.spot = false,
            zone_used: vec![0],
            want: (Unschedulable, 0),
        },
        // Guard: replicas left no GPU machine to the work that needs one.
        Case {
            name: "guarded",
            hosts: vec![gpu],
            kind: JobKind::Service,
            tasks: 2,
            min: 1,
            change: prod,
            zone_used: vec![0],
            want: (Success, 1),
        },
        Case {
            name: "guarded, saves",
            hosts: vec![gpu],
            kind: JobKind::Array,
            tasks: 5,
            min: 1,
            change: |s| s.checkpoint_s = 5.0,
            zone_used: vec![0],
            want: (Success, 4),
        },
        Case {
            name: "more than a machine has",
            hosts: two(),
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |s| s.cpus = 9.0,
            zone_used: vec![0],
            want: (Unschedulable, 0),
        },
    ];
    for c in cases {
        let mut s = spec(c.kind, Priority::Normal, c.tasks, 2.0);
        (c.change)(&mut s);
        let mut p = snapshot(&c.hosts);
        let room = |p: &ClusterSnapshot| p.hosts.iter().map(|h| (h.free, h.stopping)).collect::<Vec<_>>();
        let before = room(&p);
        let tasks: Vec<u32> = (0..c.tasks).collect();
        let mut ask = TrialRequest {
            spec: &s,
            tasks: &tasks,
            min: c.min,
            zone_used: &c.zone_used,
            avoid: &[],
            capacity: CapacityKind::Free,
            hosts: HostFilter::Any,
        };
        let out = p.trial(&ask);
        assert_eq!((out.status, out.placements.len()), c.want, "{}", c.name);
        assert_eq!(before, room(&p), "{}: taken back", c.name);
        let mut seen: Vec<u32> = out.placements.iter().map(|p| p.task).collect();
        seen.dedup();
        assert_eq!(seen.len(), out.placements.len(), "{}: each task once", c.name);
        // What is reserved is nobody else's until it is released.
        for pick in &out.placements {
            p.reserve(pick.host, Resources::of(&s), Resources::default());
        }
        let full = p.trial(&ask);
        assert!(c.want.0 != Success || full.placements.len() < c.tasks as usize, "{}", c.name);
        p.truncate_reservations(0);
        assert_eq!(before, room(&p), "{}: released", c.name);
        // Machines that take nothing, and those where everything stops.
        for n in 0..c.hosts.len() {
            p.set_schedulable(n, false, false);
        }
        assert_eq!(p.trial(&ask).placements.len(), 0, "{}: closed", c.name);
        for n in 0..c.hosts.len() {
            p.set_schedulable(n, true, false);
            for _ in 0..9 {
                p.add_task(n, &s);
                p.mark_stopping(n, &s);
            }
        }
        assert_eq!(p.trial(&ask).placements.len(), 0, "{}: full", c.name);
        ask.capacity = CapacityKind::FreeOrStopping;
        let after = p.trial(&ask);
        if c.hosts.iter().all(|h| h.4.is_none()) {
            assert_eq!((after.status, after.placements.len()), c.want, "{}: later", c.name);
        }
        for n in 0..c.hosts.len() {
            for _ in 0..9 {
                p.remove_task(n, &s, true);
            }
        }
        assert_eq!(before, room(&p), "{}: all gone", c.name);
    }
}
