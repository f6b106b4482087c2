//! Tasks that fail: because of their job, or because of their machine.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, Simulation, SubmissionBuilder};

/// Most starts per minute of a job that is known to fail on every machine.
const RETRIES_PER_MINUTE_MAX: usize = 6;

fn submit_jobs_that_fail(sim: &mut Simulation) {
    for n in 0..4 {
        let array = submission(&format!("j-1{n}"), "batch", 8).with_priority("high");
        sim.submit_failing(array, 1_500);
        let gang = submission(&format!("j-2{n}"), "ensemble", 2).with_priority("high");
        sim.submit_failing(gang, 4_000);
    }
}

fn failing_jobs() -> Vec<String> {
    (0..4).flat_map(|n| [format!("j-1{n}"), format!("j-2{n}")]).collect()
}

/// Regression test: two failures of different jobs marked a machine as faulty, so that a
/// few jobs submitted with a mistake caused healthy machines to be released one after
/// the other; and all tasks of such a job were retried each time.
pub fn jobs_that_fail_everywhere(sim: &mut Simulation) {
    sim.add_workers(6);
    sim.cloud.settings.capacity = 20;
    sim.workers.settings.gang_semantics = true;
    sim.elect();
    sim.run(5_000);
    submit_jobs_that_fail(sim);
    sim.run(30_000);
    // Until they are known to fail on every machine, these jobs are treated like any other.
    let machines = sim.workers.len();
    sim.run(30_000);
    sim.submit(submission("j-5", "batch", 20).with_priority("low"), 20_000);
    sim.run_until("another job is done beside the failing ones", 45_000, |sim| sim.status("j-5") == JobStatus::Done);
    assert!(
        sim.workers.halts().iter().all(|halt| !halt.task.starts_with("j-5/")),
        "tasks of another job were preempted for failing jobs"
    );
    sim.run(30_000);
    let (before, jobs) = (sim.task_starts(), failing_jobs().len());
    sim.run(120_000);
    let retries = sim.task_starts() - before;
    assert!(retries >= jobs, "{retries} retries in two minutes: one of {jobs} jobs was abandoned");
    assert!(retries <= 2 * jobs * RETRIES_PER_MINUTE_MAX, "{retries} retries in two minutes of {jobs} jobs");
    assert!(sim.workers.iter().all(|worker| !worker.dead), "a healthy machine was released");
    assert_eq!(sim.workers.len(), machines, "machines were provisioned for failing jobs");
    for id in failing_jobs() {
        assert!(sim.cancel(&id));
    }
    sim.run(10_000);
    let listed = |id: &String| {
        sim.workers.iter().any(|worker| worker.tasks.iter().any(|task| task.name.starts_with(&format!("{id}/"))))
    };
    assert!(!failing_jobs().iter().any(listed), "a task is left after its job was cancelled");
}

/// A machine on which every task fails must be found and released, also while jobs that
/// fail on every machine obscure its failures.
pub fn faulty_machine_is_released(sim: &mut Simulation) {
    sim.add_workers(6);
    sim.cloud.settings.capacity = 1;
    sim.workers[3].fails_after_ms = Some(1_000);
    sim.elect();
    sim.run(5_000);
    submit_jobs_that_fail(sim);
    for n in 0..12 {
        sim.submit(submission(&format!("j-5{n}"), "batch", 6), 12_000);
        sim.run(4_000);
    }
    sim.run_until("the faulty machine is released", 60_000, |sim| sim.workers[3].dead);
    let done = |sim: &Simulation| (0..12).all(|n| sim.status(&format!("j-5{n}")) == JobStatus::Done);
    sim.run_until("the other jobs are done", 60_000, done);
    assert_eq!(sim.workers.iter().filter(|worker| worker.dead).count(), 1, "a healthy machine was released");
}
