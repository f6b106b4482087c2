//! Thousands of machines: the cost of work, in machines examined and records
//! written, and what fails at that size.

use shedhook::{coordination::snapshot::HOSTS_EXAMINED_MAX, storage::records::JobStatus};

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// More than the largest deployment has.
const MACHINES: usize = 4_500;
const SERVICES: usize = 60;
const ARRAYS: usize = 100;

/// Work is counted in machines looked at and records written, not by the clock.
///
/// Guard: each scheduling cycle, heartbeat and sweep looked at every machine,
/// assignment and job; every end rewrote its job's record; fixed shares of the writes left half of
/// them unused while submissions were refused.
#[test]
fn scheduling_cost_is_bounded_with_thousands_of_machines_and_five_controllers() {
    let mut sim = Simulation::new(3, MACHINES);
    sim.limit_writes(35.0, 5);
    sim.users.tasks_per_chunk = 64;
    sim.workers.settings.run_step_ms = 700;
    sim.elect();
    sim.run(8_000);
    let looked = |sim: &Simulation| sim.leader().cluster().snapshot().hosts_examined;
    let written = |sim: &Simulation| sim.write_budgets().written();
    assert_eq!((looked(&sim), written(&sim)), (0, 0), "nobody asked for anything");

    // Two jobs a second, ten in a row at one controller.
    let (mut refused, mut tasks) = (0, 0);
    for n in 0..SERVICES + ARRAYS {
        let (id, service) = (format!("j-{n}"), n % 8 < 3);
        let (kind, size, run) = if service { ("service", 8, 0) } else { ("batch", 20 + (n % 40) as u32, 3_000) };
        let job = submission(&id, kind, size).with_spread(service).with_priority(if service { "prod" } else { "low" });
        tasks += size as usize;
        while !sim.submit_at(n / 10 % 5, job.clone(), run) {
            refused += 1;
            sim.run(1_000);
        }
        sim.run(if n % 10 == 9 { 4_000 } else { 100 });
    }
    let over = |sim: &Simulation| {
        (0..SERVICES + ARRAYS).filter(|n| n % 8 >= 3).all(|n| sim.status(&format!("j-{n}")) == JobStatus::Done)
    };
    sim.run_until("all arrays are done", 60_000, over);
    assert!(refused <= 3, "{refused} submissions refused at a fifteenth of the limit");
    assert!(sim.write_budgets().refused() == 0, "the service itself refused");
    // A task is looked for on a sample, whatever the number of machines; most
    // are placed beside another of their job.
    let per_task = looked(&sim) / tasks as u64;
    assert!(per_task <= 2 * HOSTS_EXAMINED_MAX as u64, "{per_task} machines looked at for a task");
    // Submitted, placed, some ends, done, dropped: not a write for each task.
    let per_job = written(&sim) as f64 / (SERVICES + ARRAYS) as f64;
    assert!(per_job < 7.0, "{per_job} writes a job");

    // Heartbeats and sweeps that change nothing cost nothing of either.
    sim.run(250_000);
    let before = (looked(&sim), written(&sim));
    sim.run(30_000);
    assert_eq!((looked(&sim), written(&sim)), before, "nothing happened");

    // A new leader hears all workers anew: nothing moves.
    let starts = sim.starts();
    sim.elect();
    sim.run(20_000);
    assert_eq!(sim.starts(), starts, "nothing starts anew");
    assert!(sim.worker_running("j-0/7").is_some());
    let placed_on = sim.worker_running("j-0/0").unwrap();
    sim.workers[placed_on].dead = true;
    sim.run_until("the dead machine's replica runs elsewhere", 60_000, |sim| {
        sim.worker_running("j-0/0").is_some_and(|worker| worker != placed_on)
    });
    assert!(looked(&sim) < 20_000, "{} machines looked at for a few replicas", looked(&sim));
    sim.check("thousands of machines");
}

/// Guard: what a failure costs must not grow with the number of machines, and
/// no lease may be lost for it: a new leader, all controllers away, a zone
/// partitioned while the leader changes, and a burst of submissions.
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
    sim.run_until("all replicas run", 30_000, |sim| sim.starts() == SERVICES * 50);
    sim.run(10_000);
    let (starts, machines) = (sim.starts(), sim.workers.len());
    let unharmed = |sim: &Simulation, when: &str| {
        assert_eq!(sim.starts(), starts, "{when}: something started anew");
        assert!(sim.workers.iter().all(|worker| !worker.dead), "{when}: a machine was handed back");
        assert_eq!(sim.workers.len(), machines, "{when}: machines were rented");
    };

    sim.elect();
    sim.run(LEASE_MS * 2);
    unharmed(&sim, "a new leader");

    sim.stop_leader();
    sim.run(LEASE_MS - 10_000);
    sim.elect();
    sim.run(LEASE_MS * 2);
    unharmed(&sim, "all controllers were away");

    sim.partition_zone("b", true, false);
    sim.run(6_000);
    sim.elect();
    sim.run(12_000);
    sim.partition_zone("b", false, false);
    sim.run(LEASE_MS * 2);
    unharmed(&sim, "a zone was cut off");

    let looked = |sim: &Simulation| sim.leader().cluster().snapshot().hosts_examined;
    let before = looked(&sim);
    for n in 0..200 {
        sim.submit(submission(&format!("j-{}", 1_000 + n), "batch", 20), 5_000);
    }
    let done = |sim: &Simulation| (0..200).all(|n| sim.status(&format!("j-{}", 1_000 + n)) == JobStatus::Done);
    sim.run_until("a burst of submissions is served", 60_000, done);
    let per_task = (looked(&sim) - before) / (200 * 20);
    assert!(per_task <= 2 * HOSTS_EXAMINED_MAX as u64, "{per_task} machines looked at for a task");
    sim.check("thousands of machines through failures");
}
