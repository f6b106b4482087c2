//! Cancellations while a launch is in flight or while there is no leader.

use shedhook::storage::records::JobStatus;

use crate::simulation::{submission, FaultRates, Simulation};

/// A launch that is in flight when its job is cancelled still arrives; the task must
/// be found and stopped.
pub fn cancelled_with_a_launch_in_flight(sim: &mut Simulation) {
    sim.network.rates = FaultRates { late_command: 100, ..FaultRates::default() };
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run(300);
    assert!(sim.cancel("j-1"));
    sim.network.rates = FaultRates::default();
    sim.submit(submission("j-2", "batch", 1), 1_000);
    sim.run(150_000);
    assert_eq!(sim.status("j-1"), JobStatus::Cancelled);
}

pub fn cancelled_without_a_leader(sim: &mut Simulation) {
    sim.submit(submission("j-1", "batch", 4), 500_000);
    sim.run_until("the job runs", 10_000, |sim| sim.worker_running("j-1/0").is_some());
    sim.stop_leader();
    assert!(sim.cancel("j-1"));
    sim.run(10_000);
    sim.elect();
    sim.run(60_000);
    assert!(sim.worker_running("j-1/0").is_none());
}
