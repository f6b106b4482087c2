//! The state service lowers its limits without notice: nothing loops, and no
//! job is lost.

mod simulation;

use shedhook::{
    protocol::jobs::Submission,
    storage::records::{chunk_size, job_key, JobRecord, JobStatus},
};
use simulation::{submission, Case, FaultRates, Simulation};

const KB: usize = 1_024;

fn small(id: &str, kind: &str, tasks: u32) -> Submission {
    Submission { cpus: Some(0.1), memory_gb: Some(0.1), ..submission(id, kind, tasks) }
}

/// Jobs are recorded under 16 KiB, 1 KiB is announced.
fn simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 4);
    (sim.slots, sim.chunk) = (80, 64);
    (sim.value_now, sim.value_max, sim.value_fit) = (16 * KB, 16 * KB, KB);
    sim.chunk_fit = chunk_size(1.0, 1);
    assert!(sim.chunk_fit < 16, "{}", sim.chunk_fit);
    sim.elect();
    sim
}

fn chunk_of(sim: &Simulation, id: &str) -> u32 {
    let rec: JobRecord = sim.store.keys[&job_key(id)].0.deserialized().unwrap();
    rec.chunk
}

fn done(ids: &'static [&'static str]) -> impl Fn(&Simulation) -> bool {
    move |sim| ids.iter().all(|id| sim.status(id) == JobStatus::Done)
}

/// Guard: a full record of before is too large for ever. What runs goes on,
/// what isn't placed yet is placed in parts.
fn lowered_while_an_array_runs(sim: &mut Simulation) {
    sim.run_ms_step = 2_000;
    sim.submit(small("j-1", "batch", 120), 5_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/60").is_some());
    sim.value_now = KB;
    sim.submit(small("j-2", "batch", 120), 2_000);
    sim.submit(small("j-3", "batch", 4), 2_000);
    sim.run_until("done", 200_000, done(&["j-1", "j-2", "j-3"]));
}

/// Guard: a gang whose record can't be written is divided anew.
fn lowered_before_a_gang_starts(sim: &mut Simulation) {
    sim.may_reshard = true;
    sim.value_now = KB;
    sim.submit(small("j-1", "ensemble", 60), 5_000);
    sim.submit(small("j-2", "ensemble", 10), 5_000);
    sim.run_until("done", 60_000, done(&["j-1", "j-2"]));
    assert_eq!((chunk_of(sim, "j-1"), chunk_of(sim, "j-2")), (sim.chunk_fit, 64), "what fits stays");
}

fn lowered_while_a_gang_runs(sim: &mut Simulation) {
    sim.may_reshard = true;
    sim.submit(small("j-1", "ensemble", 60), 20_000);
    let gone = sim.add_worker("a");
    // It runs on under the old division; lost, it is divided anew.
    sim.run_until("runs", 20_000, |sim| sim.worker_running("j-1/59").is_some());
    sim.value_now = KB;
    let n = sim.workers.iter().position(|x| x.id == gone).unwrap();
    sim.workers[n].dead = true;
    for x in &mut sim.workers {
        if !x.tasks.is_empty() {
            x.restart(sim.now);
            break;
        }
    }
    sim.run_until("done", 120_000, done(&["j-1"]));
    assert_eq!(chunk_of(sim, "j-1"), sim.chunk_fit);
    assert!(sim.too_large <= 1, "{} refused", sim.too_large);
}

/// Guard: while an old controller may be there, no division is changed.
fn an_old_controller_may_be_left(sim: &mut Simulation) {
    sim.value_now = KB;
    sim.submit(small("j-1", "ensemble", 60), 5_000);
    sim.submit(small("j-2", "batch", 6), 5_000);
    sim.run_until("others go on", 60_000, done(&["j-2"]));
    sim.run(60_000);
    assert!(sim.status("j-1") == JobStatus::Pending && chunk_of(sim, "j-1") == 64);
    assert!(sim.too_large < 5, "{} refused", sim.too_large);
    sim.may_reshard = true;
    sim.run_until("done", 60_000, done(&["j-1"]));
}

/// The leader has met the lower limit; what it writes next is the new division.
fn about_to_divide(sim: &mut Simulation, id: &str, kind: &str) {
    sim.may_reshard = true;
    sim.value_now = KB;
    let before = sim.too_large;
    sim.submit(small(id, kind, 60), 5_000);
    // With budget to spare it may be divided before anything is refused.
    sim.run_until("refused", 20_000, |sim| sim.too_large > before || chunk_of(sim, id) != 64);
}

fn the_leader_dies_before_it_divides(sim: &mut Simulation) {
    about_to_divide(sim, "j-1", "ensemble");
    sim.die_before_txn = true;
    sim.run_until("dead", 20_000, |sim| sim.leader.is_none());
    assert_eq!(chunk_of(sim, "j-1"), 64);
    sim.elect();
    sim.run_until("done", 120_000, done(&["j-1"]));
}

fn the_leader_dies_after_it_divided(sim: &mut Simulation) {
    about_to_divide(sim, "j-1", "ensemble");
    sim.die_after_txn = true;
    sim.run_until("dead", 20_000, |sim| sim.leader.is_none());
    assert_eq!(chunk_of(sim, "j-1"), sim.chunk_fit);
    sim.elect();
    sim.run_until("done", 120_000, done(&["j-1"]));
}

/// Guard: nothing is placed while it isn't known which division holds.
fn answers_are_lost_while_it_is_divided(sim: &mut Simulation) {
    for id in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"] {
        sim.elect();
        about_to_divide(sim, id, "ensemble");
        sim.faults = FaultRates { lost_txn: 70, ..FaultRates::default() };
        sim.run(3_000);
        sim.faults = FaultRates::default();
    }
    sim.run_until("done", 200_000, done(&["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"]));
    sim.run(45_000);
}

fn cancelled_while_it_is_divided(sim: &mut Simulation) {
    for (id, at) in [("j-1", 0), ("j-2", 100), ("j-3", 200), ("j-4", 500)] {
        for lost_txn in [0, 100] {
            let id = format!("{id}{lost_txn}");
            sim.elect();
            about_to_divide(sim, &id, "ensemble");
            sim.faults = FaultRates { lost_txn, ..FaultRates::default() };
            sim.run(at);
            sim.cancel(&id);
            sim.run(1_000);
            sim.faults = FaultRates::default();
        }
    }
    // Running ones: the division is written, and nobody heard so.
    for n in 0..8 {
        let id = format!("j-7{n}");
        sim.may_reshard = false;
        sim.elect();
        sim.submit(small(&id, "batch", 60), 40_000);
        sim.run_until("runs", 20_000, |sim| sim.worker_running(&format!("{id}/5")).is_some());
        sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
        sim.may_reshard = true;
        sim.run(1_500);
        sim.cancel(&id);
        sim.run(3_000 + 500 * n);
        sim.faults = FaultRates::default();
        sim.run(5_000);
    }
    sim.submit(small("j-9", "ensemble", 60), 3_000);
    sim.run_until("done", 60_000, done(&["j-9"]));
    sim.run(150_000);
    let left: Vec<&String> = sim.store.keys.keys().filter(|k| k.starts_with("t/")).collect();
    assert!(left.is_empty(), "records of jobs that are over: {left:?}");
}

/// What runs goes on under the new division; a replica that is lost is replaced.
fn a_service_is_divided_while_it_runs(sim: &mut Simulation) {
    sim.may_reshard = true;
    sim.slots = 6;
    for _ in 0..16 {
        sim.add_worker("b");
    }
    sim.submit(small("j-1", "service", 50), 0);
    sim.run_until("runs", 30_000, |sim| sim.worker_running("j-1/49").is_some());
    sim.value_now = KB;
    let starts = sim.starts;
    sim.run(10_000);
    assert_eq!((sim.starts, chunk_of(sim, "j-1")), (starts, sim.chunk_fit));
    let n = sim.worker_running("j-1/7").unwrap();
    sim.workers[n].dead = true;
    sim.run_until("replaced", 60_000, |sim| sim.worker_running("j-1/7").is_some_and(|m| m != n));
    sim.elect();
    sim.run(10_000);
    assert!(sim.worker_running("j-1/49").is_some());
}

/// Guard: the answer to the division is lost. What ends until it is known
/// counts as unwritten, and nothing more is placed.
fn a_division_without_an_answer(sim: &mut Simulation) {
    sim.slots = 8;
    sim.run_ms_step = 300;
    for (n, id) in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"].into_iter().enumerate() {
        sim.may_reshard = false;
        // More than there is room for, until machines come.
        let job = Submission { cpus: Some(1.0), ..small(id, "batch", 60) };
        sim.submit(job, 3_000 + 500 * n as u64);
        sim.run(4_500);
        sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
        sim.may_reshard = true;
        for _ in 0..6 {
            sim.add_worker("a");
            sim.run(500);
        }
        sim.workers.iter_mut().skip(4).for_each(|x| x.dead = x.tasks.is_empty());
        sim.faults = FaultRates::default();
        sim.run_until("divided", 60_000, |sim| chunk_of(sim, id) == sim.chunk_fit || sim.status(id) == JobStatus::Done);
        sim.run_until("done", 120_000, |sim| sim.status(id) == JobStatus::Done);
    }
    sim.run(45_000);
}

/// Arrays of all sizes, some of their tasks done, in bad faults, leaders
/// changing: nothing is lost, and nothing runs twice.
fn resharded_under_random_faults(sim: &mut Simulation) {
    sim.may_reshard = true;
    sim.run_ms_step = 400;
    for n in 0..10 {
        sim.add_worker(if n % 2 == 0 { "a" } else { "b" });
    }
    let names: Vec<String> = (0..24).map(|n| format!("j-{n}")).collect();
    sim.faults = FaultRates {
        late_command: 5,
        lost_command: 5,
        repeated_command: 10,
        slow_command: 20,
        lost_txn: 25,
        lost_report_answer: 10,
        late_report: 10,
        ..FaultRates::default()
    };
    for (n, id) in names.iter().enumerate() {
        let (kind, tasks) = (["batch", "ensemble", "batch"][sim.random_below(3)], 4 + sim.random_below(60) as u32);
        let run = 1_000 + 500 * sim.random_below(6) as u64;
        sim.submit(small(id, kind, tasks), run);
        let pause = 100 * sim.random_below(30) as u64;
        sim.run(pause);
        match sim.random_below(8) {
            0 => sim.elect(),
            1 => sim.die_after_txn = true,
            2 => {
                sim.cancel(id);
            }
            _ => {}
        }
        if n == 8 {
            sim.value_now = KB;
        }
        if sim.leader.is_none() {
            sim.elect();
        }
    }
    sim.faults = FaultRates::default();
    sim.die_after_txn = false;
    sim.elect();
    sim.run_until("all over", 600_000, |sim| names.iter().all(|id| sim.status(id) != JobStatus::Pending));
    sim.run(60_000);
}

/// Guard: fewer writes in a transaction than the settings say: it is cut
/// smaller, not repeated as it was.
fn fewer_writes_than_announced(sim: &mut Simulation) {
    sim.ops_now = 2;
    sim.chunk = 4;
    sim.submit(small("j-1", "batch", 60), 5_000);
    sim.submit(small("j-2", "ensemble", 30), 5_000);
    sim.run_until("done", 200_000, done(&["j-1", "j-2"]));
    assert!(sim.too_large < 8, "{} refused", sim.too_large);
}

/// An answer is lost at the moment of the change: the same again is refused.
fn an_unanswered_one_is_refused(sim: &mut Simulation) {
    sim.run(3_000);
    sim.submit(small("j-1", "batch", 120), 5_000);
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.run_until("on its way", 10_000, |sim| sim.txns > 0);
    sim.value_now = KB;
    sim.faults = FaultRates::default();
    sim.run_until("done", 200_000, done(&["j-1"]));
    sim.run(45_000);
}

#[test]
fn resharded_under_failures() {
    for seed in 0..8 {
        let mut sim = simulation(seed);
        resharded_under_random_faults(&mut sim);
        sim.check(&format!("seed {seed}"));
        eprintln!("seed {seed}: {} refused", sim.too_large);
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
        let mut sim = simulation(n as u64);
        case(&mut sim);
        eprintln!("  refused as too large: {}", sim.too_large);
        sim.check(name);
    }
}
