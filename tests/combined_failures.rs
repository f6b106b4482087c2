//! Meetings: two or three troubles at once. One table of cases; the judge of
//! `simulation` watches every start, and once a case's troubles are over nothing
//! that was accepted may be left waiting.

mod simulation;

use shedhook::{
    bookkeeping::records::Status,
    coordination::lease_renewal,
    protocol::workers::{ExitReason, Report, TaskState},
};
use simulation::{sub, Case, FaultRates, Held, Simulation, CANCEL, LEASE};

fn all_there(w: &Simulation, id: &str, tasks: u32) -> bool {
    (0..tasks).all(|n| w.where_is(&format!("{id}/{n}")).is_some())
}

fn assignments(w: &Simulation, id: &str, tasks: u32) -> Vec<Option<usize>> {
    (0..tasks).map(|n| w.where_is(&format!("{id}/{n}"))).collect()
}

fn none_there(w: &Simulation, id: &str, tasks: u32) -> bool {
    assignments(w, id, tasks).iter().all(Option::is_none)
}

/// What every worker last could have reported.
fn copies(w: &mut Simulation) -> Vec<Report> {
    (0..w.workers.len()).map(|n| w.report_of(n)).collect()
}

fn arrive(w: &mut Simulation, copies: &[Report], after: u64) {
    let at = w.now + after;
    w.held.extend(copies.iter().map(|r| (at, Held::Report(r.clone()))));
}

fn low(id: &str, kind: &str, tasks: u32) -> shedhook::protocol::jobs::Submission {
    let mut s = sub(id, kind, tasks);
    s.priority = Some("low".into());
    s
}

fn high(id: &str, kind: &str, tasks: u32, cpus: f64) -> shedhook::protocol::jobs::Submission {
    let mut s = sub(id, kind, tasks);
    (s.priority, s.cpus) = (Some("high".into()), Some(cpus));
    s
}

/// Guard: to a new leader, a place it read from the records is taken for a
/// whole lease from its own start, heard or not. One machine can't be reached,
/// one hears no answer; there is room elsewhere.
fn the_leader_ends_while_machines_are_unreachable(w: &mut Simulation) {
    w.run(LEASE * 2);
    w.submit(sub("j-1", "batch", 6), 90_000);
    w.submit(sub("j-2", "service", 4), 0);
    w.until("all run", 20_000, |w| w.starts == 10);
    (w.workers[0].cut, w.workers[1].stone) = (true, true);
    w.run(2_000);
    w.elect();
    w.run(LEASE - 6_000);
    assert_eq!(w.starts, 10, "nothing starts anew within the lease");
    let names = |w: &Simulation| w.workers[0].tasks.iter().map(|t| t.name.clone()).collect::<Vec<_>>();
    let before = names(w);
    w.workers[0].cut = false;
    w.run(4_000);
    assert!(!before.is_empty() && names(w) == before, "what is heard again in time goes on");
    w.workers[0].cut = true;
    w.run(LEASE + 10_000);
}

/// Guard: reports are ordered by session and number, and one of a session that
/// is over frees nothing and brings nothing back. Copies from before the
/// launch, from an earlier attempt and from an earlier session come in the
/// wrong order, to the leader that knows better and to one that doesn't.
fn old_reports_after_newer_ones(w: &mut Simulation) {
    w.run(4_000);
    let mut old = copies(w);
    let mut s = low("j-1", "service", 4);
    s.cpus = Some(4.0);
    w.submit(s, 0);
    w.until("runs", 10_000, |w| all_there(w, "j-1", 4));
    old.extend(copies(w));
    // Another attempt: stopped for something urgent, then started again.
    w.submit(high("j-2", "batch", 4, 8.0), 16_000);
    w.until("stopped", 10_000, |w| none_there(w, "j-1", 4));
    w.run(6_000);
    // Nothing of it is anywhere, though the copies say so.
    arrive(w, &old, 0);
    for _ in 0..10 {
        w.run(100);
        let ix = w.job_cache.find("j-1").unwrap();
        assert_eq!(w.leader.as_ref().unwrap().job(ix).unwrap().placed, 0, "an older report was believed");
    }
    w.until("the urgent one is done", 30_000, |w| w.status("j-2") == Status::Done);
    old.extend(copies(w));
    w.until("runs again", 20_000, |w| all_there(w, "j-1", 4));
    let now = w.now;
    w.workers[1].restart(now);
    w.workers[2].restart(now);
    w.until("runs again", 30_000, |w| all_there(w, "j-1", 4));
    w.run(4_000);
    let (there, starts) = (assignments(w, "j-1", 4), w.starts);
    old.reverse();
    arrive(w, &old, 0);
    w.run(LEASE);
    assert_eq!((assignments(w, "j-1", 4), w.starts), (there.clone(), starts), "the same leader believed them");
    w.elect();
    arrive(w, &old, 100);
    w.run(10_000);
    arrive(w, &old, 100);
    w.run(LEASE * 2);
    assert_eq!((assignments(w, "j-1", 4), w.starts), (there, starts), "the next leader believed them");
}

/// Guard: leases are kept by a controller that can't read the records only for
/// `cancel_s - lease_s` less a margin after its last read was sent. Here the
/// leader alone is refused, a cancellation is confirmed by another controller
/// at that moment, and a second later the state service is away for everybody.
fn cancelled_as_the_leader_alone_is_refused(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 4), 500_000);
    w.submit(sub("j-2", "service", 4), 0);
    w.until("all run", 20_000, |w| w.starts == 8);
    let most = lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0);
    w.refuse_leader = true;
    let read = w.now;
    w.run(100);
    assert!(w.cancel("j-1"));
    w.run(1_000);
    // Its lease ends: from now on it may only keep what runs.
    w.run(3_000);
    w.leader = None;
    w.workers.iter_mut().for_each(|x| (x.mute, x.kept) = (true, true));
    w.run(read + most - w.now);
    w.workers.iter_mut().for_each(|x| x.kept = false);
    w.run(read + CANCEL + 2_000 - w.now);
    assert!(none_there(w, "j-1", 4), "cancelled, and nobody told the workers");
    w.run(20_000);
}

/// Guard: a launch without an answer is fenced by a raised token, and a place
/// is taken until the worker has shown that token. The machine hangs with the
/// command queued, the task is stopped meanwhile, and the machine goes on
/// within its lease, and once more past it.
fn a_command_is_held_up_and_the_machine_goes_on(w: &mut Simulation) {
    w.fetch = 0;
    w.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    for (n, (at, hang)) in [(0, 16_000), (1, 16_000), (0, LEASE + 4_000), (1, 20_000)].into_iter().enumerate() {
        let id = format!("j-{n}");
        w.run(LEASE + 5_000);
        let mut s = sub(&id, "ensemble", 2);
        s.cpus = Some(8.0);
        // Just heard, so that it is given something.
        w.workers[at].hung = true;
        w.submit(s, 0);
        w.run(500);
        let queued = |h: &Held| matches!(h, Held::Do { worker, .. } if *worker == at);
        assert!(w.held.iter().any(|(_, h)| queued(h)), "its command is queued");
        // The gang's other machine is lost as well, when this one has long been
        // silent: it starts anew.
        w.run(10_500);
        let now = w.now;
        w.workers[1 - at].restart(now);
        w.run(hang - 15_000);
        let free = [w.add_worker("a"), w.add_worker("b")];
        w.run(4_000);
        w.workers[at].hung = false;
        // It reports before it comes to what was queued.
        let now = w.now;
        w.held.iter_mut().filter(|(_, h)| queued(h)).for_each(|(due, _)| *due = now + 900);
        w.until("runs", 90_000, |w| all_there(w, &id, 2));
        w.run(5_000);
        w.cancel(&id);
        w.run(10_000);
        assert!(none_there(w, &id, 2));
        w.workers.iter_mut().filter(|x| free.contains(&x.id)).for_each(|x| x.dead = true);
    }
}

/// Guard: a transaction counts only under the leadership that sent it; tokens
/// of a later leader are higher than all before. Ten leaders in
/// two minutes, with transactions and commands of the earlier ones under way;
/// three of them can't write at all.
fn ten_leaders_in_two_minutes(w: &mut Simulation) {
    w.faults = FaultRates {
        late_txn: 40,
        late_do: 30,
        lost_answer: 20,
        old_report: 15,
        slow_answer: 20,
        ..FaultRates::default()
    };
    w.submit(sub("j-1", "service", 5), 0);
    for n in 0..10u32 {
        w.elect();
        w.refuse_leader = n % 4 == 2;
        w.submit(sub(&format!("j-{}", 10 + n), "batch", 1 + n % 4), 4_000);
        if n % 3 == 1 {
            let id = format!("j-{}", 9 + n);
            w.cancel(&id);
        }
        w.run(12_000);
    }
    w.clear_up();
    w.settles("ten leaders", 120_000);
    let starts = w.starts;
    w.run(LEASE * 2);
    assert_eq!(w.starts, starts, "nothing moves once they stop changing");
}

/// Guard: a worker that reaches no controller is asked, and what it answers
/// counts as heard, so that direct commands go on reaching it: a cancellation
/// doesn't wait for the end of its lease.
fn workers_reach_nobody_but_commands_reach_them(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 6), 500_000);
    w.submit(sub("j-2", "service", 6), 0);
    w.until("all run", 20_000, |w| w.starts == 12);
    w.run(5_000);
    w.workers.iter_mut().for_each(|x| x.mute = true);
    w.run(8_000);
    assert!(w.cancel("j-1"));
    w.until("stopped by direct commands", 14_000, |w| none_there(w, "j-1", 6));
    w.elect();
    w.submit(sub("j-3", "batch", 2), 3_000);
    w.run(LEASE * 2);
}

/// Guard: a place that the leader before wrote counts as launched, whether it
/// was or not; only an end, a session or the lease frees it. The second leader
/// ends within a fraction of a second, all are away, and one returns.
fn handed_over_and_back_and_all_end(w: &mut Simulation) {
    w.fetch = 0;
    w.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    w.run(LEASE + 5_000);
    w.faults = FaultRates { late_do: 100, ..FaultRates::default() };
    let mut s = sub("j-1", "ensemble", 2);
    s.cpus = Some(8.0);
    w.submit(s, 0);
    w.run(200);
    assert_eq!(w.held.len(), 2, "both launches are on their way");
    let now = w.now;
    for (at, h) in &mut w.held {
        *at = now + if matches!(h, Held::Do { worker: 0, .. }) { 14_000 } else { 100 };
    }
    w.faults = FaultRates::default();
    w.workers[0].mute = true;
    w.elect();
    w.run(400);
    w.elect();
    w.run(300);
    w.leader = None;
    w.run(700);
    w.elect();
    w.run(300);
    // The gang loses its other task: it starts anew, once all of it is gone.
    let now = w.now;
    w.workers[1].restart(now);
    w.add_worker("a");
    w.add_worker("b");
    w.run(16_000);
    w.workers[0].mute = false;
    w.until("runs", 60_000, |w| all_there(w, "j-1", 2));
    w.run(LEASE);
}

/// Guard: nothing is launched before its record is written, however long that
/// takes. The service is slow, then refuses the leader, then everybody, for longer
/// than a cancelled task may run on; users cancel all the while.
fn a_slow_service_that_refuses_one_and_then_all(w: &mut Simulation) {
    (w.txn_ms, w.changes_ms) = (1_900, 1_900);
    for n in 0..8 {
        w.submit(sub(&format!("j-{n}"), "batch", 2), 3_000 + 6_000 * n);
    }
    for n in 0..4 {
        w.run(2_500);
        let id = format!("j-{n}");
        w.cancel(&id);
    }
    w.refuse_leader = true;
    w.run(1_000);
    w.cancel("j-6");
    w.run(3_000);
    w.leader = None;
    w.run(CANCEL + 5_000);
    w.elect();
    w.run(5_000);
    w.clear_up();
    w.settles("slow, then away", 120_000);
    w.run(LEASE);
}

/// Guard: a session whose lease was counted out is never listened to again. A
/// report is held back until the new leader has counted out its sender and
/// started its tasks elsewhere; it brings none of them back.
fn a_report_is_held_back_until_a_new_leader_has_acted(w: &mut Simulation) {
    w.workers.iter_mut().skip(2).for_each(|x| x.dead = true);
    w.submit(sub("j-1", "service", 3), 0);
    w.until("runs", 10_000, |w| all_there(w, "j-1", 3));
    let late = copies(w);
    let now = w.now;
    w.workers.iter_mut().for_each(|x| x.cut = true);
    w.elect();
    w.run(LEASE + 3_000);
    // Nobody is free: what the copies list waits, and must not be believed there.
    arrive(w, &late, 0);
    w.run(300);
    let ix = w.job_cache.find("j-1").unwrap();
    assert_eq!(w.leader.as_ref().unwrap().job(ix).unwrap().placed, 0, "a dead session was believed");
    w.add_worker("a");
    w.until("runs elsewhere", 8_000, |w| all_there(w, "j-1", 3));
    arrive(w, &late, 0);
    w.workers.iter_mut().for_each(|x| x.cut = false);
    let there = assignments(w, "j-1", 3);
    w.run(LEASE * 2);
    assert_eq!(assignments(w, "j-1", 3), there);
    assert!(w.now > now);
}

/// Guard: "done" is written only on the job's own stamp, so that it never
/// replaces a cancellation; and a job that is done can't be cancelled. The
/// cancellation falls into each of the moments around the end of the last task.
fn cancelled_at_the_very_end(w: &mut Simulation) {
    w.run(4_000);
    (w.txn_ms, w.changes_ms) = (400, 600);
    let (mut done, mut cancelled) = (0, 0);
    for n in 0..30u64 {
        let id = format!("j-{n}");
        w.submit(sub(&id, "batch", 2), 1_500);
        let both = |w: &Simulation| (0..2).all(|t| w.completed.contains(&format!("{id}/{t}")));
        w.until("both end", 60_000, both);
        w.run(n % 15 * 100);
        let was = w.status(&id);
        if w.cancel(&id) {
            assert_eq!(was, Status::Pending);
            cancelled += 1;
        } else {
            done += 1;
        }
        if n % 7 == 3 {
            w.elect();
        }
    }
    assert!(done > 3 && cancelled > 3, "{done} done, {cancelled} cancelled");
    w.run(20_000);
    for n in 0..30 {
        let f = &w.jobs[&format!("j-{n}")];
        let want = if f.cancelled_at.is_some() { Status::Cancelled } else { Status::Done };
        assert_eq!(w.status(&format!("j-{n}")), want);
    }
}

/// Guard: what is bound to a zone is started in that zone only, also when all that zone's machines are lost at once and
/// others have room.
fn zone_bound_jobs_lose_their_machines(w: &mut Simulation) {
    w.add_worker("a");
    w.add_worker("b");
    w.run(4_000);
    let bound = |mut s: shedhook::protocol::jobs::Submission| {
        s.zone = Some("a".into());
        s
    };
    w.submit(bound(sub("j-1", "batch", 6)), 40_000);
    w.submit(bound(sub("j-2", "service", 2)), 0);
    let mut s = sub("j-3", "ensemble", 3);
    s.one_zone = Some(true);
    w.submit(s, 60_000);
    let mut s = sub("j-4", "batch", 4);
    s.one_zone = Some(true);
    w.submit(s, 50_000);
    w.until("all begin", 20_000, |w| w.starts >= 12);
    w.run(5_000);
    for x in w.workers.iter_mut().filter(|x| x.zone == "a") {
        x.dead = true;
        x.tasks.clear();
    }
    (w.capacity, w.silent_ms) = (6, 8_500);
    w.elect();
    w.run(12_000);
    // One of the other zone hangs past its lease meanwhile.
    let n = w.workers.iter().position(|x| x.zone == "b").unwrap();
    w.workers[n].hung = true;
    w.run(LEASE + 5_000);
    w.clear_up();
    w.settles("bound to a zone", 200_000);
    let new_in_b = w.workers.iter().skip(6).filter(|x| x.zone == "b").count();
    assert!(new_in_b <= 3, "{new_in_b} machines rented where nothing may run");
}

/// Guard: every transaction is conditional on the stamps of the records it
/// replaces, so that one carried out late can't turn newer ones back.
fn transactions_carried_out_late(w: &mut Simulation) {
    w.faults = FaultRates { late_txn: 50, slow_do: 20, ..FaultRates::default() };
    for n in 0..6u32 {
        w.submit(sub(&format!("j-{n}"), ["batch", "service"][n as usize % 2], 3), if n % 2 == 0 { 2_500 } else { 0 });
        w.run(4_000);
        let at = w.any(w.workers.len());
        let now = w.now;
        w.workers[at].restart(now);
        if n == 3 {
            assert!(w.cancel("j-1"));
            w.elect();
        }
    }
    w.run(20_000);
    w.clear_up();
    w.settles("late transactions", 120_000);
    w.run(20_000);
}

/// Guard: what another controller may have kept counts for the new leader, and
/// what it may keep ends in time for what is cancelled through the new one.
/// The old controller is cut from the state service and the other controllers,
/// but half of the workers still reach it, and commands reach them.
fn a_cut_leader_whom_workers_still_reach(w: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    w.submit(sub("j-1", "batch", 8), 400_000);
    w.submit(sub("j-2", "service", 6), 0);
    w.until("all run", 20_000, |w| w.starts == 14);
    let most = lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0);
    w.workers.iter_mut().step_by(2).for_each(|x| (x.mute, x.kept) = (true, true));
    w.unspoken = Some(w.now);
    let cut = w.now;
    w.run(4_000);
    w.elect();
    w.run(500);
    assert!(w.cancel("j-1"));
    w.submit(sub("j-3", "service", 8), 0);
    w.run(cut + most - w.now);
    w.workers.iter_mut().for_each(|x| x.kept = false);
    let there = assignments(w, "j-2", 6);
    w.run(LEASE - 3_000);
    assert_eq!(assignments(w, "j-2", 6), there, "none is counted out before the last lease kept");
    w.run(CANCEL.saturating_sub(w.now - cut));
    assert!(none_there(w, "j-1", 8));
    w.workers.iter_mut().for_each(|x| x.mute = false);
    w.run(500);
    w.clear_up();
    w.settles("the old leader's workers", 150_000);
}

/// Guard: a zone's leases are counted out only for time that the controller
/// inside has spoken for. The zone is cut for longer than a lease, its
/// controller keeps some of that; a gang bound to it and a spread service run
/// there, and both lose nothing to the other zone while they may still run.
fn a_zone_with_its_controller_is_cut_off(w: &mut Simulation) {
    for zone in ["a", "b", "a", "b"] {
        w.add_worker(zone);
    }
    let mut s = sub("j-1", "ensemble", 3);
    (s.one_zone, s.cpus) = (Some(true), Some(4.0));
    w.submit(s, 100_000);
    let mut s = sub("j-2", "service", 6);
    s.spread = Some(true);
    w.submit(s, 0);
    w.until("all run", 20_000, |w| w.starts == 9);
    let zone = w.workers[w.where_is("j-1/0").unwrap()].zone.clone();
    let cut = |w: &mut Simulation, cut: bool, kept: bool| {
        w.workers.iter_mut().filter(|x| x.zone == zone).for_each(|x| (x.cut, x.kept) = (cut, kept));
    };
    cut(w, true, true);
    w.unspoken = Some(w.now);
    w.run(2_000);
    w.elect();
    w.run(16_000);
    cut(w, true, false);
    w.run(LEASE + 8_000);
    assert_eq!(w.starts, 9, "nothing is counted out while nobody spoke for it");
    cut(w, false, false);
    w.run(300);
    w.unspoken = None;
    w.clear_up();
    w.settles("the zone is back", 120_000);
    w.run(LEASE);
}

/// Guard: a new session ends all places of the one before, also those that
/// only the records tell of. All controllers are away for longer than a lease;
/// one machine hangs over it all, one restarts meanwhile.
fn all_controllers_are_away_for_longer_than_a_lease(w: &mut Simulation) {
    w.submit(sub("j-1", "batch", 5), 20_000);
    w.submit(sub("j-2", "service", 4), 0);
    let mut s = sub("j-3", "ensemble", 2);
    s.one_zone = Some(true);
    w.submit(s, 30_000);
    w.until("all run", 20_000, |w| w.starts == 11);
    w.run(3_000);
    w.leader = None;
    w.workers[0].hung = true;
    w.run(10_000);
    assert!(w.cancel("j-3"));
    let now = w.now;
    w.workers[1].restart(now);
    w.run(LEASE + 5_000);
    assert!(w.workers.iter().all(|x| x.tasks.is_empty()), "all leases are over");
    w.workers[0].hung = false;
    w.elect();
    w.settles("all are back", 90_000);
    assert!(none_there(w, "j-3", 2));
}

/// Guard: an end is reaped only once it is written, so that the next leader
/// finds it in the records or on the machine. Tasks of small jobs end far
/// apart, and the leader changes just after each end.
fn tasks_end_far_apart_across_leaders(w: &mut Simulation) {
    w.run(4_000);
    w.vary = 9_000;
    w.submit(sub("j-1", "batch", 3), 4_000);
    w.submit(sub("j-2", "batch", 2), 7_000);
    for n in 0..5usize {
        w.until("the next one ends", 60_000, |w| w.completed.len() > n);
        w.faults = FaultRates { lost_txn: 30, ..FaultRates::default() };
        // Reported, answered, perhaps written; then that leader is no more.
        w.run([100, 700, 1_200, 4_000, 8_500][n]);
        w.elect();
        w.faults = FaultRates::default();
    }
    w.settles("all ends are known", 40_000);
    assert_eq!((w.starts, w.done_again), (5, 0), "what had ended was started again");
}

/// Guard: urgent work goes first and the rest is not starved, when commands,
/// their answers and the state service take seconds: half of each class begins
/// within four minutes, the largest too.
fn more_work_than_room_over_slow_links(w: &mut Simulation) {
    w.faults = FaultRates { slow_do: 60, slow_answer: 60, repeat_do: 20, ..FaultRates::default() };
    (w.txn_ms, w.changes_ms) = (600, 800);
    let of = |mut s: shedhook::protocol::jobs::Submission, class: &str| {
        (s.cpus, s.class) = (Some(s.cpus.unwrap().max(4.0)), Some(class.into()));
        s
    };
    for n in 0..4 {
        w.submit(of(low(&format!("j-{}", 200 + n), "batch", 2), "long"), 150_000);
    }
    w.until("all is full", 30_000, |w| w.starts == 8);
    w.submit(of(high("j-50", "ensemble", 4, 8.0), "urgent"), 5_000);
    w.until("the urgent one begins", 30_000, |w| all_there(w, "j-50", 4));
    let from = w.now;
    for n in 0..10 {
        let kind = ["batch", "ensemble"][n % 2];
        w.submit(of(low(&format!("j-{}", 100 + n), kind, 3), "rest"), 5_000);
    }
    let begun = |w: &Simulation, ids: std::ops::Range<usize>| {
        ids.filter(|n| w.completed.contains(&format!("j-{n}/0")) || w.where_is(&format!("j-{n}/0")).is_some()).count()
    };
    // More urgent work than there is room for, all the while.
    let mut n = 1_000;
    while w.now < from + 240_000 {
        w.submit(of(high(&format!("j-{n}"), "batch", 2, 4.0), "urgent"), 3_000);
        w.run(1_200);
        n += 1;
    }
    let (urgent, rest) = (begun(w, 1_000..n), begun(w, 100..110));
    assert!(2 * urgent >= n - 1_000, "{urgent} of {} urgent ones", n - 1_000);
    assert!(rest >= 5, "{rest} of 10 others");
    w.clear_up();
    w.settles("all in the end", 900_000);
}

/// Guard: a place whose launch the leader before may have sent is not given up
/// because its job is cancelled; it counts for its team until its end is
/// proven. The team is at its limit, its machines can't be asked, the leader
/// changes, and a cancellation falls into that spell.
fn a_team_at_its_limit_when_the_leader_changes(w: &mut Simulation) {
    w.team_gpus_max = 6.0;
    w.elect();
    w.run(4_000);
    let gpus = |id: &str, n: u32| {
        let mut s = sub(id, "service", n);
        s.gpus = Some(2.0);
        s
    };
    w.submit(gpus("j-1", 2), 0);
    w.submit(gpus("j-2", 1), 0);
    w.until("at the limit", 10_000, |w| w.starts == 3);
    let held: Vec<usize> = assignments(w, "j-1", 2).into_iter().flatten().collect();
    held.iter().for_each(|&n| w.workers[n].cut = true);
    w.elect();
    w.submit(gpus("j-3", 2), 0);
    w.run(3_000);
    assert!(w.cancel("j-1"));
    w.run(5_000);
    w.elect();
    w.run(LEASE - 10_000);
    assert_eq!(w.starts, 3, "its limit holds while they may run");
    w.run(20_000);
    held.iter().for_each(|&n| w.workers[n].cut = false);
    w.settles("within the limit again", 90_000);
    assert!(all_there(w, "j-3", 2));
}

/// Guard: a leader that learns of a cancellation late stops what it launched
/// meanwhile; what it hears after it starts nothing. Reads of the changes take
/// seconds, machines hang with commands queued, and all of it is cancelled.
fn cancelled_unseen_with_commands_queued(w: &mut Simulation) {
    w.run(4_000);
    w.changes_ms = 4_000;
    w.submit(sub("j-1", "batch", 12), 300_000);
    w.until("known", 6_000, |w| !w.workers.iter().all(|x| x.tasks.is_empty()));
    w.workers.iter_mut().step_by(2).for_each(|x| x.hung = true);
    assert!(w.cancel("j-1"));
    w.run(9_000);
    w.workers.iter_mut().for_each(|x| x.hung = false);
    // What was queued begins when the machine goes on, and ends at once.
    w.run(6_000);
    w.until("all gone", CANCEL - 16_000, |w| none_there(w, "j-1", 12));
    let starts = w.starts_cancelled;
    w.run(LEASE);
    assert_eq!(w.starts_cancelled, starts, "starts once the cancellation was known");
    assert!(w.workers.iter().all(|x| x.tasks.iter().all(|t| t.state == TaskState::Exited)));
}

/// Guard: what a copy says is an end of its own attempt, and a new leader
/// settles nothing by a report that doesn't show its token. Old copies list a stopped attempt as ended while a new one of the same task
/// runs on the same machine.
fn an_end_of_an_earlier_attempt(w: &mut Simulation) {
    w.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    w.run(4_000);
    w.submit(low("j-1", "service", 2), 0);
    w.until("runs", 10_000, |w| all_there(w, "j-1", 2));
    let mut old = copies(w);
    w.submit(high("j-2", "batch", 1, 8.0), 2_000);
    w.until("stopped", 10_000, |w| none_there(w, "j-1", 2));
    for t in &mut old[0].tasks {
        (t.state, t.why) = (TaskState::Exited, Some(ExitReason::Stopped));
    }
    w.until("runs again", 20_000, |w| all_there(w, "j-1", 2));
    let starts = w.starts;
    let at = w.workers[0].tasks.iter().map(|t| t.attempt).collect::<Vec<_>>();
    w.workers[0].mute = true;
    w.elect();
    arrive(w, &old[..1], 100);
    w.run(3_000);
    w.workers[0].mute = false;
    w.run(LEASE);
    assert_eq!(w.starts, starts);
    assert_eq!(w.workers[0].tasks.iter().map(|t| t.attempt).collect::<Vec<_>>(), at);
}

#[test]
fn meetings_table() {
    let cases: &[Case] = &[
        ("leader ends, machines unreachable", the_leader_ends_while_machines_are_unreachable),
        ("old reports after newer ones", old_reports_after_newer_ones),
        ("cancelled as the leader alone is refused", cancelled_as_the_leader_alone_is_refused),
        ("command held up, machine goes on", a_command_is_held_up_and_the_machine_goes_on),
        ("ten leaders in two minutes", ten_leaders_in_two_minutes),
        ("workers reach nobody", workers_reach_nobody_but_commands_reach_them),
        ("handed over and back, all end", handed_over_and_back_and_all_end),
        ("slow service, refuses one, then all", a_slow_service_that_refuses_one_and_then_all),
        ("report held back until a leader has acted", a_report_is_held_back_until_a_new_leader_has_acted),
        ("cancelled at the very end", cancelled_at_the_very_end),
        ("zone-bound jobs lose machines", zone_bound_jobs_lose_their_machines),
        ("transactions carried out late", transactions_carried_out_late),
        ("cut leader whom workers reach", a_cut_leader_whom_workers_still_reach),
        ("zone with its controller cut off", a_zone_with_its_controller_is_cut_off),
        ("all controllers away", all_controllers_are_away_for_longer_than_a_lease),
        ("tasks end far apart across leaders", tasks_end_far_apart_across_leaders),
        ("more work than room, slow links", more_work_than_room_over_slow_links),
        ("team at its limit, leader changes", a_team_at_its_limit_when_the_leader_changes),
        ("cancelled unseen, commands queued", cancelled_unseen_with_commands_queued),
        ("end of an earlier attempt", an_end_of_an_earlier_attempt),
    ];
    // All cases are played, and every one that fails is named.
    let mut failed = Vec::new();
    for (n, (name, case)) in cases.iter().enumerate() {
        for seed in 0..4 {
            let played = std::panic::catch_unwind(|| {
                let mut w = Simulation::new(100 * seed + n as u64, 4);
                w.gangs = seed % 2 == 1;
                w.elect();
                case(&mut w);
                w.check(name);
            });
            if played.is_err() {
                failed.push(format!("{name}, seed {}", 100 * seed + n as u64));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// All troubles by chance with fixed seeds, two and three at a time: nothing
/// breaks a rule, and once they are over every job that was accepted and not
/// cancelled is done or runs, and none waits for 90 s beside room.
#[test]
fn troubles_meet_at_random() {
    let seeds: u64 = std::env::var("MEETING_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(32);
    let mut failed = Vec::new();
    for seed in 0..seeds {
        if std::panic::catch_unwind(|| random_day(seed)).is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

fn random_day(seed: u64) {
    let mut w = Simulation::new(seed, 6);
    w.team_gpus_max = 8.0;
    w.capacity = 8;
    w.fetch = [200, 1_000, 3_000][w.any(3)];
    w.gangs = !seed.is_multiple_of(3);
    if seed.is_multiple_of(2) {
        w.silent_ms = 8_500;
    }
    w.elect();
    let most = lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0);
    for n in 0..14u32 {
        let mut of = |most: usize| w.any(most) as u32;
        w.faults = FaultRates {
            late_do: of(15),
            lost_do: of(8),
            repeat_do: of(25),
            slow_do: of(30),
            lost_txn: of(12),
            lost_answer: of(15),
            late_report: of(12),
            lost_rent: of(30),
            slow_answer: of(30),
            late_txn: of(25),
            old_report: of(12),
            held_report: of(10),
        };
        (w.txn_ms, w.changes_ms) = ([0, 300, 1_500][w.any(3)], [0, 500, 3_000][w.any(3)]);
        let kind = ["batch", "ensemble", "service"][w.any(3)];
        let mut s = sub(&format!("j-{n}"), kind, 1 + w.any(5) as u32);
        s.gpus = Some(w.any(2) as f64);
        s.one_zone = Some(w.any(3) == 0);
        s.spread = Some(s.one_zone == Some(false) && w.any(3) == 0);
        s.zone = (s.spread == Some(false) && w.any(3) == 0).then(|| ["a", "b"][w.any(2)].into());
        s.priority = Some(["low", "normal", "high"][w.any(3)].into());
        let run = if kind == "service" { 0 } else { 2_000 + 1_000 * w.any(25) as u64 };
        w.submit(s, run);
        for _ in 0..3 {
            let at = w.any(w.workers.len());
            match w.any(20) {
                0 => w.workers[at].cut = true,
                1 => w.workers[at].hung = true,
                2 => w.workers[at].stone = true,
                3 => w.workers[at].mute = true,
                4 => w.workers[at].deaf = true,
                5 => w.refuse_leader = true,
                6 => {
                    // The leader ends, and for the while that another
                    // controller may, it keeps the leases of one zone.
                    w.leader = None;
                    let zone = w.workers[at].zone.clone();
                    let spell = w.any(most as usize) as u64;
                    w.unspoken = Some(w.now);
                    w.workers.iter_mut().filter(|x| x.zone == zone).for_each(|x| (x.mute, x.kept) = (true, true));
                    w.run(2_000);
                    w.elect();
                    w.run(spell.saturating_sub(2_000));
                    w.workers.iter_mut().for_each(|x| (x.mute, x.kept) = (false, false));
                    w.run(200);
                    w.unspoken = None;
                }
                7 => {
                    for _ in 0..3 {
                        w.elect();
                        w.run(500);
                    }
                }
                8 => {
                    w.leader = None;
                    w.run(LEASE + 4_000);
                }
                9 => {
                    let now = w.now;
                    w.workers[at].restart(now);
                }
                10 | 11 => w
                    .workers
                    .iter_mut()
                    .for_each(|x| (x.cut, x.hung, x.stone, x.mute, x.deaf) = (false, false, false, false, false)),
                12..15 if n > 1 => {
                    let id = format!("j-{}", w.any(n as usize));
                    if w.any(2) == 0 {
                        w.cancel(&id);
                    }
                }
                _ => {}
            }
            w.run(4_000);
            if w.refuse_leader {
                // Its lease under the state service is over.
                (w.leader, w.refuse_leader) = (None, false);
            }
            if w.leader.is_none() && w.any(3) > 0 {
                w.elect();
            }
        }
    }
    w.check(&format!("seed {seed}"));
    w.clear_up();
    w.capacity = 12;
    w.run(LEASE);
    for n in 0..14 {
        let id = format!("j-{n}");
        if w.jobs[&id].run_ms == 0 && n % 2 == 0 {
            w.cancel(&id);
        }
    }
    let all: Vec<String> = (0..14).map(|n| format!("j-{n}")).collect();
    w.calm(&format!("seed {seed}"), &all, 200_000);
    // Services that fill the team's limit make way; the rest has to end.
    for id in all.iter().filter(|id| w.jobs[*id].run_ms == 0).cloned().collect::<Vec<_>>() {
        w.cancel(&id);
    }
    w.settles(&format!("seed {seed}"), 600_000);
    w.run(LEASE);
    w.check(&format!("seed {seed}, afterwards"));
}
