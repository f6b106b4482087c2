//! The rules at the end of PROTOCOL, one table of cases: each holds, loses or
//! kills something, and the judge of `simulation` watches every start.

mod simulation;

use shedhook::{
    bookkeeping::records::Status,
    coordination::{lease_renewal, snapshot::LOOK},
    protocol::workers::{TaskReport, TaskState},
};
use simulation::{run_table, submission, Case, FaultRates, Held, Simulation, CANCEL, LEASE};

fn crash_before_the_write(sim: &mut Simulation) {
    sim.die_before_txn = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(sim.leader.is_none() && sim.starts == 0, "nothing starts before its record is written");
    sim.elect();
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == Status::Done);
}

fn crash_after_the_write(sim: &mut Simulation) {
    sim.die_after_txn = true;
    sim.submit(submission("j-1", "batch", 6), 5_000);
    sim.run(3_000);
    assert!(sim.leader.is_none());
    sim.elect();
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == Status::Done);
}

fn a_late_command_to_a_worker_that_moved_on(sim: &mut Simulation) {
    sim.faults = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run(400);
    sim.elect();
    sim.faults = FaultRates::default();
    sim.run(200_000);
}

/// Guard: the new leader counts a place as taken until the worker's lease is
/// over, though the worker never said that it has the task.
fn a_late_command_to_a_hung_worker(sim: &mut Simulation) {
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
fn a_gang_is_lost_with_a_launch_in_flight(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    sim.run(5_000);
    sim.faults = FaultRates { late_command: 100, ..FaultRates::default() };
    let mut job = submission("j-1", "ensemble", 2);
    job.cpus = Some(8.0);
    sim.submit(job, 0);
    sim.run(200);
    assert_eq!(sim.delayed.len(), 2, "both launches are on their way");
    let now = sim.now;
    for (at, h) in &mut sim.delayed {
        *at = now + if matches!(h, Held::Do { worker: 0, .. }) { 15_000 } else { 100 };
    }
    sim.faults = FaultRates::default();
    sim.workers[0].answers_lost = true;
    sim.run(2_000);
    // The other one is lost: the gang stops, and starts anew when all of it is gone.
    sim.workers[1].restart(now + 2_000);
    sim.add_worker("b");
    sim.add_worker("a");
    sim.run(20_000);
    sim.workers[0].answers_lost = false;
    sim.run_until("runs", 60_000, |sim| sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some());
}

/// Guard: nothing is launched before its record is written, neither by a
/// command nor in the answer to a report; a gang only after all of its records.
fn nothing_starts_while_records_cannot_be_written(sim: &mut Simulation) {
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
    sim.run_until("done", 60_000, |sim| sim.status("j-1") == Status::Done && sim.status("j-2") == Status::Done);
}

/// Guard: a repeat of a command that was carried out comes after its task was
/// stopped and reaped, and runs elsewhere.
fn a_repeated_command_after_the_reap(sim: &mut Simulation) {
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

/// Guard: a session learned from a probe or a command's answer has a lease of
/// its own, counted from when it was seen, though no report of it came.
fn a_new_session_seen_by_a_probe(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/8").is_some());
    sim.workers.iter_mut().skip(1).for_each(|x| x.outbound_lost = true);
    sim.run(LEASE * 3);
    sim.workers.iter_mut().for_each(|x| x.outbound_lost = false);
    sim.run_until("runs", 40_000, |sim| sim.worker_running("j-1/8").is_some());
}

fn a_worker_that_is_cut_off_goes_on(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let n = sim.worker_running("j-1/0").unwrap();
    sim.workers[n].partitioned = true;
    // Guard: silence proves nothing before the lease, counted from the last 200.
    sim.run(LEASE - 2_000);
    assert_eq!(sim.worker_running("j-1/0"), Some(n));
    sim.run_until("elsewhere", 20_000, |sim| sim.worker_running("j-1/0").is_some_and(|m| m != n));
    sim.workers[n].partitioned = false;
    sim.run(60_000);
}

/// Guard: a report from before the launch, delivered to the next leader, does
/// not list the task; that must not free its place.
fn a_late_report_from_before_the_launch(sim: &mut Simulation) {
    sim.run(4_000);
    let early: Vec<_> = (0..sim.workers.len()).map(|n| sim.report_of(n)).collect();
    sim.submit(submission("j-1", "service", 3), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/2").is_some());
    for x in &mut sim.workers {
        x.partitioned = true;
    }
    sim.elect();
    for r in early {
        sim.delayed.push((sim.now, Held::Report(r)));
    }
    let free = sim.add_worker("a");
    sim.run(LEASE - 4_000);
    let spare = sim.workers.iter().find(|x| x.id == free).unwrap();
    assert!(spare.tasks.is_empty(), "started anew while the old ones still run");
    for x in &mut sim.workers {
        x.partitioned = false;
    }
    sim.run(60_000);
}

fn a_late_transaction_of_the_leader_before(sim: &mut Simulation) {
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 8), 4_000);
    sim.run(500);
    sim.faults = FaultRates::default();
    sim.elect();
    sim.run_until("done", 90_000, |sim| sim.status("j-1") == Status::Done);
    sim.run(45_000);
}

/// Guard: a copy of a transaction that is applied late must not turn the
/// records back to where tasks were before.
fn a_late_copy_of_our_own_transaction(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    sim.run(5_000);
    let mut job = submission("j-1", "service", 1);
    job.priority = Some("low".into());
    sim.submit(job, 0);
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.run_until("a copy is held", 60_000, |sim| !sim.delayed.is_empty());
    sim.faults = FaultRates::default();
    let at = sim.now + 30_000;
    sim.delayed.iter_mut().for_each(|h| h.0 = at);
    sim.run_until("runs", 20_000, |sim| sim.worker_running("j-1/0").is_some());
    let mut job = submission("j-2", "ensemble", 1);
    (job.priority, job.cpus) = (Some("high".into()), Some(8.0));
    sim.submit(job, 0);
    sim.run(5_000);
    sim.add_worker("b");
    sim.run_until("elsewhere", 15_000, |sim| sim.worker_running("j-1/0").is_some_and(|n| n != 0));
    sim.run(40_000);
    sim.elect();
    sim.run(10_000);
}

fn a_lost_answer_to_every_second_transaction(sim: &mut Simulation) {
    sim.faults = FaultRates { lost_txn: 50, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 12), 2_000);
    sim.submit(submission("j-2", "service", 2), 0);
    sim.run_until("done", 300_000, |sim| sim.status("j-1") == Status::Done);
}

/// Guard: a launch under way when its job is cancelled is found and stopped.
fn cancelled_with_the_launch_in_flight(sim: &mut Simulation) {
    sim.faults = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run(300);
    assert!(sim.cancel("j-1"));
    sim.faults = FaultRates::default();
    sim.submit(submission("j-2", "batch", 1), 1_000);
    sim.run(150_000);
    assert_eq!(sim.status("j-1"), Status::Cancelled);
}

fn cancelled_while_the_leader_is_away(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.leader = None;
    assert!(sim.cancel("j-1"));
    sim.run(10_000);
    sim.elect();
    sim.run(60_000);
    assert!(sim.worker_running("j-1/0").is_none());
}

/// Guard: the limit counts places whose tasks may still be there.
fn quota_while_a_machine_is_silent(sim: &mut Simulation) {
    sim.team_gpus_max = 4.0;
    sim.elect();
    let mut job = submission("j-1", "service", 2);
    job.gpus = Some(2.0);
    sim.submit(job, 0);
    sim.run_until("both run", 10_000, |sim| {
        sim.worker_running("j-1/1").is_some() && sim.worker_running("j-1/0").is_some()
    });
    let n = sim.worker_running("j-1/0").unwrap();
    sim.workers[n].partitioned = true;
    let mut job = submission("j-2", "service", 1);
    job.gpus = Some(2.0);
    sim.submit(job, 0);
    sim.run(LEASE / 2);
    assert!(sim.cancel("j-1"));
    sim.run(LEASE + 10_000);
    sim.workers[n].partitioned = false;
    sim.run(20_000);
    assert!(sim.worker_running("j-2/0").is_some());
}

/// Guard: an attempt that may still run binds its job to its zone.
fn same_place_with_an_old_attempt_unheard(sim: &mut Simulation) {
    let mut job = submission("j-1", "ensemble", 2);
    job.one_zone = Some(true);
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some() && sim.worker_running("j-1/1").is_some());
    let zone = sim.workers[sim.worker_running("j-1/0").unwrap()].zone.clone();
    for x in sim.workers.iter_mut().filter(|x| x.zone == zone) {
        x.partitioned = true;
    }
    sim.elect();
    sim.run(LEASE * 3);
    let n = sim.worker_running("j-1/0").expect("runs again");
    assert_ne!(sim.workers[n].zone, zone);
}

fn scatter_keeps_its_half(sim: &mut Simulation) {
    let mut job = submission("j-1", "service", 5);
    job.spread = Some(true);
    sim.submit(job, 0);
    sim.run_until("all run", 15_000, |sim| (0..5).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    for n in 0..2 {
        sim.workers[n].dead = true;
        sim.workers[n].tasks.clear();
    }
    sim.elect();
    sim.run(LEASE * 2);
}

/// Guard: all tasks of a gang are told to stop at one moment, with the time to save.
fn a_gang_stops_in_order(sim: &mut Simulation) {
    let mut job = submission("j-1", "ensemble", 4);
    job.priority = Some("low".into());
    (job.cpus, job.checkpoint_s, job.save_s) = (Some(8.0), Some(20.0), Some(4.0));
    sim.submit(job, 0);
    sim.run_until("runs", 15_000, |sim| (0..4).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    let mut job = submission("j-2", "ensemble", 1);
    (job.priority, job.cpus) = (Some("high".into()), Some(8.0));
    sim.submit(job, 0);
    sim.run_until("preempted", 10_000, |sim| sim.worker_running("j-2/0").is_some());
    let halts: Vec<_> = sim.halts.iter().filter(|h| h.1.starts_with("j-1/")).collect();
    assert_eq!(halts.len(), 4, "a gang is stopped whole");
    assert!(halts.iter().all(|h| h.2 >= 4.0), "with grace to save");
    assert!(halts.iter().all(|h| h.0 < halts[0].0 + 4_000), "together");
}

/// Guard: a rental that went unanswered is asked for again by the same name,
/// and no later leader uses a name of an earlier one.
fn rentals_are_never_doubled(sim: &mut Simulation) {
    sim.capacity = 6;
    sim.faults = FaultRates { lost_rental_answer: 100, ..FaultRates::default() };
    sim.elect();
    sim.submit(submission("j-1", "batch", 24), 8_000);
    sim.run(8_000);
    let machines = sim.workers.len();
    sim.elect();
    sim.run(4_000);
    sim.faults = FaultRates::default();
    sim.run_until("done", 200_000, |sim| sim.status("j-1") == Status::Done);
    assert!(machines > 4, "what was rented unheard is used");
    for request in &sim.rental_requests {
        let other_leader =
            sim.rental_requests.iter().any(|r| r.name == request.name && r.leader_stamp != request.leader_stamp);
        assert!(!other_leader, "{} in two leaderships", request.name);
    }
    assert!(sim.rental_requests.len() > sim.rentals.len(), "some were repeated");
}

/// One silent machine among others that speak is handed back, and its tasks
/// start elsewhere long before its lease is over.
fn a_dead_machine_goes_back(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    let n = sim.worker_running("j-1/0").unwrap();
    sim.workers[n].partitioned = true;
    sim.run_until("elsewhere", 14_000, |sim| sim.worker_running("j-1/0").is_some_and(|m| m != n));
}

/// Guard: machines behind a cut are not taken for dead, neither while it
/// lasts, nor when it ends under a new leader and they come back one by one.
fn machines_behind_a_cut_are_kept(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.elect();
    sim.run(20_000);
    sim.submit(submission("j-1", "service", 16), 0);
    sim.run(5_000);
    let zone_b = |sim: &mut Simulation, cut: bool| {
        sim.workers.iter_mut().filter(|x| x.zone == "b").for_each(|x| x.partitioned = cut);
    };
    zone_b(sim, true);
    sim.run(9_000);
    sim.elect();
    sim.run(12_000);
    zone_b(sim, false);
    sim.run(30_000);
    assert!(sim.workers.iter().all(|x| !x.dead), "handed back though alive");
}

/// A job of 100,000 tasks goes through in parts, and nothing waits behind it.
fn a_large_job_stalls_nobody(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 100_000), 2_000);
    sim.run(10_000);
    assert!(sim.worker_running("j-1/0").is_some() || sim.completed.contains("j-1/0"));
    let mut job = submission("j-2", "batch", 4);
    job.priority = Some("high".into());
    sim.submit(job, 2_000);
    sim.run_until("the small one is done", 12_000, |sim| sim.status("j-2") == Status::Done);
    sim.elect();
    sim.run(10_000);
    assert!(sim.cancel("j-1"));
    sim.run(20_000);
    assert!(sim.workers.iter().all(|x| x.tasks.iter().all(|t| t.state == TaskState::Exited)));
    sim.submit(submission("j-3", "batch", 4), 2_000);
    sim.run_until("the next is done", 12_000, |sim| sim.status("j-3") == Status::Done);
}

/// Guard: reports are ordered by session and number; what is older than what
/// is known, or of a session that was counted out, changes nothing.
fn old_reports_change_nothing(sim: &mut Simulation) {
    sim.submit(submission("j-0", "batch", 1), 1_000);
    let mut job = submission("j-1", "batch", 1);
    job.zone = Some("nowhere".into());
    sim.submit(job, 1_000);
    sim.run(10_000);
    let ghost = |sim: &mut Simulation, seq: u64| {
        let mut r = sim.report_of(0);
        r.seq = seq;
        r.tasks =
            vec![TaskReport { task: "j-1/0".into(), attempt: 1, state: TaskState::Running, why: None, saved: None }];
        Held::Report(r)
    };
    let placed = |sim: &Simulation| {
        let ix = sim.job_cache.find("j-1").unwrap();
        sim.leader.as_ref().unwrap().job(ix).unwrap().placed
    };
    let early = ghost(sim, 1);
    sim.delayed.push((sim.now, early));
    sim.run(200);
    assert_eq!(placed(sim), 0, "an older report was believed");
    let mut job = submission("j-2", "service", 4);
    job.zone = Some("a".into());
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-2/0").is_some());
    let late = ghost(sim, 1 << 40);
    sim.workers.iter_mut().for_each(|x| x.partitioned = true);
    sim.run(LEASE + 3_000);
    sim.delayed.push((sim.now, late));
    sim.run(200);
    assert_eq!(placed(sim), 0, "a report of a dead session was believed");
}

fn strays_are_adopted(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    sim.submit(submission("j-1", "service", 2), 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    // A record lost by whatever hand: the tasks are there all the same.
    sim.records_lost = true;
    sim.store.keys.retain(|k, _| !k.starts_with("t/"));
    let (a, b) = (sim.worker_running("j-1/0"), sim.worker_running("j-1/1"));
    sim.elect();
    sim.run(20_000);
    assert_eq!((sim.worker_running("j-1/0"), sim.worker_running("j-1/1")), (a, b));
}

/// Guard: a copy of a report of a machine that was handed back comes to a
/// leader that never heard of it: nothing is given to the ghost.
fn a_copy_from_a_machine_that_went_back(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 500_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    let copies: Vec<_> = (0..2).map(|n| sim.report_of(n)).collect();
    for n in 0..2 {
        sim.workers[n].dead = true;
        sim.workers[n].tasks.clear();
    }
    sim.store.keys.retain(|k, _| !k.starts_with("t/"));
    sim.records_lost = true;
    sim.elect();
    for (n, c) in copies.into_iter().enumerate() {
        sim.delayed.push((sim.now + 1_000 * n as u64, Held::Report(c)));
    }
    sim.run(3_000);
    sim.submit(submission("j-2", "batch", 8), 5_000);
    sim.run_until("elsewhere, at once", 9_000, |sim| sim.status("j-2") == Status::Done);
}

/// Guard: to a new leader, an old copy is the newest report it has of a
/// machine; it neither frees what came later nor brings back what is over.
fn an_old_copy_is_the_first_that_a_leader_hears(sim: &mut Simulation) {
    sim.run(4_000);
    sim.submit(submission("j-1", "service", 3), 0);
    let mut job = submission("j-2", "service", 3);
    job.priority = Some("low".into());
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/2").is_some() && sim.worker_running("j-2/2").is_some());
    let copies: Vec<_> = (0..sim.workers.len()).map(|n| sim.report_of(n)).collect();
    // What those copies show is stopped, lost with a session, or goes elsewhere.
    assert!(sim.cancel("j-1"));
    let now = sim.now;
    sim.workers[0].restart(now);
    sim.workers[3].restart(now);
    sim.run(20_000);
    sim.submit(submission("j-3", "service", 8), 0);
    sim.run(20_000);
    let before: Vec<_> = (0..8).map(|n| sim.worker_running(&format!("j-3/{n}"))).collect();
    sim.workers.iter_mut().for_each(|x| x.partitioned = true);
    sim.elect();
    for c in copies {
        sim.delayed.push((sim.now, Held::Report(c)));
    }
    sim.run(2_000);
    sim.workers.iter_mut().for_each(|x| x.partitioned = false);
    sim.run(LEASE * 2);
    let after: Vec<_> = (0..8).map(|n| sim.worker_running(&format!("j-3/{n}"))).collect();
    assert_eq!(before, after, "what ran goes on where it was");
    assert!((0..3).all(|n| sim.worker_running(&format!("j-1/{n}")).is_none()), "cancelled for good");
    sim.run_until("the rest runs", 20_000, |sim| (0..3).all(|n| sim.worker_running(&format!("j-2/{n}")).is_some()));
}

/// Guard: a machine whose reports come, but that hears nothing, is noticed: it
/// gets no new work and goes back, whether it was deaf before or fell deaf.
fn a_machine_that_hears_nothing(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.workers[7].inbound_lost = true;
    sim.elect();
    sim.run(12_000);
    sim.submit(submission("j-1", "service", 9), 0);
    sim.run_until("runs", 12_000, |sim| (0..9).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    sim.run_until("deaf from the beginning: handed back", 15_000, |sim| sim.workers[7].dead);
    let n = sim.worker_running("j-1/0").unwrap();
    let lost: Vec<String> = sim.workers[n].tasks.iter().map(|t| t.name.clone()).collect();
    sim.workers[n].inbound_lost = true;
    sim.submit(submission("j-2", "batch", 20), 3_000);
    sim.run_until("all run elsewhere", LEASE + 20_000, |sim| {
        lost.iter().all(|t| sim.worker_running(t).is_some_and(|m| m != n))
    });
    sim.run_until("handed back", 60_000, |sim| sim.workers[n].dead);
    sim.run_until("nothing waits for it", 60_000, |sim| sim.status("j-2") == Status::Done);
}

/// Guard: machines that reach no controller, but answer its calls, took new
/// work in every new session and lost it with the next lease.
fn machines_that_reach_nobody_take_nothing_new(sim: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        sim.add_worker(zone);
    }
    sim.run(5_000);
    sim.submit(submission("j-1", "service", 4), 0);
    sim.run_until("all run", 20_000, |sim| (0..4).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    // What runs there has them asked, and they answer.
    let mute: Vec<usize> = (0..8).filter(|&n| !sim.workers[n].tasks.is_empty()).collect();
    mute.iter().for_each(|&n| sim.workers[n].outbound_lost = true);
    let room: usize = mute.iter().map(|&n| 4 - sim.workers[n].tasks.len()).sum();
    assert!(room > 0 && mute.len() <= 4, "{room} places free on {} machines", mute.len());
    sim.run(10_000);
    sim.submit(submission("j-2", "service", 16), 0);
    sim.run(20_000);
    let occupies_machine = |sim: &Simulation| {
        sim.workers.iter().filter(|x| x.outbound_lost).flat_map(|x| &x.tasks).any(|t| t.name.starts_with("j-2/"))
    };
    for _ in 0..LEASE * 2 / 1_000 {
        assert!(!occupies_machine(sim), "new work on a machine that reaches nobody");
        sim.run(1_000);
    }
    sim.workers.iter_mut().for_each(|x| x.outbound_lost = false);
    sim.run_until("they take work again", 20_000, |sim| {
        (0..16).all(|n| sim.worker_running(&format!("j-2/{n}")).is_some())
    });
}

/// A worker comes back with a new session before anybody missed it.
fn a_worker_that_is_back_at_once(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 4), 0);
    let mut job = submission("j-2", "ensemble", 3);
    job.one_zone = Some(true);
    sim.submit(job, 0);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/3").is_some() && sim.worker_running("j-2/2").is_some());
    for n in 0..4 {
        let now = sim.now;
        sim.workers[n].restart(now);
        if n == 2 {
            sim.elect();
        }
        sim.run(700);
    }
    sim.run_until("all run again", 40_000, |sim| {
        (0..4).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some())
            && (0..3).all(|n| sim.worker_running(&format!("j-2/{n}")).is_some())
    });
}

/// A controller comes back within a fraction of a second, again and again, as
/// the next leader each time: each finds what those before have begun.
fn leaders_that_follow_one_another_quickly(sim: &mut Simulation) {
    sim.faults =
        FaultRates { late_command: 30, lost_txn: 30, lost_report_answer: 20, late_report: 20, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 6), 0);
    sim.submit(submission("j-2", "batch", 10), 3_000);
    for _ in 0..12 {
        sim.elect();
        sim.run(300);
    }
    sim.faults = FaultRates::default();
    sim.run_until("done", 120_000, |sim| sim.status("j-2") == Status::Done);
    sim.run_until("runs", 90_000, |sim| (0..6).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
}

/// Guard: small work takes every machine that is free, so that a large gang
/// never found all of its own at once; nor did low priority get any.
fn the_largest_begin_in_time(sim: &mut Simulation) {
    let mut gang = submission("j-1", "ensemble", 4);
    (gang.cpus, gang.one_zone) = (Some(4.0), Some(true));
    sim.submit(gang, 100_000);
    let mut low = submission("j-2", "batch", 400);
    (low.priority, low.cpus) = (Some("low".into()), Some(4.0));
    sim.submit(low, 1_000);
    // Always more small work than there is room for, a moment earlier.
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
            assert!(sim.starts > 60, "small work runs meanwhile");
        }
    }
    sim.run_until("the gang begins", 240_000 - (sim.now - 1_000), |sim| {
        (0..4).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some())
    });
    let began = |sim: &Simulation| sim.completed.iter().any(|t| t.starts_with("j-2/"));
    sim.run_until("low priority begins", 245_000 - (sim.now - 1_000), began);
}

/// Guard: when more is due than there is room for, gangs of one machine took
/// every one that a larger gang could begin to collect, and it came last; one
/// gang in each zone collects its machines at a time.
fn the_largest_begin_in_time_in_a_backlog(sim: &mut Simulation) {
    for n in 0..4 {
        sim.add_worker(["a", "b"][n % 2]);
    }
    sim.run(5_000);
    let gang = |id: &str, tasks: u32| {
        let mut job = submission(id, "ensemble", tasks);
        (job.cpus, job.one_zone, job.priority) = (Some(8.0), Some(true), Some("high".into()));
        job
    };
    for n in 0..260 {
        sim.submit(gang(&format!("j-{}", 10 + n), 1), 7_000);
    }
    let from = sim.now;
    for n in 0..4 {
        sim.submit(gang(&format!("j-{n}"), 4), 7_000);
    }
    let begun = |sim: &Simulation| (0..4).all(|j| sim.completed.contains(&format!("j-{j}/0")));
    sim.run_until("all large ones have begun", from + 240_000 - sim.now, begun);
    assert!(sim.completed.len() > 100, "small ones run meanwhile");
    sim.run_until("the small ones are done", 400_000, |sim| {
        (0..260).all(|n| sim.status(&format!("j-{}", 10 + n)) == Status::Done)
    });
}

/// Guard: machines were rented without end in one zone for a gang that must be
/// over two; and half in each for one that must be in one.
fn machines_come_in_the_zones_that_need_them(sim: &mut Simulation) {
    sim.capacity = 20;
    for x in sim.workers.iter_mut().filter(|x| x.zone == "b") {
        x.dead = true;
    }
    sim.run(LEASE + 3_000);
    let mut job = submission("j-1", "ensemble", 3);
    (job.cpus, job.spread) = (Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("over two zones", 30_000, |sim| (0..3).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    sim.run(10_000);
    let mut job = submission("j-2", "ensemble", 4);
    (job.cpus, job.one_zone) = (Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("in one", 30_000, |sim| (0..4).all(|n| sim.worker_running(&format!("j-2/{n}")).is_some()));
    sim.run(10_000);
    assert!(sim.workers.len() <= 4 + 8, "{} machines", sim.workers.len());
}

/// Guard: behind a cut, another controller keeps the workers' leases for a
/// while. A leader outside, new since, counts none of them out on its own clock,
/// nor once the cut is over before the last lease kept has ended; and what is
/// cancelled meanwhile is gone in time.
fn leases_kept_behind_a_cut(sim: &mut Simulation) {
    for zone in ["b", "b", "a", "a", "a"] {
        sim.add_worker(zone);
    }
    sim.submit(submission("j-1", "service", 20), 0);
    sim.submit(submission("j-2", "service", 4), 0);
    sim.run_until("all run", 20_000, |sim| sim.starts == 24);
    let in_b = |sim: &Simulation| -> Vec<String> {
        let b = sim.workers.iter().filter(|x| x.zone == "b");
        b.flat_map(|x| x.tasks.iter().map(|t| t.name.clone())).filter(|t| t.starts_with("j-1/")).collect()
    };
    let there = in_b(sim);
    assert!(there.len() > 4);
    let zone_b = |sim: &mut Simulation, cut: bool, kept: bool| {
        sim.workers
            .iter_mut()
            .filter(|x| x.zone == "b")
            .for_each(|x| (x.partitioned, x.lease_kept_by_peer) = (cut, kept));
    };
    let most = lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0);
    zone_b(sim, true, true);
    sim.peers_silent_since = Some(sim.now);
    // The leader was inside; another one is elected, and a user cancels.
    sim.run(3_000);
    sim.elect();
    sim.submit(submission("j-3", "service", 8), 0);
    assert!(sim.cancel("j-2"));
    sim.run(most - 3_000);
    zone_b(sim, true, false);
    // Leases counted from the election on are over now; those kept are not.
    sim.run(LEASE + 2_500 - (most - 3_000));
    assert_eq!(in_b(sim), there, "they run on");
    assert!(there.iter().all(|t| sim.workers.iter().all(|x| x.zone == "b" || x.tasks.iter().all(|y| y.name != *t))));
    sim.run(6_000);
    zone_b(sim, false, false);
    sim.run(500);
    sim.peers_silent_since = None;
    sim.run(20_000);
    assert_eq!(in_b(sim), there, "and are there when the cut is over");
}

/// Guard: a sixth of all machines hang for longer than their leases. They go
/// back as soon as they are missed, since others of their zone speak; nothing
/// runs twice when they go on, and no more machines come than went.
fn many_machines_hang(sim: &mut Simulation) {
    (sim.capacity, sim.silent_ms) = (40, 8_500);
    for n in 0..20 {
        sim.add_worker(["a", "b"][n % 2]);
    }
    sim.elect();
    sim.run(20_000);
    let mut job = submission("j-1", "service", 40);
    job.spread = Some(true);
    sim.submit(job, 0);
    sim.submit(submission("j-2", "batch", 20), 20_000);
    sim.run_until("all run", 20_000, |sim| (0..40).all(|n| sim.worker_running(&format!("j-1/{n}")).is_some()));
    let hung: Vec<usize> = (0..24).filter(|&n| !sim.workers[n].tasks.is_empty()).take(4).collect();
    hung.iter().for_each(|&n| sim.workers[n].hung = true);
    let elsewhere = |sim: &Simulation| {
        (0..40).all(|t| sim.worker_running(&format!("j-1/{t}")).is_some_and(|n| !sim.workers[n].hung))
    };
    sim.run_until("replaced before their leases are over", LEASE - 5_000, elsewhere);
    sim.run(LEASE);
    hung.iter().for_each(|&n| sim.workers[n].hung = false);
    sim.run_until("done", 60_000, |sim| sim.status("j-2") == Status::Done);
    assert!(sim.workers.len() <= 24 + 6, "{} machines", sim.workers.len());
}

/// Guard: a gang that must be in one zone went to that of its first task's
/// cheapest machine, and waited for ever when that zone had too few.
fn room_for_a_gang_in_the_zone_that_has_enough(sim: &mut Simulation) {
    for _ in 0..2 {
        sim.add_worker("b");
    }
    sim.run(5_000);
    let mut job = submission("j-1", "batch", 24);
    job.priority = Some("low".into());
    sim.submit(job, 500_000);
    sim.run_until("all is full", 20_000, |sim| sim.starts == 24);
    let mut job = submission("j-2", "ensemble", 3);
    (job.priority, job.cpus, job.one_zone) = (Some("high".into()), Some(8.0), Some(true));
    sim.submit(job, 0);
    sim.run_until("the gang runs", 15_000, |sim| (0..3).all(|n| sim.worker_running(&format!("j-2/{n}")).is_some()));
}

/// Guard: orders for one worker may be more than an answer takes.
fn answers_stay_under_their_limit(sim: &mut Simulation) {
    use shedhook::protocol::{
        cbor,
        workers::{Order, ReportAnswer},
    };
    let orders: Vec<Order> = (0..5_000)
        .map(|n| Order::Halt { task: format!("j-00000000000000{n}/100000"), attempt: u64::MAX, grace_s: 10.5 })
        .collect();
    let one = |n: usize| cbor::encode(&ReportAnswer { token: u64::MAX, orders: orders[..n].to_vec() }).len();
    assert!(one(500) * 3 / 2 < 64 * 1024 && one(5_000) > 64 * 1024, "{}", one(500));
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    let mut job = submission("j-1", "batch", 1_200);
    (job.cpus, job.memory_gb) = (Some(0.001), Some(0.001));
    sim.slots = 5_000;
    sim.submit(job, 500_000);
    sim.run_until("all run", 60_000, |sim| sim.starts == 1_200);
    assert!(sim.cancel("j-1"));
    sim.run_until("all gone", 60_000, |sim| sim.workers[0].tasks.is_empty());
    assert!(
        sim.max_orders_in_message > 300 && sim.max_orders_in_message <= 500,
        "{} orders in one answer",
        sim.max_orders_in_message
    );
}

#[test]
fn rules_table() {
    let cases: &[Case] = &[
        ("crash before the write", crash_before_the_write),
        ("crash after the write", crash_after_the_write),
        ("late command, worker moved on", a_late_command_to_a_worker_that_moved_on),
        ("late command, hung worker", a_late_command_to_a_hung_worker),
        ("gang lost, launch in flight", a_gang_is_lost_with_a_launch_in_flight),
        ("records can't be written", nothing_starts_while_records_cannot_be_written),
        ("repeated command", a_repeated_command_after_the_reap),
        ("session seen by a probe", a_new_session_seen_by_a_probe),
        ("cut worker", a_worker_that_is_cut_off_goes_on),
        ("late report", a_late_report_from_before_the_launch),
        ("late transaction", a_late_transaction_of_the_leader_before),
        ("late copy of a transaction", a_late_copy_of_our_own_transaction),
        ("lost answers to transactions", a_lost_answer_to_every_second_transaction),
        ("cancelled, launch in flight", cancelled_with_the_launch_in_flight),
        ("cancelled, no leader", cancelled_while_the_leader_is_away),
        ("quota, silent machine", quota_while_a_machine_is_silent),
        ("same place, old attempt", same_place_with_an_old_attempt_unheard),
        ("scatter", scatter_keeps_its_half),
        ("gang stops in order", a_gang_stops_in_order),
        ("rentals", rentals_are_never_doubled),
        ("dead machine", a_dead_machine_goes_back),
        ("machines behind a cut", machines_behind_a_cut_are_kept),
        ("large job", a_large_job_stalls_nobody),
        ("old reports", old_reports_change_nothing),
        ("strays", strays_are_adopted),
        ("ghost", a_copy_from_a_machine_that_went_back),
        ("old copy first", an_old_copy_is_the_first_that_a_leader_hears),
        ("deaf", a_machine_that_hears_nothing),
        ("mute", machines_that_reach_nobody_take_nothing_new),
        ("worker back at once", a_worker_that_is_back_at_once),
        ("leaders in a row", leaders_that_follow_one_another_quickly),
        ("the largest", the_largest_begin_in_time),
        ("the largest, in a backlog", the_largest_begin_in_time_in_a_backlog),
        ("zones of rentals", machines_come_in_the_zones_that_need_them),
        ("leases kept", leases_kept_behind_a_cut),
        ("many hang", many_machines_hang),
        ("room in one zone", room_for_a_gang_in_the_zone_that_has_enough),
        ("answers", answers_stay_under_their_limit),
    ];
    run_table(cases);
}

/// Everything at once, by chance with fixed seeds: nothing breaks a rule, and
/// once the faults clears all arrays are done.
#[test]
fn bad_weather() {
    for seed in 0..32 {
        let mut sim = Simulation::new(seed, 6);
        sim.team_gpus_max = 8.0;
        sim.capacity = 12;
        sim.fetch = [200, 1_000][sim.random_below(2)];
        if seed % 2 == 0 {
            sim.silent_ms = 8_500; // silent and deaf machines go back
        }
        sim.faults = FaultRates {
            late_command: 10,
            lost_command: 5,
            repeated_command: 20,
            slow_command: 20,
            lost_txn: 10,
            lost_report_answer: 10,
            late_report: 10,
            lost_rental_answer: 30,
            ..FaultRates::default()
        };
        sim.elect();
        for n in 0..12u32 {
            let kind = ["batch", "ensemble", "service"][sim.random_below(3)];
            let tasks = 1 + sim.random_below(6) as u32;
            let mut job = submission(&format!("j-{n}"), kind, tasks);
            job.gpus = Some(sim.random_below(2) as f64);
            job.one_zone = Some(sim.random_below(3) == 0);
            job.spread = Some(job.one_zone == Some(false) && sim.random_below(3) == 0);
            job.priority = Some(["low", "normal", "high"][sim.random_below(3)].into());
            let run = if kind == "service" { 0 } else { 2_000 + 1_000 * sim.random_below(20) as u64 };
            sim.submit(job, run);
            for _ in 0..3 {
                let at = sim.random_below(sim.workers.len());
                match sim.random_below(14) {
                    0 => sim.workers[at].partitioned = true,
                    1 => sim.workers[at].hung = true,
                    2 | 3 => sim
                        .workers
                        .iter_mut()
                        .for_each(|x| (x.partitioned, x.hung, x.inbound_lost) = (false, false, false)),
                    4 => sim.elect(),
                    5 => sim.leader = None,
                    7 => sim.workers[at].inbound_lost = true,
                    8 => {
                        let now = sim.now;
                        sim.workers[at].restart(now);
                    }
                    6 if n > 2 => {
                        let id = format!("j-{}", sim.random_below(n as usize));
                        sim.cancel(&id);
                    }
                    _ => {}
                }
                sim.run(5_000);
                if sim.leader.is_none() && sim.random_below(2) == 0 {
                    sim.elect();
                }
            }
        }
        sim.check(&format!("seed {seed}"));
        sim.faults = FaultRates::default();
        sim.capacity = 12;
        sim.workers.iter_mut().for_each(|x| (x.partitioned, x.hung, x.inbound_lost) = (false, false, false));
        sim.elect();
        for n in 0..12 {
            let id = format!("j-{n}");
            if sim.jobs[&id].run_ms == 0 {
                sim.cancel(&id);
            }
        }
        let over = |sim: &Simulation| (0..12).all(|n| sim.status(&format!("j-{n}")) != Status::Pending);
        sim.run_until(&format!("seed {seed}: all over"), 900_000, over);
        sim.check(&format!("seed {seed}, afterwards"));
    }
}

/// Half as many again as the largest deployment.
const MACHINES: usize = 2_850;
const SERVICES: usize = 60;
const ARRAYS: usize = 100;

/// Work is counted in machines looked at and records written, not by the clock.
///
/// Guard: each pass, report and sweep looked at every machine, place and job;
/// every end rewrote its job's record; fixed shares of the writes left half of
/// them unused while submissions were refused.
#[test]
fn thousands_of_machines_and_five_controllers() {
    let mut sim = Simulation::new(3, MACHINES);
    sim.limit_writes(35.0, 5);
    (sim.chunk, sim.run_ms_step) = (64, 700);
    sim.elect();
    sim.run(8_000);
    let looked = |sim: &Simulation| sim.leader.as_ref().unwrap().snapshot.looked;
    let written = |sim: &Simulation| sim.writes.as_ref().unwrap().written;
    assert_eq!((looked(&sim), written(&sim)), (0, 0), "nobody asked for anything");

    // Two jobs a second, ten in a row at one controller.
    let (mut refused, mut tasks) = (0, 0);
    for n in 0..SERVICES + ARRAYS {
        let (id, service) = (format!("j-{n}"), n % 8 < 3);
        let (kind, size, run) = if service { ("service", 8, 0) } else { ("batch", 20 + (n % 40) as u32, 3_000) };
        let mut job = submission(&id, kind, size);
        job.spread = Some(service);
        job.priority = Some(if service { "prod" } else { "low" }.into());
        tasks += size as usize;
        while !sim.submit_at(n / 10 % 5, job.clone(), run) {
            refused += 1;
            sim.run(1_000);
        }
        sim.run(if n % 10 == 9 { 4_000 } else { 100 });
    }
    let over = |sim: &Simulation| {
        (0..SERVICES + ARRAYS).filter(|n| n % 8 >= 3).all(|n| sim.status(&format!("j-{n}")) == Status::Done)
    };
    sim.run_until("all arrays are done", 60_000, over);
    assert!(refused <= 3, "{refused} submissions refused at a fifteenth of the limit");
    assert!(sim.writes.as_ref().unwrap().refused == 0, "the service itself refused");
    // A task is looked for on a sample, whatever the number of machines; most
    // find their place beside another of their job.
    let per_task = looked(&sim) / tasks as u64;
    assert!(per_task <= 2 * LOOK as u64, "{per_task} machines looked at for a task");
    // Submitted, placed, some ends, done, dropped: not a write for each task.
    let per_job = written(&sim) as f64 / (SERVICES + ARRAYS) as f64;
    assert!(per_job < 7.0, "{per_job} writes a job");

    // Reports and sweeps that change nothing cost nothing of either.
    sim.run(250_000);
    let before = (looked(&sim), written(&sim));
    sim.run(30_000);
    assert_eq!((looked(&sim), written(&sim)), before, "nothing happened");

    // A new leader hears all workers anew: nothing moves.
    let starts = sim.starts;
    sim.elect();
    sim.run(20_000);
    assert_eq!(sim.starts, starts, "nothing starts anew");
    assert!(sim.worker_running("j-0/7").is_some());
    let n = sim.worker_running("j-0/0").unwrap();
    sim.workers[n].dead = true;
    sim.run_until("the dead machine's replica runs elsewhere", 60_000, |sim| {
        sim.worker_running("j-0/0").is_some_and(|m| m != n)
    });
    assert!(looked(&sim) < 20_000, "{} machines looked at for a few replicas", looked(&sim));
    sim.check("thousands of machines");
}
