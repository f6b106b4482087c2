//! A cluster simulated in virtual time: state service, workers, cloud and users
//! are written from the protocol's description; the leader is the library's own.
//! A test case decides which messages are delayed, lost or repeated and what
//! crashes; the invariants are checked at every step.

#![allow(dead_code)] // each test target uses its own part of it

mod cloud;
mod controller;
mod faults;
mod invariants;
mod progress;
mod queries;
mod state_service;
mod users;
mod worker;
mod write_budget;

use std::collections::HashMap;

use cloud::RentalRequest;
pub use cloud::{CHEAP_MACHINE_TYPE, MACHINE_TYPE};
pub use faults::{FaultRates, Held};
use rand::{rngs::SmallRng, SeedableRng};
use shedhook::{
    coordination::{
        leader::Leader,
        model::{Millis, Term},
    },
    protocol::{ids::Attempt, names::Tables, store::Changes},
    storage::job_cache::JobCache,
};
use state_service::Store;
pub use users::submission;
use users::JobFacts;
use worker::Worker;
use write_budget::Writes;

pub const LEASE: Millis = 30_000;

pub const CANCEL: Millis = 50_000;

pub const REPORT: Millis = 3_000;

const STEP: Millis = 100;

const FETCH: Millis = 1_000;

pub struct Simulation {
    pub now: Millis,
    pub rng: SmallRng,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, JobFacts>,
    pub leader: Option<Leader>,
    pub job_cache: JobCache,
    pub tables: Tables,
    pub delayed: Vec<(Millis, Held)>,
    pub faults: FaultRates,
    /// Tasks that completed; started again, they end at once.
    pub completed: std::collections::HashSet<String>,
    pub rentals: HashMap<String, Vec<String>>,
    pub rental_requests: Vec<RentalRequest>,
    /// Machines the cloud still has to give.
    pub capacity: u32,
    /// There is a cloud: it had machines to give at some time.
    cloud: bool,
    pub violations: Vec<String>,
    pub starts: usize,
    /// Limit of the team "red", and of the team "blue"; 0 for none.
    pub team_gpus_max: f64,
    pub blue_gpus_max: f64,
    /// GPUs guaranteed to the team "red"; 0 for none. "blue" has no guarantee.
    pub red_gpus_guaranteed: f64,
    /// Spot machines the cloud still has to give, of `capacity`.
    pub spot_capacity: u32,
    /// Machines on one page of the cloud's list.
    pub list_page: usize,
    /// The cloud refuses every second page.
    pub refuses_every_second_page: bool,
    pages_asked: u32,
    /// How long a rented machine takes to come up.
    pub boot_ms: Millis,
    /// The cloud offers the cheap type, too.
    pub offers_cheap_type: bool,
    /// Price of a spot machine; others cost 1.
    pub spot_price: f64,
    /// The leader dies just before, or just after, its next transaction.
    pub die_before_txn: bool,
    pub die_after_txn: bool,
    pub txns: usize,
    /// The state service takes so many transactions more, then it is away.
    pub txns_left: Option<u32>,
    pub halts: Vec<(Millis, String, f64)>,
    /// This case threw records away.
    pub records_lost: bool,
    pub silent_ms: Millis,
    /// Tasks in one record; few, so that small jobs have several.
    pub chunk: u32,
    /// How much longer each task runs than the one before, up to sixteen.
    pub run_ms_step: Millis,
    /// Tasks that a worker takes at once.
    pub slots: usize,
    /// How long an image takes.
    pub fetch: Millis,
    /// Most orders seen in one message.
    pub max_orders_in_message: usize,
    /// When a lease was last kept, and since when the controllers behind the
    /// cut have not been heard.
    pub last_peer_renewal: Millis,
    pub peers_silent_since: Option<Millis>,
    /// The leader writes records as the version before did: no time in the end
    /// of a job.
    pub writes_old_form: bool,
    /// The controller reads no changes.
    pub changes_unread: bool,
    /// Values that the state service takes now, in bytes, those that fit
    /// later too, and tasks per chunk that do; no limit at first.
    pub value_now: usize,
    pub value_max: usize,
    pub value_fit: usize,
    pub chunk_fit: u32,
    /// Most writes of a transaction that it takes.
    pub ops_now: usize,
    pub too_large: usize,
    pub may_reshard: bool,
    /// Where writes are counted; elsewhere they are free.
    pub writes: Option<Writes>,
    /// The state service refuses the leader: its reads and transactions get
    /// 503. A read that was open waits.
    pub refuse_leader: bool,
    /// The longest that a read of the changes, or a transaction, takes.
    pub changes_ms: Millis,
    pub txn_ms: Millis,
    /// The read under way: when it is answered, whose it is, what it says.
    reading: Option<(Millis, Term, Changes)>,
    /// Launches of tasks that had completed and were reaped.
    pub relaunches_of_completed: usize,
    /// Tasks of a gang wait for one another, and end when one of them is gone.
    pub gang_semantics: bool,
    /// Since when a gang's task misses another one.
    peer_lost_since: HashMap<(String, Attempt), Millis>,
    /// Starts of jobs whose cancellation was confirmed before.
    pub starts_cancelled: usize,
    /// Since when a job's tasks wait though there is room.
    waiting_since: HashMap<String, Millis>,
}

pub type Case = (&'static str, fn(&mut Simulation));

/// Plays each case in a simulation of its own, and names every one that fails.
pub fn run_table(cases: &[Case]) {
    let mut failed = Vec::new();
    for (seed, (name, case)) in cases.iter().enumerate() {
        eprintln!("case: {name}");
        let played = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed as u64, 4);
            simulation.elect();
            case(&mut simulation);
            simulation.check(name);
        });
        if played.is_err() {
            failed.push(*name);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

impl Simulation {
    pub fn new(seed: u64, workers: usize) -> Simulation {
        let mut w = Simulation {
            now: 1_000,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            workers: Vec::new(),
            jobs: HashMap::new(),
            leader: None,
            job_cache: JobCache::default(),
            tables: Tables::default(),
            delayed: Vec::new(),
            faults: FaultRates::default(),
            completed: Default::default(),
            rentals: HashMap::new(),
            rental_requests: Vec::new(),
            capacity: 0,
            cloud: false,
            violations: Vec::new(),
            starts: 0,
            team_gpus_max: 0.0,
            blue_gpus_max: 0.0,
            red_gpus_guaranteed: 0.0,
            spot_capacity: u32::MAX,
            list_page: usize::MAX,
            refuses_every_second_page: false,
            pages_asked: 0,
            boot_ms: 0,
            offers_cheap_type: false,
            spot_price: 0.5,
            die_before_txn: false,
            die_after_txn: false,
            txns: 0,
            txns_left: None,
            halts: Vec::new(),
            records_lost: false,
            silent_ms: 1 << 40,
            chunk: 4,
            run_ms_step: 0,
            slots: 4,
            fetch: FETCH,
            max_orders_in_message: 0,
            last_peer_renewal: 0,
            peers_silent_since: None,
            writes_old_form: false,
            changes_unread: false,
            value_now: usize::MAX,
            value_max: usize::MAX,
            value_fit: usize::MAX,
            chunk_fit: u32::MAX,
            ops_now: usize::MAX,
            too_large: 0,
            may_reshard: false,
            writes: None,
            refuse_leader: false,
            changes_ms: 0,
            txn_ms: 0,
            reading: None,
            gang_semantics: false,
            relaunches_of_completed: 0,
            peer_lost_since: HashMap::new(),
            starts_cancelled: 0,
            waiting_since: HashMap::new(),
        };
        w.tables.teams.intern("red");
        w.tables.teams.intern("blue");
        w.tables.types.intern(MACHINE_TYPE);
        w.tables.types.intern(CHEAP_MACHINE_TYPE);
        for z in ["a", "b"] {
            w.tables.zones.intern(z);
        }
        for n in 0..workers {
            w.add_worker(if n % 2 == 0 { "a" } else { "b" });
        }
        w
    }

    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `f`, or fails the case.
    pub fn run_until(&mut self, what: &str, max: Millis, f: impl Fn(&Simulation) -> bool) {
        let end = self.now + max;
        while !f(self) {
            assert!(self.now < end, "never came: {what}");
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if self.now.is_multiple_of(400) {
            self.share_writes();
        }
        self.deliver_delayed();
        for n in 0..self.workers.len() {
            self.advance(n);
        }
        self.check_state();
        self.lead_step();
    }
}
