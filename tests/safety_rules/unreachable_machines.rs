//! Machines that are silent, hung or reachable in one direction only.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, Simulation, LEASE};

/// One silent machine among others that speak is handed back, and its tasks
/// start elsewhere long before its lease is over.
pub fn a_dead_machine_goes_back(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let n = sim.worker_running("j-1/0").unwrap();
    sim.workers[n].partitioned = true;
    sim.run_until("elsewhere", 14_000, |sim| sim.worker_running("j-1/0").is_some_and(|m| m != n));
}

/// Guard: machines behind a cut are not taken for dead, neither while it
/// lasts, nor when it ends under a new leader and they come back one by one.
pub fn machines_behind_a_cut_are_kept(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 16), 0);
    sim.run(5_000);
    sim.partition_zone("b", true, false);
    sim.run(9_000);
    sim.elect();
    sim.run(12_000);
    sim.partition_zone("b", false, false);
    sim.run(30_000);
    assert!(sim.workers.iter().all(|x| !x.dead), "handed back though alive");
}

/// Guard: a machine whose reports come, but that hears nothing, is noticed: it
/// gets no new work and goes back, whether it never heard anything or stopped
/// hearing later.
pub fn a_machine_that_hears_nothing(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.workers[7].inbound_lost = true;
    sim.elect();
    sim.run(12_000);
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("runs", 12_000, |sim| sim.all_running("j-1", 9));
    sim.run_until("receives nothing from the beginning: handed back", 15_000, |sim| sim.workers[7].dead);
    let n = sim.worker_running("j-1/0").unwrap();
    let lost: Vec<String> = sim.workers[n].tasks.iter().map(|t| t.name.clone()).collect();
    sim.workers[n].inbound_lost = true;
    sim.submit(submission("j-2", "batch", 20), 3_000);
    sim.run_until("all run elsewhere", LEASE + 20_000, |sim| {
        lost.iter().all(|t| sim.worker_running(t).is_some_and(|m| m != n))
    });
    sim.run_until("handed back", 60_000, |sim| sim.workers[n].dead);
    sim.run_until("nothing waits for it", 60_000, |sim| sim.status("j-2") == JobStatus::Done);
}

/// Guard: machines that reach no controller, but answer its calls, took new
/// work in every new incarnation and lost it with the next lease.
pub fn machines_that_reach_nobody_take_nothing_new(sim: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.run(5_000);
    sim.submit(submission("j-1", "service", 4), 0);
    sim.run_until("all run", 20_000, |sim| sim.all_running("j-1", 4));
    // What runs there has them asked, and they answer.
    let unable_to_send: Vec<usize> = (0..8).filter(|&n| !sim.workers[n].tasks.is_empty()).collect();
    unable_to_send.iter().for_each(|&n| sim.workers[n].outbound_lost = true);
    let room: usize = unable_to_send.iter().map(|&n| 4 - sim.workers[n].tasks.len()).sum();
    assert!(room > 0 && unable_to_send.len() <= 4, "{room} places free on {} machines", unable_to_send.len());
    sim.run(10_000);
    sim.submit(submission("j-2", "service", 16), 0);
    sim.run(20_000);
    let occupies_machine = |sim: &Simulation| {
        sim.workers.iter().filter(|x| x.outbound_lost).flat_map(|x| &x.tasks).any(|t| t.name.starts_with("j-2/"))
    };
    for _ in 0..LEASE * 2 / 1_000 {
        assert!(!occupies_machine(sim), "new work on a machine that reaches nobody");
        sim.run(1_000);
    }
    sim.workers.iter_mut().for_each(|x| x.outbound_lost = false);
    sim.run_until("they take work again", 20_000, |sim| sim.all_running("j-2", 16));
}

/// Guard: a sixth of all machines hang for longer than their leases. They go
/// back as soon as they are missed, since others of their zone speak; nothing
/// runs twice when they go on, and no more machines come than went.
pub fn many_machines_hang(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (40, 8_500);
    for n in 0..20 {
        sim.add_worker(["a", "b"][n % 2]);
    }
    sim.elect();
    sim.run(20_000);
    let mut job = submission("j-1", "service", 40);
    job.spread = Some(true);
    sim.submit(job, 0);
    sim.submit(submission("j-2", "batch", 20), 20_000);
    sim.run_until("all run", 20_000, |sim| sim.all_running("j-1", 40));
    let hung: Vec<usize> = (0..24).filter(|&n| !sim.workers[n].tasks.is_empty()).take(4).collect();
    hung.iter().for_each(|&n| sim.workers[n].hung = true);
    let elsewhere = |sim: &Simulation| {
        (0..40).all(|t| sim.worker_running(&format!("j-1/{t}")).is_some_and(|n| !sim.workers[n].hung))
    };
    sim.run_until("replaced before their leases are over", LEASE - 5_000, elsewhere);
    sim.run(LEASE);
    hung.iter().for_each(|&n| sim.workers[n].hung = false);
    sim.run_until("done", 60_000, |sim| sim.status("j-2") == JobStatus::Done);
    assert!(sim.workers.len() <= 24 + 6, "{} machines", sim.workers.len());
}
