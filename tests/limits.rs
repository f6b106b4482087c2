//! The state service lowers its limits without notice: nothing loops, and no
//! job is lost.

mod simulation;

use shedhook::{
    bookkeeping::records::{chunk_size, job_key, JobRecord, Status},
    protocol::jobs::Submission,
};
use simulation::{sub, Case, FaultRates, Simulation};

const KB: usize = 1_024;

fn small(id: &str, kind: &str, tasks: u32) -> Submission {
    Submission { cpus: Some(0.1), memory_gb: Some(0.1), ..sub(id, kind, tasks) }
}

/// Jobs are recorded under 16 KiB, 1 KiB is announced.
fn simulation(seed: u64) -> Simulation {
    let mut w = Simulation::new(seed, 4);
    (w.slots, w.chunk) = (80, 64);
    (w.value_now, w.value_max, w.value_fit) = (16 * KB, 16 * KB, KB);
    w.chunk_fit = chunk_size(1.0, 1);
    assert!(w.chunk_fit < 16, "{}", w.chunk_fit);
    w.elect();
    w
}

fn chunk_of(w: &Simulation, id: &str) -> u32 {
    let rec: JobRecord = w.store.keys[&job_key(id)].0.deserialized().unwrap();
    rec.chunk
}

fn done(ids: &'static [&'static str]) -> impl Fn(&Simulation) -> bool {
    move |w| ids.iter().all(|id| w.status(id) == Status::Done)
}

/// Guard: a full record of before is too large for ever. What runs goes on,
/// what isn't placed yet is placed in parts.
fn lowered_while_an_array_runs(w: &mut Simulation) {
    w.vary = 2_000;
    w.submit(small("j-1", "batch", 120), 5_000);
    w.until("runs", 10_000, |w| w.where_is("j-1/60").is_some());
    w.value_now = KB;
    w.submit(small("j-2", "batch", 120), 2_000);
    w.submit(small("j-3", "batch", 4), 2_000);
    w.until("done", 200_000, done(&["j-1", "j-2", "j-3"]));
}

/// Guard: a gang whose record can't be written is divided anew.
fn lowered_before_a_gang_starts(w: &mut Simulation) {
    w.may_reshard = true;
    w.value_now = KB;
    w.submit(small("j-1", "ensemble", 60), 5_000);
    w.submit(small("j-2", "ensemble", 10), 5_000);
    w.until("done", 60_000, done(&["j-1", "j-2"]));
    assert_eq!((chunk_of(w, "j-1"), chunk_of(w, "j-2")), (w.chunk_fit, 64), "what fits stays");
}

fn lowered_while_a_gang_runs(w: &mut Simulation) {
    w.may_reshard = true;
    w.submit(small("j-1", "ensemble", 60), 20_000);
    let gone = w.add_worker("a");
    // It runs on under the old division; lost, it is divided anew.
    w.until("runs", 20_000, |w| w.where_is("j-1/59").is_some());
    w.value_now = KB;
    let n = w.workers.iter().position(|x| x.id == gone).unwrap();
    w.workers[n].dead = true;
    for x in &mut w.workers {
        if !x.tasks.is_empty() {
            x.restart(w.now);
            break;
        }
    }
    w.until("done", 120_000, done(&["j-1"]));
    assert_eq!(chunk_of(w, "j-1"), w.chunk_fit);
    assert!(w.too_large <= 1, "{} refused", w.too_large);
}

/// Guard: while an old controller may be there, no division is changed.
fn an_old_controller_may_be_left(w: &mut Simulation) {
    w.value_now = KB;
    w.submit(small("j-1", "ensemble", 60), 5_000);
    w.submit(small("j-2", "batch", 6), 5_000);
    w.until("others go on", 60_000, done(&["j-2"]));
    w.run(60_000);
    assert!(w.status("j-1") == Status::Pending && chunk_of(w, "j-1") == 64);
    assert!(w.too_large < 5, "{} refused", w.too_large);
    w.may_reshard = true;
    w.until("done", 60_000, done(&["j-1"]));
}

/// The leader has met the lower limit; what it writes next is the new division.
fn about_to_divide(w: &mut Simulation, id: &str, kind: &str) {
    w.may_reshard = true;
    w.value_now = KB;
    let before = w.too_large;
    w.submit(small(id, kind, 60), 5_000);
    // With budget to spare it may be divided before anything is refused.
    w.until("refused", 20_000, |w| w.too_large > before || chunk_of(w, id) != 64);
}

fn the_leader_dies_before_it_divides(w: &mut Simulation) {
    about_to_divide(w, "j-1", "ensemble");
    w.die_before_txn = true;
    w.until("dead", 20_000, |w| w.leader.is_none());
    assert_eq!(chunk_of(w, "j-1"), 64);
    w.elect();
    w.until("done", 120_000, done(&["j-1"]));
}

fn the_leader_dies_after_it_divided(w: &mut Simulation) {
    about_to_divide(w, "j-1", "ensemble");
    w.die_after_txn = true;
    w.until("dead", 20_000, |w| w.leader.is_none());
    assert_eq!(chunk_of(w, "j-1"), w.chunk_fit);
    w.elect();
    w.until("done", 120_000, done(&["j-1"]));
}

/// Guard: nothing is placed while it isn't known which division holds.
fn answers_are_lost_while_it_is_divided(w: &mut Simulation) {
    for id in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"] {
        w.elect();
        about_to_divide(w, id, "ensemble");
        w.faults = FaultRates { lost_txn: 70, ..FaultRates::default() };
        w.run(3_000);
        w.faults = FaultRates::default();
    }
    w.until("done", 200_000, done(&["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"]));
    w.run(45_000);
}

fn cancelled_while_it_is_divided(w: &mut Simulation) {
    for (id, at) in [("j-1", 0), ("j-2", 100), ("j-3", 200), ("j-4", 500)] {
        for lost_txn in [0, 100] {
            let id = format!("{id}{lost_txn}");
            w.elect();
            about_to_divide(w, &id, "ensemble");
            w.faults = FaultRates { lost_txn, ..FaultRates::default() };
            w.run(at);
            w.cancel(&id);
            w.run(1_000);
            w.faults = FaultRates::default();
        }
    }
    // Running ones: the division is written, and nobody heard so.
    for n in 0..8 {
        let id = format!("j-7{n}");
        w.may_reshard = false;
        w.elect();
        w.submit(small(&id, "batch", 60), 40_000);
        w.until("runs", 20_000, |w| w.where_is(&format!("{id}/5")).is_some());
        w.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
        w.may_reshard = true;
        w.run(1_500);
        w.cancel(&id);
        w.run(3_000 + 500 * n);
        w.faults = FaultRates::default();
        w.run(5_000);
    }
    w.submit(small("j-9", "ensemble", 60), 3_000);
    w.until("done", 60_000, done(&["j-9"]));
    w.run(150_000);
    let left: Vec<&String> = w.store.keys.keys().filter(|k| k.starts_with("t/")).collect();
    assert!(left.is_empty(), "records of jobs that are over: {left:?}");
}

/// What runs goes on under the new division; a replica that is lost is replaced.
fn a_service_is_divided_while_it_runs(w: &mut Simulation) {
    w.may_reshard = true;
    w.slots = 6;
    for _ in 0..16 {
        w.add_worker("b");
    }
    w.submit(small("j-1", "service", 50), 0);
    w.until("runs", 30_000, |w| w.where_is("j-1/49").is_some());
    w.value_now = KB;
    let starts = w.starts;
    w.run(10_000);
    assert_eq!((w.starts, chunk_of(w, "j-1")), (starts, w.chunk_fit));
    let n = w.where_is("j-1/7").unwrap();
    w.workers[n].dead = true;
    w.until("replaced", 60_000, |w| w.where_is("j-1/7").is_some_and(|m| m != n));
    w.elect();
    w.run(10_000);
    assert!(w.where_is("j-1/49").is_some());
}

/// Guard: the answer to the division is lost. What ends until it is known
/// counts as unwritten, and nothing more is placed.
fn a_division_without_an_answer(w: &mut Simulation) {
    w.slots = 8;
    w.vary = 300;
    for (n, id) in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"].into_iter().enumerate() {
        w.may_reshard = false;
        // More than there is room for, until machines come.
        let s = Submission { cpus: Some(1.0), ..small(id, "batch", 60) };
        w.submit(s, 3_000 + 500 * n as u64);
        w.run(4_500);
        w.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
        w.may_reshard = true;
        for _ in 0..6 {
            w.add_worker("a");
            w.run(500);
        }
        w.workers.iter_mut().skip(4).for_each(|x| x.dead = x.tasks.is_empty());
        w.faults = FaultRates::default();
        w.until("divided", 60_000, |w| chunk_of(w, id) == w.chunk_fit || w.status(id) == Status::Done);
        w.until("done", 120_000, |w| w.status(id) == Status::Done);
    }
    w.run(45_000);
}

/// Arrays of all sizes, some of their tasks done, in bad faults, leaders
/// changing: nothing is lost, and nothing runs twice.
fn divided_in_bad_weather(w: &mut Simulation) {
    w.may_reshard = true;
    w.vary = 400;
    for n in 0..10 {
        w.add_worker(if n % 2 == 0 { "a" } else { "b" });
    }
    let names: Vec<String> = (0..24).map(|n| format!("j-{n}")).collect();
    w.faults = FaultRates {
        late_do: 5,
        lost_do: 5,
        repeat_do: 10,
        slow_do: 20,
        lost_txn: 25,
        lost_answer: 10,
        late_report: 10,
        ..FaultRates::default()
    };
    for (n, id) in names.iter().enumerate() {
        let (kind, tasks) = (["batch", "ensemble", "batch"][w.any(3)], 4 + w.any(60) as u32);
        let run = 1_000 + 500 * w.any(6) as u64;
        w.submit(small(id, kind, tasks), run);
        let pause = 100 * w.any(30) as u64;
        w.run(pause);
        match w.any(8) {
            0 => w.elect(),
            1 => w.die_after_txn = true,
            2 => {
                w.cancel(id);
            }
            _ => {}
        }
        if n == 8 {
            w.value_now = KB;
        }
        if w.leader.is_none() {
            w.elect();
        }
    }
    w.faults = FaultRates::default();
    w.die_after_txn = false;
    w.elect();
    w.until("all over", 600_000, |w| names.iter().all(|id| w.status(id) != Status::Pending));
    w.run(60_000);
}

/// Guard: fewer writes in a transaction than the settings say: it is cut
/// smaller, not repeated as it was.
fn fewer_writes_than_announced(w: &mut Simulation) {
    w.ops_now = 2;
    w.chunk = 4;
    w.submit(small("j-1", "batch", 60), 5_000);
    w.submit(small("j-2", "ensemble", 30), 5_000);
    w.until("done", 200_000, done(&["j-1", "j-2"]));
    assert!(w.too_large < 8, "{} refused", w.too_large);
}

/// An answer is lost at the moment of the change: the same again is refused.
fn an_unanswered_one_is_refused(w: &mut Simulation) {
    w.run(3_000);
    w.submit(small("j-1", "batch", 120), 5_000);
    w.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    w.until("on its way", 10_000, |w| w.txns > 0);
    w.value_now = KB;
    w.faults = FaultRates::default();
    w.until("done", 200_000, done(&["j-1"]));
    w.run(45_000);
}

#[test]
fn divided_whatever_comes() {
    for seed in 0..8 {
        let mut w = simulation(seed);
        divided_in_bad_weather(&mut w);
        w.check(&format!("seed {seed}"));
        eprintln!("seed {seed}: {} refused", w.too_large);
    }
}

#[test]
fn lowered_limits_table() {
    let cases: &[Case] = &[
        ("an array runs", lowered_while_an_array_runs),
        ("before a gang starts", lowered_before_a_gang_starts),
        ("while a gang runs", lowered_while_a_gang_runs),
        ("an old controller may be left", an_old_controller_may_be_left),
        ("leader dies before", the_leader_dies_before_it_divides),
        ("leader dies after", the_leader_dies_after_it_divided),
        ("answers are lost", answers_are_lost_while_it_is_divided),
        ("cancelled", cancelled_while_it_is_divided),
        ("no answer", a_division_without_an_answer),
        ("a service runs", a_service_is_divided_while_it_runs),
        ("fewer writes", fewer_writes_than_announced),
        ("an unanswered one is refused", an_unanswered_one_is_refused),
    ];
    for (n, (name, case)) in cases.iter().enumerate() {
        eprintln!("case: {name}");
        let mut w = simulation(n as u64);
        case(&mut w);
        eprintln!("  refused as too large: {}", w.too_large);
        w.check(name);
    }
}
