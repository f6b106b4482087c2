//! Cancellations of prerequisites: all dependents are cancelled, whichever controller reads the
//! cancellation and when.

use shedhook::storage::records::JobStatus;

use crate::{
    helpers::{
        has_started, lose_transaction_responses_for_one_second, run_until_the_prerequisite_ended, submission_after,
    },
    simulation::{submission, Simulation},
};

/// Whichever step is cancelled, at whatever time, all later steps must be cancelled too,
/// and the earlier ones must complete.
#[test]
fn cancelling_a_step_cancels_all_later_steps() {
    let names = ["j-1", "j-2", "j-3", "j-4"];
    for step in 0..4 {
        for at in [0, 1_000, 4_000, 9_000, 14_000, 25_000] {
            for change_leader in [false, true] {
                let what = format!("step {step} cancelled after {at} ms, leader change: {change_leader}");
                let mut sim = Simulation::new(step as u64, 4);
                sim.elect();
                sim.submit(submission("j-9", "batch", 1), 2_000);
                sim.submit(submission("j-1", "batch", 3), 2_000);
                for n in 1..4 {
                    sim.submit(submission_after(names[n], "batch", 2, &[names[n - 1]]), 2_000);
                }
                sim.run(at);
                if change_leader {
                    sim.stop_leader();
                }
                let was_cancelled = sim.cancel(names[step]);
                sim.run(500);
                if change_leader {
                    sim.elect();
                }
                sim.run(100_000);
                for (n, name) in names.iter().enumerate() {
                    let expected = if was_cancelled && n >= step { JobStatus::Cancelled } else { JobStatus::Done };
                    assert_eq!(sim.status_reported_to_users(name), Some(expected), "{what}: {name}");
                    assert!(n <= step || !was_cancelled || !has_started(&sim, name), "{what}: {name} started");
                }
                sim.check(&what);
            }
        }
    }
}

/// When a job is cancelled while its completion is written, exactly one of the two takes
/// effect, whichever controller knows of the cancellation.
pub fn cancelled_while_the_completion_is_written(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("the prerequisite runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    // The leader doesn't read the cancellation, and tries to write the completion.
    sim.controller.settings.reads_paused = true;
    assert!(sim.cancel("j-1"));
    sim.run(15_000);
    assert!(sim.status("j-1") == JobStatus::Cancelled && !has_started(sim, "j-2"));
    sim.controller.settings.reads_paused = false;
    sim.run(30_000);
    assert_eq!(sim.status_reported_to_users("j-2"), Some(JobStatus::Cancelled));
}

/// The write of the completion is in flight when the job is cancelled; if the cancellation is
/// accepted, the late write must not replace it.
pub fn late_completion_of_a_cancelled_job(sim: &mut Simulation) {
    run_until_the_prerequisite_ended(sim);
    lose_transaction_responses_for_one_second(sim);
    let was_cancelled = sim.cancel("j-1");
    sim.run(60_000);
    assert_eq!(
        sim.status_reported_to_users("j-2"),
        Some(if was_cancelled { JobStatus::Cancelled } else { JobStatus::Done })
    );
}

pub fn cancelled_while_the_store_is_unavailable(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 2), 0);
    sim.submit(submission("j-2", "batch", 2), 30_000);
    sim.submit(submission_after("j-3", "batch", 1, &["j-2"]), 1_000);
    sim.submit(submission_after("j-4", "batch", 1, &["j-3"]), 1_000);
    sim.run_until("the jobs run", 10_000, |sim| sim.worker_running("j-2/1").is_some());
    sim.store.conditions.transactions_left = Some(0);
    sim.cancel("j-2");
    sim.run(20_000);
    sim.store.conditions.transactions_left = None;
    sim.run(60_000);
    assert_eq!(sim.status_reported_to_users("j-4"), Some(JobStatus::Cancelled));
}

/// A job that names a cancelled prerequisite is accepted nevertheless, and never starts.
pub fn submitted_after_its_prerequisite_was_cancelled(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 60_000);
    sim.submit(submission("j-5", "batch", 1), 1_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 1_000);
    sim.run(3_000);
    sim.cancel("j-1");
    sim.submit(submission_after("j-3", "batch", 1, &["j-1"]), 1_000);
    sim.submit(submission_after("j-4", "batch", 1, &["j-5", "j-2"]), 1_000);
    sim.run(30_000);
    for id in ["j-2", "j-3", "j-4"] {
        assert!(sim.status_reported_to_users(id) == Some(JobStatus::Cancelled) && !has_started(sim, id), "{id}");
        assert_eq!(
            sim.status(id),
            JobStatus::Pending,
            "{id}: only the record of the prerequisite may hold the cancellation"
        );
    }
}
