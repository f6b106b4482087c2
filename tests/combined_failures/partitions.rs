//! Partitions of the network, and zones or controllers that are lost whole.

use shedhook::protocol::jobs::Submission;

use crate::simulation::{submission, Simulation, CANCEL, LEASE};

/// Guard: what is bound to a zone is started in that zone only, also when all that zone's machines are lost at once and
/// others have room.
pub fn zone_bound_jobs_lose_their_machines(sim: &mut Simulation) {
    sim.add_worker("a");
    sim.add_worker("b");
    sim.run(4_000);
    let bound = |mut job: Submission| {
        job.zone = Some("a".into());
        job
    };
    sim.submit(bound(submission("j-1", "batch", 6)), 40_000);
    sim.submit(bound(submission("j-2", "service", 2)), 0);
    let mut job = submission("j-3", "ensemble", 3);
    job.one_zone = Some(true);
    sim.submit(job, 60_000);
    let mut job = submission("j-4", "batch", 4);
    job.one_zone = Some(true);
    sim.submit(job, 50_000);
    sim.run_until("all begin", 20_000, |sim| sim.starts >= 12);
    sim.run(5_000);
    for x in sim.workers.iter_mut().filter(|x| x.zone == "a") {
        x.dead = true;
        x.tasks.clear();
    }
    (sim.capacity, sim.silent_ms) = (6, 8_500);
    sim.elect();
    sim.run(12_000);
    // One of the other zone hangs past its lease meanwhile.
    let n = sim.workers.iter().position(|x| x.zone == "b").unwrap();
    sim.workers[n].hung = true;
    sim.run(LEASE + 5_000);
    sim.heal_faults();
    sim.run_until_settled("bound to a zone", 200_000);
    let new_in_b = sim.workers.iter().skip(6).filter(|x| x.zone == "b").count();
    assert!(new_in_b <= 3, "{new_in_b} machines rented where nothing may run");
}

/// Guard: what another controller may have kept counts for the new leader, and
/// what it may keep ends in time for what is cancelled through the new one.
/// The old controller is cut from the state service and the other controllers,
/// but half of the workers still reach it, and commands reach them.
pub fn a_cut_leader_whom_workers_still_reach(sim: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.submit(submission("j-1", "batch", 8), 400_000);
    sim.submit(submission("j-2", "service", 6), 0);
    sim.run_until("all run", 20_000, |sim| sim.starts == 14);
    let longest_renewal = Simulation::longest_renewal_by_peer();
    sim.workers.iter_mut().step_by(2).for_each(|x| (x.outbound_lost, x.lease_kept_by_peer) = (true, true));
    sim.peers_silent_since = Some(sim.now);
    let cut = sim.now;
    sim.run(4_000);
    sim.elect();
    sim.run(500);
    assert!(sim.cancel("j-1"));
    sim.submit(submission("j-3", "service", 8), 0);
    sim.run(cut + longest_renewal - sim.now);
    sim.workers.iter_mut().for_each(|x| x.lease_kept_by_peer = false);
    let there = sim.assignments("j-2", 6);
    sim.run(LEASE - 3_000);
    assert_eq!(sim.assignments("j-2", 6), there, "none is counted out before the last lease kept");
    sim.run(CANCEL.saturating_sub(sim.now - cut));
    assert!(sim.none_running("j-1", 8));
    sim.workers.iter_mut().for_each(|x| x.outbound_lost = false);
    sim.run(500);
    sim.heal_faults();
    sim.run_until_settled("the old leader's workers", 150_000);
}

/// Guard: a zone's leases are counted out only for time that the controller
/// inside has spoken for. The zone is cut for longer than a lease, its
/// controller keeps some of that; a gang bound to it and a spread service run
/// there, and both lose nothing to the other zone while they may still run.
pub fn a_zone_with_its_controller_is_cut_off(sim: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    let mut job = submission("j-1", "ensemble", 3);
    (job.one_zone, job.cpus) = (Some(true), Some(4.0));
    sim.submit(job, 100_000);
    let mut job = submission("j-2", "service", 6);
    job.spread = Some(true);
    sim.submit(job, 0);
    sim.run_until("all run", 20_000, |sim| sim.starts == 9);
    let zone = sim.workers[sim.worker_running("j-1/0").unwrap()].zone.clone();
    sim.partition_zone(&zone, true, true);
    sim.peers_silent_since = Some(sim.now);
    sim.run(2_000);
    sim.elect();
    sim.run(16_000);
    sim.partition_zone(&zone, true, false);
    sim.run(LEASE + 8_000);
    assert_eq!(sim.starts, 9, "nothing is counted out while nobody spoke for it");
    sim.partition_zone(&zone, false, false);
    sim.run(300);
    sim.peers_silent_since = None;
    sim.heal_faults();
    sim.run_until_settled("the zone is back", 120_000);
    sim.run(LEASE);
}

/// Guard: a new incarnation ends all places of the one before, also those that
/// only the records tell of. All controllers are away for longer than a lease;
/// one machine hangs over it all, one restarts meanwhile.
pub fn all_controllers_are_away_for_longer_than_a_lease(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 5), 20_000);
    sim.submit(submission("j-2", "service", 4), 0);
    let mut job = submission("j-3", "ensemble", 2);
    job.one_zone = Some(true);
    sim.submit(job, 30_000);
    sim.run_until("all run", 20_000, |sim| sim.starts == 11);
    sim.run(3_000);
    sim.leader = None;
    sim.workers[0].hung = true;
    sim.run(10_000);
    assert!(sim.cancel("j-3"));
    let now = sim.now;
    sim.workers[1].restart(now);
    sim.run(LEASE + 5_000);
    assert!(sim.workers.iter().all(|x| x.tasks.is_empty()), "all leases are over");
    sim.workers[0].hung = false;
    sim.elect();
    sim.run_until_settled("all are back", 90_000);
    assert!(sim.none_running("j-3", 2));
}
