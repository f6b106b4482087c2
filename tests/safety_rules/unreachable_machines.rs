//! Machines that send no heartbeats, hang or are reachable in one direction only.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS};

/// A single machine whose heartbeats stop, while other machines send theirs, must be
/// released, and its tasks must start elsewhere long before its lease expires.
pub fn unreachable_machine_is_released(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 1;
    sim.controller.settings.heartbeat_timeout_ms = 8_500;
    sim.add_workers(4);
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("the service runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let placed_on = sim.worker_running("j-1/0").unwrap();
    sim.workers[placed_on].faults.partitioned = true;
    sim.run_until("the task runs elsewhere", 14_000, |sim| {
        sim.worker_running("j-1/0").is_some_and(|worker| worker != placed_on)
    });
}

/// Machines behind a partition must not be treated as failed, neither while it lasts
/// nor when it ends under a new leader and they become reachable one by one.
pub fn partitioned_machines_are_kept(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 1;
    sim.controller.settings.heartbeat_timeout_ms = 8_500;
    sim.add_workers(6);
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 16), 0);
    sim.run(5_000);
    sim.partition_zone("b", true, false);
    sim.run(9_000);
    sim.elect();
    sim.run(12_000);
    sim.partition_zone("b", false, false);
    sim.run(30_000);
    assert!(sim.workers.iter().all(|worker| !worker.dead), "a partitioned machine was released");
}

/// A machine whose heartbeats arrive, but that receives nothing, must be detected: it
/// gets no new tasks and is released, whether it never received anything or stopped
/// receiving later.
pub fn machine_that_receives_nothing_is_released(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 1;
    sim.controller.settings.heartbeat_timeout_ms = 8_500;
    sim.add_workers(4);
    sim.workers[7].faults.inbound_lost = true;
    sim.elect();
    sim.run(12_000);
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("all tasks run", 12_000, |sim| sim.all_running("j-1", 9));
    sim.run_until("the machine that never received anything is released", 15_000, |sim| sim.workers[7].dead);
    let placed_on = sim.worker_running("j-1/0").unwrap();
    let lost: Vec<String> = sim.workers[placed_on].tasks.iter().map(|task| task.name.clone()).collect();
    sim.workers[placed_on].faults.inbound_lost = true;
    sim.submit(submission("j-2", "batch", 20), 3_000);
    sim.run_until("all lost tasks run elsewhere", LEASE_MS + 20_000, |sim| {
        lost.iter().all(|task| sim.worker_running(task).is_some_and(|worker| worker != placed_on))
    });
    sim.run_until("the machine that stopped receiving is released", 60_000, |sim| sim.workers[placed_on].dead);
    sim.run_until("no task waits for that machine", 60_000, |sim| sim.status("j-2") == JobStatus::Done);
}

/// Regression test: machines that couldn't reach any controller, but responded to the
/// leader's calls, got new tasks in every new incarnation and lost them when the next
/// lease expired.
pub fn machines_that_reach_no_controller_get_no_new_tasks(sim: &mut Simulation) {
    sim.add_workers(4);
    sim.run(5_000);
    sim.submit(submission("j-1", "service", 4), 0);
    sim.run_until("all tasks run", 20_000, |sim| sim.all_running("j-1", 4));
    // The leader queries these machines because tasks run on them, and they respond.
    let unable_to_send: Vec<usize> = (0..8).filter(|&n| !sim.workers[n].tasks.is_empty()).collect();
    unable_to_send.iter().for_each(|&n| sim.workers[n].faults.outbound_lost = true);
    let free_slots: usize = unable_to_send.iter().map(|&n| 4 - sim.workers[n].tasks.len()).sum();
    assert!(
        free_slots > 0 && unable_to_send.len() <= 4,
        "{free_slots} free slots on {} machines",
        unable_to_send.len()
    );
    sim.run(10_000);
    sim.submit(submission("j-2", "service", 16), 0);
    sim.run(20_000);
    let has_new_task = |sim: &Simulation| {
        sim.workers
            .iter()
            .filter(|worker| worker.faults.outbound_lost)
            .flat_map(|worker| &worker.tasks)
            .any(|task| task.name.starts_with("j-2/"))
    };
    for _ in 0..LEASE_MS * 2 / 1_000 {
        assert!(!has_new_task(sim), "a new task on a machine that reaches no controller");
        sim.run(1_000);
    }
    sim.workers.iter_mut().for_each(|worker| worker.faults.outbound_lost = false);
    sim.run_until("the machines get new tasks again", 20_000, |sim| sim.all_running("j-2", 16));
}

/// A sixth of all machines hang for longer than their leases. They must be released as
/// soon as their heartbeats are late, since other machines of their zone still send
/// theirs; no task may run twice when they resume, and no more machines may be
/// provisioned than were released.
pub fn hung_machines_are_replaced_before_their_leases_expire(sim: &mut Simulation) {
    sim.cloud.settings.capacity = 40;
    sim.controller.settings.heartbeat_timeout_ms = 8_500;
    sim.add_workers(20);
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 40).with_spread(true), 0);
    sim.submit(submission("j-2", "batch", 20), 20_000);
    sim.run_until("all tasks run", 20_000, |sim| sim.all_running("j-1", 40));
    let hung: Vec<usize> = (0..24).filter(|&n| !sim.workers[n].tasks.is_empty()).take(4).collect();
    hung.iter().for_each(|&n| sim.workers[n].faults.hung = true);
    let all_run_elsewhere = |sim: &Simulation| {
        (0..40).all(|t| sim.worker_running(&format!("j-1/{t}")).is_some_and(|n| !sim.workers[n].faults.hung))
    };
    sim.run_until("all tasks run elsewhere before the leases expire", LEASE_MS - 5_000, all_run_elsewhere);
    sim.run(LEASE_MS);
    hung.iter().for_each(|&n| sim.workers[n].faults.hung = false);
    sim.run_until("the array is done", 60_000, |sim| sim.status("j-2") == JobStatus::Done);
    assert!(sim.workers.len() <= 24 + 6, "{} machines", sim.workers.len());
}
