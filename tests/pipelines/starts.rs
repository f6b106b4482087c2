//! When dependent jobs start, also if the completion of a prerequisite is recorded late.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::{
    helpers::{
        has_started, is_done, lose_transaction_responses_for_one_second, run_until_the_prerequisite_ended,
        submission_after,
    },
    simulation::{submission, Simulation, SubmissionBuilder},
};

pub fn chain_of_jobs_completes(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 6), 3_000);
    sim.submit(submission_after("j-2", "ensemble", 2, &["j-1"]), 3_000);
    sim.submit(submission_after("j-3", "batch", 3, &["j-2"]), 3_000);
    sim.run_until("j-3 is done", 90_000, is_done("j-3"));
}

pub fn diamond_waits_for_both_sides(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 2_000);
    sim.submit(submission_after("j-3", "batch", 1, &["j-1"]), 12_000);
    sim.submit(submission_after("j-4", "batch", 1, &["j-2", "j-3"]), 2_000);
    sim.run_until("one side is done", 60_000, is_done("j-2"));
    sim.run(4_000);
    assert!(!has_started(sim, "j-4"), "started although the other side isn't done");
    sim.run_until("j-4 is done", 60_000, is_done("j-4"));
}

pub fn fan_out_and_join_complete(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    let names: Vec<String> = (10..30).map(|n| format!("j-{n}")).collect();
    for n in &names {
        sim.submit(submission_after(n, "batch", 1, &["j-1"]), 1_000);
    }
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    sim.submit(submission_after("j-99", "batch", 1, &all), 1_000);
    sim.run_until("j-99 is done", 200_000, is_done("j-99"));
}

/// Ids are not in the order of dependencies, so the leader reads dependents before their
/// prerequisites.
pub fn dependents_are_read_before_prerequisites(sim: &mut Simulation) {
    sim.stop_leader();
    sim.submit(submission("j-9", "batch", 1), 2_000);
    sim.submit(submission_after("j-5", "batch", 1, &["j-9"]), 2_000);
    sim.submit(submission_after("j-1", "batch", 1, &["j-5", "j-9"]), 2_000);
    sim.elect();
    sim.run_until("j-1 is done", 60_000, is_done("j-1"));
}

/// All tasks of the prerequisite have ended, but its completion isn't written: no dependent
/// may start.
pub fn completion_cannot_be_committed(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("the prerequisite runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    sim.store.conditions.transactions_left = Some(0);
    sim.run(30_000);
    assert!(sim.workers.completed_count() == 2 && sim.status("j-1") == JobStatus::Pending && !has_started(sim, "j-2"));
    sim.store.conditions.transactions_left = None;
    sim.run_until("j-2 is done", 60_000, is_done("j-2"));
}

/// The leader crashes between the exit of the last task and the record of the completion;
/// the next case crashes it between that record and the start of the dependent.
pub fn leader_crashes_before_the_completion_is_committed(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    sim.controller.settings.crash_before_transaction = true;
    sim.run_until("the leader has crashed", 20_000, |sim| !sim.has_leader());
    sim.elect();
    sim.run_until("j-2 is done", 60_000, is_done("j-2"));
}

pub fn leader_crashes_after_the_completion_is_committed(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    sim.controller.settings.crash_after_transaction = true;
    sim.run_until("the leader has crashed", 20_000, |sim| !sim.has_leader());
    assert!(sim.status("j-1") == JobStatus::Done && !has_started(sim, "j-2"));
    sim.run(5_000);
    sim.elect();
    sim.run_until("j-2 is done", 60_000, is_done("j-2"));
}

/// The response to the write of the completion is lost, and the write is applied late.
pub fn completion_is_committed_late(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    lose_transaction_responses_for_one_second(sim);
    sim.elect();
    sim.run_until("j-2 is done", 60_000, is_done("j-2"));
    sim.run(45_000);
}

/// A job that is submitted once its prerequisites are done starts at once.
pub fn prerequisite_is_done_at_submission(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 1_000);
    sim.run_until("j-1 is done", 30_000, is_done("j-1"));
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 1_000);
    sim.run_until("j-2 is done", 30_000, is_done("j-2"));
}

/// A job that waits for a prerequisite uses none of its team's quota.
pub fn waiting_job_uses_no_quota(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_max = Some(4.0);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 60_000);
    let gpus = |submission: Submission| submission.with_gpus(4.0).with_cpus(1.0);
    sim.submit(gpus(submission_after("j-2", "batch", 1, &["j-1"])), 1_000);
    sim.submit(gpus(submission("j-3", "batch", 1)), 2_000);
    sim.run_until("j-3 is done", 30_000, is_done("j-3"));
    let leader = sim.leader();
    assert_eq!(leader.cluster().active_jobs().count(), 1, "the waiting job is among the active jobs");
}
