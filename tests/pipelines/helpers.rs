//! Dependent submissions, and what several cases ask of the simulation.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder};

/// A submission that waits for its prerequisites.
pub fn submission_after(id: &str, kind: &str, tasks: u32, prereqs: &[&str]) -> Submission {
    submission(id, kind, tasks).with_prereqs(prereqs)
}

pub fn is_done(id: &'static str) -> impl Fn(&Simulation) -> bool {
    move |sim| sim.status(id) == JobStatus::Done
}

/// Whether a task of this job ever ended or is on a worker.
pub fn has_begun(sim: &Simulation, id: &str) -> bool {
    let of = |t: &str| t.split('/').next() == Some(id);
    sim.workers.completed_tasks().any(|t| of(t))
        || sim.workers.iter().any(|worker| worker.tasks.iter().any(|t| of(&t.name)))
}

pub fn all_run(id: &'static str, tasks: u32) -> impl Fn(&Simulation) -> bool {
    move |sim| sim.all_running(id, tasks)
}

/// Submits "j-1" and "j-2", which depends on it, and runs until the task of
/// "j-1" has ended; its end isn't recorded yet.
pub fn run_until_the_prerequisite_ended(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("ended", 20_000, |sim| sim.workers.completed_count() > 0);
}

/// No transaction of the next second is answered: half of them are applied at
/// once, half later.
pub fn lose_transaction_responses_for_one_second(sim: &mut Simulation) {
    sim.network.rates = FaultRates { unanswered_transaction: 100, ..FaultRates::default() };
    sim.run(1_000);
    sim.network.rates = FaultRates::default();
}
