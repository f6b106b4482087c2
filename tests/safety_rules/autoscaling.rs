//! Scaling out: idempotent requests, and machines in the zones that need them.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder, LEASE_MS};

/// Guard: a scale-out request that went unanswered is asked for again by the same name,
/// and no later leader uses a name of an earlier one.
pub fn scale_out_requests_are_idempotent(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 6;
    sim.network.rates = FaultRates { lost_rental_answer: 100, ..FaultRates::default() };
    sim.elect();
    sim.submit(submission("j-1", "batch", 24), 8_000);
    sim.run(8_000);
    let machines = sim.workers.len();
    sim.elect();
    sim.run(4_000);
    sim.network.rates = FaultRates::default();
    sim.run_until("done", 200_000, |sim| sim.status("j-1") == JobStatus::Done);
    assert!(machines > 4, "what was rented unheard is used");
    for request in sim.cloud.requests() {
        let other_leader =
            sim.cloud.requests().iter().any(|other| other.name == request.name && other.term != request.term);
        assert!(!other_leader, "{} in two leaderships", request.name);
    }
    assert!(sim.cloud.requests().len() > sim.cloud.granted(), "some were repeated");
}

/// Guard: machines were rented without end in one zone for a gang that must be
/// over two; and half in each for one that must be in one.
pub fn machines_are_provisioned_in_the_zones_that_need_them(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 20;
    for worker in sim.workers.iter_mut().filter(|worker| worker.spec.zone == "b") {
        worker.dead = true;
    }
    sim.run(LEASE_MS + 3_000);
    sim.submit(submission("j-1", "ensemble", 3).with_cpus(8.0).with_spread(true), 0);
    sim.run_until("over two zones", 30_000, |sim| sim.all_running("j-1", 3));
    sim.run(10_000);
    sim.submit(submission("j-2", "ensemble", 4).with_cpus(8.0).with_one_zone(true), 0);
    sim.run_until("in one", 30_000, |sim| sim.all_running("j-2", 4));
    sim.run(10_000);
    assert!(sim.workers.len() <= 4 + 8, "{} machines", sim.workers.len());
}

/// Guard: when all machines came up ten times as late as they should, each was
/// released before it did, and none ever came.
pub fn all_machines_boot_late(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 200;
    sim.cloud.settings.boot_ms = 50_000;
    sim.submit(submission("j-1", "service", 28), 0);
    sim.run_until("all run once the machines are there", 150_000, |sim| sim.all_running("j-1", 28));
    let at_once = sim.workers.iter().filter(|worker| !worker.dead).count();
    assert!(at_once <= 4 + 24, "{at_once} machines at once, of which seven are needed");
    // One that never comes up, among others that do in time, is released.
    sim.cloud.settings.boot_ms = 4_000;
    sim.run(130_000);
    let dead = |sim: &Simulation| sim.workers.iter().filter(|worker| worker.dead).count();
    let dead_before = dead(sim);
    sim.submit(submission("j-2", "batch", 60), 40_000);
    sim.run_until("new machines come", 20_000, |sim| sim.cloud.granted() > 3);
    sim.run(500);
    let last = sim.workers.len() - 1;
    sim.workers[last].delay_boot();
    sim.run_until("it goes back", 60_000, |sim| sim.workers[last].dead);
    assert_eq!(dead(sim), dead_before + 1, "the others are kept");
}

/// Guard: a page of the cloud's list that was refused had the whole list begin
/// anew. Where rentals use up the cloud's limit, the last pages never came, and
/// what is on them was paid for and unknown.
pub fn long_machine_list_is_read_to_its_end(sim: &mut Simulation) {
    sim.add_workers(12);
    sim.cloud.settings.capacity = 1;
    sim.cloud.settings.list_page = 3;
    sim.cloud.settings.refuses_every_second_page = true;
    // They are known by the list alone, and never send a heartbeat: each is released.
    sim.workers[4..].iter_mut().for_each(|worker| worker.faults.partitioned = true);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 1_000);
    let all_went = |sim: &Simulation| sim.workers[4..16].iter().all(|worker| worker.dead);
    sim.run_until("all of them are known, and go back", 90_000, all_went);
    assert!(sim.workers[..4].iter().all(|worker| !worker.dead));
}
