//! Renting: idempotent requests, and machines in the zones that need them.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation, LEASE};

/// Guard: a rental that went unanswered is asked for again by the same name,
/// and no later leader uses a name of an earlier one.
pub fn rentals_are_never_doubled(sim: &mut Simulation) {
    sim.capacity = 6;
    sim.faults = FaultRates { lost_rental_answer: 100, ..FaultRates::default() };
    sim.elect();
    sim.submit(submission("j-1", "batch", 24), 8_000);
    sim.run(8_000);
    let machines = sim.workers.len();
    sim.elect();
    sim.run(4_000);
    sim.faults = FaultRates::default();
    sim.run_until("done", 200_000, |sim| sim.status("j-1") == JobStatus::Done);
    assert!(machines > 4, "what was rented unheard is used");
    for request in &sim.rental_requests {
        let other_leader = sim.rental_requests.iter().any(|r| r.name == request.name && r.term != request.term);
        assert!(!other_leader, "{} in two leaderships", request.name);
    }
    assert!(sim.rental_requests.len() > sim.rentals.len(), "some were repeated");
}

/// Guard: machines were rented without end in one zone for a gang that must be
/// over two; and half in each for one that must be in one.
pub fn machines_come_in_the_zones_that_need_them(sim: &mut Simulation) {
    sim.capacity = 20;
    for x in sim.workers.iter_mut().filter(|x| x.zone == "b") {
        x.dead = true;
    }
    sim.run(LEASE + 3_000);
    let mut job = submission("j-1", "ensemble", 3);
    (job.cpus, job.spread) = (Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("over two zones", 30_000, |sim| sim.all_running("j-1", 3));
    sim.run(10_000);
    let mut job = submission("j-2", "ensemble", 4);
    (job.cpus, job.one_zone) = (Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("in one", 30_000, |sim| sim.all_running("j-2", 4));
    sim.run(10_000);
    assert!(sim.workers.len() <= 4 + 8, "{} machines", sim.workers.len());
}

/// Guard: when all machines came up ten times as late as they should, each was
/// handed back before it did, and none ever came.
pub fn machines_that_all_come_late(sim: &mut Simulation) {
    (sim.capacity, sim.boot_ms) = (200, 50_000);
    sim.submit(submission("j-1", "service", 28), 0);
    sim.run_until("all run once the machines are there", 150_000, |sim| sim.all_running("j-1", 28));
    let at_once = sim.workers.iter().filter(|worker| !worker.dead).count();
    assert!(at_once <= 4 + 24, "{at_once} machines at once, of which seven are needed");
    // One that never comes up, among others that do in time, goes back.
    sim.boot_ms = 4_000;
    sim.run(130_000);
    let dead = |sim: &Simulation| sim.workers.iter().filter(|worker| worker.dead).count();
    let dead_before = dead(sim);
    sim.submit(submission("j-2", "batch", 60), 40_000);
    sim.run_until("new machines come", 20_000, |sim| sim.rentals.len() > 3);
    sim.run(500);
    let last = sim.workers.len() - 1;
    sim.workers[last].delay_boot();
    sim.run_until("it goes back", 60_000, |sim| sim.workers[last].dead);
    assert_eq!(dead(sim), dead_before + 1, "the others are kept");
}

/// Guard: a page of the cloud's list that was refused had the whole list begin
/// anew. Where rentals use up the cloud's limit, the last pages never came, and
/// what is on them was paid for and unknown.
pub fn a_long_list_comes_to_its_end(sim: &mut Simulation) {
    for n in 0..12 {
        sim.add_worker(["a", "b"][n % 2]);
    }
    (sim.capacity, sim.list_page, sim.refuses_every_second_page) = (1, 3, true);
    // They are known by the list alone, and never report: each is handed back.
    sim.workers[4..].iter_mut().for_each(|worker| worker.partitioned = true);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 1_000);
    let all_went = |sim: &Simulation| sim.workers[4..16].iter().all(|worker| worker.dead);
    sim.run_until("all of them are known, and go back", 90_000, all_went);
    assert!(sim.workers[..4].iter().all(|worker| !worker.dead));
}
