//! Dependent submissions, and conditions and steps that several cases share.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder};

/// Returns a submission that waits for its prerequisites.
pub fn submission_after(id: &str, kind: &str, tasks: u32, prereqs: &[&str]) -> Submission {
    submission(id, kind, tasks).with_prereqs(prereqs)
}

pub fn is_done(id: &'static str) -> impl Fn(&Simulation) -> bool {
    move |sim| sim.status(id) == JobStatus::Done
}

/// Reports whether a task of this job has ended or is on a worker.
pub fn has_started(sim: &Simulation, id: &str) -> bool {
    let is_of_job = |task: &str| task.split('/').next() == Some(id);
    sim.workers.completed_tasks().any(|task| is_of_job(task))
        || sim.workers.iter().any(|worker| worker.tasks.iter().any(|task| is_of_job(&task.name)))
}

pub fn all_tasks_run(id: &'static str, tasks: u32) -> impl Fn(&Simulation) -> bool {
    move |sim| sim.all_running(id, tasks)
}

/// Submits "j-1" and "j-2", which depends on it, and runs until the task of
/// "j-1" has ended; the completion of "j-1" isn't recorded yet.
pub fn run_until_the_prerequisite_ended(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(submission_after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("the prerequisite's task ends", 20_000, |sim| sim.workers.completed_count() > 0);
}

/// Runs for one second in which the response to every transaction is lost; half of the
/// transactions are applied at once, half later.
pub fn lose_transaction_responses_for_one_second(sim: &mut Simulation) {
    sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
    sim.run(1_000);
    sim.network.rates = FaultRates::default();
}
