//! All faults at once, chosen at random with fixed seeds.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation};

/// Everything at once, by chance with fixed seeds: nothing breaks a rule, and
/// once the faults are over all arrays are done.
#[test]
fn jobs_under_random_faults() {
    for seed in 0..32 {
        let mut sim = Simulation::new(seed, 6);
        sim.team_gpus_max = 8.0;
        sim.capacity = 12;
        sim.fetch = [200, 1_000][sim.random_below(2)];
        if seed % 2 == 0 {
            sim.silent_ms = 8_500; // machines that are silent or can't receive are returned
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
                inject_random_fault(&mut sim, n, at);
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
        let over = |sim: &Simulation| (0..12).all(|n| sim.status(&format!("j-{n}")) != JobStatus::Pending);
        sim.run_until(&format!("seed {seed}: all over"), 900_000, over);
        sim.check(&format!("seed {seed}, afterwards"));
    }
}

/// One fault, or its end, drawn at random: at worker `at`, at the leader, or a
/// cancellation of one of the first `n` jobs.
fn inject_random_fault(sim: &mut Simulation, n: u32, at: usize) {
    match sim.random_below(14) {
        0 => sim.workers[at].partitioned = true,
        1 => sim.workers[at].hung = true,
        2 | 3 => sim.workers.iter_mut().for_each(|x| (x.partitioned, x.hung, x.inbound_lost) = (false, false, false)),
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
}
