//! Cancellations in dependency graphs: fan-outs, chains and diamonds.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::{
    helpers::{all_tasks_run, has_started, is_done, submission_after},
    simulation::{submission, Simulation, SubmissionBuilder},
};

/// Cancels the root "j-1", which can't be placed. All dependents must be reported as
/// cancelled, by the same and by the next leader, and only the record of the root may be
/// written.
fn check_cancellation_of_the_root(sim: &mut Simulation, dependents: &[String]) {
    sim.run(5_000);
    let before = sim.store.revision();
    assert!(sim.cancel("j-1"));
    sim.run(30_000);
    assert_eq!(sim.store.revision(), before.next(), "a cancellation took more than one write");
    let all_cancelled =
        |sim: &Simulation| dependents.iter().all(|id| sim.status_reported_to_users(id) == Some(JobStatus::Cancelled));
    assert!(all_cancelled(sim), "a dependent is not cancelled under the same leader");
    sim.elect();
    let elected = sim.store.revision();
    sim.run(30_000);
    assert!(all_cancelled(sim), "a dependent is not cancelled under the next leader");
    assert_eq!(sim.store.revision(), elected, "the next leader wrote a record");
    assert!(dependents.iter().all(|id| !has_started(sim, id)));
    // The final check of a case fails if no task ever started, so an unrelated job is run.
    sim.submit(submission("j-9000", "batch", 1), 1_000);
    sim.run_until("an unrelated job is done", 30_000, is_done("j-9000"));
}

fn unplaceable_job(id: &str) -> Submission {
    submission(id, "batch", 1).with_zone("nowhere")
}

pub fn wide_fan_out_cancelled_at_its_root(sim: &mut Simulation) {
    const DEPENDENTS: u32 = 200;
    sim.submit(unplaceable_job("j-1"), 1_000);
    let names: Vec<String> = (0..DEPENDENTS).map(|n| format!("j-{}", 100 + n)).collect();
    for id in &names {
        sim.submit(submission_after(id, "batch", 1, &["j-1"]), 1_000);
    }
    check_cancellation_of_the_root(sim, &names);
}

pub fn deep_chain_cancelled_at_its_root(sim: &mut Simulation) {
    const DEPTH: u32 = 60;
    sim.submit(unplaceable_job("j-1"), 1_000);
    let names: Vec<String> = (0..DEPTH).map(|n| format!("j-{}", 100 + n)).collect();
    let mut previous = "j-1";
    for id in &names {
        sim.submit(submission_after(id, "batch", 1, &[previous]), 1_000);
        previous = id;
    }
    check_cancellation_of_the_root(sim, &names);
}

pub fn diamond_cancelled_at_one_side(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 30_000);
    sim.submit(submission_after("j-3", "batch", 1, &["j-1"]), 5_000);
    sim.submit(submission_after("j-4", "batch", 1, &["j-2", "j-3"]), 1_000);
    sim.run_until("both sides run", 30_000, |sim| all_tasks_run("j-2", 1)(sim) && all_tasks_run("j-3", 1)(sim));
    assert!(sim.cancel("j-2"));
    sim.run_until("the other side is done", 30_000, is_done("j-3"));
    sim.run(30_000);
    assert_eq!(sim.status_reported_to_users("j-4"), Some(JobStatus::Cancelled));
    assert_eq!(sim.status_reported_to_users("j-1"), Some(JobStatus::Done));
    assert!(!has_started(sim, "j-4"));
    sim.elect();
    sim.run(30_000);
    assert_eq!(sim.status_reported_to_users("j-4"), Some(JobStatus::Cancelled), "under the next leader");
    assert!(!has_started(sim, "j-4"));
}

pub fn one_prerequisite_done_before_and_one_cancelled_after(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 1_000);
    sim.run_until("the first prerequisite is done", 30_000, is_done("j-1"));
    sim.submit(submission("j-2", "batch", 1), 60_000);
    sim.run_until("the second prerequisite runs", 30_000, all_tasks_run("j-2", 1));
    sim.submit(submission_after("j-3", "batch", 1, &["j-1", "j-2"]), 1_000);
    sim.run(10_000);
    assert!(sim.status_reported_to_users("j-3") == Some(JobStatus::Pending) && !has_started(sim, "j-3"));
    assert!(sim.cancel("j-2"));
    sim.run(30_000);
    for leader in ["the same leader", "the next leader"] {
        assert_eq!(sim.status_reported_to_users("j-3"), Some(JobStatus::Cancelled), "{leader}");
        assert_eq!(sim.status_reported_to_users("j-1"), Some(JobStatus::Done), "{leader}");
        assert!(!has_started(sim, "j-3"), "{leader}");
        sim.elect();
        sim.run(10_000);
    }
}
