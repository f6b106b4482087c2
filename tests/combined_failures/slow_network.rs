//! Commands and transactions that are slow, delayed or applied late.

use shedhook::protocol::jobs::Submission;

use crate::{
    helpers::{high_priority, low_priority},
    simulation::{submission, FaultRates, Simulation, SubmissionBuilder, CANCEL_MS, LEASE_MS},
};

/// A launch without a response is fenced by a raised token, and its assignment is kept
/// until the worker has acknowledged that token; otherwise the queued launch starts a task
/// that also runs elsewhere. Here a machine hangs with the command queued, the task is
/// stopped in the meantime, and the machine resumes: in three of the four runs within its
/// lease, in the other one after its lease has expired.
pub fn delayed_command_to_a_machine_that_resumes(sim: &mut Simulation) {
    sim.workers.settings.image_fetch_ms = 0;
    sim.workers.iter_mut().skip(2).for_each(|worker| worker.dead = true);
    for (n, (at, hang)) in [(0, 16_000), (1, 16_000), (0, LEASE_MS + 4_000), (1, 20_000)].into_iter().enumerate() {
        let id = format!("j-{n}");
        sim.run(LEASE_MS + 5_000);
        let job = submission(&id, "ensemble", 2).with_cpus(8.0);
        // A heartbeat was just received, so the machine gets a task.
        sim.workers[at].faults.hung = true;
        sim.submit(job, 0);
        sim.run(500);
        assert!(sim.network.has_commands_with_lost_response(at), "no command is queued for the hung machine");
        // Long after the hung machine's last heartbeat, the gang's other machine is lost as
        // well: the gang restarts.
        sim.run(10_500);
        sim.restart_worker(1 - at);
        sim.run(hang - 15_000);
        let free = [sim.add_worker("a"), sim.add_worker("b")];
        sim.run(4_000);
        sim.workers[at].faults.hung = false;
        // The machine sends a heartbeat before it processes the queued commands.
        sim.network.delay_commands_with_lost_response(at, sim.now() + 900);
        sim.run_until("the gang runs", 90_000, |sim| sim.all_running(&id, 2));
        sim.run(5_000);
        sim.cancel(&id);
        sim.run(10_000);
        assert!(sim.none_running(&id, 2));
        sim.workers.iter_mut().filter(|worker| free.contains(&worker.id)).for_each(|worker| worker.dead = true);
    }
}

/// No task is launched before its record is written, however long that takes. Here the
/// store is slow, then refuses the leader, then all controllers, for longer than a
/// cancelled task may continue to run; users cancel jobs throughout.
pub fn slow_store_refuses_the_leader_then_all_controllers(sim: &mut Simulation) {
    sim.store.conditions.transaction_latency_max_ms = 1_900;
    sim.store.conditions.read_latency_max_ms = 1_900;
    for n in 0..8 {
        sim.submit(submission(&format!("j-{n}"), "batch", 2), 3_000 + 6_000 * n);
    }
    for n in 0..4 {
        sim.run(2_500);
        let id = format!("j-{n}");
        sim.cancel(&id);
    }
    sim.store.conditions.refuses_leader = true;
    sim.run(1_000);
    sim.cancel("j-6");
    sim.run(3_000);
    sim.stop_leader();
    sim.run(CANCEL_MS + 5_000);
    sim.elect();
    sim.run(5_000);
    sim.end_faults();
    sim.run_until_settled("store slow, then unavailable", 120_000);
    sim.run(LEASE_MS);
}

/// Every transaction is conditional on the revisions of the records that it replaces, so
/// that one applied late can't revert newer records.
pub fn transactions_applied_late(sim: &mut Simulation) {
    sim.network.rates = FaultRates { late_transaction: 50, slow_command: 20, ..FaultRates::default() };
    for n in 0..6u32 {
        sim.submit(
            submission(&format!("j-{n}"), ["batch", "service"][n as usize % 2], 3),
            if n % 2 == 0 { 2_500 } else { 0 },
        );
        sim.run(4_000);
        let at = sim.random_below(sim.workers.len());
        sim.restart_worker(at);
        if n == 3 {
            assert!(sim.cancel("j-1"));
            sim.elect();
        }
    }
    sim.run(20_000);
    sim.end_faults();
    sim.run_until_settled("late transactions", 120_000);
    sim.run(20_000);
}

/// Urgent jobs go first and the other jobs must not be starved when commands, their
/// responses and the key-value store take seconds: half of each class, including the
/// largest jobs, must start within four minutes.
pub fn overload_on_a_slow_network(sim: &mut Simulation) {
    sim.network.rates =
        FaultRates { slow_command: 60, slow_command_response: 60, repeated_command: 20, ..FaultRates::default() };
    sim.store.conditions.transaction_latency_max_ms = 600;
    sim.store.conditions.read_latency_max_ms = 800;
    let in_class = |job: Submission, class: &str| {
        let cpus = job.cpus.unwrap().max(4.0);
        job.with_cpus(cpus).with_class(class)
    };
    for n in 0..4 {
        sim.submit(in_class(low_priority(&format!("j-{}", 200 + n), "batch", 2), "long"), 150_000);
    }
    sim.run_until("all machines are full", 30_000, |sim| sim.task_starts() == 8);
    sim.submit(in_class(high_priority("j-50", "ensemble", 4, 8.0), "urgent"), 5_000);
    sim.run_until("the urgent gang starts", 30_000, |sim| sim.all_running("j-50", 4));
    let overload_start = sim.now();
    for n in 0..10 {
        let kind = ["batch", "ensemble"][n % 2];
        sim.submit(in_class(low_priority(&format!("j-{}", 100 + n), kind, 3), "rest"), 5_000);
    }
    let started_jobs = |sim: &Simulation, ids: std::ops::Range<usize>| {
        ids.filter(|n| {
            sim.workers.has_completed(&format!("j-{n}/0")) || sim.worker_running(&format!("j-{n}/0")).is_some()
        })
        .count()
    };
    // Urgent jobs exceed the free capacity throughout.
    let mut n = 1_000;
    while sim.now() < overload_start + 240_000 {
        sim.submit(in_class(high_priority(&format!("j-{n}"), "batch", 2, 4.0), "urgent"), 3_000);
        sim.run(1_200);
        n += 1;
    }
    let (urgent, rest) = (started_jobs(sim, 1_000..n), started_jobs(sim, 100..110));
    assert!(2 * urgent >= n - 1_000, "{urgent} of {} urgent jobs started", n - 1_000);
    assert!(rest >= 5, "{rest} of 10 other jobs started");
    sim.end_faults();
    sim.run_until_settled("all jobs after the overload", 900_000);
}
