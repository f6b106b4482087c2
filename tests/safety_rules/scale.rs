//! Thousands of machines: the cost of scheduling, in machines examined and records
//! written, and the effect of failures at that size.

use shedhook::{coordination::snapshot::HOSTS_EXAMINED_MAX, storage::records::JobStatus};

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// Number of machines; the largest deployment has fewer.
const MACHINES: usize = 4_500;
const SERVICES: usize = 60;
const ARRAYS: usize = 100;

/// The cost is measured in machines examined and records written, not in time.
///
/// Regression test: each scheduling cycle, each heartbeat and each run of the periodic
/// checks examined every machine, assignment and job; the exit of every task rewrote its
/// job's record; and fixed shares of the write budget left half of it unused while
/// submissions were refused.
#[test]
fn scheduling_cost_is_bounded_with_thousands_of_machines_and_five_controllers() {
    let mut sim = Simulation::new(3, MACHINES);
    sim.limit_writes(35.0, 5);
    sim.users.tasks_per_chunk = 64;
    sim.workers.settings.run_step_ms = 700;
    sim.elect();
    sim.run(8_000);
    let examined = |sim: &Simulation| sim.leader().cluster().snapshot().hosts_examined;
    let written = |sim: &Simulation| sim.write_budgets().written();
    assert_eq!((examined(&sim), written(&sim)), (0, 0), "machines examined and records written without any job");

    // Two jobs a second, ten in a row to the same controller.
    let (mut refused, mut tasks) = (0, 0);
    for n in 0..SERVICES + ARRAYS {
        let (id, service) = (format!("j-{n}"), n % 8 < 3);
        let (kind, size, run_ms) = if service { ("service", 8, 0) } else { ("batch", 20 + (n % 40) as u32, 3_000) };
        let job = submission(&id, kind, size).with_spread(service).with_priority(if service { "prod" } else { "low" });
        tasks += size as usize;
        while !sim.submit_to_controller(n / 10 % 5, job.clone(), run_ms) {
            refused += 1;
            sim.run(1_000);
        }
        sim.run(if n % 10 == 9 { 4_000 } else { 100 });
    }
    let arrays_done = |sim: &Simulation| {
        (0..SERVICES + ARRAYS).filter(|n| n % 8 >= 3).all(|n| sim.status(&format!("j-{n}")) == JobStatus::Done)
    };
    sim.run_until("all arrays are done", 60_000, arrays_done);
    assert!(refused <= 3, "{refused} submissions refused at a fifteenth of the limit");
    assert!(sim.write_budgets().refused() == 0, "the key-value store refused writes");
    // However many machines there are, only a sample of them is examined for a task; most
    // tasks are placed beside another task of their job.
    let per_task = examined(&sim) / tasks as u64;
    assert!(per_task <= 2 * HOSTS_EXAMINED_MAX as u64, "{per_task} machines examined for a task");
    // Writes for submission, placement, some exits, completion and deletion; not one per task.
    let per_job = written(&sim) as f64 / (SERVICES + ARRAYS) as f64;
    assert!(per_job < 7.0, "{per_job} writes per job");

    // Heartbeats and periodic checks that change nothing examine no machine and write no record.
    sim.run(250_000);
    let before = (examined(&sim), written(&sim));
    sim.run(30_000);
    assert_eq!(
        (examined(&sim), written(&sim)),
        before,
        "machines examined or records written although nothing changed"
    );

    // A new leader receives heartbeats from all workers again, and moves no task.
    let starts = sim.task_starts();
    sim.elect();
    sim.run(20_000);
    assert_eq!(sim.task_starts(), starts, "a task was restarted by the new leader");
    assert!(sim.worker_running("j-0/7").is_some());
    let placed_on = sim.worker_running("j-0/0").unwrap();
    sim.workers[placed_on].dead = true;
    sim.run_until("the dead machine's replica runs elsewhere", 60_000, |sim| {
        sim.worker_running("j-0/0").is_some_and(|worker| worker != placed_on)
    });
    assert!(examined(&sim) < 20_000, "{} machines examined for a few replicas", examined(&sim));
    sim.check("thousands of machines");
}

/// The cost of a failure must not grow with the number of machines, and no lease may
/// be lost because of it. The failures are a new leader, the loss of all controllers,
/// a zone that is partitioned while the leader changes, and a burst of submissions.
#[test]
fn failures_move_no_tasks_with_thousands_of_machines() {
    let mut sim = Simulation::new(4, MACHINES);
    sim.users.tasks_per_chunk = 64;
    sim.cloud.settings.capacity = 1;
    sim.controller.settings.heartbeat_timeout_ms = 8_500;
    sim.elect();
    sim.run(8_000);
    for n in 0..SERVICES {
        sim.submit(submission(&format!("j-{n}"), "service", 50).with_spread(true), 0);
    }
    sim.run_until("all replicas run", 30_000, |sim| sim.task_starts() == SERVICES * 50);
    sim.run(10_000);
    let (starts, machines) = (sim.task_starts(), sim.workers.len());
    let check_unchanged = |sim: &Simulation, when: &str| {
        assert_eq!(sim.task_starts(), starts, "{when}: a task was restarted");
        assert!(sim.workers.iter().all(|worker| !worker.dead), "{when}: a machine was released");
        assert_eq!(sim.workers.len(), machines, "{when}: machines were provisioned");
    };

    sim.elect();
    sim.run(LEASE_MS * 2);
    check_unchanged(&sim, "a new leader");

    sim.stop_leader();
    sim.run(LEASE_MS - 10_000);
    sim.elect();
    sim.run(LEASE_MS * 2);
    check_unchanged(&sim, "all controllers were unavailable");

    sim.partition_zone("b", true, false);
    sim.run(6_000);
    sim.elect();
    sim.run(12_000);
    sim.partition_zone("b", false, false);
    sim.run(LEASE_MS * 2);
    check_unchanged(&sim, "a zone was partitioned");

    let examined = |sim: &Simulation| sim.leader().cluster().snapshot().hosts_examined;
    let before = examined(&sim);
    for n in 0..200 {
        sim.submit(submission(&format!("j-{}", 1_000 + n), "batch", 20), 5_000);
    }
    let done = |sim: &Simulation| (0..200).all(|n| sim.status(&format!("j-{}", 1_000 + n)) == JobStatus::Done);
    sim.run_until("a burst of submissions is done", 60_000, done);
    let per_task = (examined(&sim) - before) / (200 * 20);
    assert!(per_task <= 2 * HOSTS_EXAMINED_MAX as u64, "{per_task} machines examined for a task");
    sim.check("thousands of machines through failures");
}
