//! Runs one case of the review: `standins CASE DIRECTORY`. The controllers are separate processes; the state
//! service, the cloud, the workers and the users are stand-ins in this process. Exits with 1 if a rule was
//! broken, 0 if all held, 2 if the case couldn't run.

mod cases;
mod cbor;
mod cloud;
mod http;
mod nodes;
mod rng;
mod store;
mod users;
mod worker;
mod world;

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cloud::{Breed, Cloud};
use nodes::{Node, Settings};
use store::Store;
use worker::Config;
use world::World;

/// A deployment on loopback.
pub struct Cluster {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub nodes: Vec<Node>,
    pub addrs: Arc<Vec<(String, SocketAddr)>>,
    /// Whether the disruption is made.
    pub trouble: bool,
    dir: String,
}

impl Cluster {
    /// Starts the stand-ins; the controllers are started by `start`.
    pub fn new(record_dir: &str, settings: &Settings, breeds: Vec<Breed>) -> Option<Cluster> {
        let dir = format!("{}/shedhook-review-{}", std::env::temp_dir().display(), std::process::id());
        std::fs::create_dir_all(&dir).ok()?;
        let world = Arc::new(World::new(record_dir, Duration::from_secs_f64(settings.cancel_s)));
        for (name, _, cpus, cards) in &settings.teams {
            world.shared.lock().unwrap().limits.insert((*name).into(), (*cpus, *cards));
        }
        let config = Arc::new(Config {
            report: Duration::from_secs_f64(settings.report_s),
            lease: Duration::from_secs_f64(settings.lease_s),
            gang_wait: Duration::from_secs(40),
            fetch: Duration::from_millis(400),
        });
        let store = Store::start();
        let ports = nodes::choose_ports(settings);
        let addrs = Arc::new(nodes::addresses(&ports));
        let cloud = Cloud::new(breeds, world.clone(), config, addrs.clone());
        let program = nodes::run_command()?;
        // The controllers' logs are kept if KEEP_LOGS is set.
        let log_dir = if std::env::var("KEEP_LOGS").is_ok() { record_dir } else { &dir };
        let nodes = nodes::create(&dir, log_dir, settings, &ports, &store, cloud.serve(), &program);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let seed = std::env::var("SEED").unwrap_or("1".into());
        world.note(format!("trouble: {trouble}, seed of the stand-ins: {seed}, controllers: {program:?}"));
        Some(Cluster { world, store, cloud, nodes, addrs, trouble, dir })
    }

    /// Starts all controllers and waits until they are ready.
    pub fn start(&mut self) -> bool {
        for node in &mut self.nodes {
            node.start();
            self.world.note(format!("{} started at {}", node.label, node.client));
        }
        let addrs = self.addrs.clone();
        wait(20.0, || addrs.iter().all(|(_, addr)| users::is_ready(*addr)))
    }

    /// The controller that last answered a report with 200.
    pub fn leader(&self) -> Option<usize> {
        let answered = self.cloud.workers().into_iter().filter_map(|worker| *worker.answered.lock().unwrap());
        answered.max_by_key(|(at, _)| *at).map(|(_, node)| node)
    }

    /// Submits a job, again and again like a user, until it is accepted.
    pub fn submit(&self, body: &cbor::V, run: Option<Duration>) -> bool {
        users::upload(&self.world, body, run, None);
        self.submit_uploaded(body)
    }

    pub fn submit_uploaded(&self, body: &cbor::V) -> bool {
        let mut turn = 0;
        wait(60.0, || {
            turn += 1;
            let (_, to) = &self.addrs[turn % self.addrs.len()];
            let accepted = matches!(users::submit(&self.world, *to, body), Some((200 | 201, _)));
            if !accepted {
                thread::sleep(Duration::from_secs(1));
            }
            accepted
        })
    }

    /// Waits until a task is on a machine.
    pub fn wait_on_machine(&self, task: &str, seconds: f64) -> bool {
        wait(seconds, || self.world.is_on_machine(task))
    }

    pub fn pause(&self, seconds: f64) {
        thread::sleep(Duration::from_secs_f64(seconds));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.thaw();
            node.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Waits until a condition holds; false if it doesn't in time.
pub fn wait(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        if condition() {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE DIRECTORY");
        std::process::exit(2);
    };
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    rng::seed(seed);
    // The controllers are killed with this process.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(117));
        println!("couldn't run: out of time");
        std::process::exit(2);
    });
    let outcome = cases::run(&case, &dir);
    match &outcome {
        Ok(violations) if violations.is_empty() => println!("{case}: all rules held"),
        Ok(violations) => violations.iter().for_each(|text| println!("{case}: {text}")),
        Err(reason) => println!("{case}: couldn't run: {reason}"),
    }
    std::process::exit(match outcome {
        Ok(violations) if violations.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    });
}
