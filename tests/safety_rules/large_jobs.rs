//! Large jobs: they neither block other jobs nor wait permanently, and messages stay under their limit.

use shedhook::{
    protocol::{
        cbor,
        ids::{Attempt, FencingToken},
        workers::{HeartbeatResponse, TaskState, WorkerCommand},
    },
    storage::records::JobStatus,
};

use crate::simulation::{submission, Simulation, SubmissionBuilder};

/// A job of 100,000 tasks is processed in parts, so that no other job waits behind it.
pub fn large_job_does_not_block_others(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 100_000), 2_000);
    sim.run(10_000);
    assert!(sim.worker_running("j-1/0").is_some() || sim.workers.has_completed("j-1/0"));
    sim.submit(submission("j-2", "batch", 4).with_priority("high"), 2_000);
    sim.run_until("the small job is done", 12_000, |sim| sim.status("j-2") == JobStatus::Done);
    sim.elect();
    sim.run(10_000);
    assert!(sim.cancel("j-1"));
    sim.run(20_000);
    assert!(sim.workers.iter().all(|worker| worker.tasks.iter().all(|task| task.state == TaskState::Exited)));
    sim.submit(submission("j-3", "batch", 4), 2_000);
    sim.run_until("the next job is done", 12_000, |sim| sim.status("j-3") == JobStatus::Done);
}

/// Regression test: small jobs took every machine that became free, so that a large gang
/// never found all of its machines free at once, and low-priority jobs got none.
pub fn largest_gang_starts_in_time(sim: &mut Simulation) {
    sim.submit(submission("j-1", "ensemble", 4).with_cpus(4.0).with_one_zone(true), 100_000);
    sim.submit(submission("j-2", "batch", 400).with_priority("low").with_cpus(4.0), 1_000);
    // Small jobs always exceed the free capacity, and arrive just before machines become free.
    for n in 0..60 {
        let mut job = submission(&format!("j-{}", 100 + n), "batch", 8);
        (job.cpus, job.estimate_s) = (Some(4.0), Some(5.0));
        (job.priority, job.class) = (Some("normal".into()), Some("small".into()));
        job.deadline_s = Some(900.0);
        sim.submit(job, 7_000);
        if n < 36 {
            sim.run(4_000);
        }
        if n == 30 {
            assert!(sim.task_starts() > 60, "small jobs did not run while the gang waited");
        }
    }
    sim.run_until("the gang starts", 240_000 - (sim.now() - 1_000), |sim| sim.all_running("j-1", 4));
    let has_started = |sim: &Simulation| sim.workers.completed_tasks().any(|task| task.starts_with("j-2/"));
    sim.run_until("the low-priority job starts", 245_000 - (sim.now() - 1_000), has_started);
}

/// Regression test: when the starved jobs exceeded the free capacity, gangs of one machine
/// took every machine that a larger gang could have reserved, and the larger gang started
/// last. Therefore one gang at a time collects its machines in each zone.
pub fn largest_gangs_start_in_time_in_a_backlog(sim: &mut Simulation) {
    sim.add_workers(4);
    sim.run(5_000);
    let gang = |id: &str, tasks: u32| {
        submission(id, "ensemble", tasks).with_cpus(8.0).with_one_zone(true).with_priority("high")
    };
    for n in 0..260 {
        sim.submit(gang(&format!("j-{}", 10 + n), 1), 7_000);
    }
    let submitted_at = sim.now();
    for n in 0..4 {
        sim.submit(gang(&format!("j-{n}"), 4), 7_000);
    }
    let have_started = |sim: &Simulation| (0..4).all(|j| sim.workers.has_completed(&format!("j-{j}/0")));
    sim.run_until("all large gangs have started", submitted_at + 240_000 - sim.now(), have_started);
    assert!(sim.workers.completed_count() > 100, "small gangs did not run while the large ones waited");
    sim.run_until("the small gangs are done", 400_000, |sim| {
        (0..260).all(|n| sim.status(&format!("j-{}", 10 + n)) == JobStatus::Done)
    });
}

/// The commands for one worker may exceed the size limit of a heartbeat response;
/// they must then be sent in several responses.
pub fn heartbeat_responses_stay_under_their_limit(sim: &mut Simulation) {
    let commands: Vec<WorkerCommand> = (0..5_000)
        .map(|n| WorkerCommand::Halt {
            task: format!("j-00000000000000{n}/100000"),
            attempt: Attempt(u64::MAX),
            grace_s: 10.5,
        })
        .collect();
    let encoded_bytes = |n: usize| {
        cbor::encode(&HeartbeatResponse { token: FencingToken(u64::MAX), commands: commands[..n].to_vec() }).len()
    };
    assert!(
        encoded_bytes(500) * 3 / 2 < 64 * 1024 && encoded_bytes(5_000) > 64 * 1024,
        "{} bytes for 500 commands",
        encoded_bytes(500)
    );
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    let job = submission("j-1", "batch", 1_200).with_cpus(0.001).with_memory_gb(0.001);
    sim.workers.settings.slots = 5_000;
    sim.submit(job, 500_000);
    sim.run_until("all tasks run", 60_000, |sim| sim.task_starts() == 1_200);
    assert!(sim.cancel("j-1"));
    sim.run_until("all tasks are removed from the worker", 60_000, |sim| sim.workers[0].tasks.is_empty());
    assert!(
        sim.max_commands_in_message() > 300 && sim.max_commands_in_message() <= 500,
        "{} commands in one response",
        sim.max_commands_in_message()
    );
}
