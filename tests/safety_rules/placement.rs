//! Placement: quotas, zones, spread, and the order in which a gang is preempted.

use crate::simulation::{submission, Simulation, LEASE};

/// Guard: the limit counts places whose tasks may still be there.
pub fn quota_while_a_machine_is_silent(sim: &mut Simulation) {
    sim.team_gpus_max = 4.0;
    sim.elect();
    let mut job = submission("j-1", "service", 2);
    job.gpus = Some(2.0);
    sim.submit(job, 0);
    sim.run_until("both run", 10_000, |sim| {
        sim.worker_running("j-1/1").is_some() && sim.worker_running("j-1/0").is_some()
    });
    let n = sim.worker_running("j-1/0").unwrap();
    sim.workers[n].partitioned = true;
    let mut job = submission("j-2", "service", 1);
    job.gpus = Some(2.0);
    sim.submit(job, 0);
    sim.run(LEASE / 2);
    assert!(sim.cancel("j-1"));
    sim.run(LEASE + 10_000);
    sim.workers[n].partitioned = false;
    sim.run(20_000);
    assert!(sim.worker_running("j-2/0").is_some());
}

/// Guard: an attempt that may still run binds its job to its zone.
pub fn same_place_with_an_old_attempt_unheard(sim: &mut Simulation) {
    let mut job = submission("j-1", "ensemble", 2);
    job.one_zone = Some(true);
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some());
    let zone = sim.workers[sim.worker_running("j-1/0").unwrap()].zone.clone();
    for x in sim.workers.iter_mut().filter(|x| x.zone == zone) {
        x.partitioned = true;
    }
    sim.elect();
    sim.run(LEASE * 3);
    let n = sim.worker_running("j-1/0").expect("runs again");
    assert_ne!(sim.workers[n].zone, zone);
}

pub fn scatter_keeps_its_half(sim: &mut Simulation) {
    let mut job = submission("j-1", "service", 5);
    job.spread = Some(true);
    sim.submit(job, 0);
    sim.run_until("all run", 15_000, |sim| sim.all_running("j-1", 5));
    for n in 0..2 {
        sim.workers[n].dead = true;
        sim.workers[n].tasks.clear();
    }
    sim.elect();
    sim.run(LEASE * 2);
}

/// Guard: all tasks of a gang are told to stop at one moment, with the time to save.
pub fn a_gang_stops_in_order(sim: &mut Simulation) {
    let mut job = submission("j-1", "ensemble", 4);
    job.priority = Some("low".into());
    (job.cpus, job.checkpoint_s, job.save_s) = (Some(8.0), Some(20.0), Some(4.0));
    sim.submit(job, 0);
    sim.run_until("runs", 15_000, |sim| sim.all_running("j-1", 4));
    let mut job = submission("j-2", "ensemble", 1);
    (job.priority, job.cpus) = (Some("high".into()), Some(8.0));
    sim.submit(job, 0);
    sim.run_until("preempted", 10_000, |sim| sim.worker_running("j-2/0").is_some());
    let halts: Vec<_> = sim.halts.iter().filter(|h| h.1.starts_with("j-1/")).collect();
    assert_eq!(halts.len(), 4, "a gang is stopped whole");
    assert!(halts.iter().all(|h| h.2 >= 4.0), "with grace to save");
    assert!(halts.iter().all(|h| h.0 < halts[0].0 + 4_000), "together");
}

/// Guard: a gang that must be in one zone went to that of its first task's
/// cheapest machine, and waited for ever when that zone had too few.
pub fn room_for_a_gang_in_the_zone_that_has_enough(sim: &mut Simulation) {
    for _ in 0..2 {
        sim.add_worker("b");
    }
    sim.run(5_000);
    let mut job = submission("j-1", "batch", 24);
    job.priority = Some("low".into());
    sim.submit(job, 500_000);
    sim.run_until("all is full", 20_000, |sim| sim.starts == 24);
    let mut job = submission("j-2", "ensemble", 3);
    (job.priority, job.cpus, job.one_zone) = (Some("high".into()), Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("the gang runs", 15_000, |sim| sim.all_running("j-2", 3));
}
