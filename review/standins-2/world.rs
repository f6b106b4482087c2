//! What all stand-ins share: the record, the jobs that users submitted, the machines and what runs on
//! them, and the rules that are checked on every start.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::cbor::V;

/// A job as its user submitted it, and how its tasks behave.
#[derive(Debug, Clone)]
pub struct Job {
    pub body: V,
    pub team: String,
    pub pieces: u32,
    pub cpus: f64,
    pub cards: f64,
    pub memory: f64,
    pub gang: bool,
    pub yard: Option<String>,
    pub one_zone: bool,
    pub scatter: bool,
    pub loaners: bool,
    pub prereqs: Vec<String>,
    /// How long a task runs; None: until it is stopped.
    pub run: Option<Duration>,
    /// Submitted with a mistake: a task fails after it has run this long.
    pub fails: Option<Duration>,
    /// When a user was told that the job is cancelled.
    pub told_cancelled: Option<Instant>,
}

/// A task that is on a machine: it has its image and has not exited.
#[derive(Debug, Clone)]
pub struct OnMachine {
    pub host: String,
    pub zone: String,
    pub attempt: u64,
}

#[derive(Default)]
pub struct Shared {
    pub jobs: HashMap<String, Job>,
    /// Tasks on machines, by name.
    pub on_machine: BTreeMap<String, Vec<OnMachine>>,
    /// Tasks that completed.
    pub done: BTreeMap<String, Instant>,
    pub starts: Vec<(Instant, String, String)>,
    pub violations: Vec<String>,
    /// Limits of teams: cpus, cards; 0: none.
    pub limits: HashMap<String, (f64, f64)>,
}

pub struct World {
    pub shared: Mutex<Shared>,
    pub begin: Instant,
    pub cancel: Duration,
    record: Mutex<File>,
}

impl World {
    pub fn new(dir: &str, cancel: Duration) -> World {
        let record = File::create(format!("{dir}/record.txt")).expect("record.txt");
        World { shared: Mutex::default(), begin: Instant::now(), cancel, record: Mutex::new(record) }
    }

    /// Writes a line to the record, with the time since the start.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.begin.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    fn violation(&self, shared: &mut Shared, text: String) {
        self.note(format!("RULE BROKEN {text}"));
        shared.violations.push(text);
    }

    pub fn add_violation(&self, text: String) {
        let mut shared = self.shared.lock().unwrap();
        self.violation(&mut shared, text);
    }

    /// A task has its image on a machine: it starts.
    pub fn started(&self, task: &str, attempt: u64, host: &str, zone: &str, spot: bool) {
        let mut guard = self.shared.lock().unwrap();
        let shared = &mut *guard;
        self.note(format!("start {task} try {attempt} on {host} ({zone})"));
        let id = task.split('/').next().unwrap_or("").to_owned();
        let Some(job) = shared.jobs.get(&id).cloned() else { return };
        if let Some(others) = shared.on_machine.get(task).filter(|others| !others.is_empty()) {
            let text = format!("ran_twice: {task} starts on {host} while it is on {}", others[0].host);
            self.violation(shared, text);
        }
        let prefix = format!("{id}/");
        let others = shared.on_machine.iter().filter(|(name, _)| name.starts_with(&prefix) && *name != task);
        let zones: Vec<String> = others.flat_map(|(_, places)| places.iter().map(|place| place.zone.clone())).collect();
        if job.yard.as_deref().is_some_and(|yard| yard != zone) || (spot && !job.loaners) {
            self.violation(shared, format!("wrong_place: {task} starts on {host} in {zone}, spot {spot}"));
        }
        if job.one_zone && zones.iter().any(|other| other != zone) {
            self.violation(shared, format!("wrong_place: {task} starts in {zone}, other tasks are in {zones:?}"));
        }
        let here = zones.iter().filter(|other| *other == zone).count() as u32;
        if job.scatter && here + 1 > job.pieces.div_ceil(2) {
            self.violation(
                shared,
                format!("wrong_place: {task} starts in {zone} beside {here} others of {}", job.pieces),
            );
        }
        for needed in &job.prereqs {
            let pieces = shared.jobs.get(needed).map_or(0, |job| job.pieces);
            if (0..pieces).any(|n| !shared.done.contains_key(&format!("{needed}/{n}"))) {
                self.violation(shared, format!("too_early: {task} starts before {needed} is done"));
            }
        }
        if job.told_cancelled.is_some_and(|at| at.elapsed() > self.cancel) {
            self.violation(shared, format!("ran_cancelled: {task} starts on {host} after the cancellation"));
        }
        let place = OnMachine { host: host.into(), zone: zone.into(), attempt };
        shared.on_machine.entry(task.to_owned()).or_default().push(place);
        shared.starts.push((Instant::now(), task.to_owned(), host.to_owned()));
        let (mut cpus, mut cards) = (0.0, 0.0);
        for (name, places) in &shared.on_machine {
            let Some(other) = shared.jobs.get(name.split('/').next().unwrap_or("")) else { continue };
            if other.team == job.team {
                cpus += other.cpus * places.len() as f64;
                cards += other.cards * places.len() as f64;
            }
        }
        if let Some(&(cpus_max, cards_max)) = shared.limits.get(&job.team) {
            if (cpus_max > 0.0 && cpus > cpus_max + 1e-6) || (cards_max > 0.0 && cards > cards_max + 1e-6) {
                let text = format!(
                    "quota: {} uses {cpus} CPUs and {cards} cards of at most {cpus_max} and {cards_max}",
                    job.team
                );
                self.violation(shared, text);
            }
        }
    }

    /// A task is no longer on a machine.
    pub fn gone(&self, task: &str, attempt: u64, host: &str, why: &str) {
        let mut shared = self.shared.lock().unwrap();
        if why == "done" {
            shared.done.entry(task.to_owned()).or_insert_with(Instant::now);
        }
        let Some(places) = shared.on_machine.get_mut(task) else { return };
        let before = places.len();
        places.retain(|place| !(place.host == host && place.attempt == attempt));
        if places.len() != before {
            self.note(format!("end {task} try {attempt} on {host}: {why}"));
        }
    }

    /// Checks that no task of a cancelled job is left on a machine too long.
    pub fn check_cancelled(&self) {
        let mut guard = self.shared.lock().unwrap();
        let shared = &mut *guard;
        let late: Vec<String> = shared
            .on_machine
            .iter()
            .filter(|(_, places)| !places.is_empty())
            .filter(|(name, _)| {
                let job = shared.jobs.get(name.split('/').next().unwrap_or(""));
                job.and_then(|job| job.told_cancelled).is_some_and(|at| at.elapsed() > self.cancel)
            })
            .map(|(name, places)| format!("ran_cancelled: {name} is still on {}", places[0].host))
            .collect();
        for text in late {
            if !shared.violations.contains(&text) {
                self.violation(shared, text);
            }
        }
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.shared.lock().unwrap().jobs.get(id).cloned()
    }

    pub fn is_on_machine(&self, task: &str) -> bool {
        self.shared.lock().unwrap().on_machine.get(task).is_some_and(|places| !places.is_empty())
    }

    pub fn is_done(&self, task: &str) -> bool {
        self.shared.lock().unwrap().done.contains_key(task)
    }

    pub fn violations(&self) -> Vec<String> {
        self.shared.lock().unwrap().violations.clone()
    }
}
