//! Placement: quotas, zones, spread, and the preemption of a whole gang at once.

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// The quota must include assignments whose tasks may still be running. Here a machine's
/// heartbeats are lost and the job is cancelled, but the job's tasks on that machine run on
/// until the worker lease expires.
pub fn quota_includes_tasks_of_an_unreachable_machine(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_max = Some(4.0);
    sim.elect();
    sim.submit(submission("j-1", "service", 2).with_gpus(2.0), 0);
    sim.run_until("both tasks run", 10_000, |sim| {
        sim.worker_running("j-1/1").is_some() && sim.worker_running("j-1/0").is_some()
    });
    let placed_on = sim.worker_running("j-1/0").unwrap();
    sim.workers[placed_on].faults.partitioned = true;
    sim.submit(submission("j-2", "service", 1).with_gpus(2.0), 0);
    sim.run(LEASE_MS / 2);
    assert!(sim.cancel("j-1"));
    sim.run(LEASE_MS + 10_000);
    sim.workers[placed_on].faults.partitioned = false;
    sim.run(20_000);
    assert!(sim.worker_running("j-2/0").is_some());
}

/// An earlier attempt that may still run binds its gang to its zone: until that attempt
/// has ended, no task of the gang may start in another zone.
pub fn gang_stays_in_one_zone_while_an_earlier_attempt_may_run(sim: &mut Simulation) {
    sim.submit(submission("j-1", "ensemble", 2).with_one_zone(true), 0);
    sim.run_until("the gang runs", 10_000, |sim| {
        sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some()
    });
    let zone = sim.workers[sim.worker_running("j-1/0").unwrap()].spec.zone.clone();
    for worker in sim.workers.iter_mut().filter(|worker| worker.spec.zone == zone) {
        worker.faults.partitioned = true;
    }
    sim.elect();
    sim.run(LEASE_MS * 3);
    let placed_on = sim.worker_running("j-1/0").expect("the gang runs again");
    assert_ne!(sim.workers[placed_on].spec.zone, zone);
}

pub fn spread_limits_tasks_per_zone(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 5).with_spread(true), 0);
    sim.run_until("all tasks run", 15_000, |sim| sim.all_running("j-1", 5));
    for n in 0..2 {
        sim.workers[n].terminate();
    }
    sim.elect();
    sim.run(LEASE_MS * 2);
}

/// When a gang is preempted, all of its tasks must be stopped at the same time, with
/// the time to save a checkpoint.
pub fn gang_is_preempted_as_a_whole(sim: &mut Simulation) {
    sim.submit(
        submission("j-1", "ensemble", 4).with_priority("low").with_cpus(8.0).with_checkpoint_s(20.0).with_save_s(4.0),
        0,
    );
    sim.run_until("the gang runs", 15_000, |sim| sim.all_running("j-1", 4));
    sim.submit(submission("j-2", "ensemble", 1).with_priority("high").with_cpus(8.0), 0);
    sim.run_until("the gang is preempted", 10_000, |sim| sim.worker_running("j-2/0").is_some());
    let halts: Vec<_> = sim.workers.halts().iter().filter(|halt| halt.task.starts_with("j-1/")).collect();
    assert_eq!(halts.len(), 4, "not all tasks of the gang were stopped");
    assert!(halts.iter().all(|halt| halt.grace_s >= 4.0), "a task was stopped without the time to save");
    assert!(halts.iter().all(|halt| halt.at < halts[0].at + 4_000), "the tasks were not stopped together");
}

/// Regression test: a gang that must be in one zone was bound to the zone of the
/// lowest-priced machine for its first task, and waited permanently when that zone had
/// too few machines.
pub fn gang_goes_to_the_zone_with_enough_capacity(sim: &mut Simulation) {
    for _ in 0..2 {
        sim.add_worker("b");
    }
    sim.run(5_000);
    sim.submit(submission("j-1", "batch", 24).with_priority("low"), 500_000);
    sim.run_until("all machines are full", 20_000, |sim| sim.task_starts() == 24);
    sim.submit(submission("j-2", "ensemble", 3).with_priority("high").with_cpus(8.0).with_one_zone(true), 0);
    sim.run_until("the gang runs", 15_000, |sim| sim.all_running("j-2", 3));
}
