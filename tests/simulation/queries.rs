//! Queries of test cases: where tasks run, and the workers' latest heartbeats.

use shedhook::{
    coordination::{lease_renewal, model::Millis},
    protocol::workers::Heartbeat,
};

use super::{users::SubmittedJob, Simulation, CANCEL_MS, LEASE_MS};

impl Simulation {
    /// Returns how long, in ms, a controller that doesn't lead may renew worker leases
    /// after its last contact with the key-value store.
    pub fn longest_renewal_by_peer() -> Millis {
        lease_renewal::leaderless_window_ms(CANCEL_MS as f64 / 1000.0, LEASE_MS as f64 / 1000.0)
    }

    /// Returns the current virtual time, in ms.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns a random number from 0 to `bound` - 1.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.below(bound)
    }

    pub fn job(&self, id: &str) -> &SubmittedJob {
        &self.users[id]
    }

    /// Returns the index of the worker whose machine a task occupies; `None`: it occupies
    /// no machine.
    pub fn worker_running(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.is_occupied_by(task))
    }

    /// Returns, for each of the first `tasks` tasks of a job, the index of the worker whose
    /// machine it occupies.
    pub fn assignments(&self, id: &str, tasks: u32) -> Vec<Option<usize>> {
        (0..tasks).map(|number| self.worker_running(&format!("{id}/{number}"))).collect()
    }

    pub fn all_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_some)
    }

    pub fn none_running(&self, id: &str, tasks: u32) -> bool {
        self.assignments(id, tasks).iter().all(Option::is_none)
    }

    /// Returns each worker's current state as a heartbeat, with the sequence number of the
    /// last heartbeat that the worker sent.
    pub fn latest_heartbeats(&self) -> Vec<Heartbeat> {
        self.workers.iter().map(|worker| worker.latest_heartbeat()).collect()
    }
}
