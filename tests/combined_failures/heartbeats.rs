//! Old heartbeats that arrive after newer ones, or at another leader.

use shedhook::{
    protocol::workers::{ExitReason, TaskState},
    storage::records::JobStatus,
};

use crate::{
    helpers::{deliver_heartbeats_later, high_priority, low_priority},
    simulation::{submission, Simulation, SubmissionBuilder, LEASE_MS},
};

/// Heartbeats are ordered by incarnation and sequence number, and a heartbeat of an ended
/// incarnation must neither end nor restore an assignment. Here copies from before the
/// launch, from an earlier attempt and from an earlier incarnation arrive in the wrong
/// order, first at a leader that has received newer heartbeats, then at the next leader,
/// which has received none.
pub fn stale_heartbeats_after_newer_ones(sim: &mut Simulation) {
    sim.run(4_000);
    let mut old = sim.latest_heartbeats();
    sim.submit(low_priority("j-1", "service", 4).with_cpus(4.0), 0);
    sim.run_until("all tasks run", 10_000, |sim| sim.all_running("j-1", 4));
    old.extend(sim.latest_heartbeats());
    // A second attempt: the tasks are preempted by an urgent job, then started again.
    sim.submit(high_priority("j-2", "batch", 4, 8.0), 16_000);
    sim.run_until("all tasks are stopped", 10_000, |sim| sim.none_running("j-1", 4));
    sim.run(6_000);
    // No task of "j-1" is on a worker, although the copies list them.
    deliver_heartbeats_later(sim, &old, 0);
    for _ in 0..10 {
        sim.run(100);
        let index = sim.controller.job_cache().find("j-1").unwrap();
        assert_eq!(sim.leader().cluster().job(index).unwrap().tasks.placed, 0, "an older heartbeat was accepted");
    }
    sim.run_until("the urgent job is done", 30_000, |sim| sim.status("j-2") == JobStatus::Done);
    old.extend(sim.latest_heartbeats());
    sim.run_until("all tasks run again", 20_000, |sim| sim.all_running("j-1", 4));
    sim.restart_worker(1);
    sim.restart_worker(2);
    sim.run_until("all tasks run again", 30_000, |sim| sim.all_running("j-1", 4));
    sim.run(4_000);
    let (assigned, starts) = (sim.assignments("j-1", 4), sim.task_starts());
    old.reverse();
    deliver_heartbeats_later(sim, &old, 0);
    sim.run(LEASE_MS);
    assert_eq!(
        (sim.assignments("j-1", 4), sim.task_starts()),
        (assigned.clone(), starts),
        "the same leader accepted old heartbeats"
    );
    sim.elect();
    deliver_heartbeats_later(sim, &old, 100);
    sim.run(10_000);
    deliver_heartbeats_later(sim, &old, 100);
    sim.run(LEASE_MS * 2);
    assert_eq!(
        (sim.assignments("j-1", 4), sim.task_starts()),
        (assigned, starts),
        "the next leader accepted old heartbeats"
    );
}

/// Heartbeats of an incarnation whose lease expired must never be accepted again. Here a
/// heartbeat is delayed until the new leader has treated its sender's lease as expired and
/// started the tasks elsewhere; it must restore none of them.
pub fn heartbeat_delayed_until_a_new_leader_has_acted(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(2).for_each(|worker| worker.dead = true);
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run_until("all tasks run", 10_000, |sim| sim.all_running("j-1", 3));
    let late = sim.latest_heartbeats();
    let now = sim.now();
    sim.workers.iter_mut().for_each(|worker| worker.faults.partitioned = true);
    sim.elect();
    sim.run(LEASE_MS + 3_000);
    // No machine is free, so the tasks wait. The heartbeat copies list these tasks, but must
    // not be accepted as proof that the tasks run.
    deliver_heartbeats_later(sim, &late, 0);
    sim.run(300);
    let index = sim.controller.job_cache().find("j-1").unwrap();
    assert_eq!(
        sim.leader().cluster().job(index).unwrap().tasks.placed,
        0,
        "a heartbeat of an ended incarnation was accepted"
    );
    sim.add_worker("a");
    sim.run_until("all tasks run elsewhere", 8_000, |sim| sim.all_running("j-1", 3));
    deliver_heartbeats_later(sim, &late, 0);
    sim.workers.iter_mut().for_each(|worker| worker.faults.partitioned = false);
    let assigned = sim.assignments("j-1", 3);
    sim.run(LEASE_MS * 2);
    assert_eq!(sim.assignments("j-1", 3), assigned);
    assert!(sim.now() > now);
}

/// An exit that a heartbeat copy lists applies to the listed attempt only, and a new leader
/// must not end an assignment because of a heartbeat that doesn't carry the leader's token. Here
/// old copies list a stopped attempt as exited while a new attempt of the same task runs
/// on the same machine.
pub fn earlier_attempt_is_reported_as_ended(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    sim.run(4_000);
    sim.submit(low_priority("j-1", "service", 2), 0);
    sim.run_until("both tasks run", 10_000, |sim| sim.all_running("j-1", 2));
    let mut old = sim.latest_heartbeats();
    sim.submit(high_priority("j-2", "batch", 1, 8.0), 2_000);
    sim.run_until("both tasks are stopped", 10_000, |sim| sim.none_running("j-1", 2));
    for task in &mut old[0].tasks {
        (task.state, task.exit_reason) = (TaskState::Exited, Some(ExitReason::Stopped));
    }
    sim.run_until("both tasks run again", 20_000, |sim| sim.all_running("j-1", 2));
    let starts = sim.task_starts();
    let attempts = sim.workers[0].tasks.iter().map(|task| task.attempt).collect::<Vec<_>>();
    sim.workers[0].faults.outbound_lost = true;
    sim.elect();
    deliver_heartbeats_later(sim, &old[..1], 100);
    sim.run(3_000);
    sim.workers[0].faults.outbound_lost = false;
    sim.run(LEASE_MS);
    assert_eq!(sim.task_starts(), starts);
    assert_eq!(sim.workers[0].tasks.iter().map(|task| task.attempt).collect::<Vec<_>>(), attempts);
}
