//! The rules at the end of PROTOCOL, one table of cases: each holds, loses or
//! kills something, and the judge of `simulation` watches every start.

mod simulation;

use shedhook::{
    bookkeeping::records::Status,
    coordination::{lease_renewal, snapshot::LOOK},
    protocol::workers::{TaskReport, TaskState},
};
use simulation::{run_table, sub, Case, FaultRates, Held, Simulation, CANCEL, LEASE};

fn crash_before_the_write(w: &mut Simulation) {
    w.die_before_txn = true;
    w.submit(sub("j-1", "batch", 6), 5_000);
    w.run(3_000);
    assert!(w.leader.is_none() && w.starts == 0, "nothing starts before its record is written");
    w.elect();
    w.until("done", 60_000, |w| w.status("j-1") == Status::Done);
}

fn crash_after_the_write(w: &mut Simulation) {
    w.die_after_txn = true;
    w.submit(sub("j-1", "batch", 6), 5_000);
    w.run(3_000);
    assert!(w.leader.is_none());
    w.elect();
    w.until("done", 60_000, |w| w.status("j-1") == Status::Done);
}

fn a_late_command_to_a_worker_that_moved_on(w: &mut Simulation) {
    w.faults = FaultRates { late_do: 100, ..FaultRates::default() };
    w.submit(sub("j-1", "service", 3), 0);
    w.run(400);
    w.elect();
    w.faults = FaultRates::default();
    w.run(200_000);
}

/// Guard: the new leader counts a place as taken until the worker's lease is
/// over, though the worker never said that it has the task.
fn a_late_command_to_a_hung_worker(w: &mut Simulation) {
    w.submit(sub("j-1", "service", 1), 0);
    w.until("launched", 8_000, |w| w.workers.iter().any(|x| !x.tasks.is_empty()));
    let n = (0..w.workers.len()).find(|&n| w.workers[n].tasks.iter().any(|t| t.state != TaskState::Exited));
    let n = n.expect("launched");
    w.workers[n].hung = true;
    w.elect();
    w.run(LEASE - 3_000);
    assert!(w.workers.iter().enumerate().all(|(m, x)| m == n || x.tasks.is_empty()), "too early elsewhere");
    w.workers[n].hung = false;
    w.run(100_000);
    assert!(w.where_is("j-1/0").is_some());
}

/// Guard: a launch that went unanswered may arrive until the worker has shown
/// the raised token; that it lists no such task until then proves nothing.
fn a_gang_is_lost_with_a_launch_in_flight(w: &mut Simulation) {
    w.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    w.run(5_000);
    w.faults = FaultRates { late_do: 100, ..FaultRates::default() };
    let mut s = sub("j-1", "ensemble", 2);
    s.cpus = Some(8.0);
    w.submit(s, 0);
    w.run(200);
    assert_eq!(w.held.len(), 2, "both launches are on their way");
    let now = w.now;
    for (at, h) in &mut w.held {
        *at = now + if matches!(h, Held::Do { worker: 0, .. }) { 15_000 } else { 100 };
    }
    w.faults = FaultRates::default();
    w.workers[0].deaf = true;
    w.run(2_000);
    // The other one is lost: the gang stops, and starts anew when all of it is gone.
    w.workers[1].restart(now + 2_000);
    w.add_worker("b");
    w.add_worker("a");
    w.run(20_000);
    w.workers[0].deaf = false;
    w.until("runs", 60_000, |w| w.where_is("j-1/0").is_some() && w.where_is("j-1/1").is_some());
}

/// Guard: nothing is launched before its record is written, neither by a
/// command nor in the answer to a report; a gang only after all of its records.
fn nothing_starts_while_records_cannot_be_written(w: &mut Simulation) {
    w.run(5_000);
    w.txns_left = Some(1);
    let mut s = sub("j-1", "ensemble", 40);
    (s.cpus, s.memory_gb) = (Some(0.5), Some(0.5));
    w.slots = 40;
    w.submit(s, 5_000);
    w.run(10_000);
    w.submit(sub("j-2", "batch", 4), 5_000);
    w.run(10_000);
    assert!(w.txns > 2 && w.workers.iter().all(|x| x.tasks.is_empty()), "launched before it was written");
    w.txns_left = None;
    w.until("done", 60_000, |w| w.status("j-1") == Status::Done && w.status("j-2") == Status::Done);
}

/// Guard: a repeat of a command that was carried out comes after its task was
/// stopped and reaped, and runs elsewhere.
fn a_repeated_command_after_the_reap(w: &mut Simulation) {
    w.run(5_000);
    w.faults = FaultRates { repeat_do: 100, ..FaultRates::default() };
    let mut s = sub("j-1", "service", 1);
    s.priority = Some("low".into());
    w.submit(s, 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/0").is_some());
    assert!(!w.held.is_empty(), "launched by a command, of which a copy is under way");
    let at = w.now + 30_000;
    w.held.iter_mut().for_each(|h| h.0 = at);
    w.faults = FaultRates::default();
    let n = w.where_is("j-1/0").unwrap();
    let mut s = sub("j-2", "ensemble", 4);
    (s.priority, s.cpus) = (Some("high".into()), Some(7.0));
    w.submit(s, 0);
    w.run(10_000);
    assert!(w.where_is("j-1/0").is_none(), "stopped for the other");
    w.fetch = 0;
    w.add_worker("a");
    w.until("elsewhere", 15_000, |w| w.where_is("j-1/0").is_some_and(|m| m != n));
    w.run(40_000);
}

/// Guard: a session learned from a probe or a command's answer has a lease of
/// its own, counted from when it was seen, though no report of it came.
fn a_new_session_seen_by_a_probe(w: &mut Simulation) {
    w.submit(sub("j-1", "service", 9), 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/8").is_some());
    w.workers.iter_mut().skip(1).for_each(|x| x.mute = true);
    w.run(LEASE * 3);
    w.workers.iter_mut().for_each(|x| x.mute = false);
    w.until("runs", 40_000, |w| w.where_is("j-1/8").is_some());
}

fn a_worker_that_is_cut_off_goes_on(w: &mut Simulation) {
    w.submit(sub("j-1", "service", 2), 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/0").is_some());
    let n = w.where_is("j-1/0").unwrap();
    w.workers[n].cut = true;
    // Guard: silence proves nothing before the lease, counted from the last 200.
    w.run(LEASE - 2_000);
    assert_eq!(w.where_is("j-1/0"), Some(n));
    w.until("elsewhere", 20_000, |w| w.where_is("j-1/0").is_some_and(|m| m != n));
    w.workers[n].cut = false;
    w.run(60_000);
}

/// Guard: a report from before the launch, delivered to the next leader, does
/// not list the task; that must not free its place.
fn a_late_report_from_before_the_launch(w: &mut Simulation) {
    w.run(4_000);
    let early: Vec<_> = (0..w.workers.len()).map(|n| w.report_of(n)).collect();
    w.submit(sub("j-1", "service", 3), 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/2").is_some());
    for x in &mut w.workers {
        x.cut = true;
    }
    w.elect();
    for r in early {
        w.held.push((w.now, Held::Report(r)));
    }
    let free = w.add_worker("a");
    w.run(LEASE - 4_000);
    let spare = w.workers.iter().find(|x| x.id == free).unwrap();
    assert!(spare.tasks.is_empty(), "started anew while the old ones still run");
    for x in &mut w.workers {
        x.cut = false;
    }
    w.run(60_000);
}

fn a_late_transaction_of_the_leader_before(w: &mut Simulation) {
    w.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    w.submit(sub("j-1", "batch", 8), 4_000);
    w.run(500);
    w.faults = FaultRates::default();
    w.elect();
    w.until("done", 90_000, |w| w.status("j-1") == Status::Done);
    w.run(45_000);
}

/// Guard: a copy of a transaction that is applied late must not turn the
/// records back to where tasks were before.
fn a_late_copy_of_our_own_transaction(w: &mut Simulation) {
    w.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    w.run(5_000);
    let mut s = sub("j-1", "service", 1);
    s.priority = Some("low".into());
    w.submit(s, 0);
    w.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    w.until("a copy is held", 60_000, |w| !w.held.is_empty());
    w.faults = FaultRates::default();
    let at = w.now + 30_000;
    w.held.iter_mut().for_each(|h| h.0 = at);
    w.until("runs", 20_000, |w| w.where_is("j-1/0").is_some());
    let mut s = sub("j-2", "ensemble", 1);
    (s.priority, s.cpus) = (Some("high".into()), Some(8.0));
    w.submit(s, 0);
    w.run(5_000);
    w.add_worker("b");
    w.until("elsewhere", 15_000, |w| w.where_is("j-1/0").is_some_and(|n| n != 0));
    w.run(40_000);
    w.elect();
    w.run(10_000);
}

fn a_lost_answer_to_every_second_transaction(w: &mut Simulation) {
    w.faults = FaultRates { lost_txn: 50, ..FaultRates::default() };
    w.submit(sub("j-1", "batch", 12), 2_000);
    w.submit(sub("j-2", "service", 2), 0);
    w.until("done", 300_000, |w| w.status("j-1") == Status::Done);
}

/// Guard: a launch under way when its job is cancelled is found and stopped.
fn cancelled_with_the_launch_in_flight(w: &mut Simulation) {
    w.faults = FaultRates { late_do: 100, ..FaultRates::default() };
    w.submit(sub("j-1", "batch", 4), 500_000);
    w.run(300);
    assert!(w.cancel("j-1"));
    w.faults = FaultRates::default();
    w.submit(sub("j-2", "batch", 1), 1_000);
    w.run(150_000);
    assert_eq!(w.status("j-1"), Status::Cancelled);
}

fn cancelled_while_the_leader_is_away(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 4), 500_000);
    w.until("runs", 10_000, |w| w.where_is("j-1/0").is_some());
    w.leader = None;
    assert!(w.cancel("j-1"));
    w.run(10_000);
    w.elect();
    w.run(60_000);
    assert!(w.where_is("j-1/0").is_none());
}

/// Guard: the limit counts places whose tasks may still be there.
fn quota_while_a_machine_is_silent(w: &mut Simulation) {
    w.team_gpus_max = 4.0;
    w.elect();
    let mut s = sub("j-1", "service", 2);
    s.gpus = Some(2.0);
    w.submit(s, 0);
    w.until("both run", 10_000, |w| w.where_is("j-1/1").is_some() && w.where_is("j-1/0").is_some());
    let n = w.where_is("j-1/0").unwrap();
    w.workers[n].cut = true;
    let mut s = sub("j-2", "service", 1);
    s.gpus = Some(2.0);
    w.submit(s, 0);
    w.run(LEASE / 2);
    assert!(w.cancel("j-1"));
    w.run(LEASE + 10_000);
    w.workers[n].cut = false;
    w.run(20_000);
    assert!(w.where_is("j-2/0").is_some());
}

/// Guard: an attempt that may still run binds its job to its zone.
fn same_place_with_an_old_attempt_unheard(w: &mut Simulation) {
    let mut s = sub("j-1", "ensemble", 2);
    s.one_zone = Some(true);
    w.submit(s, 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/0").is_some() && w.where_is("j-1/1").is_some());
    let zone = w.workers[w.where_is("j-1/0").unwrap()].zone.clone();
    for x in w.workers.iter_mut().filter(|x| x.zone == zone) {
        x.cut = true;
    }
    w.elect();
    w.run(LEASE * 3);
    let n = w.where_is("j-1/0").expect("runs again");
    assert_ne!(w.workers[n].zone, zone);
}

fn scatter_keeps_its_half(w: &mut Simulation) {
    let mut s = sub("j-1", "service", 5);
    s.spread = Some(true);
    w.submit(s, 0);
    w.until("all run", 15_000, |w| (0..5).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    for n in 0..2 {
        w.workers[n].dead = true;
        w.workers[n].tasks.clear();
    }
    w.elect();
    w.run(LEASE * 2);
}

/// Guard: all tasks of a gang are told to stop at one moment, with the time to save.
fn a_gang_stops_in_order(w: &mut Simulation) {
    let mut s = sub("j-1", "ensemble", 4);
    s.priority = Some("low".into());
    (s.cpus, s.checkpoint_s, s.save_s) = (Some(8.0), Some(20.0), Some(4.0));
    w.submit(s, 0);
    w.until("runs", 15_000, |w| (0..4).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    let mut s = sub("j-2", "ensemble", 1);
    (s.priority, s.cpus) = (Some("high".into()), Some(8.0));
    w.submit(s, 0);
    w.until("preempted", 10_000, |w| w.where_is("j-2/0").is_some());
    let halts: Vec<_> = w.halts_seen.iter().filter(|h| h.1.starts_with("j-1/")).collect();
    assert_eq!(halts.len(), 4, "a gang is stopped whole");
    assert!(halts.iter().all(|h| h.2 >= 4.0), "with grace to save");
    assert!(halts.iter().all(|h| h.0 < halts[0].0 + 4_000), "together");
}

/// Guard: a rental that went unanswered is asked for again by the same name,
/// and no later leader uses a name of an earlier one.
fn rentals_are_never_doubled(w: &mut Simulation) {
    w.capacity = 6;
    w.faults = FaultRates { lost_rent: 100, ..FaultRates::default() };
    w.elect();
    w.submit(sub("j-1", "batch", 24), 8_000);
    w.run(8_000);
    let machines = w.workers.len();
    w.elect();
    w.run(4_000);
    w.faults = FaultRates::default();
    w.until("done", 200_000, |w| w.status("j-1") == Status::Done);
    assert!(machines > 4, "what was rented unheard is used");
    for (stamp, name) in &w.asked_in {
        assert!(w.asked_in.iter().all(|(s, n)| n != name || s == stamp), "{name} in two leaderships");
    }
    assert!(w.asked_in.len() > w.asks.len(), "some were repeated");
}

/// One silent machine among others that speak is handed back, and its tasks
/// start elsewhere long before its lease is over.
fn a_dead_machine_goes_back(w: &mut Simulation) {
    (w.capacity, w.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    w.elect();
    w.run(20_000);
    w.submit(sub("j-1", "service", 2), 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/0").is_some());
    let n = w.where_is("j-1/0").unwrap();
    w.workers[n].cut = true;
    w.until("elsewhere", 14_000, |w| w.where_is("j-1/0").is_some_and(|m| m != n));
}

/// Guard: machines behind a cut are not taken for dead, neither while it
/// lasts, nor when it ends under a new leader and they come back one by one.
fn machines_behind_a_cut_are_kept(w: &mut Simulation) {
    (w.capacity, w.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    w.elect();
    w.run(20_000);
    w.submit(sub("j-1", "service", 16), 0);
    w.run(5_000);
    let zone_b = |w: &mut Simulation, cut: bool| {
        w.workers.iter_mut().filter(|x| x.zone == "b").for_each(|x| x.cut = cut);
    };
    zone_b(w, true);
    w.run(9_000);
    w.elect();
    w.run(12_000);
    zone_b(w, false);
    w.run(30_000);
    assert!(w.workers.iter().all(|x| !x.dead), "handed back though alive");
}

/// A job of 100,000 tasks goes through in parts, and nothing waits behind it.
fn a_large_job_stalls_nobody(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 100_000), 2_000);
    w.run(10_000);
    assert!(w.where_is("j-1/0").is_some() || w.completed.contains("j-1/0"));
    let mut s = sub("j-2", "batch", 4);
    s.priority = Some("high".into());
    w.submit(s, 2_000);
    w.until("the small one is done", 12_000, |w| w.status("j-2") == Status::Done);
    w.elect();
    w.run(10_000);
    assert!(w.cancel("j-1"));
    w.run(20_000);
    assert!(w.workers.iter().all(|x| x.tasks.iter().all(|t| t.state == TaskState::Exited)));
    w.submit(sub("j-3", "batch", 4), 2_000);
    w.until("the next is done", 12_000, |w| w.status("j-3") == Status::Done);
}

/// Guard: reports are ordered by session and number; what is older than what
/// is known, or of a session that was counted out, changes nothing.
fn old_reports_change_nothing(w: &mut Simulation) {
    w.submit(sub("j-0", "batch", 1), 1_000);
    let mut s = sub("j-1", "batch", 1);
    s.zone = Some("nowhere".into());
    w.submit(s, 1_000);
    w.run(10_000);
    let ghost = |w: &mut Simulation, seq: u64| {
        let mut r = w.report_of(0);
        r.seq = seq;
        r.tasks =
            vec![TaskReport { task: "j-1/0".into(), attempt: 1, state: TaskState::Running, why: None, saved: None }];
        Held::Report(r)
    };
    let placed = |w: &Simulation| {
        let ix = w.job_cache.find("j-1").unwrap();
        w.leader.as_ref().unwrap().job(ix).unwrap().placed
    };
    let early = ghost(w, 1);
    w.held.push((w.now, early));
    w.run(200);
    assert_eq!(placed(w), 0, "an older report was believed");
    let mut s = sub("j-2", "service", 4);
    s.zone = Some("a".into());
    w.submit(s, 0);
    w.until("runs", 10_000, |w| w.where_is("j-2/0").is_some());
    let late = ghost(w, 1 << 40);
    w.workers.iter_mut().for_each(|x| x.cut = true);
    w.run(LEASE + 3_000);
    w.held.push((w.now, late));
    w.run(200);
    assert_eq!(placed(w), 0, "a report of a dead session was believed");
}

fn strays_are_adopted(w: &mut Simulation) {
    w.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    w.submit(sub("j-1", "service", 2), 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/1").is_some());
    // A record lost by whatever hand: the tasks are there all the same.
    w.records_lost = true;
    w.store.keys.retain(|k, _| !k.starts_with("t/"));
    let (a, b) = (w.where_is("j-1/0"), w.where_is("j-1/1"));
    w.elect();
    w.run(20_000);
    assert_eq!((w.where_is("j-1/0"), w.where_is("j-1/1")), (a, b));
}

/// Guard: a copy of a report of a machine that was handed back comes to a
/// leader that never heard of it: nothing is given to the ghost.
fn a_copy_from_a_machine_that_went_back(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 2), 500_000);
    w.until("runs", 10_000, |w| w.where_is("j-1/1").is_some());
    let copies: Vec<_> = (0..2).map(|n| w.report_of(n)).collect();
    for n in 0..2 {
        w.workers[n].dead = true;
        w.workers[n].tasks.clear();
    }
    w.store.keys.retain(|k, _| !k.starts_with("t/"));
    w.records_lost = true;
    w.elect();
    for (n, c) in copies.into_iter().enumerate() {
        w.held.push((w.now + 1_000 * n as u64, Held::Report(c)));
    }
    w.run(3_000);
    w.submit(sub("j-2", "batch", 8), 5_000);
    w.until("elsewhere, at once", 9_000, |w| w.status("j-2") == Status::Done);
}

/// Guard: to a new leader, an old copy is the newest report it has of a
/// machine; it neither frees what came later nor brings back what is over.
fn an_old_copy_is_the_first_that_a_leader_hears(w: &mut Simulation) {
    w.run(4_000);
    w.submit(sub("j-1", "service", 3), 0);
    let mut s = sub("j-2", "service", 3);
    s.priority = Some("low".into());
    w.submit(s, 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/2").is_some() && w.where_is("j-2/2").is_some());
    let copies: Vec<_> = (0..w.workers.len()).map(|n| w.report_of(n)).collect();
    // What those copies show is stopped, lost with a session, or goes elsewhere.
    assert!(w.cancel("j-1"));
    let now = w.now;
    w.workers[0].restart(now);
    w.workers[3].restart(now);
    w.run(20_000);
    w.submit(sub("j-3", "service", 8), 0);
    w.run(20_000);
    let before: Vec<_> = (0..8).map(|n| w.where_is(&format!("j-3/{n}"))).collect();
    w.workers.iter_mut().for_each(|x| x.cut = true);
    w.elect();
    for c in copies {
        w.held.push((w.now, Held::Report(c)));
    }
    w.run(2_000);
    w.workers.iter_mut().for_each(|x| x.cut = false);
    w.run(LEASE * 2);
    let after: Vec<_> = (0..8).map(|n| w.where_is(&format!("j-3/{n}"))).collect();
    assert_eq!(before, after, "what ran goes on where it was");
    assert!((0..3).all(|n| w.where_is(&format!("j-1/{n}")).is_none()), "cancelled for good");
    w.until("the rest runs", 20_000, |w| (0..3).all(|n| w.where_is(&format!("j-2/{n}")).is_some()));
}

/// Guard: a machine whose reports come, but that hears nothing, is noticed: it
/// gets no new work and goes back, whether it was deaf before or fell deaf.
fn a_machine_that_hears_nothing(w: &mut Simulation) {
    (w.capacity, w.silent_ms) = (1, 8_500);
    for zone in ["a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    w.workers[7].stone = true;
    w.elect();
    w.run(12_000);
    w.submit(sub("j-1", "service", 9), 0);
    w.until("runs", 12_000, |w| (0..9).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    w.until("deaf from the beginning: handed back", 15_000, |w| w.workers[7].dead);
    let n = w.where_is("j-1/0").unwrap();
    let lost: Vec<String> = w.workers[n].tasks.iter().map(|t| t.name.clone()).collect();
    w.workers[n].stone = true;
    w.submit(sub("j-2", "batch", 20), 3_000);
    w.until("all run elsewhere", LEASE + 20_000, |w| lost.iter().all(|t| w.where_is(t).is_some_and(|m| m != n)));
    w.until("handed back", 60_000, |w| w.workers[n].dead);
    w.until("nothing waits for it", 60_000, |w| w.status("j-2") == Status::Done);
}

/// Guard: machines that reach no controller, but answer its calls, took new
/// work in every new session and lost it with the next lease.
fn machines_that_reach_nobody_take_nothing_new(w: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    w.run(5_000);
    w.submit(sub("j-1", "service", 4), 0);
    w.until("all run", 20_000, |w| (0..4).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    // What runs there has them asked, and they answer.
    let mute: Vec<usize> = (0..8).filter(|&n| !w.workers[n].tasks.is_empty()).collect();
    mute.iter().for_each(|&n| w.workers[n].mute = true);
    let room: usize = mute.iter().map(|&n| 4 - w.workers[n].tasks.len()).sum();
    assert!(room > 0 && mute.len() <= 4, "{room} places free on {} machines", mute.len());
    w.run(10_000);
    w.submit(sub("j-2", "service", 16), 0);
    w.run(20_000);
    let is_there =
        |w: &Simulation| w.workers.iter().filter(|x| x.mute).flat_map(|x| &x.tasks).any(|t| t.name.starts_with("j-2/"));
    for _ in 0..LEASE * 2 / 1_000 {
        assert!(!is_there(w), "new work on a machine that reaches nobody");
        w.run(1_000);
    }
    w.workers.iter_mut().for_each(|x| x.mute = false);
    w.until("they take work again", 20_000, |w| (0..16).all(|n| w.where_is(&format!("j-2/{n}")).is_some()));
}

/// A worker comes back with a new session before anybody missed it.
fn a_worker_that_is_back_at_once(w: &mut Simulation) {
    w.submit(sub("j-1", "service", 4), 0);
    let mut s = sub("j-2", "ensemble", 3);
    s.one_zone = Some(true);
    w.submit(s, 0);
    w.until("runs", 10_000, |w| w.where_is("j-1/3").is_some() && w.where_is("j-2/2").is_some());
    for n in 0..4 {
        let now = w.now;
        w.workers[n].restart(now);
        if n == 2 {
            w.elect();
        }
        w.run(700);
    }
    w.until("all run again", 40_000, |w| {
        (0..4).all(|n| w.where_is(&format!("j-1/{n}")).is_some())
            && (0..3).all(|n| w.where_is(&format!("j-2/{n}")).is_some())
    });
}

/// A controller comes back within a fraction of a second, again and again, as
/// the next leader each time: each finds what those before have begun.
fn leaders_that_follow_one_another_quickly(w: &mut Simulation) {
    w.faults = FaultRates { late_do: 30, lost_txn: 30, lost_answer: 20, late_report: 20, ..FaultRates::default() };
    w.submit(sub("j-1", "service", 6), 0);
    w.submit(sub("j-2", "batch", 10), 3_000);
    for _ in 0..12 {
        w.elect();
        w.run(300);
    }
    w.faults = FaultRates::default();
    w.until("done", 120_000, |w| w.status("j-2") == Status::Done);
    w.until("runs", 90_000, |w| (0..6).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
}

/// Guard: small work takes every machine that is free, so that a large gang
/// never found all of its own at once; nor did low priority get any.
fn the_largest_begin_in_time(w: &mut Simulation) {
    let mut gang = sub("j-1", "ensemble", 4);
    (gang.cpus, gang.one_zone) = (Some(4.0), Some(true));
    w.submit(gang, 100_000);
    let mut low = sub("j-2", "batch", 400);
    (low.priority, low.cpus) = (Some("low".into()), Some(4.0));
    w.submit(low, 1_000);
    // Always more small work than there is room for, a moment earlier.
    for n in 0..60 {
        let mut s = sub(&format!("j-{}", 100 + n), "batch", 8);
        (s.cpus, s.estimate_s) = (Some(4.0), Some(5.0));
        (s.priority, s.class) = (Some("normal".into()), Some("small".into()));
        s.deadline_s = Some(900.0);
        w.submit(s, 7_000);
        if n < 36 {
            w.run(4_000);
        }
        if n == 30 {
            assert!(w.starts > 60, "small work runs meanwhile");
        }
    }
    w.until("the gang begins", 240_000 - (w.now - 1_000), |w| {
        (0..4).all(|n| w.where_is(&format!("j-1/{n}")).is_some())
    });
    let began = |w: &Simulation| w.completed.iter().any(|t| t.starts_with("j-2/"));
    w.until("low priority begins", 245_000 - (w.now - 1_000), began);
}

/// Guard: when more is due than there is room for, gangs of one machine took
/// every one that a larger gang could begin to collect, and it came last; one
/// gang in each zone collects its machines at a time.
fn the_largest_begin_in_time_in_a_backlog(w: &mut Simulation) {
    for n in 0..4 {
        w.add_worker(["a", "b"][n % 2]);
    }
    w.run(5_000);
    let gang = |id: &str, tasks: u32| {
        let mut s = sub(id, "ensemble", tasks);
        (s.cpus, s.one_zone, s.priority) = (Some(8.0), Some(true), Some("high".into()));
        s
    };
    for n in 0..260 {
        w.submit(gang(&format!("j-{}", 10 + n), 1), 7_000);
    }
    let from = w.now;
    for n in 0..4 {
        w.submit(gang(&format!("j-{n}"), 4), 7_000);
    }
    let begun = |w: &Simulation| (0..4).all(|j| w.completed.contains(&format!("j-{j}/0")));
    w.until("all large ones have begun", from + 240_000 - w.now, begun);
    assert!(w.completed.len() > 100, "small ones run meanwhile");
    w.until("the small ones are done", 400_000, |w| {
        (0..260).all(|n| w.status(&format!("j-{}", 10 + n)) == Status::Done)
    });
}

/// Guard: machines were rented without end in one zone for a gang that must be
/// over two; and half in each for one that must be in one.
fn machines_come_in_the_zones_that_need_them(w: &mut Simulation) {
    w.capacity = 20;
    for x in w.workers.iter_mut().filter(|x| x.zone == "b") {
        x.dead = true;
    }
    w.run(LEASE + 3_000);
    let mut s = sub("j-1", "ensemble", 3);
    (s.cpus, s.spread) = (Some(8.0), Some(true));
    w.submit(s, 0);
    w.until("over two zones", 30_000, |w| (0..3).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    w.run(10_000);
    let mut s = sub("j-2", "ensemble", 4);
    (s.cpus, s.one_zone) = (Some(8.0), Some(true));
    w.submit(s, 0);
    w.until("in one", 30_000, |w| (0..4).all(|n| w.where_is(&format!("j-2/{n}")).is_some()));
    w.run(10_000);
    assert!(w.workers.len() <= 4 + 8, "{} machines", w.workers.len());
}

/// Guard: behind a cut, another controller keeps the workers' leases for a
/// while. A leader outside, new since, counts none of them out on its own clock,
/// nor once the cut is over before the last lease kept has ended; and what is
/// cancelled meanwhile is gone in time.
fn leases_kept_behind_a_cut(w: &mut Simulation) {
    for zone in ["b", "b", "a", "a", "a"] {
        w.add_worker(zone);
    }
    w.submit(sub("j-1", "service", 20), 0);
    w.submit(sub("j-2", "service", 4), 0);
    w.until("all run", 20_000, |w| w.starts == 24);
    let in_b = |w: &Simulation| -> Vec<String> {
        let b = w.workers.iter().filter(|x| x.zone == "b");
        b.flat_map(|x| x.tasks.iter().map(|t| t.name.clone())).filter(|t| t.starts_with("j-1/")).collect()
    };
    let there = in_b(w);
    assert!(there.len() > 4);
    let zone_b = |w: &mut Simulation, cut: bool, kept: bool| {
        w.workers.iter_mut().filter(|x| x.zone == "b").for_each(|x| (x.cut, x.kept) = (cut, kept));
    };
    let most = lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0);
    zone_b(w, true, true);
    w.unspoken = Some(w.now);
    // The leader was inside; another one is elected, and a user cancels.
    w.run(3_000);
    w.elect();
    w.submit(sub("j-3", "service", 8), 0);
    assert!(w.cancel("j-2"));
    w.run(most - 3_000);
    zone_b(w, true, false);
    // Leases counted from the election on are over now; those kept are not.
    w.run(LEASE + 2_500 - (most - 3_000));
    assert_eq!(in_b(w), there, "they run on");
    assert!(there.iter().all(|t| w.workers.iter().all(|x| x.zone == "b" || x.tasks.iter().all(|y| y.name != *t))));
    w.run(6_000);
    zone_b(w, false, false);
    w.run(500);
    w.unspoken = None;
    w.run(20_000);
    assert_eq!(in_b(w), there, "and are there when the cut is over");
}

/// Guard: a sixth of all machines hang for longer than their leases. They go
/// back as soon as they are missed, since others of their zone speak; nothing
/// runs twice when they go on, and no more machines come than went.
fn many_machines_hang(w: &mut Simulation) {
    (w.capacity, w.silent_ms) = (40, 8_500);
    for n in 0..20 {
        w.add_worker(["a", "b"][n % 2]);
    }
    w.elect();
    w.run(20_000);
    let mut s = sub("j-1", "service", 40);
    s.spread = Some(true);
    w.submit(s, 0);
    w.submit(sub("j-2", "batch", 20), 20_000);
    w.until("all run", 20_000, |w| (0..40).all(|n| w.where_is(&format!("j-1/{n}")).is_some()));
    let hung: Vec<usize> = (0..24).filter(|&n| !w.workers[n].tasks.is_empty()).take(4).collect();
    hung.iter().for_each(|&n| w.workers[n].hung = true);
    let elsewhere =
        |w: &Simulation| (0..40).all(|t| w.where_is(&format!("j-1/{t}")).is_some_and(|n| !w.workers[n].hung));
    w.until("replaced before their leases are over", LEASE - 5_000, elsewhere);
    w.run(LEASE);
    hung.iter().for_each(|&n| w.workers[n].hung = false);
    w.until("done", 60_000, |w| w.status("j-2") == Status::Done);
    assert!(w.workers.len() <= 24 + 6, "{} machines", w.workers.len());
}

/// Guard: a gang that must be in one zone went to that of its first task's
/// cheapest machine, and waited for ever when that zone had too few.
fn room_for_a_gang_in_the_zone_that_has_enough(w: &mut Simulation) {
    for _ in 0..2 {
        w.add_worker("b");
    }
    w.run(5_000);
    let mut s = sub("j-1", "batch", 24);
    s.priority = Some("low".into());
    w.submit(s, 500_000);
    w.until("all is full", 20_000, |w| w.starts == 24);
    let mut s = sub("j-2", "ensemble", 3);
    (s.priority, s.cpus, s.one_zone) = (Some("high".into()), Some(8.0), Some(true));
    w.submit(s, 0);
    w.until("the gang runs", 15_000, |w| (0..3).all(|n| w.where_is(&format!("j-2/{n}")).is_some()));
}

/// Guard: orders for one worker may be more than an answer takes.
fn answers_stay_under_their_limit(w: &mut Simulation) {
    use shedhook::protocol::{
        cbor,
        workers::{Order, ReportAnswer},
    };
    let orders: Vec<Order> = (0..5_000)
        .map(|n| Order::Halt { task: format!("j-00000000000000{n}/100000"), attempt: u64::MAX, grace_s: 10.5 })
        .collect();
    let one = |n: usize| cbor::encode(&ReportAnswer { token: u64::MAX, orders: orders[..n].to_vec() }).len();
    assert!(one(500) * 3 / 2 < 64 * 1024 && one(5_000) > 64 * 1024, "{}", one(500));
    w.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    let mut s = sub("j-1", "batch", 1_200);
    (s.cpus, s.memory_gb) = (Some(0.001), Some(0.001));
    w.slots = 5_000;
    w.submit(s, 500_000);
    w.until("all run", 60_000, |w| w.starts == 1_200);
    assert!(w.cancel("j-1"));
    w.until("all gone", 60_000, |w| w.workers[0].tasks.is_empty());
    assert!(w.most_orders > 300 && w.most_orders <= 500, "{} orders in one answer", w.most_orders);
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
        let mut w = Simulation::new(seed, 6);
        w.team_gpus_max = 8.0;
        w.capacity = 12;
        w.fetch = [200, 1_000][w.any(2)];
        if seed % 2 == 0 {
            w.silent_ms = 8_500; // silent and deaf machines go back
        }
        w.faults = FaultRates {
            late_do: 10,
            lost_do: 5,
            repeat_do: 20,
            slow_do: 20,
            lost_txn: 10,
            lost_answer: 10,
            late_report: 10,
            lost_rent: 30,
            ..FaultRates::default()
        };
        w.elect();
        for n in 0..12u32 {
            let kind = ["batch", "ensemble", "service"][w.any(3)];
            let tasks = 1 + w.any(6) as u32;
            let mut s = sub(&format!("j-{n}"), kind, tasks);
            s.gpus = Some(w.any(2) as f64);
            s.one_zone = Some(w.any(3) == 0);
            s.spread = Some(s.one_zone == Some(false) && w.any(3) == 0);
            s.priority = Some(["low", "normal", "high"][w.any(3)].into());
            let run = if kind == "service" { 0 } else { 2_000 + 1_000 * w.any(20) as u64 };
            w.submit(s, run);
            for _ in 0..3 {
                let at = w.any(w.workers.len());
                match w.any(14) {
                    0 => w.workers[at].cut = true,
                    1 => w.workers[at].hung = true,
                    2 | 3 => w.workers.iter_mut().for_each(|x| (x.cut, x.hung, x.stone) = (false, false, false)),
                    4 => w.elect(),
                    5 => w.leader = None,
                    7 => w.workers[at].stone = true,
                    8 => {
                        let now = w.now;
                        w.workers[at].restart(now);
                    }
                    6 if n > 2 => {
                        let id = format!("j-{}", w.any(n as usize));
                        w.cancel(&id);
                    }
                    _ => {}
                }
                w.run(5_000);
                if w.leader.is_none() && w.any(2) == 0 {
                    w.elect();
                }
            }
        }
        w.check(&format!("seed {seed}"));
        w.faults = FaultRates::default();
        w.capacity = 12;
        w.workers.iter_mut().for_each(|x| (x.cut, x.hung, x.stone) = (false, false, false));
        w.elect();
        for n in 0..12 {
            let id = format!("j-{n}");
            if w.jobs[&id].run_ms == 0 {
                w.cancel(&id);
            }
        }
        let over = |w: &Simulation| (0..12).all(|n| w.status(&format!("j-{n}")) != Status::Pending);
        w.until(&format!("seed {seed}: all over"), 900_000, over);
        w.check(&format!("seed {seed}, afterwards"));
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
    let mut w = Simulation::new(3, MACHINES);
    w.limit_writes(35.0, 5);
    (w.chunk, w.vary) = (64, 700);
    w.elect();
    w.run(8_000);
    let looked = |w: &Simulation| w.leader.as_ref().unwrap().snapshot.looked;
    let written = |w: &Simulation| w.writes.as_ref().unwrap().written;
    assert_eq!((looked(&w), written(&w)), (0, 0), "nobody asked for anything");

    // Two jobs a second, ten in a row at one controller.
    let (mut refused, mut tasks) = (0, 0);
    for n in 0..SERVICES + ARRAYS {
        let (id, service) = (format!("j-{n}"), n % 8 < 3);
        let (kind, size, run) = if service { ("service", 8, 0) } else { ("batch", 20 + (n % 40) as u32, 3_000) };
        let mut s = sub(&id, kind, size);
        s.spread = Some(service);
        s.priority = Some(if service { "prod" } else { "low" }.into());
        tasks += size as usize;
        while !w.submit_at(n / 10 % 5, s.clone(), run) {
            refused += 1;
            w.run(1_000);
        }
        w.run(if n % 10 == 9 { 4_000 } else { 100 });
    }
    let over = |w: &Simulation| {
        (0..SERVICES + ARRAYS).filter(|n| n % 8 >= 3).all(|n| w.status(&format!("j-{n}")) == Status::Done)
    };
    w.until("all arrays are done", 60_000, over);
    assert!(refused <= 3, "{refused} submissions refused at a fifteenth of the limit");
    assert!(w.writes.as_ref().unwrap().refused == 0, "the service itself refused");
    // A task is looked for on a sample, whatever the number of machines; most
    // find their place beside another of their job.
    let per_task = looked(&w) / tasks as u64;
    assert!(per_task <= 2 * LOOK as u64, "{per_task} machines looked at for a task");
    // Submitted, placed, some ends, done, dropped: not a write for each task.
    let per_job = written(&w) as f64 / (SERVICES + ARRAYS) as f64;
    assert!(per_job < 7.0, "{per_job} writes a job");

    // Reports and sweeps that change nothing cost nothing of either.
    w.run(250_000);
    let before = (looked(&w), written(&w));
    w.run(30_000);
    assert_eq!((looked(&w), written(&w)), before, "nothing happened");

    // A new leader hears all workers anew: nothing moves.
    let starts = w.starts;
    w.elect();
    w.run(20_000);
    assert_eq!(w.starts, starts, "nothing starts anew");
    assert!(w.where_is("j-0/7").is_some());
    let n = w.where_is("j-0/0").unwrap();
    w.workers[n].dead = true;
    w.until("the dead machine's replica runs elsewhere", 60_000, |w| w.where_is("j-0/0").is_some_and(|m| m != n));
    assert!(looked(&w) < 20_000, "{} machines looked at for a few replicas", looked(&w));
    w.check("thousands of machines");
}
