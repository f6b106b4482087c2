//! Leader changes during another failure.

use shedhook::coordination::model::Millis;

use crate::{
    helpers::deliver_heartbeats_later,
    simulation::{submission, FaultRates, Simulation, SubmissionBuilder, HEARTBEAT_INTERVAL_MS, LEASE_MS},
};

/// A new leader must keep an assignment that it read from the records for a whole
/// lease from its own start, whether or not it receives a heartbeat; otherwise the task
/// runs twice. Here one machine is unreachable and one receives no response, while
/// others have free capacity.
pub fn failover_while_machines_are_unreachable(sim: &mut Simulation) {
    sim.run(LEASE_MS * 2);
    sim.submit(submission("j-1", "batch", 6), 90_000);
    sim.submit(submission("j-2", "service", 4), 0);
    sim.run_until("all tasks run", 20_000, |sim| sim.task_starts() == 10);
    sim.workers[0].faults.partitioned = true;
    sim.workers[1].faults.inbound_lost = true;
    sim.run(2_000);
    sim.elect();
    sim.run(LEASE_MS - 6_000);
    assert_eq!(sim.task_starts(), 10, "a task was restarted within the lease");
    let names = |sim: &Simulation| sim.workers[0].tasks.iter().map(|task| task.name.clone()).collect::<Vec<_>>();
    let before = names(sim);
    sim.workers[0].faults.partitioned = false;
    sim.run(4_000);
    assert!(
        !before.is_empty() && names(sim) == before,
        "a task of a machine that was reachable again in time was stopped"
    );
    sim.workers[0].faults.partitioned = true;
    sim.run(LEASE_MS + 10_000);
}

/// A transaction takes effect only in the term of the leader that sent it, and the fencing
/// tokens of a later leader are higher than those of all earlier leaders. Here ten leaders
/// follow in two minutes, with transactions and commands of earlier leaders in flight; the
/// store refuses all requests of two of them, which can't write at all.
pub fn ten_leaders_in_two_minutes(sim: &mut Simulation) {
    sim.network.rates = FaultRates {
        late_transaction: 40,
        late_command: 30,
        lost_heartbeat_response: 20,
        very_late_heartbeat: 15,
        slow_command_response: 20,
        ..FaultRates::default()
    };
    sim.submit(submission("j-1", "service", 5), 0);
    for n in 0..10u32 {
        sim.elect();
        sim.store.conditions.refuses_leader = n % 4 == 2;
        sim.submit(submission(&format!("j-{}", 10 + n), "batch", 1 + n % 4), 4_000);
        if n % 3 == 1 {
            let id = format!("j-{}", 9 + n);
            sim.cancel(&id);
        }
        sim.run(12_000);
    }
    sim.end_faults();
    sim.run_until_settled("ten leaders", 120_000);
    let starts = sim.task_starts();
    sim.run(LEASE_MS * 2);
    assert_eq!(sim.task_starts(), starts, "a task was restarted after the last leader change");
}

/// An assignment that an earlier leader wrote must be treated as launched, whether it was
/// or not; only the task's exit, a new incarnation or the end of the lease releases it.
/// Here the second and the third leader each end within a fraction of a second, then there
/// is no leader for a moment, and another is elected.
pub fn repeated_failover_with_launches_in_flight(sim: &mut Simulation) {
    sim.workers.settings.image_fetch_ms = 0;
    sim.workers.iter_mut().skip(2).for_each(|worker| worker.dead = true);
    sim.run(LEASE_MS + 5_000);
    sim.submit_gang_with_launches_in_flight(14_000);
    sim.workers[0].faults.outbound_lost = true;
    sim.elect();
    sim.run(400);
    sim.elect();
    sim.run(300);
    sim.stop_leader();
    sim.run(700);
    sim.elect();
    sim.run(300);
    // The gang loses its other task: it restarts once all of its tasks are gone.
    sim.restart_worker(1);
    sim.add_worker("a");
    sim.add_worker("b");
    sim.run(16_000);
    sim.workers[0].faults.outbound_lost = false;
    sim.run_until("the gang runs", 60_000, |sim| sim.all_running("j-1", 2));
    sim.run(LEASE_MS);
}

/// An exited task is reaped only once its exit is written, so that the next leader finds
/// it in the records or on the machine; otherwise the task is started again. Here tasks
/// of small jobs end far apart, and the leader changes just after each exit.
pub fn tasks_end_far_apart_across_leaders(sim: &mut Simulation) {
    sim.run(4_000);
    sim.workers.settings.run_step_ms = 9_000;
    sim.submit(submission("j-1", "batch", 3), 4_000);
    sim.submit(submission("j-2", "batch", 2), 7_000);
    for n in 0..5usize {
        sim.run_until("the next task ends", 60_000, |sim| sim.workers.completed_count() > n);
        sim.network.rates = FaultRates { lost_transaction_response: 30, ..FaultRates::default() };
        // Depending on the delay, the exit has been sent in a heartbeat, acknowledged or
        // written when the leader ends.
        sim.run([100, 700, 1_200, 4_000, 8_500][n]);
        sim.elect();
        sim.network.rates = FaultRates::default();
    }
    sim.run_until_settled("all exits are recorded", 40_000);
    assert_eq!(
        (sim.task_starts(), sim.workers.relaunches_of_completed()),
        (5, 0),
        "a task that had ended was started again"
    );
}

/// An assignment that an earlier leader may have launched must not be abandoned because
/// its job is cancelled; it is included in the team's quota until its end is proven.
/// Here the team is at its quota, its machines are unreachable, the leader changes, and a
/// cancellation falls into that period.
pub fn team_at_its_quota_during_a_failover(sim: &mut Simulation) {
    sim.controller.settings.quotas.red_gpus_max = Some(6.0);
    sim.elect();
    sim.run(4_000);
    let gpus = |id: &str, n: u32| submission(id, "service", n).with_gpus(2.0);
    sim.submit(gpus("j-1", 2), 0);
    sim.submit(gpus("j-2", 1), 0);
    sim.run_until("the team is at its quota", 10_000, |sim| sim.task_starts() == 3);
    let assigned: Vec<usize> = sim.assignments("j-1", 2).into_iter().flatten().collect();
    assigned.iter().for_each(|&n| sim.workers[n].faults.partitioned = true);
    sim.elect();
    sim.submit(gpus("j-3", 2), 0);
    sim.run(3_000);
    assert!(sim.cancel("j-1"));
    sim.run(5_000);
    sim.elect();
    sim.run(LEASE_MS - 10_000);
    assert_eq!(sim.task_starts(), 3, "the quota was exceeded while old tasks may run");
    sim.run(20_000);
    assigned.iter().for_each(|&n| sim.workers[n].faults.partitioned = false);
    sim.run_until_settled("within the quota again", 90_000);
    assert!(sim.all_running("j-3", 2));
}

/// Regression test: a leader stayed in place although all but one or two workers could not
/// reach it, until the leases of the other workers had expired. Those one or two workers, and
/// delayed copies of old heartbeats, were taken as sufficient contact.
pub fn leader_that_few_workers_reach(sim: &mut Simulation) {
    const ISOLATED_AFTER_MS: Millis = 8_000;
    sim.add_workers(8);
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(LEASE_MS);
    let is_isolated_from_workers =
        |sim: &Simulation| sim.leader().is_isolated_from_workers(sim.now(), ISOLATED_AFTER_MS);
    assert!(!is_isolated_from_workers(sim), "isolated although all workers reach the leader");
    let copies = sim.latest_heartbeats();
    sim.run(HEARTBEAT_INTERVAL_MS);
    let partitioned_workers = sim.workers.len() - 1;
    sim.workers[..4].iter_mut().for_each(|worker| worker.faults.partitioned = true);
    sim.run(ISOLATED_AFTER_MS + 4_000);
    assert!(!is_isolated_from_workers(sim), "isolated although most workers reach the leader");
    sim.workers[..partitioned_workers].iter_mut().for_each(|worker| worker.faults.partitioned = true);
    for _ in 0..6 {
        sim.run(2_000);
        deliver_heartbeats_later(sim, &copies, 0);
    }
    assert!(is_isolated_from_workers(sim), "copies of old heartbeats were taken as contact with workers");
    sim.elect();
    assert!(!is_isolated_from_workers(sim), "a new leader did not wait for heartbeats");
    sim.workers.iter_mut().for_each(|worker| worker.faults.partitioned = false);
    sim.run(ISOLATED_AFTER_MS + 4_000);
    assert!(!is_isolated_from_workers(sim), "isolated although all workers reach the leader again");
}
