//! Large jobs: they neither stall others nor wait for ever, and messages stay under their limit.

use shedhook::{
    protocol::{
        cbor,
        ids::{Attempt, FencingToken},
        workers::{HeartbeatResponse, TaskState, WorkerCommand},
    },
    storage::records::JobStatus,
};

use crate::simulation::{submission, Simulation, SubmissionBuilder};

/// A job of 100,000 tasks goes through in parts, and nothing waits behind it.
pub fn large_job_does_not_block_others(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 100_000), 2_000);
    sim.run(10_000);
    assert!(sim.worker_running("j-1/0").is_some() || sim.workers.has_completed("j-1/0"));
    sim.submit(submission("j-2", "batch", 4).with_priority("high"), 2_000);
    sim.run_until("the small one is done", 12_000, |sim| sim.status("j-2") == JobStatus::Done);
    sim.elect();
    sim.run(10_000);
    assert!(sim.cancel("j-1"));
    sim.run(20_000);
    assert!(sim.workers.iter().all(|worker| worker.tasks.iter().all(|task| task.state == TaskState::Exited)));
    sim.submit(submission("j-3", "batch", 4), 2_000);
    sim.run_until("the next is done", 12_000, |sim| sim.status("j-3") == JobStatus::Done);
}

/// Guard: small work takes every machine that is free, so that a large gang
/// never found all of its own at once; nor did low priority get any.
pub fn largest_gang_starts_in_time(sim: &mut Simulation) {
    sim.submit(submission("j-1", "ensemble", 4).with_cpus(4.0).with_one_zone(true), 100_000);
    sim.submit(submission("j-2", "batch", 400).with_priority("low").with_cpus(4.0), 1_000);
    // Always more small work than there is free capacity for, a moment earlier.
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
            assert!(sim.starts() > 60, "small work runs meanwhile");
        }
    }
    sim.run_until("the gang begins", 240_000 - (sim.now() - 1_000), |sim| sim.all_running("j-1", 4));
    let began = |sim: &Simulation| sim.workers.completed_tasks().any(|task| task.starts_with("j-2/"));
    sim.run_until("low priority begins", 245_000 - (sim.now() - 1_000), began);
}

/// Guard: when more is due than there is free capacity for, gangs of one machine took
/// every one that a larger gang could begin to collect, and it came last; one
/// gang in each zone collects its machines at a time.
pub fn largest_gangs_start_in_time_in_a_backlog(sim: &mut Simulation) {
    sim.add_workers(4);
    sim.run(5_000);
    let gang = |id: &str, tasks: u32| {
        submission(id, "ensemble", tasks).with_cpus(8.0).with_one_zone(true).with_priority("high")
    };
    for n in 0..260 {
        sim.submit(gang(&format!("j-{}", 10 + n), 1), 7_000);
    }
    let from = sim.now();
    for n in 0..4 {
        sim.submit(gang(&format!("j-{n}"), 4), 7_000);
    }
    let begun = |sim: &Simulation| (0..4).all(|j| sim.workers.has_completed(&format!("j-{j}/0")));
    sim.run_until("all large ones have begun", from + 240_000 - sim.now(), begun);
    assert!(sim.workers.completed_count() > 100, "small ones run meanwhile");
    sim.run_until("the small ones are done", 400_000, |sim| {
        (0..260).all(|n| sim.status(&format!("j-{}", 10 + n)) == JobStatus::Done)
    });
}

/// Guard: commands for one worker may be more than a response takes.
pub fn heartbeat_responses_stay_under_their_limit(sim: &mut Simulation) {
    let commands: Vec<WorkerCommand> = (0..5_000)
        .map(|n| WorkerCommand::Halt {
            task: format!("j-00000000000000{n}/100000"),
            attempt: Attempt(u64::MAX),
            grace_s: 10.5,
        })
        .collect();
    let one = |n: usize| {
        cbor::encode(&HeartbeatResponse { token: FencingToken(u64::MAX), commands: commands[..n].to_vec() }).len()
    };
    assert!(one(500) * 3 / 2 < 64 * 1024 && one(5_000) > 64 * 1024, "{}", one(500));
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    let job = submission("j-1", "batch", 1_200).with_cpus(0.001).with_memory_gb(0.001);
    sim.workers.settings.slots = 5_000;
    sim.submit(job, 500_000);
    sim.run_until("all run", 60_000, |sim| sim.starts() == 1_200);
    assert!(sim.cancel("j-1"));
    sim.run_until("all gone", 60_000, |sim| sim.workers[0].tasks.is_empty());
    assert!(
        sim.max_commands_in_message() > 300 && sim.max_commands_in_message() <= 500,
        "{} orders in one answer",
        sim.max_commands_in_message()
    );
}
