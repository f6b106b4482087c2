//! Pipelines of dependent jobs: when they start, how they are cancelled, what
//! they inherit, and what it costs to keep them.

mod simulation;

use std::time::{Duration, Instant};

use ciborium::Value;
use shedhook::{
    bookkeeping::{
        job_cache::JobCache,
        records::{self, job_key, to_value, JobRecord, Status},
    },
    protocol::{
        jobs::{Priority, Submission},
        names::Tables,
        store::{Change, Changes},
    },
};
use simulation::{run_table, submission, FaultRates, Simulation};

fn after(id: &str, kind: &str, tasks: u32, prereqs: &[&str]) -> Submission {
    let prereqs = Some(prereqs.iter().map(|p| (*p).to_owned()).collect());
    Submission { prereqs, ..submission(id, kind, tasks) }
}

fn is_done(id: &'static str) -> impl Fn(&Simulation) -> bool {
    move |sim| sim.status(id) == Status::Done
}

fn has_begun(sim: &Simulation, id: &str) -> bool {
    let of = |t: &str| t.split('/').next() == Some(id);
    sim.completed.iter().any(|t| of(t)) || sim.workers.iter().any(|x| x.tasks.iter().any(|t| of(&t.name)))
}

// ---- starts ------------------------------------------------------------

fn chain(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 6), 3_000);
    sim.submit(after("j-2", "ensemble", 2, &["j-1"]), 3_000);
    sim.submit(after("j-3", "batch", 3, &["j-2"]), 3_000);
    sim.run_until("done", 90_000, is_done("j-3"));
}

fn diamond(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 2_000);
    sim.submit(after("j-3", "batch", 1, &["j-1"]), 12_000);
    sim.submit(after("j-4", "batch", 1, &["j-2", "j-3"]), 2_000);
    sim.run_until("one side is done", 60_000, is_done("j-2"));
    sim.run(4_000);
    assert!(!has_begun(sim, "j-4"), "the other side isn't done");
    sim.run_until("done", 60_000, is_done("j-4"));
}

fn fan(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    let names: Vec<String> = (10..30).map(|n| format!("j-{n}")).collect();
    for n in &names {
        sim.submit(after(n, "batch", 1, &["j-1"]), 1_000);
    }
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    sim.submit(after("j-99", "batch", 1, &all), 1_000);
    sim.run_until("done", 200_000, is_done("j-99"));
}

/// Ids come in no order: the leader reads dependents before what they need.
fn read_in_the_order_of_ids(sim: &mut Simulation) {
    sim.leader = None;
    sim.submit(submission("j-9", "batch", 1), 2_000);
    sim.submit(after("j-5", "batch", 1, &["j-9"]), 2_000);
    sim.submit(after("j-1", "batch", 1, &["j-5", "j-9"]), 2_000);
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-1"));
}

/// Guard: all tasks have ended, but that isn't written: nothing after it starts.
fn the_end_cannot_be_written(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 2), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/1").is_some());
    sim.txns_left = Some(0);
    sim.run(30_000);
    assert!(sim.completed.len() == 2 && sim.status("j-1") == Status::Pending && !has_begun(sim, "j-2"));
    sim.txns_left = None;
    sim.run_until("done", 60_000, is_done("j-2"));
}

/// The leader dies between the end and its record, or between the record and
/// the start of what waited for it.
fn the_leader_dies_before_the_end_is_written(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("ended", 20_000, |sim| !sim.completed.is_empty());
    sim.die_before_txn = true;
    sim.run_until("dead", 20_000, |sim| sim.leader.is_none());
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
}

fn the_leader_dies_after_the_end_is_written(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("ended", 20_000, |sim| !sim.completed.is_empty());
    sim.die_after_txn = true;
    sim.run_until("dead", 20_000, |sim| sim.leader.is_none());
    assert!(sim.status("j-1") == Status::Done && !has_begun(sim, "j-2"));
    sim.run(5_000);
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
}

/// Guard: the answer to the end's write is lost, and it is applied late.
fn the_end_is_written_late(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("ended", 20_000, |sim| !sim.completed.is_empty());
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.run(1_000);
    sim.faults = FaultRates::default();
    sim.elect();
    sim.run_until("done", 60_000, is_done("j-2"));
    sim.run(45_000);
}

/// A job that is submitted when what it needs is over starts at once.
fn named_when_it_is_over(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 1_000);
    sim.run_until("done", 30_000, is_done("j-1"));
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 1_000);
    sim.run_until("done", 30_000, is_done("j-2"));
}

/// A waiting job takes no part of its team's limit.
fn a_waiting_job_holds_no_limit(sim: &mut Simulation) {
    sim.team_gpus_max = 4.0;
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 60_000);
    let gpus = |s: Submission| Submission { gpus: Some(4.0), cpus: Some(1.0), ..s };
    sim.submit(gpus(after("j-2", "batch", 1, &["j-1"])), 1_000);
    sim.submit(gpus(submission("j-3", "batch", 1)), 2_000);
    sim.run_until("done", 30_000, is_done("j-3"));
    let l = sim.leader.as_ref().unwrap();
    assert_eq!(l.active.len(), 1, "only what runs is looked at");
}

#[test]
fn starts_table() {
    run_table(&[
        ("chain", chain),
        ("diamond", diamond),
        ("fan", fan),
        ("order of ids", read_in_the_order_of_ids),
        ("the end can't be written", the_end_cannot_be_written),
        ("leader dies before", the_leader_dies_before_the_end_is_written),
        ("leader dies after", the_leader_dies_after_the_end_is_written),
        ("the end is written late", the_end_is_written_late),
        ("over before", named_when_it_is_over),
        ("waiting holds nothing", a_waiting_job_holds_no_limit),
    ]);
}

// ---- cancellations -----------------------------------------------------

/// Guard: whichever step is cancelled, at whatever time, all after it are, and
/// those before it go on.
#[test]
fn cancelled_at_each_step() {
    let names = ["j-1", "j-2", "j-3", "j-4"];
    for step in 0..4 {
        for at in [0, 1_000, 4_000, 9_000, 14_000, 25_000] {
            for change in [false, true] {
                let what = format!("step {step} cancelled after {at} ms, change of leader: {change}");
                let mut sim = Simulation::new(step as u64, 4);
                sim.elect();
                sim.submit(submission("j-9", "batch", 1), 2_000);
                sim.submit(submission("j-1", "batch", 3), 2_000);
                for n in 1..4 {
                    sim.submit(after(names[n], "batch", 2, &[names[n - 1]]), 2_000);
                }
                sim.run(at);
                if change {
                    sim.leader = None;
                }
                let won = sim.cancel(names[step]);
                sim.run(500);
                if change {
                    sim.elect();
                }
                sim.run(100_000);
                for (n, name) in names.iter().enumerate() {
                    let want = if won && n >= step { Status::Cancelled } else { Status::Done };
                    assert_eq!(sim.status_told_to_users(name), Some(want), "{what}: {name}");
                    assert!(n <= step || !won || !has_begun(&sim, name), "{what}: {name} began");
                }
                sim.check(&what);
            }
        }
    }
}

/// Guard: a cancellation that meets the end has one winner, whoever knows of it.
fn cancelled_while_the_end_is_written(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    // The leader doesn't see the cancellation, and tries to write the end.
    sim.changes_unread = true;
    assert!(sim.cancel("j-1"));
    sim.run(15_000);
    assert!(sim.status("j-1") == Status::Cancelled && !has_begun(sim, "j-2"));
    sim.changes_unread = false;
    sim.run(30_000);
    assert_eq!(sim.status_told_to_users("j-2"), Some(Status::Cancelled));
}

/// Guard: the write of the end is under way when the job is cancelled.
fn a_late_end_of_a_cancelled_job(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 3_000);
    sim.run_until("ended", 20_000, |sim| !sim.completed.is_empty());
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.run(1_000);
    sim.faults = FaultRates::default();
    let won = sim.cancel("j-1");
    sim.run(60_000);
    assert_eq!(sim.status_told_to_users("j-2"), Some(if won { Status::Cancelled } else { Status::Done }));
}

fn cancelled_while_the_state_service_is_away(sim: &mut Simulation) {
    sim.submit(submission("j-1", "service", 2), 0);
    sim.submit(submission("j-2", "batch", 2), 30_000);
    sim.submit(after("j-3", "batch", 1, &["j-2"]), 1_000);
    sim.submit(after("j-4", "batch", 1, &["j-3"]), 1_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-2/1").is_some());
    sim.txns_left = Some(0);
    sim.cancel("j-2");
    sim.run(20_000);
    sim.txns_left = None;
    sim.run(60_000);
    assert_eq!(sim.status_told_to_users("j-4"), Some(Status::Cancelled));
}

/// It is accepted all the same, and never starts.
fn names_a_cancelled_one(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 60_000);
    sim.submit(submission("j-5", "batch", 1), 1_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 1_000);
    sim.run(3_000);
    sim.cancel("j-1");
    sim.submit(after("j-3", "batch", 1, &["j-1"]), 1_000);
    sim.submit(after("j-4", "batch", 1, &["j-5", "j-2"]), 1_000);
    sim.run(30_000);
    for id in ["j-2", "j-3", "j-4"] {
        assert!(sim.status_told_to_users(id) == Some(Status::Cancelled) && !has_begun(sim, id), "{id}");
        assert_eq!(sim.status(id), Status::Pending, "{id}: the first one's record is the fact");
    }
}

#[test]
fn cancellations_table() {
    run_table(&[
        ("while the end is written", cancelled_while_the_end_is_written),
        ("a late end", a_late_end_of_a_cancelled_job),
        ("state service away", cancelled_while_the_state_service_is_away),
        ("names a cancelled one", names_a_cancelled_one),
    ]);
}

/// By chance with fixed seeds: pipelines in all faults, cancelled now and
/// then, under leaders that change.
#[test]
fn pipelines_in_bad_weather() {
    for seed in 0..24 {
        let mut sim = Simulation::new(seed, 6);
        sim.faults = FaultRates {
            late_command: 10,
            lost_command: 5,
            repeated_command: 20,
            slow_command: 20,
            lost_txn: 15,
            lost_report_answer: 10,
            late_report: 10,
            ..FaultRates::default()
        };
        sim.elect();
        let mut names: Vec<String> = Vec::new();
        for n in 0..16 {
            // Ids in no order.
            let id = format!("j-{}", (n * 7 + 3) % 16);
            let mut p: Vec<String> = Vec::new();
            for _ in 0..sim.random_below(3) {
                if !names.is_empty() {
                    let at = sim.random_below(names.len());
                    p.push(names[at].clone());
                }
            }
            let p: Vec<&str> = p.iter().map(String::as_str).collect();
            let kind = ["batch", "ensemble"][sim.random_below(2)];
            let tasks = 1 + sim.random_below(3) as u32;
            let run = 500 + 500 * sim.random_below(8) as u64;
            sim.submit(after(&id, kind, tasks, &p), run);
            names.push(id);
            let pause = 200 * sim.random_below(20) as u64;
            sim.run(pause);
            match sim.random_below(10) {
                0 => sim.elect(),
                1 => {
                    let at = sim.random_below(names.len());
                    let id = names[at].clone();
                    sim.cancel(&id);
                }
                2 => sim.die_after_txn = true,
                3 => sim.die_before_txn = true,
                _ => {}
            }
            if sim.leader.is_none() && sim.random_below(2) == 0 {
                sim.elect();
            }
        }
        sim.faults = FaultRates::default();
        (sim.die_after_txn, sim.die_before_txn) = (false, false);
        sim.elect();
        let over =
            |sim: &Simulation| names.iter().all(|n| sim.status_told_to_users(n).is_some_and(|s| s != Status::Pending));
        sim.run_until(&format!("all over, seed {seed}"), 600_000, over);
        sim.run(60_000);
        sim.check(&format!("seed {seed}"));
    }
}

/// Five controllers of both versions take turns at leading and are replaced one
/// by one, in bad faults; jobs with prerequisites come only when all are new,
/// and name jobs that were recorded, or ended, by either. The old ones are played
/// by this version's mind with the old form of records: what an old process does
/// besides, this can't show.
#[test]
fn replaced_one_by_one() {
    for seed in 0..8 {
        let mut sim = Simulation::new(seed, 6);
        (sim.slots, sim.chunk, sim.chunk_fit) = (20, 64, 12);
        (sim.value_now, sim.value_max, sim.value_fit) = (16 << 10, 16 << 10, 1 << 10);
        sim.faults = FaultRates {
            late_command: 5,
            slow_command: 20,
            lost_txn: 15,
            lost_report_answer: 10,
            ..FaultRates::default()
        };
        let mut is_new = [false; 5];
        let mut names: Vec<String> = Vec::new();
        for round in 0..40 {
            // A process that dies before its turn comes back old.
            if round >= 8 && sim.random_below(2) == 0 {
                if let Some(n) = is_new.iter().position(|n| !n) {
                    is_new[n] = true;
                }
            }
            let all_new = is_new.iter().all(|n| *n);
            if sim.leader.is_none() || sim.random_below(3) == 0 {
                sim.writes_old_form = !is_new[sim.random_below(5)];
                sim.may_reshard = all_new;
                sim.elect();
            }
            let id = format!("j-{}", (round * 27 + 5) % 40);
            let mut p: Vec<String> = Vec::new();
            while all_new && p.len() < 2 {
                let at = sim.random_below(names.len());
                p.push(names[at].clone());
            }
            let p: Vec<&str> = p.iter().map(String::as_str).collect();
            let tasks = 1 + sim.random_below(20) as u32;
            let kind = ["batch", "ensemble"][sim.random_below(2)];
            let job = Submission { cpus: Some(0.5), ..after(&id, kind, tasks, &p) };
            // Old controllers record larger chunks.
            sim.chunk = if is_new[sim.random_below(5)] { 12 } else { 64 };
            let run = 500 + 500 * sim.random_below(6) as u64;
            sim.submit(job, run);
            names.push(id);
            let pause = 200 * sim.random_below(20) as u64;
            sim.run(pause);
            match sim.random_below(8) {
                0 => {
                    let at = sim.random_below(names.len());
                    sim.cancel(&names[at].clone());
                }
                1 => sim.die_after_txn = true,
                2 => sim.die_before_txn = true,
                _ => {}
            }
            if round == 30 {
                sim.value_now = 1 << 10;
            }
        }
        assert!(is_new.iter().all(|n| *n), "seed {seed}");
        sim.faults = FaultRates::default();
        (sim.die_after_txn, sim.die_before_txn, sim.writes_old_form, sim.may_reshard) = (false, false, false, true);
        sim.elect();
        let over =
            |sim: &Simulation| names.iter().all(|n| sim.status_told_to_users(n).is_some_and(|s| s != Status::Pending));
        sim.run_until(&format!("all over, seed {seed}"), 600_000, over);
        sim.run(60_000);
        sim.check(&format!("seed {seed}"));
    }
}

// ---- the job cache alone --------------------------------------------------

fn record(s: &Submission, status: Status, at_ms: u64) -> Value {
    to_value(&JobRecord { submission: s.clone(), status, at_ms, chunk: 4 })
}

fn change(s: &Submission, status: Status, at_ms: u64, stamp: u64) -> Change {
    let id = s.name_id.as_deref().unwrap();
    Change { write: Some(job_key(id)), drop: None, v: Some(record(s, status, at_ms)), stamp }
}

/// Guard: whatever the order in which records are seen, the outcome is the same.
#[test]
fn the_order_of_records_does_not_matter() {
    use Status::*;
    let s = |id: &str, p: &[&str]| after(id, "batch", 1, p);
    // j-1 -> j-2 -> j-4 -> j-5, j-1 -> j-3 -> j-4; j-6 -> j-7.
    let (one, six) = (s("j-1", &[]), s("j-6", &[]));
    let rest =
        [s("j-2", &["j-1"]), s("j-3", &["j-1"]), s("j-4", &["j-2", "j-3"]), s("j-5", &["j-4"]), s("j-7", &["j-6"])];
    let mut all = vec![
        change(&one, Pending, 100, 1),
        change(&six, Pending, 100, 2),
        change(&one, Cancelled, 100, 20),
        change(&six, Done, 7_000, 21),
        // A late copy, and an abort of one that is cancelled already.
        change(&rest[1], Cancelled, 100, 30),
    ];
    all.extend(rest.iter().enumerate().map(|(n, r)| change(r, Pending, 100, 3 + n as u64)));
    let mut state = 7u64;
    for round in 0..500 {
        let mut m = JobCache::default();
        for c in &all {
            m.apply(&Changes { epoch: c.stamp, events: vec![c.clone()] }, &mut Tables::default());
        }
        let shown: Vec<Status> = (1..=7).map(|n| m.get(m.find(&format!("j-{n}")).unwrap()).status).collect();
        assert_eq!(shown, [Cancelled, Cancelled, Cancelled, Cancelled, Cancelled, Done, Pending], "round {round}");
        let last = m.find("j-7").unwrap();
        assert!(!m.waits(last) && m.ready_ms(last) == 7_000, "round {round}");
        for i in (1..all.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            all.swap(i, (state >> 33) as usize % (i + 1));
        }
    }
}

/// Guard: once it is called cancelled, no record of its own changes that.
#[test]
fn a_derived_cancellation_stays() {
    let (one, two) = (after("j-1", "batch", 1, &[]), after("j-2", "batch", 1, &["j-1"]));
    let mut m = JobCache::default();
    let mut t = Tables::default();
    let steps = [
        (change(&one, Status::Pending, 1, 1), Status::Pending),
        (change(&two, Status::Pending, 1, 2), Status::Pending),
        (change(&one, Status::Cancelled, 1, 3), Status::Cancelled),
        (change(&two, Status::Pending, 1, 4), Status::Cancelled),
        (change(&two, Status::Done, 1, 5), Status::Cancelled),
    ];
    for (c, want) in steps {
        m.apply(&Changes { epoch: c.stamp, events: vec![c.clone()] }, &mut t);
        if let Some(ix) = m.find("j-2") {
            assert_eq!(m.get(ix).status, want, "after {}", c.stamp);
        }
    }
}

#[test]
fn priority_and_deadline_reach_back() {
    let with = |s: Submission, rank: &str, due: Option<f64>| Submission {
        priority: Some(rank.into()),
        deadline_s: due,
        estimate_s: Some(10.0),
        ..s
    };
    let jobs = [
        with(after("j-1", "batch", 1, &[]), "low", None),
        with(after("j-2", "batch", 1, &["j-1"]), "normal", None),
        with(after("j-3", "batch", 1, &["j-1"]), "low", Some(500.0)),
        with(after("j-4", "batch", 1, &["j-2", "j-3"]), "high", Some(100.0)),
    ];
    let mut t = Tables::default();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2]] {
        let mut m = JobCache::default();
        for n in order {
            let c = change(&jobs[n], Status::Pending, 1_000, n as u64 + 1);
            m.apply(&Changes { epoch: c.stamp, events: vec![c] }, &mut t);
        }
        let got: Vec<(Priority, Option<f64>, Option<f64>)> = (1..=4)
            .map(|n| m.effective_spec(m.find(&format!("j-{n}")).unwrap()).unwrap())
            .map(|spec| (spec.priority, spec.deadline_s, spec.overdue_s))
            .collect();
        use Priority::High;
        let want = [
            (High, Some(80.0), Some(130.0)),
            (High, Some(90.0), Some(140.0)),
            (High, Some(90.0), Some(140.0)),
            (High, Some(100.0), Some(150.0)),
        ];
        assert_eq!(got, want, "{order:?}");
        // The deadline counts from the submission, however long it waited.
        for (n, end) in [(0, 31_000), (1, 41_000), (2, 36_000)] {
            let c = change(&jobs[n], Status::Done, end, 10 + n as u64);
            m.apply(&Changes { epoch: c.stamp, events: vec![c] }, &mut t);
        }
        let last = m.find("j-4").unwrap();
        let s = m.effective_spec(last).unwrap();
        assert_eq!((m.ready_ms(last), s.deadline_s, s.overdue_s), (41_000, Some(60.0), Some(110.0)));
    }
}

/// A leader raises what already runs when a job that needs it comes.
#[test]
fn a_running_job_is_raised() {
    let mut sim = Simulation::new(1, 4);
    sim.elect();
    sim.submit(Submission { priority: Some("low".into()), ..submission("j-1", "batch", 4) }, 20_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/3").is_some());
    sim.submit(Submission { priority: Some("high".into()), ..after("j-2", "batch", 1, &["j-1"]) }, 1_000);
    sim.run(500);
    let l = sim.leader.as_ref().unwrap();
    let job = l.active.iter().filter_map(|&j| l.job(j)).find(|j| &*j.id == "j-1").unwrap();
    assert_eq!(job.spec.priority, Priority::High);
    sim.run_until("done", 90_000, is_done("j-2"));
    // What was counted under one priority was taken back under the same.
    let l = sim.leader.as_ref().unwrap();
    for h in &l.snapshot.hosts {
        assert!(h.low.iter().all(|r| !r.any()) && !h.soon.any(), "left over on a machine");
    }
    sim.check("raised");
}

/// Deep chains, wide fans and wide joins load quickly, in any order, and what
/// ends costs work in its dependents alone.
#[test]
fn deep_and_wide() {
    let name = |n: usize| format!("j-{n:06}");
    let chain: Vec<Vec<String>> = (0..2_000).map(|n| (n > 0).then(|| name(n - 1)).into_iter().collect()).collect();
    let fan: Vec<Vec<String>> = (0..5_001).map(|n| (n > 0).then(|| name(0)).into_iter().collect()).collect();
    let join: Vec<Vec<String>> =
        (0..1_001).map(|n| if n < 1_000 { vec![] } else { (0..1_000).map(name).collect() }).collect();
    let lattice: Vec<Vec<String>> =
        (0..2_000).map(|n| if n < 10 { vec![] } else { (n / 10 * 10 - 10..n / 10 * 10).map(name).collect() }).collect();
    // Where each has a deadline, every new one raises all above it.
    let hard = chain.clone();
    for (what, shape) in [("chain", chain), ("hard", hard), ("fan", fan), ("join", join), ("lattice", lattice)] {
        for backwards in [false, true] {
            for end in [Status::Cancelled, Status::Done] {
                let last = shape.len() - 1;
                let subs: Vec<Submission> = shape
                    .iter()
                    .enumerate()
                    .map(|(n, p)| Submission {
                        prereqs: Some(p.clone()),
                        deadline_s: (n == last || what == "hard").then_some(1e6),
                        priority: Some(if n == last { "high" } else { "low" }.into()),
                        ..submission(&name(n), "batch", 1)
                    })
                    .collect();
                let mut events: Vec<Change> =
                    subs.iter().enumerate().map(|(n, s)| change(s, Status::Pending, 1, n as u64 + 1)).collect();
                if backwards {
                    events.reverse();
                }
                let (mut m, mut t) = (JobCache::default(), Tables::default());
                let began = Instant::now();
                m.apply(&Changes { epoch: 10_000, events }, &mut t);
                let loaded = began.elapsed();
                m.take_changed();
                let c = change(&subs[0], end, 1, 20_000);
                m.apply(&Changes { epoch: 20_000, events: vec![c] }, &mut t);
                let took = began.elapsed();
                let changed = m.take_changed().len();
                eprintln!(
                    "{what}, backwards {backwards}: loaded in {loaded:?}, {end:?} at {took:?}, {changed} changed"
                );
                // Of an unoptimized build, with room for a busy machine.
                assert!(took < Duration::from_secs(5), "{what} took {took:?}");
                let first = shape.iter().filter(|p| p.contains(&name(0))).count();
                if end == Status::Done {
                    assert!(changed <= 1 + first, "{what}: {changed} changed by one end");
                } else if what != "join" && what != "lattice" {
                    assert_eq!(changed, shape.len(), "{what}");
                }
                assert!(end == Status::Done || m.get(m.find(&name(last)).unwrap()).status == Status::Cancelled);
            }
        }
    }
}

/// The end's time of day stands in its record, so that a later leader counts
/// from there.
#[test]
fn waiting_counts_from_the_last_end() {
    let mut sim = Simulation::new(5, 4);
    sim.elect();
    sim.submit(submission("j-1", "batch", 1), 40_000);
    sim.submit(after("j-2", "service", 1, &["j-1"]), 0);
    sim.run_until("done", 60_000, is_done("j-1"));
    sim.run(10_000);
    let rec: JobRecord = sim.store.keys[&records::job_key("j-1")].0.deserialized().unwrap();
    assert!(rec.at_ms > 40_000 && rec.at_ms < sim.now, "{}", rec.at_ms);
    for _ in 0..2 {
        let l = sim.leader.as_ref().unwrap();
        let job = l.active.iter().filter_map(|&j| l.job(j)).find(|j| &*j.id == "j-2").unwrap();
        assert_eq!(job.since, rec.at_ms as i64);
        sim.elect();
    }
}

// ---- order, renting and preemption ---------------------------------------

/// A submission whose tasks each take a whole machine.
fn whole_machine(id: &str, kind: &str, tasks: u32, priority: &str, prereqs: &[&str]) -> Submission {
    Submission { cpus: Some(8.0), priority: Some(priority.into()), ..after(id, kind, tasks, prereqs) }
}

fn of_team_blue(job: Submission) -> Submission {
    Submission { team: Some("blue".into()), ..job }
}

fn all_run(id: &'static str, tasks: u32) -> impl Fn(&Simulation) -> bool {
    move |sim| (0..tasks).all(|n| sim.worker_running(&format!("{id}/{n}")).is_some())
}

fn was_stopped(sim: &Simulation, id: &str) -> bool {
    sim.halts.iter().any(|halt| halt.1.starts_with(&format!("{id}/")))
}

fn recorded(sim: &Simulation, id: &str) -> JobRecord {
    sim.store.keys[&job_key(id)].0.deserialized().unwrap()
}

/// Guard: a job that waited long for its prerequisite is not overdue for a
/// start when it becomes ready, and goes behind work of a higher priority.
fn order_counts_from_the_last_prerequisite(sim: &mut Simulation) {
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "normal", &[]), 200_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.starts == 4);
    sim.submit(whole_machine("j-2", "batch", 1, "low", &["j-1"]), 1_000);
    sim.run(180_000);
    sim.submit(whole_machine("j-3", "batch", 3, "normal", &[]), 20_000);
    sim.run_until("the prerequisite is done", 60_000, is_done("j-1"));
    sim.run_until("the normal job's tasks have ended", 120_000, |sim| {
        let ended = (0..3).all(|n| sim.completed.contains(&format!("j-3/{n}")));
        assert!(ended || !has_begun(sim, "j-2"), "the low one took the order of an old job");
        ended
    });
    sim.run_until("the low job is done", 60_000, is_done("j-2"));
}

/// Guard: much dearer machines are rented for what has waited; the wait for a
/// prerequisite doesn't count.
fn renting_urgency_counts_from_the_last_prerequisite(sim: &mut Simulation) {
    const PATIENCE_MS: u64 = 48_000;
    sim.spot_price = 0.02; // 50 times cheaper: low priority pays that after 48.5 s
    sim.elect();
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    sim.capacity = 1;
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 100_000);
    sim.run_until("the prerequisite runs", 60_000, all_run("j-1", 1));
    sim.capacity = 0;
    sim.submit(whole_machine("j-2", "ensemble", 2, "low", &["j-1"]), 1_000);
    sim.run_until("the prerequisite is done", 130_000, is_done("j-1"));
    sim.rental_requests.clear();
    let ready_ms = recorded(sim, "j-1").at_ms;
    sim.run(PATIENCE_MS / 2);
    assert!(sim.rental_requests.iter().any(|request| request.spot), "cheap machines are asked for at once");
    sim.run_until("dear machines are asked for", 60_000, |sim| sim.rental_requests.iter().any(|r| !r.spot));
    let dear = sim.rental_requests.iter().find(|request| !request.spot).unwrap();
    assert!(dear.at >= ready_ms + PATIENCE_MS, "asked {} ms after it was ready", dear.at - ready_ms);
    sim.capacity = 2;
    sim.run_until("done", 120_000, is_done("j-2"));
}

/// Guard: a job that waits for a prerequisite has no machines rented for it,
/// and nothing stopped for it.
fn a_waiting_job_causes_no_rentals_and_no_preemption(sim: &mut Simulation) {
    sim.submit(whole_machine("j-0", "service", 3, "low", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "normal", &[]), 60_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.starts == 4);
    sim.capacity = 1;
    sim.submit(whole_machine("j-2", "ensemble", 3, "high", &["j-1"]), 2_000);
    sim.run(45_000);
    assert_eq!(sim.status("j-1"), Status::Pending);
    assert_eq!((sim.rental_requests.len(), sim.halts.len(), sim.starts), (0, 0, 4), "while it waits");
    sim.run_until("done", 60_000, is_done("j-2"));
    assert!(was_stopped(sim, "j-0"), "the same job preempts once it is ready");
}

/// Guard: a queued job takes on the priority of a dependent that comes late.
fn a_late_urgent_dependent_raises_a_queued_job(sim: &mut Simulation) {
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-0", "batch", 1, "high", &[]), 30_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.starts == 4);
    sim.submit(of_team_blue(whole_machine("j-5", "batch", 1, "normal", &[])), 5_000);
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 5_000);
    sim.run(5_000);
    let last = whole_machine("j-2", "batch", 1, "high", &["j-1"]);
    sim.submit(Submission { deadline_s: Some(300.0), ..last }, 1_000);
    sim.run_until("the raised job runs", 60_000, all_run("j-1", 1));
    assert!(!has_begun(sim, "j-5"), "normal work went before the raised job");
    sim.run_until("the last job is done", 60_000, is_done("j-2"));
    sim.run_until("the other team's job is done", 60_000, is_done("j-5"));
}

/// Guard: a running job that was raised by a late dependent isn't preempted by
/// normal work of another team, which would have preempted it before.
fn a_late_urgent_dependent_protects_a_running_job(sim: &mut Simulation) {
    const LONGER_THAN_PATIENCE_MS: u64 = 30_000;
    sim.submit(whole_machine("j-9", "service", 3, "high", &[]), 0);
    sim.submit(whole_machine("j-1", "batch", 1, "low", &[]), 60_000);
    sim.run_until("all machines are taken", 20_000, |sim| sim.starts == 4);
    let last = whole_machine("j-2", "batch", 1, "high", &["j-1"]);
    sim.submit(Submission { deadline_s: Some(300.0), ..last }, 1_000);
    sim.run(1_000);
    sim.submit(of_team_blue(whole_machine("j-5", "batch", 1, "normal", &[])), 5_000);
    sim.run(LONGER_THAN_PATIENCE_MS);
    assert!(all_run("j-1", 1)(sim) && !was_stopped(sim, "j-1"), "preempted by normal work");
    sim.run_until("the last job is done", 90_000, is_done("j-2"));
    sim.run_until("the other team's job is done", 60_000, is_done("j-5"));
    assert!(!was_stopped(sim, "j-1"));
}

/// Guard: neither does a raised job exceed its own team's limit, nor does it
/// count towards the limit of the team whose job raised it.
fn team_limits_stay_each_jobs_own(sim: &mut Simulation) {
    let gpus = |job: Submission| Submission { gpus: Some(2.0), cpus: Some(1.0), ..job };
    let high = |job: Submission| Submission { priority: Some("high".into()), ..job };
    (sim.team_gpus_max, sim.blue_gpus_max) = (2.0, 2.0);
    sim.elect();
    sim.submit(gpus(submission("j-0", "batch", 1)), 30_000);
    sim.run_until("the team is at its limit", 20_000, all_run("j-0", 1));
    sim.submit(gpus(submission("j-1", "batch", 1)), 20_000);
    sim.submit(of_team_blue(high(gpus(after("j-2", "batch", 1, &["j-1"])))), 1_000);
    sim.run(15_000);
    assert!(!has_begun(sim, "j-1") && all_run("j-0", 1)(sim), "raised above its own team's limit");
    sim.run_until("the raised job runs", 60_000, all_run("j-1", 1));
    sim.submit(of_team_blue(gpus(submission("j-5", "batch", 1))), 2_000);
    sim.run_until("the other team's limit is free", 10_000, all_run("j-5", 1));
    assert!(all_run("j-1", 1)(sim), "both run at once");
    sim.run_until("the last job is done", 90_000, is_done("j-2"));
}

#[test]
fn urgency_table() {
    run_table(&[
        ("order counts from the end of the last prerequisite", order_counts_from_the_last_prerequisite),
        ("renting counts from the end of the last prerequisite", renting_urgency_counts_from_the_last_prerequisite),
        ("a waiting job causes no rentals and no preemption", a_waiting_job_causes_no_rentals_and_no_preemption),
        ("a late urgent dependent raises a queued job", a_late_urgent_dependent_raises_a_queued_job),
        ("a late urgent dependent protects a running job", a_late_urgent_dependent_protects_a_running_job),
        ("team limits stay each job's own", team_limits_stay_each_jobs_own),
    ]);
}

// ---- cancelled shapes ------------------------------------------------------

/// Cancels a prerequisite that can't be placed: everything else is told
/// cancelled, now and by the next leader, and nothing but the one record is written.
fn cancel_first_of(sim: &mut Simulation, dependents: &[String]) {
    sim.run(5_000);
    let before = sim.store.epoch;
    assert!(sim.cancel("j-1"));
    sim.run(30_000);
    assert_eq!(sim.store.epoch, before + 1, "one cancellation is one write");
    let all_cancelled =
        |sim: &Simulation| dependents.iter().all(|id| sim.status_told_to_users(id) == Some(Status::Cancelled));
    assert!(all_cancelled(sim), "under the same leader");
    sim.elect();
    let elected = sim.store.epoch;
    sim.run(30_000);
    assert!(all_cancelled(sim), "under the next leader");
    assert_eq!(sim.store.epoch, elected, "nothing is written by the next leader");
    assert!(dependents.iter().all(|id| !has_begun(sim, id)));
    // The case itself has to run something.
    sim.submit(submission("j-9000", "batch", 1), 1_000);
    sim.run_until("unrelated work goes on", 30_000, is_done("j-9000"));
}

fn unplaceable(id: &str) -> Submission {
    Submission { zone: Some("nowhere".into()), ..submission(id, "batch", 1) }
}

fn a_wide_fan_out_cancelled_at_the_first(sim: &mut Simulation) {
    const DEPENDENTS: u32 = 200;
    sim.submit(unplaceable("j-1"), 1_000);
    let names: Vec<String> = (0..DEPENDENTS).map(|n| format!("j-{}", 100 + n)).collect();
    for id in &names {
        sim.submit(after(id, "batch", 1, &["j-1"]), 1_000);
    }
    cancel_first_of(sim, &names);
}

fn a_deep_chain_cancelled_at_the_first(sim: &mut Simulation) {
    const DEPTH: u32 = 60;
    sim.submit(unplaceable("j-1"), 1_000);
    let names: Vec<String> = (0..DEPTH).map(|n| format!("j-{}", 100 + n)).collect();
    let mut previous = "j-1";
    for id in &names {
        sim.submit(after(id, "batch", 1, &[previous]), 1_000);
        previous = id;
    }
    cancel_first_of(sim, &names);
}

fn a_diamond_cancelled_at_one_side(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 3_000);
    sim.submit(after("j-2", "batch", 1, &["j-1"]), 30_000);
    sim.submit(after("j-3", "batch", 1, &["j-1"]), 5_000);
    sim.submit(after("j-4", "batch", 1, &["j-2", "j-3"]), 1_000);
    sim.run_until("both sides run", 30_000, |sim| all_run("j-2", 1)(sim) && all_run("j-3", 1)(sim));
    assert!(sim.cancel("j-2"));
    sim.run_until("the other side goes on", 30_000, is_done("j-3"));
    sim.run(30_000);
    assert_eq!(sim.status_told_to_users("j-4"), Some(Status::Cancelled));
    assert_eq!(sim.status_told_to_users("j-1"), Some(Status::Done));
    assert!(!has_begun(sim, "j-4"));
    sim.elect();
    sim.run(30_000);
    assert_eq!(sim.status_told_to_users("j-4"), Some(Status::Cancelled), "to the next leader");
    assert!(!has_begun(sim, "j-4"));
}

fn one_prerequisite_done_before_and_one_cancelled_after(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 1), 1_000);
    sim.run_until("the first is done", 30_000, is_done("j-1"));
    sim.submit(submission("j-2", "batch", 1), 60_000);
    sim.run_until("the second runs", 30_000, all_run("j-2", 1));
    sim.submit(after("j-3", "batch", 1, &["j-1", "j-2"]), 1_000);
    sim.run(10_000);
    assert!(sim.status_told_to_users("j-3") == Some(Status::Pending) && !has_begun(sim, "j-3"));
    assert!(sim.cancel("j-2"));
    sim.run(30_000);
    for leader in ["the same leader", "the next leader"] {
        assert_eq!(sim.status_told_to_users("j-3"), Some(Status::Cancelled), "{leader}");
        assert_eq!(sim.status_told_to_users("j-1"), Some(Status::Done), "{leader}");
        assert!(!has_begun(sim, "j-3"), "{leader}");
        sim.elect();
        sim.run(10_000);
    }
}

#[test]
fn cancelled_shapes_table() {
    run_table(&[
        ("a fan-out of 200 cancelled at the first", a_wide_fan_out_cancelled_at_the_first),
        ("a chain of 60 cancelled at the first", a_deep_chain_cancelled_at_the_first),
        ("a diamond cancelled at one side", a_diamond_cancelled_at_one_side),
        ("one prerequisite done before, one cancelled after", one_prerequisite_done_before_and_one_cancelled_after),
    ]);
}
