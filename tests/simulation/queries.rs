//! What test cases ask of the simulation: where tasks run, and what was reported.

use shedhook::{
    coordination::{lease_renewal, model::Millis},
    protocol::workers::Heartbeat,
};

use super::{Simulation, CANCEL, LEASE};

impl Simulation {
    /// How long a controller that is not leading may keep workers' leases.
    pub fn longest_renewal_by_peer() -> Millis {
        lease_renewal::most_ms(CANCEL as f64 / 1000.0, LEASE as f64 / 1000.0)
    }

    /// The worker of each of a job's first `tasks` tasks.
    pub fn assignments(&self, id: &str, tasks: u32) -> Vec<Option<usize>> {
        (0..tasks).map(|n| self.worker_running(&format!("{id}/{n}"))).collect()
    }

    pub fn all_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_some)
    }

    pub fn none_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_none)
    }

    /// What every worker last could have reported.
    pub fn latest_reports(&mut self) -> Vec<Heartbeat> {
        (0..self.workers.len()).map(|n| self.report_of(n)).collect()
    }
}
