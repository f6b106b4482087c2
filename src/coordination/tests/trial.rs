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

/// A machine of a case: zone, CPUs, GPUs, spot, capacity protected for GPU tasks.
type Machine = (u32, f64, f64, bool, Option<Resources>);

fn snapshot(machines: &[Machine]) -> ClusterSnapshot {
    let mut snapshot = ClusterSnapshot::default();
    for (host, &(zone, cpus, gpus, spot, protected)) in machines.iter().enumerate() {
        let machine_type = MachineTypeSpec {
            // All machines are of type 0; machines of different sizes are in different zones.
            index: MachineTypeIndex(0),
            capacity: Resources { cpus, gpus, memory_gb: 100.0 },
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 5.0,
            zones: vec![ZoneIndex(zone)],
        };
        let pool = snapshot.find_or_add_pool(&machine_type, ZoneIndex(zone), spot);
        snapshot.pools[pool].reserved_for_gpu_tasks = protected;
        snapshot.set_pool(host, Some(pool));
        snapshot.set_schedulable(host, true, false);
    }
    snapshot
}

#[test]
fn status_of_a_node_follows_from_the_counts_of_its_children() {
    use PlacementStatus::*;
    // (needed, placed, untried, need_preemption, status)
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
    for (needed, placed, untried, need_preemption, status) in cases {
        assert_eq!(
            PlacementStatus::from_counts(needed, placed, untried, need_preemption),
            status,
            "needed={needed} placed={placed} untried={untried} need_preemption={need_preemption}"
        );
    }
}

#[test]
fn trial_places_as_many_tasks_as_allowed_and_leaves_the_snapshot_unchanged() {
    use PlacementStatus::*;
    struct Case {
        name: &'static str,
        hosts: Vec<Machine>,
        kind: JobKind,
        tasks: u32,
        min: usize,
        change: fn(&mut JobSpec),
        zone_used: Vec<u32>,
        expected: (PlacementStatus, usize),
    }
    let two_machines = || vec![(0, 8.0, 0.0, false, None), (1, 4.0, 0.0, false, None)];
    let spot_machine = (0, 8.0, 0.0, true, None);
    let gpu_machine = (0, 8.0, 4.0, false, Some(Resources { cpus: 5.0, gpus: 4.0, memory_gb: 1.0 }));
    let set_production: fn(&mut JobSpec) = |spec| spec.priority = Priority::Production;
    let cases = vec![
        Case {
            name: "array is placed as far as it fits",
            hosts: two_machines(),
            kind: JobKind::Array,
            tasks: 9,
            min: 1,
            change: |_| {},
            zone_used: vec![0, 0],
            expected: (Success, 6),
        },
        Case {
            name: "gang that fits is placed whole",
            hosts: two_machines(),
            kind: JobKind::Gang,
            tasks: 6,
            min: 6,
            change: |_| {},
            zone_used: vec![0, 0],
            expected: (Success, 6),
        },
        Case {
            name: "gang that does not fit is not placed in part",
            hosts: two_machines(),
            kind: JobKind::Gang,
            tasks: 7,
            min: 7,
            change: |_| {},
            zone_used: vec![0, 0],
            expected: (Unschedulable, 0),
        },
        Case {
            name: "one-zone gang does not fit in any zone",
            hosts: two_machines(),
            kind: JobKind::Gang,
            tasks: 5,
            min: 5,
            change: |spec| spec.one_zone = true,
            zone_used: vec![0, 0],
            expected: (Unschedulable, 0),
        },
        Case {
            name: "one-zone gang fits in one zone",
            hosts: two_machines(),
            kind: JobKind::Gang,
            tasks: 4,
            min: 4,
            change: |spec| spec.one_zone = true,
            zone_used: vec![0, 0],
            expected: (Success, 4),
        },
        // A task of an earlier attempt is still in zone 1, so the job must stay there.
        Case {
            name: "one-zone job stays in the zone of its assigned tasks",
            hosts: two_machines(),
            kind: JobKind::Array,
            tasks: 4,
            min: 1,
            change: |spec| spec.one_zone = true,
            zone_used: vec![0, 1],
            expected: (Success, 2),
        },
        Case {
            name: "spread service uses both zones",
            hosts: two_machines(),
            kind: JobKind::Service,
            tasks: 5,
            min: 1,
            change: |spec| spec.spread = true,
            zone_used: vec![0, 0],
            expected: (Success, 5),
        },
        // A zone may hold half of the tasks, rounded up, including those already assigned
        // there.
        Case {
            name: "assigned tasks are included in the spread limit",
            hosts: two_machines(),
            kind: JobKind::Service,
            tasks: 5,
            min: 1,
            change: |spec| spec.spread = true,
            zone_used: vec![3, 0],
            expected: (Success, 2),
        },
        Case {
            name: "spread gang does not fit within the zone limits",
            hosts: two_machines(),
            kind: JobKind::Gang,
            tasks: 6,
            min: 6,
            change: |spec| spec.spread = true,
            zone_used: vec![0, 0],
            expected: (Unschedulable, 0),
        },
        Case {
            name: "no machine of an allowed type",
            hosts: two_machines(),
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |spec| spec.types = Some(vec![MachineTypeIndex(7)]),
            zone_used: vec![0, 0],
            expected: (Unschedulable, 0),
        },
        Case {
            name: "job restricted to zone 1",
            hosts: two_machines(),
            kind: JobKind::Array,
            tasks: 9,
            min: 1,
            change: |spec| spec.zone = Some(ZoneIndex(1)),
            zone_used: vec![0, 0],
            expected: (Success, 2),
        },
        Case {
            name: "job that does not allow spot machines, on a spot machine",
            hosts: vec![spot_machine],
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |spec| spec.spot = false,
            zone_used: vec![0],
            expected: (Unschedulable, 0),
        },
        // Without the protection, replicas take all GPU machines from the jobs that need one.
        Case {
            name: "production service leaves the capacity protected for GPU tasks",
            hosts: vec![gpu_machine],
            kind: JobKind::Service,
            tasks: 2,
            min: 1,
            change: set_production,
            zone_used: vec![0],
            expected: (Success, 1),
        },
        Case {
            name: "array with checkpoints may use capacity protected for GPU tasks",
            hosts: vec![gpu_machine],
            kind: JobKind::Array,
            tasks: 5,
            min: 1,
            change: |spec| spec.checkpoint_s = 5.0,
            zone_used: vec![0],
            expected: (Success, 4),
        },
        Case {
            name: "task larger than any machine",
            hosts: two_machines(),
            kind: JobKind::Array,
            tasks: 1,
            min: 1,
            change: |spec| spec.cpus = 9.0,
            zone_used: vec![0],
            expected: (Unschedulable, 0),
        },
    ];
    for case in cases {
        let name = case.name;
        let mut spec = spec(case.kind, Priority::Normal, case.tasks, 2.0);
        (case.change)(&mut spec);
        let mut snapshot = snapshot(&case.hosts);
        let capacities = |snapshot: &ClusterSnapshot| {
            snapshot.hosts.iter().map(|host| (host.free, host.stopping)).collect::<Vec<_>>()
        };
        let before = capacities(&snapshot);
        let tasks: Vec<u32> = (0..case.tasks).collect();
        let mut request = TrialRequest {
            spec: &spec,
            tasks: &tasks,
            min: case.min,
            zone_used: &case.zone_used,
            avoid: &[],
            capacity: CapacityKind::Free,
            hosts: HostFilter::Any,
        };
        let outcome = snapshot.trial(&request);
        assert_eq!((outcome.status, outcome.placements.len()), case.expected, "{name}: first trial");
        assert_eq!(before, capacities(&snapshot), "{name}: the trial changed the snapshot");
        let mut placed_tasks: Vec<u32> = outcome.placements.iter().map(|placement| placement.task).collect();
        placed_tasks.dedup();
        assert_eq!(placed_tasks.len(), outcome.placements.len(), "{name}: a task was placed twice");
        // Reserved capacity is not available to other trials until it is released.
        for placement in &outcome.placements {
            snapshot.reserve(placement.host, Resources::of(&spec), Resources::default());
        }
        let with_reservations = snapshot.trial(&request);
        assert!(
            case.expected.0 != Success || with_reservations.placements.len() < case.tasks as usize,
            "{name}: reserved capacity was used"
        );
        snapshot.truncate_reservations(0);
        assert_eq!(before, capacities(&snapshot), "{name}: the release did not restore the capacity");
        // Unschedulable machines are not used. Machines full of tasks that are being stopped
        // are used only if the request includes the capacity of these tasks.
        for host in 0..case.hosts.len() {
            snapshot.set_schedulable(host, false, false);
        }
        assert_eq!(snapshot.trial(&request).placements.len(), 0, "{name}: unschedulable machines were used");
        for host in 0..case.hosts.len() {
            snapshot.set_schedulable(host, true, false);
            for _ in 0..9 {
                snapshot.add_task(host, &spec);
                snapshot.mark_stopping(host, &spec);
            }
        }
        assert_eq!(snapshot.trial(&request).placements.len(), 0, "{name}: full machines were used");
        request.capacity = CapacityKind::FreeOrStopping;
        let after_stops = snapshot.trial(&request);
        if case.hosts.iter().all(|host| host.4.is_none()) {
            assert_eq!(
                (after_stops.status, after_stops.placements.len()),
                case.expected,
                "{name}: trial with the capacity of stopping tasks"
            );
        }
        for host in 0..case.hosts.len() {
            for _ in 0..9 {
                snapshot.remove_task(host, &spec, true);
            }
        }
        assert_eq!(before, capacities(&snapshot), "{name}: removing the tasks did not restore the capacity");
    }
}
