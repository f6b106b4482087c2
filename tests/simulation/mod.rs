//! A cluster simulated in virtual time: key-value store, workers, cloud, network
//! and users are written from the protocol's description; the leader is the
//! library's own. A test case decides which messages are delayed, lost or
//! repeated and what crashes; the invariants are checked at every step.
//!
//! [`Simulation`] is composed of one part for each of these. Each part keeps its
//! state to itself; what a test case may set stands in its settings: for example
//! [`store::StoreConditions`], [`network::FaultRates`] or [`worker::WorkerFaults`].

// Several test binaries include this module, and each of them uses another part
// of it; together they use all.
#![allow(dead_code)]

pub mod cases;
pub mod cloud;
mod commits;
mod controller;
mod controller_settings;
mod delivery;
mod effects;
mod invariants;
mod network;
mod progress;
mod queries;
mod random;
mod store;
mod submission;
mod users;
pub mod worker;
mod workers;
mod write_budget;

use cloud::{SimulatedCloud, MACHINE_TYPE, ZONES};
use controller::SimulatedController;
use invariants::InvariantChecker;
pub use network::FaultRates;
use network::SimulatedNetwork;
use progress::StarvationCheck;
use random::RandomSource;
use shedhook::coordination::model::Millis;
use store::SimulatedStore;
pub use submission::{submission, SubmissionBuilder};
use users::SimulatedUsers;
use worker::WorkerSpec;
use workers::SimulatedWorkers;
use write_budget::WriteBudgets;

/// How long a worker keeps its tasks without an answered heartbeat.
pub const LEASE_MS: Millis = 30_000;

/// How long tasks of a cancelled job may run on.
pub const CANCEL_MS: Millis = 50_000;

pub const HEARTBEAT_INTERVAL_MS: Millis = 3_000;

/// How far the virtual time goes on in one step.
const STEP_MS: Millis = 100;

/// How often controllers tell one another what they write.
const WRITE_SHARING_MS: Millis = 400;

pub struct Simulation {
    pub store: SimulatedStore,
    pub network: SimulatedNetwork,
    pub workers: SimulatedWorkers,
    pub cloud: SimulatedCloud,
    pub controller: SimulatedController,
    pub users: SimulatedUsers,
    now: Millis,
    random: RandomSource,
    invariants: InvariantChecker,
    starvation: StarvationCheck,
    /// Where writes are counted; elsewhere they are free.
    write_budgets: Option<WriteBudgets>,
}

impl Simulation {
    /// A cluster of so many workers, in both zones by turns, that has no leader yet.
    pub fn new(seed: u64, workers: usize) -> Simulation {
        let mut simulation = Simulation {
            store: SimulatedStore::default(),
            network: SimulatedNetwork::default(),
            workers: SimulatedWorkers::default(),
            cloud: SimulatedCloud::default(),
            controller: SimulatedController::new(),
            users: SimulatedUsers::default(),
            now: 1_000,
            random: RandomSource::with_seed(seed),
            invariants: InvariantChecker::default(),
            starvation: StarvationCheck::default(),
            write_budgets: None,
        };
        simulation.add_workers(workers);
        simulation
    }

    /// Adds so many workers, in both zones by turns.
    pub fn add_workers(&mut self, count: usize) {
        for zone in ZONES.into_iter().cycle().take(count) {
            self.add_worker(zone);
        }
    }

    /// Adds a worker that is up at once, and returns its name.
    pub fn add_worker(&mut self, zone: &str) -> String {
        let spec = WorkerSpec { zone: zone.into(), machine_type: MACHINE_TYPE.into(), spot: false, up_at: 0 };
        self.workers.add(self.now, spec)
    }

    /// The worker comes back at once, with a new incarnation and nothing on it.
    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].restart(self.now);
    }

    /// From now on writes are limited, and shared by so many controllers.
    pub fn limit_writes(&mut self, limit: f64, controllers: usize) {
        self.write_budgets = Some(WriteBudgets::new(limit, controllers));
    }

    /// The budgets of a simulation whose writes are limited.
    pub fn write_budgets(&self) -> &WriteBudgets {
        self.write_budgets.as_ref().expect("writes are limited")
    }

    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds, or fails the case.
    pub fn run_until(&mut self, what: &str, max: Millis, condition: impl Fn(&Simulation) -> bool) {
        let end = self.now + max;
        while !condition(self) {
            assert!(self.now < end, "never came: {what}");
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if let Some(budgets) = self.write_budgets.as_mut().filter(|_| self.now.is_multiple_of(WRITE_SHARING_MS)) {
            budgets.exchange_usage(self.now);
        }
        self.deliver_delayed();
        for worker in 0..self.workers.len() {
            self.advance_worker(worker);
        }
        self.check_state();
        self.run_leader();
    }
}
