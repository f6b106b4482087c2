//! Scaling out: idempotent requests, and machines in the zones that need them.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder, LEASE_MS};

/// A scale-out request whose response is lost must be repeated under the same name,
/// and no later leader may use a name of an earlier one.
pub fn scale_out_requests_are_idempotent(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 6;
    sim.network.rates = FaultRates { lost_scale_out_response: 100, ..FaultRates::default() };
    sim.elect();
    sim.submit(submission("j-1", "batch", 24), 8_000);
    sim.run(8_000);
    let machines = sim.workers.len();
    sim.elect();
    sim.run(4_000);
    sim.network.rates = FaultRates::default();
    sim.run_until("the job is done", 200_000, |sim| sim.status("j-1") == JobStatus::Done);
    assert!(machines > 4, "machines whose scale-out response was lost are not used");
    for request in sim.cloud.requests() {
        let other_leader =
            sim.cloud.requests().iter().any(|other| other.name == request.name && other.term != request.term);
        assert!(!other_leader, "{} requested in two terms", request.name);
    }
    assert!(sim.cloud.requests().len() > sim.cloud.fulfilled_requests(), "no request was repeated");
}

/// Regression test: machines were provisioned without end in one zone for a gang that
/// must be spread over two zones; and for a gang that must run in one zone, half of the
/// machines were provisioned in each zone.
pub fn machines_are_provisioned_in_the_zones_that_need_them(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 20;
    for worker in sim.workers.iter_mut().filter(|worker| worker.spec.zone == "b") {
        worker.dead = true;
    }
    sim.run(LEASE_MS + 3_000);
    sim.submit(submission("j-1", "ensemble", 3).with_cpus(8.0).with_spread(true), 0);
    sim.run_until("the gang runs in two zones", 30_000, |sim| sim.all_running("j-1", 3));
    sim.run(10_000);
    sim.submit(submission("j-2", "ensemble", 4).with_cpus(8.0).with_one_zone(true), 0);
    sim.run_until("the gang runs in one zone", 30_000, |sim| sim.all_running("j-2", 4));
    sim.run(10_000);
    assert!(sim.workers.len() <= 4 + 8, "{} machines", sim.workers.len());
}

/// Regression test: when all machines took ten times as long to boot as expected, each
/// was released before it was up, and none ever became available.
pub fn all_machines_boot_late(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 200;
    sim.cloud.settings.boot_ms = 50_000;
    sim.submit(submission("j-1", "service", 28), 0);
    sim.run_until("all tasks run once the machines are up", 150_000, |sim| sim.all_running("j-1", 28));
    let provisioned = sim.workers.iter().filter(|worker| !worker.dead).count();
    assert!(provisioned <= 4 + 24, "{provisioned} machines at once, of which seven are needed");
    // A machine that never comes up, among others that boot in time, is released.
    sim.cloud.settings.boot_ms = 4_000;
    sim.run(130_000);
    let dead = |sim: &Simulation| sim.workers.iter().filter(|worker| worker.dead).count();
    let dead_before = dead(sim);
    sim.submit(submission("j-2", "batch", 60), 40_000);
    sim.run_until("new machines are provisioned", 20_000, |sim| sim.cloud.fulfilled_requests() > 3);
    sim.run(500);
    let last = sim.workers.len() - 1;
    sim.workers[last].prevent_boot();
    sim.run_until("the machine that does not boot is released", 60_000, |sim| sim.workers[last].dead);
    assert_eq!(dead(sim), dead_before + 1, "another machine was released");
}

/// Regression test: when the cloud refused a page of the machine list, the whole list
/// was read again from the start. Where scale-out requests used up the cloud's rate
/// limit, the last pages were never read, and the machines on them were paid for but
/// unknown.
pub fn long_machine_list_is_read_to_its_end(sim: &mut Simulation) {
    sim.add_workers(12);
    sim.cloud.settings.capacity = 1;
    sim.cloud.settings.list_page_size = 3;
    sim.cloud.settings.refuses_every_second_page = true;
    // These machines are known from the list only and never send a heartbeat: each is released.
    sim.workers[4..].iter_mut().for_each(|worker| worker.faults.partitioned = true);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 1_000);
    let all_released = |sim: &Simulation| sim.workers[4..16].iter().all(|worker| worker.dead);
    sim.run_until("all of them are read from the list and released", 90_000, all_released);
    assert!(sim.workers[..4].iter().all(|worker| !worker.dead));
}
