//! Pipelines under random faults with fixed seeds, also during a rolling upgrade.

use shedhook::storage::records::JobStatus;

use crate::{
    helpers::submission_after,
    simulation::{FaultRates, Simulation, SubmissionBuilder},
};

/// Pipelines under random faults with fixed seeds; some jobs are cancelled, and the leader
/// changes.
#[test]
fn pipelines_finish_after_random_faults() {
    for seed in 0..24 {
        let mut sim = Simulation::new(seed, 6);
        sim.network.rates = FaultRates {
            late_command: 10,
            lost_command: 5,
            repeated_command: 20,
            slow_command: 20,
            lost_transaction_response: 15,
            lost_heartbeat_response: 10,
            late_heartbeat: 10,
            ..FaultRates::default()
        };
        sim.elect();
        let mut names: Vec<String> = Vec::new();
        for n in 0..16 {
            // Ids are not in the order of submission.
            let id = format!("j-{}", (n * 7 + 3) % 16);
            let mut prereqs: Vec<String> = Vec::new();
            for _ in 0..sim.random_below(3) {
                if !names.is_empty() {
                    let at = sim.random_below(names.len());
                    prereqs.push(names[at].clone());
                }
            }
            let prereqs: Vec<&str> = prereqs.iter().map(String::as_str).collect();
            let kind = ["batch", "ensemble"][sim.random_below(2)];
            let tasks = 1 + sim.random_below(3) as u32;
            let run_ms = 500 + 500 * sim.random_below(8) as u64;
            sim.submit(submission_after(&id, kind, tasks, &prereqs), run_ms);
            names.push(id);
            let pause_ms = 200 * sim.random_below(20) as u64;
            sim.run(pause_ms);
            match sim.random_below(10) {
                0 => sim.elect(),
                1 => {
                    let at = sim.random_below(names.len());
                    let id = names[at].clone();
                    sim.cancel(&id);
                }
                2 => sim.controller.settings.crash_after_transaction = true,
                3 => sim.controller.settings.crash_before_transaction = true,
                _ => {}
            }
            if !sim.has_leader() && sim.random_below(2) == 0 {
                sim.elect();
            }
        }
        sim.network.rates = FaultRates::default();
        sim.controller.settings.crash_after_transaction = false;
        sim.controller.settings.crash_before_transaction = false;
        sim.elect();
        run_until_all_have_finished(&mut sim, &names, seed);
    }
}

/// Runs without faults until every job is done or cancelled, and checks that no invariant
/// was broken.
fn run_until_all_have_finished(sim: &mut Simulation, names: &[String], seed: u64) {
    let all_finished = |sim: &Simulation| {
        names.iter().all(|n| sim.status_reported_to_users(n).is_some_and(|s| s != JobStatus::Pending))
    };
    sim.run_until(&format!("all jobs finished, seed {seed}"), 600_000, all_finished);
    sim.run(60_000);
    sim.check(&format!("seed {seed}"));
}

/// Five controllers of two versions take turns as leader and are upgraded one by one, under
/// frequent faults. Jobs with prerequisites are submitted only once all controllers are
/// upgraded; their prerequisites may have been recorded or completed by either version.
/// Controllers of the previous version are simulated by this version's logic with the
/// previous format of records; other differences between the versions are not covered.
#[test]
fn pipelines_finish_after_a_rolling_upgrade_under_faults() {
    for seed in 0..8 {
        let mut sim = Simulation::new(seed, 6);
        sim.workers.settings.slots = 20;
        sim.users.tasks_per_chunk = 64;
        sim.controller.settings.reduced_tasks_per_chunk = 12;
        sim.store.conditions.value_bytes_max = 16 << 10;
        sim.controller.settings.value_bytes_max = 16 << 10;
        sim.controller.settings.reduced_value_bytes_max = 1 << 10;
        sim.network.rates = FaultRates {
            late_command: 5,
            slow_command: 20,
            lost_transaction_response: 15,
            lost_heartbeat_response: 10,
            ..FaultRates::default()
        };
        let mut is_upgraded = [false; 5];
        let mut names: Vec<String> = Vec::new();
        for round in 0..40 {
            // From round 8 on, controllers are upgraded one by one. A controller that ends before its
            // upgrade restarts with the previous version.
            if round >= 8 && sim.random_below(2) == 0 {
                if let Some(n) = is_upgraded.iter().position(|upgraded| !upgraded) {
                    is_upgraded[n] = true;
                }
            }
            let all_upgraded = is_upgraded.iter().all(|upgraded| *upgraded);
            if !sim.has_leader() || sim.random_below(3) == 0 {
                sim.controller.settings.writes_previous_format = !is_upgraded[sim.random_below(5)];
                sim.controller.settings.may_reshard = all_upgraded;
                sim.elect();
            }
            let id = format!("j-{}", (round * 27 + 5) % 40);
            let mut prereqs: Vec<String> = Vec::new();
            while all_upgraded && prereqs.len() < 2 {
                let at = sim.random_below(names.len());
                prereqs.push(names[at].clone());
            }
            let prereqs: Vec<&str> = prereqs.iter().map(String::as_str).collect();
            let tasks = 1 + sim.random_below(20) as u32;
            let kind = ["batch", "ensemble"][sim.random_below(2)];
            let job = submission_after(&id, kind, tasks, &prereqs).with_cpus(0.5);
            // Controllers of the previous version record larger chunks.
            sim.users.tasks_per_chunk = if is_upgraded[sim.random_below(5)] { 12 } else { 64 };
            let run_ms = 500 + 500 * sim.random_below(6) as u64;
            sim.submit(job, run_ms);
            names.push(id);
            let pause_ms = 200 * sim.random_below(20) as u64;
            sim.run(pause_ms);
            match sim.random_below(8) {
                0 => {
                    let at = sim.random_below(names.len());
                    sim.cancel(&names[at].clone());
                }
                1 => sim.controller.settings.crash_after_transaction = true,
                2 => sim.controller.settings.crash_before_transaction = true,
                _ => {}
            }
            if round == 30 {
                sim.store.conditions.value_bytes_max = 1 << 10;
            }
        }
        assert!(is_upgraded.iter().all(|upgraded| *upgraded), "seed {seed}");
        sim.network.rates = FaultRates::default();
        sim.controller.settings.crash_after_transaction = false;
        sim.controller.settings.crash_before_transaction = false;
        sim.controller.settings.writes_previous_format = false;
        sim.controller.settings.may_reshard = true;
        sim.elect();
        run_until_all_have_finished(&mut sim, &names, seed);
    }
}
