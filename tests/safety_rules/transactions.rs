//! Transactions whose response is lost or that are applied late, and leaders in quick succession.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation, SubmissionBuilder};

pub fn late_transaction_of_the_previous_leader(sim: &mut Simulation) {
    sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 8), 4_000);
    sim.run(500);
    sim.network.rates = FaultRates::default();
    sim.elect();
    sim.run_until("the job is done", 90_000, |sim| sim.status("j-1") == JobStatus::Done);
    sim.run(45_000);
}

/// A copy of a transaction that is applied late must not revert the records to
/// the earlier assignments of tasks.
pub fn late_copy_of_the_leaders_own_transaction(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|worker| worker.dead = true);
    sim.run(5_000);
    sim.submit(submission("j-1", "service", 1).with_priority("low"), 0);
    sim.network.rates = FaultRates { lost_transaction_response: 100, ..FaultRates::default() };
    sim.run_until("a copy of the transaction is in flight", 60_000, |sim| sim.network.in_flight() > 0);
    sim.network.rates = FaultRates::default();
    let at = sim.now() + 30_000;
    sim.network.delay_all_until(at);
    sim.run_until("the task runs", 20_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.submit(submission("j-2", "ensemble", 1).with_priority("high").with_cpus(8.0), 0);
    sim.run(5_000);
    sim.add_worker("b");
    sim.run_until("the task runs elsewhere", 15_000, |sim| {
        sim.worker_running("j-1/0").is_some_and(|worker| worker != 0)
    });
    sim.run(40_000);
    sim.elect();
    sim.run(10_000);
}

pub fn half_of_the_transaction_responses_are_lost(sim: &mut Simulation) {
    sim.network.rates = FaultRates { lost_transaction_response: 50, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 12), 2_000);
    sim.submit(submission("j-2", "service", 2), 0);
    sim.run_until("the job is done", 300_000, |sim| sim.status("j-1") == JobStatus::Done);
}

/// The leader changes again and again, each time within a fraction of a second; each new
/// leader finds launches and transactions in flight that earlier leaders started.
pub fn leaders_in_quick_succession(sim: &mut Simulation) {
    sim.network.rates = FaultRates {
        late_command: 30,
        lost_transaction_response: 30,
        lost_heartbeat_response: 20,
        late_heartbeat: 20,
        ..FaultRates::default()
    };
    sim.submit(submission("j-1", "service", 6), 0);
    sim.submit(submission("j-2", "batch", 10), 3_000);
    for _ in 0..12 {
        sim.elect();
        sim.run(300);
    }
    sim.network.rates = FaultRates::default();
    sim.run_until("the array is done", 120_000, |sim| sim.status("j-2") == JobStatus::Done);
    sim.run_until("all tasks run", 90_000, |sim| sim.all_running("j-1", 6));
}
