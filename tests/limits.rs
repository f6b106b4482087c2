//! The key-value store lowers its limits without notice: no write may be retried without
//! end, and no job may be lost.

mod simulation;

use shedhook::{
    protocol::jobs::Submission,
    storage::records::{chunk_size, JobStatus},
};
use simulation::{
    cases::{case, run_table_variants, Case},
    submission, FaultRates, Simulation, SubmissionBuilder,
};

const KB: usize = 1_024;

fn small_job(id: &str, kind: &str, tasks: u32) -> Submission {
    submission(id, kind, tasks).with_cpus(0.1).with_memory_gb(0.1)
}

/// Creates a simulation in which the limit on a value is 16 KiB, and the controllers are
/// configured for a lower limit of 1 KiB that may replace it.
fn simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 4);
    sim.workers.settings.slots = 80;
    sim.users.tasks_per_chunk = 64;
    sim.store.conditions.value_bytes_max = 16 * KB;
    sim.controller.settings.value_bytes_max = 16 * KB;
    sim.controller.settings.reduced_value_bytes_max = KB;
    sim.controller.settings.reduced_tasks_per_chunk = chunk_size(1.0, 1);
    assert!(
        sim.controller.settings.reduced_tasks_per_chunk < 16,
        "{}",
        sim.controller.settings.reduced_tasks_per_chunk
    );
    sim.elect();
    sim
}

fn tasks_per_chunk_of(sim: &Simulation, id: &str) -> u32 {
    sim.job_record(id).tasks_per_chunk
}

fn all_done(ids: &'static [&'static str]) -> impl Fn(&Simulation) -> bool {
    move |sim| ids.iter().all(|id| sim.status(id) == JobStatus::Done)
}

/// A full record from before the change stays too large for the new limit. Running tasks
/// must keep running, and tasks that aren't placed yet are placed in parts.
fn limits_lowered_while_an_array_runs(sim: &mut Simulation) {
    sim.workers.settings.run_step_ms = 2_000;
    sim.submit(small_job("j-1", "batch", 120), 5_000);
    sim.run_until("task j-1/60 runs", 10_000, |sim| sim.worker_running("j-1/60").is_some());
    sim.store.conditions.value_bytes_max = KB;
    sim.submit(small_job("j-2", "batch", 120), 2_000);
    sim.submit(small_job("j-3", "batch", 4), 2_000);
    sim.run_until("all jobs are done", 200_000, all_done(&["j-1", "j-2", "j-3"]));
}

/// A gang whose record is too large to be written must be resharded; otherwise it never starts.
fn limits_lowered_before_a_gang_starts(sim: &mut Simulation) {
    sim.controller.settings.may_reshard = true;
    sim.store.conditions.value_bytes_max = KB;
    sim.submit(small_job("j-1", "ensemble", 60), 5_000);
    sim.submit(small_job("j-2", "ensemble", 10), 5_000);
    sim.run_until("all jobs are done", 60_000, all_done(&["j-1", "j-2"]));
    assert_eq!(
        (tasks_per_chunk_of(sim, "j-1"), tasks_per_chunk_of(sim, "j-2")),
        (sim.controller.settings.reduced_tasks_per_chunk, 64),
        "only the job whose record is too large must be resharded"
    );
}

fn limits_lowered_while_a_gang_runs(sim: &mut Simulation) {
    sim.controller.settings.may_reshard = true;
    sim.submit(small_job("j-1", "ensemble", 60), 20_000);
    let added = sim.add_worker("a");
    // The gang keeps running in its old chunks; once it is lost, it is resharded.
    sim.run_until("the last task of the gang runs", 20_000, |sim| sim.worker_running("j-1/59").is_some());
    sim.store.conditions.value_bytes_max = KB;
    let added = sim.workers.iter().position(|worker| worker.id == added).unwrap();
    sim.workers[added].dead = true;
    let busy = sim.workers.iter().position(|worker| !worker.tasks.is_empty());
    sim.restart_worker(busy.expect("the gang runs"));
    sim.run_until("j-1 is done", 120_000, all_done(&["j-1"]));
    assert_eq!(tasks_per_chunk_of(sim, "j-1"), sim.controller.settings.reduced_tasks_per_chunk);
    assert!(
        sim.controller.too_large_transactions() <= 1,
        "{} transactions refused",
        sim.controller.too_large_transactions()
    );
}

/// While a controller of the previous version may be running, no job may be resharded.
fn no_resharding_while_a_controller_of_the_previous_version_may_run(sim: &mut Simulation) {
    sim.store.conditions.value_bytes_max = KB;
    sim.submit(small_job("j-1", "ensemble", 60), 5_000);
    sim.submit(small_job("j-2", "batch", 6), 5_000);
    sim.run_until("the other job is done", 60_000, all_done(&["j-2"]));
    sim.run(60_000);
    assert!(sim.status("j-1") == JobStatus::Pending && tasks_per_chunk_of(sim, "j-1") == 64);
    assert!(
        sim.controller.too_large_transactions() < 5,
        "{} transactions refused",
        sim.controller.too_large_transactions()
    );
    sim.controller.settings.may_reshard = true;
    sim.run_until("j-1 is done", 60_000, all_done(&["j-1"]));
}

/// Allows resharding, lowers the limit and submits a job. Runs until the store has refused a
/// write of the leader under the lower limit; the leader's next write is in the new chunks.
fn run_until_limits_are_refused(sim: &mut Simulation, id: &str, kind: &str) {
    sim.controller.settings.may_reshard = true;
    sim.store.conditions.value_bytes_max = KB;
    let before = sim.controller.too_large_transactions();
    sim.submit(small_job(id, kind, 60), 5_000);
    // With write budget to spare, the job may be resharded before any write is refused.
    sim.run_until("a write is refused or the job is resharded", 20_000, |sim| {
        sim.controller.too_large_transactions() > before || tasks_per_chunk_of(sim, id) != 64
    });
}

fn leader_crashes_before_it_reshards(sim: &mut Simulation) {
    run_until_limits_are_refused(sim, "j-1", "ensemble");
    sim.controller.settings.crash_before_transaction = true;
    sim.run_until("the leader has crashed", 20_000, |sim| !sim.has_leader());
    assert_eq!(tasks_per_chunk_of(sim, "j-1"), 64);
    sim.elect();
    sim.run_until("j-1 is done", 120_000, all_done(&["j-1"]));
}

fn leader_crashes_after_it_resharded(sim: &mut Simulation) {
    run_until_limits_are_refused(sim, "j-1", "ensemble");
    sim.controller.settings.crash_after_transaction = true;
    sim.run_until("the leader has crashed", 20_000, |sim| !sim.has_leader());
    assert_eq!(tasks_per_chunk_of(sim, "j-1"), sim.controller.settings.reduced_tasks_per_chunk);
    sim.elect();
    sim.run_until("j-1 is done", 120_000, all_done(&["j-1"]));
}

/// After the response to the resharding is lost, it is unknown whether the old or the new
/// chunks are in effect. No task may be placed until that is known.
fn responses_are_lost_during_resharding(sim: &mut Simulation) {
    for id in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"] {
        sim.elect();
        run_until_limits_are_refused(sim, id, "ensemble");
        sim.network.rates = FaultRates { lost_transaction_response: 70, ..FaultRates::default() };
        sim.run(3_000);
        sim.network.rates = FaultRates::default();
    }
    sim.run_until("all jobs are done", 200_000, all_done(&["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"]));
    sim.run(45_000);
}

fn cancelled_during_resharding(sim: &mut Simulation) {
    for (id, at) in [("j-1", 0), ("j-2", 100), ("j-3", 200), ("j-4", 500)] {
        for lost_transaction_response in [0, 100] {
            let id = format!("{id}{lost_transaction_response}");
            sim.elect();
            run_until_limits_are_refused(sim, &id, "ensemble");
            sim.network.rates = FaultRates { lost_transaction_response, ..FaultRates::default() };
            sim.run(at);
            sim.cancel(&id);
            sim.run(1_000);
            sim.network.rates = FaultRates::default();
        }
    }
    // Jobs that run when they are cancelled: their resharding is written, but the response to
    // it is lost.
    for n in 0..8 {
        let id = format!("j-7{n}");
        sim.controller.settings.may_reshard = false;
        sim.elect();
        sim.submit(small_job(&id, "batch", 60), 40_000);
        sim.run_until("a task of the job runs", 20_000, |sim| sim.worker_running(&format!("{id}/5")).is_some());
        sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
        sim.controller.settings.may_reshard = true;
        sim.run(1_500);
        sim.cancel(&id);
        sim.run(3_000 + 500 * n);
        sim.network.rates = FaultRates::default();
        sim.run(5_000);
    }
    sim.submit(small_job("j-9", "ensemble", 60), 3_000);
    sim.run_until("j-9 is done", 60_000, all_done(&["j-9"]));
    sim.run(150_000);
    let left = sim.store.chunk_keys();
    assert!(left.is_empty(), "records of finished jobs are left: {left:?}");
}

/// Running tasks must keep running in the new chunks; a replica that is lost is replaced.
fn running_service_is_resharded(sim: &mut Simulation) {
    sim.controller.settings.may_reshard = true;
    sim.workers.settings.slots = 6;
    for _ in 0..16 {
        sim.add_worker("b");
    }
    sim.submit(small_job("j-1", "service", 50), 0);
    sim.run_until("the last task of the service runs", 30_000, |sim| sim.worker_running("j-1/49").is_some());
    sim.store.conditions.value_bytes_max = KB;
    let starts = sim.task_starts();
    sim.run(10_000);
    assert_eq!(
        (sim.task_starts(), tasks_per_chunk_of(sim, "j-1")),
        (starts, sim.controller.settings.reduced_tasks_per_chunk)
    );
    let placed_on = sim.worker_running("j-1/7").unwrap();
    sim.workers[placed_on].dead = true;
    sim.run_until("the lost replica is replaced", 60_000, |sim| {
        sim.worker_running("j-1/7").is_some_and(|worker| worker != placed_on)
    });
    sim.elect();
    sim.run(10_000);
    assert!(sim.worker_running("j-1/49").is_some());
}

/// The response to the resharding is lost. Until the outcome is known, the exits of tasks are
/// treated as unwritten, and no more tasks may be placed.
fn resharding_response_is_lost(sim: &mut Simulation) {
    sim.workers.settings.slots = 8;
    sim.workers.settings.run_step_ms = 300;
    for (n, id) in ["j-1", "j-2", "j-3", "j-4", "j-5", "j-6"].into_iter().enumerate() {
        sim.controller.settings.may_reshard = false;
        // More tasks than the free capacity holds, until machines are added.
        let job = small_job(id, "batch", 60).with_cpus(1.0);
        sim.submit(job, 3_000 + 500 * n as u64);
        sim.run(4_500);
        sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
        sim.controller.settings.may_reshard = true;
        for _ in 0..6 {
            sim.add_worker("a");
            sim.run(500);
        }
        sim.workers.iter_mut().skip(4).for_each(|worker| worker.dead = worker.tasks.is_empty());
        sim.network.rates = FaultRates::default();
        sim.run_until("the job is resharded or done", 60_000, |sim| {
            tasks_per_chunk_of(sim, id) == sim.controller.settings.reduced_tasks_per_chunk
                || sim.status(id) == JobStatus::Done
        });
        sim.run_until("the job is done", 120_000, |sim| sim.status(id) == JobStatus::Done);
    }
    sim.run(45_000);
}

/// Arrays and gangs of all sizes, some with tasks that are done, are resharded under frequent
/// faults while leaders change: no task may be lost or run twice.
fn resharded_under_random_faults(sim: &mut Simulation) {
    sim.controller.settings.may_reshard = true;
    sim.workers.settings.run_step_ms = 400;
    sim.add_workers(10);
    let names: Vec<String> = (0..24).map(|n| format!("j-{n}")).collect();
    sim.network.rates = FaultRates {
        late_command: 5,
        lost_command: 5,
        repeated_command: 10,
        slow_command: 20,
        lost_transaction_response: 25,
        lost_heartbeat_response: 10,
        late_heartbeat: 10,
        ..FaultRates::default()
    };
    for (n, id) in names.iter().enumerate() {
        let (kind, tasks) = (["batch", "ensemble", "batch"][sim.random_below(3)], 4 + sim.random_below(60) as u32);
        let run_ms = 1_000 + 500 * sim.random_below(6) as u64;
        sim.submit(small_job(id, kind, tasks), run_ms);
        let pause_ms = 100 * sim.random_below(30) as u64;
        sim.run(pause_ms);
        match sim.random_below(8) {
            0 => sim.elect(),
            1 => sim.controller.settings.crash_after_transaction = true,
            2 => {
                sim.cancel(id);
            }
            _ => {}
        }
        if n == 8 {
            sim.store.conditions.value_bytes_max = KB;
        }
        if !sim.has_leader() {
            sim.elect();
        }
    }
    sim.network.rates = FaultRates::default();
    sim.controller.settings.crash_after_transaction = false;
    sim.elect();
    sim.run_until("all jobs finished", 600_000, |sim| names.iter().all(|id| sim.status(id) != JobStatus::Pending));
    sim.run(60_000);
}

/// The store accepts fewer writes in a transaction than the settings state: the leader must
/// split the transaction instead of repeating it unchanged.
fn store_accepts_fewer_writes_than_announced(sim: &mut Simulation) {
    sim.store.conditions.transaction_writes_max = 2;
    sim.users.tasks_per_chunk = 4;
    sim.submit(small_job("j-1", "batch", 60), 5_000);
    sim.submit(small_job("j-2", "ensemble", 30), 5_000);
    sim.run_until("all jobs are done", 200_000, all_done(&["j-1", "j-2"]));
    assert!(
        sim.controller.too_large_transactions() < 8,
        "{} transactions refused",
        sim.controller.too_large_transactions()
    );
}

/// A response is lost at the moment when the limits change, so that the same transaction is
/// refused when it is repeated.
fn retried_transaction_is_refused(sim: &mut Simulation) {
    sim.run(3_000);
    sim.submit(small_job("j-1", "batch", 120), 5_000);
    sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
    sim.run_until("a transaction is sent", 10_000, |sim| sim.controller.transactions() > 0);
    sim.store.conditions.value_bytes_max = KB;
    sim.network.rates = FaultRates::default();
    sim.run_until("j-1 is done", 200_000, all_done(&["j-1"]));
    sim.run(45_000);
}

#[test]
fn jobs_complete_when_resharded_under_random_faults() {
    for seed in 0..8 {
        let mut sim = simulation(seed);
        resharded_under_random_faults(&mut sim);
        sim.check(&format!("seed {seed}"));
        eprintln!("seed {seed}: {} transactions refused", sim.controller.too_large_transactions());
    }
}

#[test]
fn jobs_complete_after_the_store_lowers_its_limits() {
    let cases: &[Case] = &[
        case("limits lowered while an array runs, all jobs complete", limits_lowered_while_an_array_runs),
        case("limits lowered before a gang starts, gang is resharded", limits_lowered_before_a_gang_starts),
        case("limits lowered while a gang runs, gang is resharded once it is lost", limits_lowered_while_a_gang_runs),
        case(
            "controller of the previous version may run, nothing is resharded",
            no_resharding_while_a_controller_of_the_previous_version_may_run,
        ),
        case("leader crashes before it reshards, gang completes", leader_crashes_before_it_reshards),
        case("leader crashes after it resharded, gang completes", leader_crashes_after_it_resharded),
        case("responses are lost during resharding, all jobs complete", responses_are_lost_during_resharding),
        case("job is cancelled during resharding, its records are deleted", cancelled_during_resharding),
        case("resharding response is lost, all jobs complete", resharding_response_is_lost),
        case("running service is resharded, its tasks keep running", running_service_is_resharded),
        case("store accepts fewer writes than announced, all jobs complete", store_accepts_fewer_writes_than_announced),
        case("transaction with a lost response is refused on retry, job completes", retried_transaction_is_refused),
    ];
    run_table_variants(cases, 1, simulation);
}
