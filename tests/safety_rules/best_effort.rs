//! Teams without a guarantee (best effort): they get the capacity that other teams leave.

use shedhook::storage::records::JobStatus;

use crate::simulation::{
    cloud::{LOW_PRICED_MACHINE_TYPE, MACHINE_TYPE},
    submission, Simulation, SubmissionBuilder,
};

/// Regression test: every available machine was provisioned, at any price, for a team
/// without a guarantee once its tasks had waited; and its tasks, submitted first, were
/// placed before those of teams that have a guarantee.
pub fn best_effort_team_gets_what_others_leave(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_guaranteed = Some(4.0);
    sim.cloud.settings.spot_price = 0.1;
    sim.cloud.settings.capacity = 40;
    sim.cloud.settings.spot_capacity = 2;
    sim.elect();
    sim.run(5_000);
    sim.submit(submission("j-1", "batch", 400).with_team("blue").with_priority("low"), 15_000);
    sim.run_until("the best-effort job starts", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.run(90_000);
    let on_demand = |sim: &Simulation| sim.cloud.requests().iter().filter(|request| !request.spot).count();
    assert_eq!(on_demand(sim), 0, "on-demand machines were provisioned at ten times the price");
    assert_eq!(sim.cloud.settings.spot_capacity, 0, "not all low-priced machines were provisioned");
    sim.cloud.settings.capacity = 0;
    sim.submit(submission("j-2", "batch", 24).with_priority("low"), 5_000);
    sim.run_until("the job of a team with a guarantee is done", 60_000, |sim| sim.status("j-2") == JobStatus::Done);
    assert_eq!(sim.status("j-1"), JobStatus::Pending);
    sim.run_until("the best-effort job is done", 400_000, |sim| sim.status("j-1") == JobStatus::Done);
}

/// Regression test: the tasks of a team without a guarantee, which run for minutes, took all
/// capacity as it became free. Other teams' tasks of the same priority waited for their end.
pub fn best_effort_tasks_leave_capacity_for_other_teams(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_guaranteed = Some(4.0);
    sim.add_workers(296);
    sim.elect();
    sim.run(5_000);
    let submit = |sim: &mut Simulation, id: &str, team: &str, tasks: u32, run_ms| {
        sim.submit(submission(id, "batch", tasks).with_team(team).with_priority("low"), run_ms);
    };
    submit(sim, "j-100", "red", 64, 10_000);
    sim.run(10_000);
    submit(sim, "j-1", "blue", 4_000, 150_000);
    for n in 0..8 {
        let id = format!("j-20{n}");
        submit(sim, &id, "red", 64, 10_000);
        sim.run_until("the job of another team starts at once", 8_000, |sim| {
            sim.worker_running(&format!("{id}/0")).is_some()
        });
        sim.run(10_000);
    }
    let running = |sim: &Simulation| (0..4_000).filter(|n| sim.worker_running(&format!("j-1/{n}")).is_some()).count();
    assert!(running(sim) >= 640, "{} best-effort tasks run in 1,200 slots of which other teams use 64", running(sim));
    sim.run(30_000);
    sim.run_until("the capacity that other teams leave is used", 150_000, |sim| running(sim) >= 1_120);
}

/// Regression test: expensive machines whose GPUs were unused were kept for as long as a
/// team without a guarantee had tasks for their CPUs.
pub fn expensive_machines_are_not_kept_for_best_effort(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_guaranteed = Some(4.0);
    sim.cloud.settings.offers_low_priced_type = true;
    sim.elect();
    sim.run(5_000);
    sim.submit(
        submission("j-1", "batch", 30).with_team("blue").with_priority("low").with_checkpoint_s(10.0).with_save_s(3.0),
        60_000,
    );
    sim.run_until("the job runs on the existing machines", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.cloud.settings.capacity = 20;
    let only_expensive_machines_are_released =
        |sim: &Simulation| sim.workers.iter().all(|worker| worker.dead == (worker.spec.machine_type == MACHINE_TYPE));
    sim.run_until("the expensive machines are released", 60_000, only_expensive_machines_are_released);
    assert!(
        sim.workers.halts().iter().all(|halt| halt.grace_s >= 3.0),
        "a task was stopped without the time to save a checkpoint"
    );
    sim.run_until("the job is done on low-priced machines", 200_000, |sim| sim.status("j-1") == JobStatus::Done);
    assert!(sim.workers.iter().any(|worker| worker.spec.machine_type == LOW_PRICED_MACHINE_TYPE));
}
