//! When dependent jobs start, also where the end of a prerequisite is recorded late.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::{
    helpers::{
        has_begun, is_done, lose_transaction_responses_for_one_second, run_until_the_prerequisite_ended,
        submission_after,
    },
    simulation::{submission, Simulation, SubmissionBuilder},
};

pub fn chain_of_jobs_completes(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 6), 3_000);
    sim.submit(submission_after("j-2", "ensemble", 2, &["j-1"]), 3_000);
    sim.submit(submission_after("j-3", "batch", 3, &["j-2"]), 3_000);
    sim.run_until("done", 90_000, is_done("j-3"));
}

pub fn diamond_waits_for_both_sides(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 2_000);
    sim.submit(submission_after("j-3", "batch", 1, &["j-1"]), 12_000);
    sim.submit(submission_after("j-4", "batch", 1, &["j-2", "j-3"]), 2_000);
    sim.run_until("one side is done", 60_000, is_done("j-2"));
    sim.run(4_000);
    assert!(!has_begun(sim, "j-4"), "the other side isn't done");
    sim.run_until("done", 60_000, is_done("j-4"));
}

pub fn fan_out_and_join_complete(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    let names: Vec<String> = (10..30).map(|n| format!("j-{n}")).collect();
    for n in &names {
        sim.submit(submission_after(n, "batch", 1, &["j-1"]), 1_000);
    }
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    sim.submit(submission_after("j-99", "batch", 1, &all), 1_000);
    sim.run_until("done", 200_000, is_done("j-99"));
}

/// Ids come in no order: the leader reads dependents before what they need.
pub fn dependents_are_read_before_prerequisites(sim: &mut Simulation) {
    sim.stop_leader();
    sim.submit(submission("j-9", "batch", 1), 2_000);
    sim.submit(submission_after("j-5", "batch", 1, &["j-9"]), 2_000);
    sim.submit(submission_after("j-1", "batch", 1, &["j-5", "j-9"]), 2_000);
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-1"));
}

/// Guard: all tasks have ended, but that isn't written: nothing after it starts.
pub fn completion_cannot_be_committed(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    sim.store.conditions.transactions_left = Some(0);
    sim.run(30_000);
    assert!(sim.workers.completed_count() == 2 && sim.status("j-1") == JobStatus::Pending && !has_begun(sim, "j-2"));
    sim.store.conditions.transactions_left = None;
    sim.run_until("done", 60_000, is_done("j-2"));
}

/// The leader dies between the end and its record, or between the record and
/// the start of what waited for it.
pub fn leader_crashes_before_the_completion_is_committed(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    sim.controller.settings.crash_before_transaction = true;
    sim.run_until("dead", 20_000, |sim| !sim.has_leader());
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
}

pub fn leader_crashes_after_the_completion_is_committed(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    sim.controller.settings.crash_after_transaction = true;
    sim.run_until("dead", 20_000, |sim| !sim.has_leader());
    assert!(sim.status("j-1") == JobStatus::Done && !has_begun(sim, "j-2"));
    sim.run(5_000);
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
}

/// Guard: the answer to the end's write is lost, and it is applied late.
pub fn completion_is_committed_late(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    lose_transaction_responses_for_one_second(sim);
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
    sim.run(45_000);
}

/// A job that is submitted when what it needs is over starts at once.
pub fn prerequisite_is_done_at_submission(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 1_000);
    sim.run_until("done", 30_000, is_done("j-1"));
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 1_000);
    sim.run_until("done", 30_000, is_done("j-2"));
}

/// A waiting job takes no part of its team's limit.
pub fn waiting_job_uses_no_quota(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_max = Some(4.0);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 60_000);
    let gpus = |s: Submission| s.with_gpus(4.0).with_cpus(1.0);
    sim.submit(gpus(submission_after("j-2", "batch", 1, &["j-1"])), 1_000);
    sim.submit(gpus(submission("j-3", "batch", 1)), 2_000);
    sim.run_until("done", 30_000, is_done("j-3"));
    let leader = sim.leader();
    assert_eq!(leader.cluster().active_jobs().count(), 1, "only what runs is looked at");
}
