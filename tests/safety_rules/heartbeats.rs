//! Heartbeats that come late, from an ended incarnation or for a lost record.

use shedhook::{
    protocol::{
        ids::{Attempt, SequenceNumber},
        workers::{TaskState, TaskStatus},
    },
    storage::records::JobStatus,
};

use crate::simulation::{submission, Held, Simulation, LEASE};

/// Guard: a heartbeat from before the launch, delivered to the next leader, does
/// not list the task; that must not free its place.
pub fn a_late_report_from_before_the_launch(sim: &mut Simulation) {
    sim.run(4_000);
    let early = sim.latest_reports();
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/2").is_some());
    for x in &mut sim.workers {
        x.partitioned = true;
    }
    sim.elect();
    for r in early {
        sim.delayed.push((sim.now, Held::Heartbeat(r)));
    }
    let free = sim.add_worker("a");
    sim.run(LEASE - 4_000);
    let spare = sim.workers.iter().find(|x| x.id == free).unwrap();
    assert!(spare.tasks.is_empty(), "started anew while the old ones still run");
    for x in &mut sim.workers {
        x.partitioned = false;
    }
    sim.run(60_000);
}

/// Guard: reports are ordered by incarnation and number; what is older than what
/// is known, or of a incarnation that was counted out, changes nothing.
pub fn old_reports_change_nothing(sim: &mut Simulation) {
    sim.submit(submission("j-0", "batch", 1), 1_000);
    let mut job = submission("j-1", "batch", 1);
    job.zone = Some("nowhere".into());
    sim.submit(job, 1_000);
    sim.run(10_000);
    let report_of_a_task_never_placed = |sim: &mut Simulation, sequence: u64| {
        let mut r = sim.report_of(0);
        r.sequence = SequenceNumber(sequence);
        r.tasks = vec![TaskStatus {
            task: "j-1/0".into(),
            attempt: Attempt(1),
            state: TaskState::Running,
            why: None,
            saved: None,
        }];
        Held::Heartbeat(r)
    };
    let placed = |sim: &Simulation| {
        let index = sim.job_cache.find("j-1").unwrap();
        sim.leader.as_ref().unwrap().cluster().job(index).unwrap().tasks.placed
    };
    let early = report_of_a_task_never_placed(sim, 1);
    sim.delayed.push((sim.now, early));
    sim.run(200);
    assert_eq!(placed(sim), 0, "an older report was believed");
    let mut job = submission("j-2", "service", 4);
    job.zone = Some("a".into());
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-2/0").is_some());
    let late = report_of_a_task_never_placed(sim, 1 << 40);
    sim.workers.iter_mut().for_each(|x| x.partitioned = true);
    sim.run(LEASE + 3_000);
    sim.delayed.push((sim.now, late));
    sim.run(200);
    assert_eq!(placed(sim), 0, "a report of a dead session was believed");
}

pub fn strays_are_adopted(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    // A record lost by whatever hand: the tasks are there all the same.
    sim.records_lost = true;
    sim.store.keys.retain(|k, _| !k.starts_with("t/"));
    let (a, b) = (sim.worker_running("j-1/0"), sim.worker_running("j-1/1"));
    sim.elect();
    sim.run(20_000);
    assert_eq!((sim.worker_running("j-1/0"), sim.worker_running("j-1/1")), (a, b));
}

/// Guard: a copy of a heartbeat of a machine that was handed back comes to a
/// leader that never heard of it: no task is placed on that machine.
pub fn a_copy_from_a_machine_that_went_back(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 500_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    let copies: Vec<_> = (0..2).map(|n| sim.report_of(n)).collect();
    for n in 0..2 {
        sim.workers[n].dead = true;
        sim.workers[n].tasks.clear();
    }
    sim.store.keys.retain(|k, _| !k.starts_with("t/"));
    sim.records_lost = true;
    sim.elect();
    for (n, c) in copies.into_iter().enumerate() {
        sim.delayed.push((sim.now + 1_000 * n as u64, Held::Heartbeat(c)));
    }
    sim.run(3_000);
    sim.submit(submission("j-2", "batch", 8), 5_000);
    sim.run_until("elsewhere, at once", 9_000, |sim| sim.status("j-2") == JobStatus::Done);
}

/// Guard: to a new leader, an old copy is the newest report it has of a
/// machine; it neither frees what came later nor brings back what is over.
pub fn an_old_copy_is_the_first_that_a_leader_hears(sim: &mut Simulation) {
    sim.run(4_000);
    sim.submit(submission("j-1", "service", 3), 0);
    let mut job = submission("j-2", "service", 3);
    job.priority = Some("low".into());
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/2").is_some() && sim.worker_running("j-2/2").is_some());
    let copies = sim.latest_reports();
    // What those copies show is stopped, lost with a incarnation, or goes elsewhere.
    assert!(sim.cancel("j-1"));
    let now = sim.now;
    sim.workers[0].restart(now);
    sim.workers[3].restart(now);
    sim.run(20_000);
    sim.submit(submission("j-3", "service", 8), 0);
    sim.run(20_000);
    let before = sim.assignments("j-3", 8);
    sim.workers.iter_mut().for_each(|x| x.partitioned = true);
    sim.elect();
    for c in copies {
        sim.delayed.push((sim.now, Held::Heartbeat(c)));
    }
    sim.run(2_000);
    sim.workers.iter_mut().for_each(|x| x.partitioned = false);
    sim.run(LEASE * 2);
    let after = sim.assignments("j-3", 8);
    assert_eq!(before, after, "what ran goes on where it was");
    assert!(sim.none_running("j-1", 3), "cancelled for good");
    sim.run_until("the rest runs", 20_000, |sim| sim.all_running("j-2", 3));
}
