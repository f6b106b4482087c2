//! Commands and transactions that are slow, held up or applied late.

use shedhook::protocol::jobs::Submission;

use crate::{
    helpers::{high_priority, low_priority},
    simulation::{submission, FaultRates, Simulation, SubmissionBuilder, CANCEL_MS, LEASE_MS},
};

/// Guard: a launch without an answer is fenced by a raised token, and its
/// assignment is kept until the worker has shown that token. The machine hangs with the
/// command queued, the task is stopped meanwhile, and the machine goes on
/// within its lease, and once more past it.
pub fn delayed_command_to_a_machine_that_resumes(sim: &mut Simulation) {
    sim.workers.settings.image_fetch_ms = 0;
    sim.workers.iter_mut().skip(2).for_each(|worker| worker.dead = true);
    for (n, (at, hang)) in [(0, 16_000), (1, 16_000), (0, LEASE_MS + 4_000), (1, 20_000)].into_iter().enumerate() {
        let id = format!("j-{n}");
        sim.run(LEASE_MS + 5_000);
        let job = submission(&id, "ensemble", 2).with_cpus(8.0);
        // Just heard, so that it is given something.
        sim.workers[at].faults.hung = true;
        sim.submit(job, 0);
        sim.run(500);
        assert!(sim.network.has_commands_for(at), "its command is queued");
        // The gang's other machine is lost as well, when this one has long been
        // silent: it starts anew.
        sim.run(10_500);
        sim.restart_worker(1 - at);
        sim.run(hang - 15_000);
        let free = [sim.add_worker("a"), sim.add_worker("b")];
        sim.run(4_000);
        sim.workers[at].faults.hung = false;
        // It sends a heartbeat before it comes to what was queued.
        sim.network.delay_commands_for(at, sim.now() + 900);
        sim.run_until("runs", 90_000, |sim| sim.all_running(&id, 2));
        sim.run(5_000);
        sim.cancel(&id);
        sim.run(10_000);
        assert!(sim.none_running(&id, 2));
        sim.workers.iter_mut().filter(|worker| free.contains(&worker.id)).for_each(|worker| worker.dead = true);
    }
}

/// Guard: nothing is launched before its record is written, however long that
/// takes. The store is slow, then refuses the leader, then everybody, for longer
/// than a cancelled task may run on; users cancel all the while.
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
    sim.heal_faults();
    sim.run_until_settled("slow, then away", 120_000);
    sim.run(LEASE_MS);
}

/// Guard: every transaction is conditional on the revisions of the records it
/// replaces, so that one carried out late can't turn newer ones back.
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
    sim.heal_faults();
    sim.run_until_settled("late transactions", 120_000);
    sim.run(20_000);
}

/// Guard: urgent work goes first and the rest is not starved, when commands,
/// their answers and the key-value store take seconds: half of each class begins
/// within four minutes, the largest too.
pub fn overload_on_a_slow_network(sim: &mut Simulation) {
    sim.network.rates =
        FaultRates { slow_command: 60, slow_command_answer: 60, repeated_command: 20, ..FaultRates::default() };
    sim.store.conditions.transaction_latency_max_ms = 600;
    sim.store.conditions.read_latency_max_ms = 800;
    let of = |job: Submission, class: &str| {
        let cpus = job.cpus.unwrap().max(4.0);
        job.with_cpus(cpus).with_class(class)
    };
    for n in 0..4 {
        sim.submit(of(low_priority(&format!("j-{}", 200 + n), "batch", 2), "long"), 150_000);
    }
    sim.run_until("all is full", 30_000, |sim| sim.starts() == 8);
    sim.submit(of(high_priority("j-50", "ensemble", 4, 8.0), "urgent"), 5_000);
    sim.run_until("the urgent one begins", 30_000, |sim| sim.all_running("j-50", 4));
    let from = sim.now();
    for n in 0..10 {
        let kind = ["batch", "ensemble"][n % 2];
        sim.submit(of(low_priority(&format!("j-{}", 100 + n), kind, 3), "rest"), 5_000);
    }
    let begun = |sim: &Simulation, ids: std::ops::Range<usize>| {
        ids.filter(|n| {
            sim.workers.has_completed(&format!("j-{n}/0")) || sim.worker_running(&format!("j-{n}/0")).is_some()
        })
        .count()
    };
    // More urgent work than there is free capacity for, all the while.
    let mut n = 1_000;
    while sim.now() < from + 240_000 {
        sim.submit(of(high_priority(&format!("j-{n}"), "batch", 2, 4.0), "urgent"), 3_000);
        sim.run(1_200);
        n += 1;
    }
    let (urgent, rest) = (begun(sim, 1_000..n), begun(sim, 100..110));
    assert!(2 * urgent >= n - 1_000, "{urgent} of {} urgent ones", n - 1_000);
    assert!(rest >= 5, "{rest} of 10 others");
    sim.heal_faults();
    sim.run_until_settled("all in the end", 900_000);
}
