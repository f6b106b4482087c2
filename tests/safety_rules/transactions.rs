//! Transactions whose answer is lost or that are applied late, and leaders in quick succession.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation};

pub fn a_late_transaction_of_the_leader_before(sim: &mut Simulation) {
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 8), 4_000);
    sim.run(500);
    sim.faults = FaultRates::default();
    sim.elect();
    sim.run_until("done", 90_000, |sim| sim.status("j-1") == JobStatus::Done);
    sim.run(45_000);
}

/// Guard: a copy of a transaction that is applied late must not turn the
/// records back to where tasks were before.
pub fn a_late_copy_of_our_own_transaction(sim: &mut Simulation) {
    sim.workers.iter_mut().skip(1).for_each(|x| x.dead = true);
    sim.run(5_000);
    let mut job = submission("j-1", "service", 1);
    job.priority = Some("low".into());
    sim.submit(job, 0);
    sim.faults = FaultRates { lost_txn: 100, ..FaultRates::default() };
    sim.run_until("a copy is held", 60_000, |sim| !sim.delayed.is_empty());
    sim.faults = FaultRates::default();
    let at = sim.now + 30_000;
    sim.delayed.iter_mut().for_each(|h| h.0 = at);
    sim.run_until("runs", 20_000, |sim| sim.worker_running("j-1/0").is_some());
    let mut job = submission("j-2", "ensemble", 1);
    (job.priority, job.cpus) = (Some("high".into()), Some(8.0));
    sim.submit(job, 0);
    sim.run(5_000);
    sim.add_worker("b");
    sim.run_until("elsewhere", 15_000, |sim| sim.worker_running("j-1/0").is_some_and(|n| n != 0));
    sim.run(40_000);
    sim.elect();
    sim.run(10_000);
}

pub fn a_lost_answer_to_every_second_transaction(sim: &mut Simulation) {
    sim.faults = FaultRates { lost_txn: 50, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 12), 2_000);
    sim.submit(submission("j-2", "service", 2), 0);
    sim.run_until("done", 300_000, |sim| sim.status("j-1") == JobStatus::Done);
}

/// A controller comes back within a fraction of a second, again and again, as
/// the next leader each time: each finds what those before have begun.
pub fn leaders_that_follow_one_another_quickly(sim: &mut Simulation) {
    sim.faults =
        FaultRates { late_command: 30, lost_txn: 30, lost_report_answer: 20, late_report: 20, ..FaultRates::default() };
    sim.submit(submission("j-1", "service", 6), 0);
    sim.submit(submission("j-2", "batch", 10), 3_000);
    for _ in 0..12 {
        sim.elect();
        sim.run(300);
    }
    sim.faults = FaultRates::default();
    sim.run_until("done", 120_000, |sim| sim.status("j-2") == JobStatus::Done);
    sim.run_until("runs", 90_000, |sim| sim.all_running("j-1", 6));
}
