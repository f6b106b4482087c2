//! Old heartbeats that come after newer ones, or to another leader.

use shedhook::{
    protocol::workers::{ExitReason, TaskState},
    storage::records::JobStatus,
};

use crate::{
    helpers::{deliver_reports_later, high, low},
    simulation::{submission, Simulation, LEASE},
};

/// Guard: reports are ordered by incarnation and number, and one of a incarnation that
/// is over frees nothing and brings nothing back. Copies from before the
/// launch, from an earlier attempt and from an earlier incarnation come in the
/// wrong order, to the leader that knows better and to one that doesn't.
pub fn old_reports_after_newer_ones(sim: &mut Simulation) {
    sim.run(4_000);
    let mut old = sim.latest_reports();
    let mut job = low("j-1", "service", 4);
    job.cpus = Some(4.0);
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.all_running("j-1", 4));
    old.extend(sim.latest_reports());
    // Another attempt: stopped for something urgent, then started again.
    sim.submit(high("j-2", "batch", 4, 8.0), 16_000);
    sim.run_until("stopped", 10_000, |sim| sim.none_running("j-1", 4));
    sim.run(6_000);
    // Nothing of it is anywhere, though the copies say so.
    deliver_reports_later(sim, &old, 0);
    for _ in 0..10 {
        sim.run(100);
        let index = sim.job_cache.find("j-1").unwrap();
        assert_eq!(
            sim.leader.as_ref().unwrap().cluster().job(index).unwrap().tasks.placed,
            0,
            "an older report was believed"
        );
    }
    sim.run_until("the urgent one is done", 30_000, |sim| sim.status("j-2") == JobStatus::Done);
    old.extend(sim.latest_reports());
    sim.run_until("runs again", 20_000, |sim| sim.all_running("j-1", 4));
    let now = sim.now;
    sim.workers[1].restart(now);
    sim.workers[2].restart(now);
    sim.run_until("runs again", 30_000, |sim| sim.all_running("j-1", 4));
    sim.run(4_000);
    let (there, starts) = (sim.assignments("j-1", 4), sim.starts);
    old.reverse();
    deliver_reports_later(sim, &old, 0);
    sim.run(LEASE);
    assert_eq!((sim.assignments("j-1", 4), sim.starts), (there.clone(), starts), "the same leader believed them");
    sim.elect();
    deliver_reports_later(sim, &old, 100);
    sim.run(10_000);
    deliver_reports_later(sim, &old, 100);
    sim.run(LEASE * 2);
    assert_eq!((sim.assignments("j-1", 4), sim.starts), (there, starts), "the next leader believed them");
}

/// Guard: a incarnation whose lease was counted out is never listened to again. A
/// report is held back until the new leader has counted out its sender and
/// started its tasks elsewhere; it brings none of them back.
pub fn a_report_is_held_back_until_a_new_leader_has_acted(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run_until("runs", 10_000, |sim| sim.all_running("j-1", 3));
    let late = sim.latest_reports();
    let now = sim.now;
    sim.workers.iter_mut().for_each(|x| x.partitioned = true);
    sim.elect();
    sim.run(LEASE + 3_000);
    // Nobody is free: what the copies list waits, and must not be believed there.
    deliver_reports_later(sim, &late, 0);
    sim.run(300);
    let index = sim.job_cache.find("j-1").unwrap();
    assert_eq!(
        sim.leader.as_ref().unwrap().cluster().job(index).unwrap().tasks.placed,
        0,
        "a dead session was believed"
    );
    sim.add_worker("a");
    sim.run_until("runs elsewhere", 8_000, |sim| sim.all_running("j-1", 3));
    deliver_reports_later(sim, &late, 0);
    sim.workers.iter_mut().for_each(|x| x.partitioned = false);
    let there = sim.assignments("j-1", 3);
    sim.run(LEASE * 2);
    assert_eq!(sim.assignments("j-1", 3), there);
    assert!(sim.now > now);
}

/// Guard: what a copy says is an end of its own attempt, and a new leader
/// settles nothing by a heartbeat that doesn't show its token. Old copies list a stopped attempt as ended while a new one of the same task
/// runs on the same machine.
pub fn an_end_of_an_earlier_attempt(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    sim.run(4_000);
    sim.submit(low("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.all_running("j-1", 2));
    let mut old = sim.latest_reports();
    sim.submit(high("j-2", "batch", 1, 8.0), 2_000);
    sim.run_until("stopped", 10_000, |sim| sim.none_running("j-1", 2));
    for t in &mut old[0].tasks {
        (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Stopped));
    }
    sim.run_until("runs again", 20_000, |sim| sim.all_running("j-1", 2));
    let starts = sim.starts;
    let at = sim.workers[0].tasks.iter().map(|t| t.attempt).collect::<Vec<_>>();
    sim.workers[0].outbound_lost = true;
    sim.elect();
    deliver_reports_later(sim, &old[..1], 100);
    sim.run(3_000);
    sim.workers[0].outbound_lost = false;
    sim.run(LEASE);
    assert_eq!(sim.starts, starts);
    assert_eq!(sim.workers[0].tasks.iter().map(|t| t.attempt).collect::<Vec<_>>(), at);
}
