//! Launches: none without its record, and none of a command that comes late or twice.

use shedhook::{protocol::workers::TaskState, storage::records::JobStatus};

use crate::simulation::{submission, FaultRates, Simulation, LEASE};

pub fn crash_before_the_write(sim: &mut Simulation) {
    sim.die_before_txn = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(sim.leader.is_none() && sim.starts == 0, "nothing starts before its record is written");
    sim.elect();
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == JobStatus::Done);
}

pub fn crash_after_the_write(sim: &mut Simulation) {
    sim.die_after_txn = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(sim.leader.is_none());
    sim.elect();
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == JobStatus::Done);
}

pub fn a_late_command_to_a_worker_that_moved_on(sim: &mut Simulation) {
    sim.faults = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run(400);
    sim.elect();
    sim.faults = FaultRates::default();
    sim.run(200_000);
}

/// Guard: the new leader counts a place as taken until the worker's lease is
/// over, though the worker never said that it has the task.
pub fn a_late_command_to_a_hung_worker(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 1), 0);
    sim.run_until("launched", 8_000, |sim| sim.workers.iter().any(|x| !x.tasks.is_empty()));
    let n = (0..sim.workers.len()).find(|&n| sim.workers[n].tasks.iter().any(|t| t.state != TaskState::Exited));
    let n = n.expect("launched");
    sim.workers[n].hung = true;
    sim.elect();
    sim.run(LEASE - 3_000);
    assert!(sim.workers.iter().enumerate().all(|(m, x)| m == n || x.tasks.is_empty()), "too early elsewhere");
    sim.workers[n].hung = false;
    sim.run(100_000);
    assert!(sim.worker_running("j-1/0").is_some());
}

/// Guard: a launch that went unanswered may arrive until the worker has shown
/// the raised token; that it lists no such task until then proves nothing.
pub fn a_gang_is_lost_with_a_launch_in_flight(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    sim.run(5_000);
    sim.submit_gang_with_launches_in_flight(15_000);
    sim.workers[0].answers_lost = true;
    sim.run(2_000);
    // The other one is lost: the gang stops, and starts anew when all of it is gone.
    let now = sim.now;
    sim.workers[1].restart(now);
    sim.add_worker("b");
    sim.add_worker("a");
    sim.run(20_000);
    sim.workers[0].answers_lost = false;
    sim.run_until("runs", 60_000, |sim| sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some());
}

/// Guard: nothing is launched before its record is written, neither by a
/// command nor in the answer to a heartbeat; a gang only after all of its records.
pub fn nothing_starts_while_records_cannot_be_written(sim: &mut Simulation) {
    sim.run(5_000);
    sim.txns_left = Some(1);
    let mut job = submission("j-1", "ensemble", 40);
    (job.cpus, job.memory_gb) = (Some(0.5), Some(0.5));
    sim.slots = 40;
    sim.submit(job, 5_000);
    sim.run(10_000);
    sim.submit(submission("j-2", "batch", 4), 5_000);
    sim.run(10_000);
    assert!(sim.txns > 2 && sim.workers.iter().all(|x| x.tasks.is_empty()), "launched before it was written");
    sim.txns_left = None;
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == JobStatus::Done && sim.status("j-2") == JobStatus::Done);
}

/// Guard: a repeat of a command that was carried out comes after its task was
/// stopped and reaped, and runs elsewhere.
pub fn a_repeated_command_after_the_reap(sim: &mut Simulation) {
    sim.run(5_000);
    sim.faults = FaultRates { repeated_command: 100, ..FaultRates::default() };
    let mut job = submission("j-1", "service", 1);
    job.priority = Some("low".into());
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    assert!(!sim.delayed.is_empty(), "launched by a command, of which a copy is under way");
    let at = sim.now + 30_000;
    sim.delayed.iter_mut().for_each(|h| h.0 = at);
    sim.faults = FaultRates::default();
    let n = sim.worker_running("j-1/0").unwrap();
    let mut job = submission("j-2", "ensemble", 4);
    (job.priority, job.cpus) = (Some("high".into()), Some(7.0));
    sim.submit(job, 0);
    sim.run(10_000);
    assert!(sim.worker_running("j-1/0").is_none(), "stopped for the other");
    sim.fetch = 0;
    sim.add_worker("a");
    sim.run_until("elsewhere", 15_000, |sim| sim.worker_running("j-1/0").is_some_and(|m| m != n));
    sim.run(40_000);
}
