//! Cancellations that the leader learns of late.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation};

/// Guard: a launch under way when its job is cancelled is found and stopped.
pub fn cancelled_with_the_launch_in_flight(sim: &mut Simulation) {
    sim.faults = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run(300);
    assert!(sim.cancel("j-1"));
    sim.faults = FaultRates::default();
    sim.submit(submission("j-2", "batch", 1), 1_000);
    sim.run(150_000);
    assert_eq!(sim.status("j-1"), JobStatus::Cancelled);
}

pub fn cancelled_while_the_leader_is_away(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run_until("runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.leader = None;
    assert!(sim.cancel("j-1"));
    sim.run(10_000);
    sim.elect();
    sim.run(60_000);
    assert!(sim.worker_running("j-1/0").is_none());
}
