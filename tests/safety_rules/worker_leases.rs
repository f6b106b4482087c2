//! Worker leases and incarnations: when the tasks of a worker without heartbeats may start
//! elsewhere.

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// A leader may learn of a new incarnation from the response to a probe or a command, before
/// it receives any heartbeat of that incarnation. The incarnation has a lease of its own,
/// which starts when it was seen.
pub fn new_incarnation_seen_by_a_probe(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("all tasks run", 10_000, |sim| sim.worker_running("j-1/8").is_some());
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.faults.outbound_lost = true);
    sim.run(LEASE_MS * 3);
    sim.workers.iter_mut().for_each(|worker| worker.faults.outbound_lost = false);
    sim.run_until("all tasks run again", 40_000, |sim| sim.worker_running("j-1/8").is_some());
}

pub fn partitioned_worker_keeps_its_lease(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("the service runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let placed_on = sim.worker_running("j-1/0").unwrap();
    sim.workers[placed_on].faults.partitioned = true;
    // Until the lease has expired, missing heartbeats don't prove that a task has ended. The
    // lease starts at the last response with status 200.
    sim.run(LEASE_MS - 2_000);
    assert_eq!(sim.worker_running("j-1/0"), Some(placed_on));
    sim.run_until("the task runs elsewhere", 20_000, |sim| {
        sim.worker_running("j-1/0").is_some_and(|worker| worker != placed_on)
    });
    sim.workers[placed_on].faults.partitioned = false;
    sim.run(60_000);
}

/// Workers restart with a new incarnation before their heartbeats are late; their tasks must
/// run again.
pub fn worker_restarts_at_once(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 4), 0);
    sim.submit(submission("j-2", "ensemble", 3).with_one_zone(true), 0);
    sim.run_until("both jobs run", 10_000, |sim| {
        sim.worker_running("j-1/3").is_some() && sim.worker_running("j-2/2").is_some()
    });
    for n in 0..4 {
        sim.restart_worker(n);
        if n == 2 {
            sim.elect();
        }
        sim.run(700);
    }
    sim.run_until("all tasks run again", 40_000, |sim| sim.all_running("j-1", 4) && sim.all_running("j-2", 3));
}

/// Behind a partition, another controller renews the worker leases for a while. The leader
/// on the other side, elected after the partition began, must not treat any of these leases
/// as expired by its own clock. After the partition, it must wait until the last renewed
/// lease has expired. Tasks that are cancelled in the meantime must be gone in time.
pub fn leases_renewed_behind_a_partition(sim: &mut Simulation) {
    for zone in ["b", "b", "a", "a", "a"] {
        sim.add_worker(zone);
    }
    sim.submit(submission("j-1", "service", 20), 0);
    sim.submit(submission("j-2", "service", 4), 0);
    sim.run_until("all tasks run", 20_000, |sim| sim.task_starts() == 24);
    let tasks_in_b = |sim: &Simulation| -> Vec<String> {
        let workers = sim.workers.iter().filter(|worker| worker.spec.zone == "b");
        workers
            .flat_map(|worker| worker.tasks.iter().map(|task| task.name.clone()))
            .filter(|task| task.starts_with("j-1/"))
            .collect()
    };
    let tasks_before = tasks_in_b(sim);
    assert!(tasks_before.len() > 4);
    let longest_renewal = Simulation::longest_renewal_by_peer();
    sim.partition_zone("b", true, true);
    sim.controller.settings.peers_unreachable_since = Some(sim.now());
    // The leader was in the partitioned zone; another one is elected, and a user cancels a job.
    sim.run(3_000);
    sim.elect();
    sim.submit(submission("j-3", "service", 8), 0);
    assert!(sim.cancel("j-2"));
    sim.run(longest_renewal - 3_000);
    sim.partition_zone("b", true, false);
    // Leases that started at the election have expired by now; the renewed ones have not.
    sim.run(LEASE_MS + 2_500 - (longest_renewal - 3_000));
    assert_eq!(tasks_in_b(sim), tasks_before, "a task with a renewed lease was stopped");
    assert!(tasks_before.iter().all(|name| sim
        .workers
        .iter()
        .all(|worker| worker.spec.zone == "b" || worker.tasks.iter().all(|task| task.name != *name))));
    sim.run(6_000);
    sim.partition_zone("b", false, false);
    sim.run(500);
    sim.controller.settings.peers_unreachable_since = None;
    sim.run(20_000);
    assert_eq!(tasks_in_b(sim), tasks_before, "a task was moved after the partition ended");
}
