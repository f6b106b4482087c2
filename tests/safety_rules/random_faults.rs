//! All kinds of faults at once, chosen at random with fixed seeds.

use shedhook::{protocol::jobs::Submission, storage::records::JobStatus};

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder};

/// All kinds of faults occur at random, with fixed seeds. No safety rule may be broken. Once
/// the faults are over, services are cancelled, and every job must be done or cancelled.
#[test]
fn safety_rules_hold_and_arrays_complete_under_random_faults() {
    for seed in 0..32 {
        let mut sim = Simulation::new(seed, 6);
        sim.controller.settings.quotas.red_gpus_max = Some(8.0);
        sim.cloud.settings.capacity = 12;
        sim.workers.settings.image_fetch_ms = [200, 1_000][sim.random_below(2)];
        if seed % 2 == 0 {
            // Machines that send no heartbeats or can't receive are released.
            sim.controller.settings.heartbeat_timeout_ms = 8_500;
        }
        sim.network.rates = FaultRates {
            late_command: 10,
            lost_command: 5,
            repeated_command: 20,
            slow_command: 20,
            lost_transaction_response: 10,
            lost_heartbeat_response: 10,
            late_heartbeat: 10,
            lost_scale_out_response: 30,
            ..FaultRates::default()
        };
        sim.elect();
        for n in 0..12u32 {
            let kind = ["batch", "ensemble", "service"][sim.random_below(3)];
            let tasks = 1 + sim.random_below(6) as u32;
            let job = random_submission(&mut sim, &format!("j-{n}"), kind, tasks);
            let run_ms = if kind == "service" { 0 } else { 2_000 + 1_000 * sim.random_below(20) as u64 };
            sim.submit(job, run_ms);
            for _ in 0..3 {
                let at = sim.random_below(sim.workers.len());
                inject_random_fault(&mut sim, n, at);
                sim.run(5_000);
                if !sim.has_leader() && sim.random_below(2) == 0 {
                    sim.elect();
                }
            }
        }
        sim.check(&format!("seed {seed}"));
        sim.network.rates = FaultRates::default();
        sim.cloud.settings.capacity = 12;
        sim.workers.iter_mut().for_each(|worker| {
            (worker.faults.partitioned, worker.faults.hung, worker.faults.inbound_lost) = (false, false, false)
        });
        sim.elect();
        for n in 0..12 {
            let id = format!("j-{n}");
            if sim.job(&id).run_ms == 0 {
                sim.cancel(&id);
            }
        }
        let all_finished = |sim: &Simulation| (0..12).all(|n| sim.status(&format!("j-{n}")) != JobStatus::Pending);
        sim.run_until(&format!("seed {seed}: all jobs finished"), 900_000, all_finished);
        sim.check(&format!("seed {seed}, afterwards"));
    }
}

fn random_submission(sim: &mut Simulation, id: &str, kind: &str, tasks: u32) -> Submission {
    let gpus = sim.random_below(2) as f64;
    let one_zone = sim.random_below(3) == 0;
    let spread = !one_zone && sim.random_below(3) == 0;
    let priority = ["low", "normal", "high"][sim.random_below(3)];
    let job = submission(id, kind, tasks).with_gpus(gpus).with_one_zone(one_zone);
    job.with_spread(spread).with_priority(priority)
}

/// Injects or ends a fault at random: at worker `at` or at the leader, or cancels
/// one of the first `n` jobs.
fn inject_random_fault(sim: &mut Simulation, n: u32, at: usize) {
    match sim.random_below(14) {
        0 => sim.workers[at].faults.partitioned = true,
        1 => sim.workers[at].faults.hung = true,
        2 | 3 => sim.workers.iter_mut().for_each(|worker| {
            (worker.faults.partitioned, worker.faults.hung, worker.faults.inbound_lost) = (false, false, false)
        }),
        4 => sim.elect(),
        5 => sim.stop_leader(),
        7 => sim.workers[at].faults.inbound_lost = true,
        8 => {
            sim.restart_worker(at);
        }
        6 if n > 2 => {
            let id = format!("j-{}", sim.random_below(n as usize));
            sim.cancel(&id);
        }
        _ => {}
    }
}
