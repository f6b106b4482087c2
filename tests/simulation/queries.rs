//! What test cases ask of the simulation: where tasks run, and what heartbeats said.

use shedhook::{
    coordination::{lease_renewal, model::Millis},
    protocol::workers::Heartbeat,
};

use super::{users::SubmittedJob, Simulation, CANCEL_MS, LEASE_MS};

impl Simulation {
    /// How long a controller that is not leading may renew workers' leases.
    pub fn longest_renewal_by_peer() -> Millis {
        lease_renewal::leaderless_window_ms(CANCEL_MS as f64 / 1000.0, LEASE_MS as f64 / 1000.0)
    }

    /// The present virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.below(bound)
    }

    pub fn job(&self, id: &str) -> &SubmittedJob {
        &self.users[id]
    }

    /// Where a task is, by worker number.
    pub fn worker_running(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.holds(task))
    }

    /// The worker of each of a job's first `tasks` tasks.
    pub fn assignments(&self, id: &str, tasks: u32) -> Vec<Option<usize>> {
        (0..tasks).map(|number| self.worker_running(&format!("{id}/{number}"))).collect()
    }

    pub fn all_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_some)
    }

    pub fn none_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_none)
    }

    /// The last heartbeat that each worker could have sent.
    pub fn latest_heartbeats(&self) -> Vec<Heartbeat> {
        self.workers.iter().map(|worker| worker.latest_heartbeat()).collect()
    }
}
