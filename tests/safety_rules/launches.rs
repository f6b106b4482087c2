//! Launches: no task is launched before its record is committed, and none runs twice because a
//! command arrives late or twice.

use shedhook::{protocol::workers::TaskState, storage::records::JobStatus};

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder, LEASE_MS};

pub fn leader_crashes_before_the_commit(sim: &mut Simulation) {
    sim.controller.settings.crash_before_transaction = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(!sim.has_leader() && sim.task_starts() == 0, "a task started before its record was written");
    sim.elect();
    sim.run_until("the job is done", 60_000, |sim| sim.status("j-1") == JobStatus::Done);
}

pub fn leader_crashes_after_the_commit(sim: &mut Simulation) {
    sim.controller.settings.crash_after_transaction = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(!sim.has_leader());
    sim.elect();
    sim.run_until("the job is done", 60_000, |sim| sim.status("j-1") == JobStatus::Done);
}

pub fn late_command_after_a_leader_change(sim: &mut Simulation) {
    sim.network.rates = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run(400);
    sim.elect();
    sim.network.rates = FaultRates::default();
    sim.run(200_000);
}

/// The new leader must keep an assignment until the worker's lease has expired,
/// although no heartbeat of the worker listed the task: the worker may have
/// received the launch before it hung.
pub fn late_command_to_a_hung_worker(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 1), 0);
    sim.run_until("the task is launched", 8_000, |sim| sim.workers.iter().any(|worker| !worker.tasks.is_empty()));
    let has_live_task = |&worker: &usize| sim.workers[worker].tasks.iter().any(|task| task.state != TaskState::Exited);
    let hung = (0..sim.workers.len()).find(has_live_task).expect("launched");
    sim.workers[hung].faults.hung = true;
    sim.elect();
    sim.run(LEASE_MS - 3_000);
    assert!(
        sim.workers.iter().enumerate().all(|(index, worker)| index == hung || worker.tasks.is_empty()),
        "the task was started elsewhere within the lease"
    );
    sim.workers[hung].faults.hung = false;
    sim.run(100_000);
    assert!(sim.worker_running("j-1/0").is_some());
}

/// A launch without a response may still arrive until the worker has acknowledged the
/// raised token. Until then, a heartbeat that doesn't list the task isn't proof that the
/// task will not run.
pub fn gang_fails_with_a_launch_in_flight(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(2).for_each(|worker| worker.dead = true);
    sim.run(5_000);
    sim.submit_gang_with_launches_in_flight(15_000);
    sim.workers[0].faults.responses_lost = true;
    sim.run(2_000);
    // The other worker is lost: the gang stops, and restarts once all of its tasks are gone.
    sim.restart_worker(1);
    sim.add_worker("b");
    sim.add_worker("a");
    sim.run(20_000);
    sim.workers[0].faults.responses_lost = false;
    sim.run_until("the gang runs", 60_000, |sim| {
        sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some()
    });
}

/// No task is launched before its record is written, neither by a command nor in
/// the response to a heartbeat; a gang is launched only after all of its records are
/// written.
pub fn no_launch_before_its_record_is_committed(sim: &mut Simulation) {
    sim.run(5_000);
    sim.store.conditions.transactions_left = Some(1);
    let job = submission("j-1", "ensemble", 40).with_cpus(0.5).with_memory_gb(0.5);
    sim.workers.settings.slots = 40;
    sim.submit(job, 5_000);
    sim.run(10_000);
    sim.submit(submission("j-2", "batch", 4), 5_000);
    sim.run(10_000);
    assert!(
        sim.controller.transactions() > 2 && sim.workers.iter().all(|worker| worker.tasks.is_empty()),
        "a task was launched before its record was written"
    );
    sim.store.conditions.transactions_left = None;
    sim.run_until("both jobs are done", 60_000, |sim| {
        sim.status("j-1") == JobStatus::Done && sim.status("j-2") == JobStatus::Done
    });
}

/// A repeated launch command arrives after its task was started, stopped and
/// reaped, and while the task runs on another machine; it must not start the task
/// a second time.
pub fn repeated_command_after_the_reap(sim: &mut Simulation) {
    sim.run(5_000);
    sim.network.rates = FaultRates { repeated_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 1).with_priority("low"), 0);
    sim.run_until("the task runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    assert!(sim.network.in_flight() > 0, "no copy of the launch command is in flight");
    let at = sim.now() + 30_000;
    sim.network.delay_all_until(at);
    sim.network.rates = FaultRates::default();
    let placed_on = sim.worker_running("j-1/0").unwrap();
    sim.submit(submission("j-2", "ensemble", 4).with_priority("high").with_cpus(7.0), 0);
    sim.run(10_000);
    assert!(sim.worker_running("j-1/0").is_none(), "the low-priority task was not preempted");
    sim.workers.settings.image_fetch_ms = 0;
    sim.add_worker("a");
    sim.run_until("the task runs elsewhere", 15_000, |sim| {
        sim.worker_running("j-1/0").is_some_and(|worker| worker != placed_on)
    });
    sim.run(40_000);
}
