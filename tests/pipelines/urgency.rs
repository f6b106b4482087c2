//! Scheduling order, scale-out and preemption: the priority and deadline that a job inherits
//! from its dependents, and the moment from which its wait is counted.

use shedhook::{
    protocol::jobs::{Priority, Submission},
    storage::records::{JobRecord, JobStatus},
};

use crate::{
    helpers::{all_tasks_run, has_started, is_done, submission_after},
    simulation::{submission, Simulation, SubmissionBuilder},
};

/// The record of a completion holds its wall-clock time, so that a later leader counts the
/// wait of dependents from the same moment.
#[test]
fn wait_is_counted_from_the_completion_of_the_last_prerequisite() {
    let mut sim = Simulation::new(5, 4);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 40_000);
    sim.submit(submission_after("j-2", "service", 1, &["j-1"]), 0);
    sim.run_until("j-1 is done", 60_000, is_done("j-1"));
    sim.run(10_000);
    let record = job_record(&sim, "j-1");
    assert!(record.at_ms > 40_000 && record.at_ms < sim.now(), "{}", record.at_ms);
    for _ in 0..2 {
        let leader = sim.leader();
        let job = leader.cluster().active_jobs().find(|job| &*job.id == "j-2").unwrap();
        assert_eq!(job.wait.ready_since, record.at_ms as i64);
        sim.elect();
    }
}

/// The leader raises the priority of a running job when a more urgent dependent is submitted.
#[test]
fn running_job_inherits_the_priority_of_a_new_dependent() {
    let mut sim = Simulation::new(1, 4);
    sim.elect();
    sim.submit(submission("j-1", "batch", 4).with_priority("low"), 20_000);
    sim.run_until("all tasks run", 10_000, |sim| sim.worker_running("j-1/3").is_some());
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]).with_priority("high"), 1_000);
    sim.run(500);
    let leader = sim.leader();
    let job = leader.cluster().active_jobs().find(|job| &*job.id == "j-1").unwrap();
    assert_eq!(job.spec.priority, Priority::High);
    sim.run_until("j-2 is done", 90_000, is_done("j-2"));
    // Resources must be subtracted under the same priority under which they were added.
    let leader = sim.leader();
    for host in &leader.cluster().snapshot().hosts {
        assert!(
            host.used_by_priority.iter().all(|r| !r.is_nonzero()) && !host.stopping.is_nonzero(),
            "resources are left over on a machine"
        );
    }
    sim.check("running job inherits the priority of a dependent");
}

/// Returns a submission whose tasks each take a whole machine.
fn whole_machine(id: &str, kind: &str, tasks: u32, priority: &str, prereqs: &[&str]) -> Submission {
    submission_after(id, kind, tasks, prereqs).with_cpus(8.0).with_priority(priority)
}

fn of_team_blue(job: Submission) -> Submission {
    job.with_team("blue")
}

fn was_stopped(sim: &Simulation, id: &str) -> bool {
    sim.workers.halts().iter().any(|halt| halt.task.starts_with(&format!("{id}/")))
}

fn job_record(sim: &Simulation, id: &str) -> JobRecord {
    sim.job_record(id)
}

/// A job that waited long for its prerequisite must not be treated as starved when it
/// becomes ready; it goes behind jobs of a higher priority.
pub fn scheduling_order_counts_from_the_last_prerequisite(sim: &mut Simulation) {
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "normal", &[]), 200_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.task_starts() == 4);
    sim.submit(whole_machine("j-2", "batch", 1, "low", &["j-1"]), 1_000);
    sim.run(180_000);
    sim.submit(whole_machine("j-3", "batch", 3, "normal", &[]), 20_000);
    sim.run_until("the prerequisite is done", 60_000, is_done("j-1"));
    sim.run_until("the normal job's tasks have ended", 120_000, |sim| {
        let ended = (0..3).all(|n| sim.workers.has_completed(&format!("j-3/{n}")));
        assert!(
            ended || !has_started(sim, "j-2"),
            "the low-priority job was ordered as if it had waited since submission"
        );
        ended
    });
    sim.run_until("the low-priority job is done", 60_000, is_done("j-2"));
}

/// Much more expensive machines are provisioned only for jobs that have waited long enough;
/// the time that a job waits for its prerequisite must not be included.
pub fn scale_out_urgency_counts_from_the_last_prerequisite(sim: &mut Simulation) {
    const MIN_WAIT_FOR_EXPENSIVE_MS: u64 = 48_000;
    // On demand, a machine costs 50 times as much as a spot machine; for a job of low priority,
    // that price is paid after a wait of 48.5 s.
    sim.cloud.settings.spot_price = 0.02;
    sim.elect();
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    sim.cloud.settings.capacity = 1;
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 100_000);
    sim.run_until("the prerequisite runs", 60_000, all_tasks_run("j-1", 1));
    sim.cloud.settings.capacity = 0;
    sim.submit(whole_machine("j-2", "ensemble", 2, "low", &["j-1"]), 1_000);
    sim.run_until("the prerequisite is done", 130_000, is_done("j-1"));
    sim.cloud.clear_requests();
    let ready_ms = job_record(sim, "j-1").at_ms;
    sim.run(MIN_WAIT_FOR_EXPENSIVE_MS / 2);
    assert!(sim.cloud.requests().iter().any(|request| request.spot), "low-priced machines were not requested at once");
    sim.run_until("expensive machines are requested", 60_000, |sim| {
        sim.cloud.requests().iter().any(|request| !request.spot)
    });
    let on_demand = sim.cloud.requests().iter().find(|request| !request.spot).unwrap();
    assert!(
        on_demand.at >= ready_ms + MIN_WAIT_FOR_EXPENSIVE_MS,
        "requested {} ms after the job was ready",
        on_demand.at - ready_ms
    );
    sim.cloud.settings.capacity = 2;
    sim.run_until("j-2 is done", 120_000, is_done("j-2"));
}

/// A job that waits for a prerequisite must not cause scale-out requests, and no task may be
/// stopped for it.
pub fn waiting_job_causes_no_scale_out_and_no_preemption(sim: &mut Simulation) {
    sim.submit(whole_machine("j-0", "service", 3, "low", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "normal", &[]), 60_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.task_starts() == 4);
    sim.cloud.settings.capacity = 1;
    sim.submit(whole_machine("j-2", "ensemble", 3, "high", &["j-1"]), 2_000);
    sim.run(45_000);
    assert_eq!(sim.status("j-1"), JobStatus::Pending);
    assert_eq!(
        (sim.cloud.requests().len(), sim.workers.halts().len(), sim.task_starts()),
        (0, 0, 4),
        "requests, stopped tasks and starts while the job waits"
    );
    sim.run_until("j-2 is done", 60_000, is_done("j-2"));
    assert!(was_stopped(sim, "j-0"), "the job did not preempt once it was ready");
}

/// A queued job inherits the priority of a dependent that is submitted later.
pub fn late_urgent_dependent_raises_the_priority_of_a_queued_job(sim: &mut Simulation) {
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-0", "batch", 1, "high", &[]), 30_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.task_starts() == 4);
    sim.submit(of_team_blue(whole_machine("j-5", "batch", 1, "normal", &[])), 5_000);
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 5_000);
    sim.run(5_000);
    let last = whole_machine("j-2", "batch", 1, "high", &["j-1"]);
    sim.submit(last.with_deadline_s(300.0), 1_000);
    sim.run_until("the job with inherited priority runs", 60_000, all_tasks_run("j-1", 1));
    assert!(!has_started(sim, "j-5"), "a normal-priority job started before the job with inherited priority");
    sim.run_until("the last job is done", 60_000, is_done("j-2"));
    sim.run_until("the other team's job is done", 60_000, is_done("j-5"));
}

/// A normal-priority job of another team could preempt a running low-priority job. Once the
/// running job has inherited the priority of a later dependent, it must not be preempted.
pub fn late_urgent_dependent_protects_a_running_job(sim: &mut Simulation) {
    const LONGER_THAN_PREEMPTION_DELAY_MS: u64 = 30_000;
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 60_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.task_starts() == 4);
    let last = whole_machine("j-2", "batch", 1, "high", &["j-1"]);
    sim.submit(last.with_deadline_s(300.0), 1_000);
    sim.run(1_000);
    sim.submit(of_team_blue(whole_machine("j-5", "batch", 1, "normal", &[])), 5_000);
    sim.run(LONGER_THAN_PREEMPTION_DELAY_MS);
    assert!(all_tasks_run("j-1", 1)(sim) && !was_stopped(sim, "j-1"), "preempted by a normal-priority job");
    sim.run_until("the last job is done", 90_000, is_done("j-2"));
    sim.run_until("the other team's job is done", 60_000, is_done("j-5"));
    assert!(!was_stopped(sim, "j-1"));
}

/// A job with inherited priority must not exceed its own team's quota, and must not be
/// included in the quota of its dependent's team.
pub fn quotas_apply_to_each_jobs_own_team(sim: &mut Simulation) {
    let gpus = |job: Submission| job.with_gpus(2.0).with_cpus(1.0);
    let high = |job: Submission| job.with_priority("high");
    sim.controller.settings.quotas.red_gpus_max = Some(2.0);
    sim.controller.settings.quotas.blue_gpus_max = Some(2.0);
    sim.elect();
    sim.submit(gpus(submission("j-0", "batch", 1)), 30_000);
    sim.run_until("the team is at its quota", 20_000, all_tasks_run("j-0", 1));
    sim.submit(gpus(submission("j-1", "batch", 1)), 20_000);
    sim.submit(of_team_blue(high(gpus(submission_after("j-2", "batch", 1, &["j-1"])))), 1_000);
    sim.run(15_000);
    assert!(
        !has_started(sim, "j-1") && all_tasks_run("j-0", 1)(sim),
        "the inherited priority exceeded the team's own quota"
    );
    sim.run_until("the job with inherited priority runs", 60_000, all_tasks_run("j-1", 1));
    sim.submit(of_team_blue(gpus(submission("j-5", "batch", 1))), 2_000);
    sim.run_until("a job within the other team's quota runs", 10_000, all_tasks_run("j-5", 1));
    assert!(all_tasks_run("j-1", 1)(sim), "the job with inherited priority was stopped for the other team");
    sim.run_until("the last job is done", 90_000, is_done("j-2"));
}
