//! Workers' leases and incarnations: when a silent worker's tasks may start elsewhere.

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// Guard: an incarnation learned from a probe or a command's answer has a lease of
/// its own, counted from when it was seen, though no heartbeat of it came.
pub fn new_incarnation_seen_by_a_probe(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/8").is_some());
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.faults.outbound_lost = true);
    sim.run(LEASE_MS * 3);
    sim.workers.iter_mut().for_each(|worker| worker.faults.outbound_lost = false);
    sim.run_until("runs", 40_000, |sim| sim.worker_running("j-1/8").is_some());
}

pub fn partitioned_worker_keeps_its_lease(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let placed_on = sim.worker_running("j-1/0").unwrap();
    sim.workers[placed_on].faults.partitioned = true;
    // Guard: silence proves nothing before the lease, counted from the last 200.
    sim.run(LEASE_MS - 2_000);
    assert_eq!(sim.worker_running("j-1/0"), Some(placed_on));
    sim.run_until("elsewhere", 20_000, |sim| sim.worker_running("j-1/0").is_some_and(|worker| worker != placed_on));
    sim.workers[placed_on].faults.partitioned = false;
    sim.run(60_000);
}

/// A worker comes back with a new incarnation before anybody missed it.
pub fn worker_restarts_at_once(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 4), 0);
    sim.submit(submission("j-2", "ensemble", 3).with_one_zone(true), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/3").is_some() && sim.worker_running("j-2/2").is_some());
    for n in 0..4 {
        sim.restart_worker(n);
        if n == 2 {
            sim.elect();
        }
        sim.run(700);
    }
    sim.run_until("all run again", 40_000, |sim| sim.all_running("j-1", 4) && sim.all_running("j-2", 3));
}

/// Guard: behind a partition, another controller keeps the workers' leases for a
/// while. A leader outside, new since, counts none of them out on its own clock,
/// nor once the partition is over before the last lease kept has ended; and what is
/// cancelled meanwhile is gone in time.
pub fn leases_renewed_behind_a_partition(sim: &mut Simulation) {
    for zone in ["b", "b", "a", "a", "a"] {
        sim.add_worker(zone);
    }
    sim.submit(submission("j-1", "service", 20), 0);
    sim.submit(submission("j-2", "service", 4), 0);
    sim.run_until("all run", 20_000, |sim| sim.starts() == 24);
    let in_b = |sim: &Simulation| -> Vec<String> {
        let workers = sim.workers.iter().filter(|worker| worker.spec.zone == "b");
        workers
            .flat_map(|worker| worker.tasks.iter().map(|task| task.name.clone()))
            .filter(|task| task.starts_with("j-1/"))
            .collect()
    };
    let there = in_b(sim);
    assert!(there.len() > 4);
    let longest_renewal = Simulation::longest_renewal_by_peer();
    sim.partition_zone("b", true, true);
    sim.controller.settings.peers_unreachable_since = Some(sim.now());
    // The leader was inside; another one is elected, and a user cancels.
    sim.run(3_000);
    sim.elect();
    sim.submit(submission("j-3", "service", 8), 0);
    assert!(sim.cancel("j-2"));
    sim.run(longest_renewal - 3_000);
    sim.partition_zone("b", true, false);
    // Leases counted from the election on are over now; those kept are not.
    sim.run(LEASE_MS + 2_500 - (longest_renewal - 3_000));
    assert_eq!(in_b(sim), there, "they run on");
    assert!(there.iter().all(|name| sim
        .workers
        .iter()
        .all(|worker| worker.spec.zone == "b" || worker.tasks.iter().all(|task| task.name != *name))));
    sim.run(6_000);
    sim.partition_zone("b", false, false);
    sim.run(500);
    sim.controller.settings.peers_unreachable_since = None;
    sim.run(20_000);
    assert_eq!(in_b(sim), there, "and are there when the cut is over");
}
