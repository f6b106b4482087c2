//! What all stand-ins share: the clock, the record, the jobs that users uploaded, and which task
//! was on which machine when.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::cbor::{int, map, text, Value};

/// The true properties of a job, which its user uploads for the workers.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub team: String,
    pub shape: String,
    pub rank: String,
    pub pieces: u64,
    pub cpus: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub yard: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    /// True run time, also sent as the estimate; 0: runs until it is cancelled.
    pub run_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub prereqs: Vec<String>,
}

impl Job {
    pub fn new(id: &str, team: &str, shape: &str, rank: &str) -> Job {
        Job {
            id: id.into(),
            team: team.into(),
            shape: shape.into(),
            rank: rank.into(),
            pieces: 1,
            cpus: 4.0,
            cards: 0.0,
            memory_gb: 8.0,
            yard: None,
            one_zone: false,
            spread: false,
            spot: false,
            run_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            prereqs: Vec::new(),
        }
    }

    /// Returns the body of its submission.
    pub fn submission(&self) -> Value {
        let mut body = map([
            ("nameId", text(&self.id)),
            ("lane", text("fatture-notte")),
            ("owner", text(&self.team)),
            ("shape", text(&self.shape)),
            ("rank", text(&self.rank)),
            ("pieces", int(self.pieces)),
            ("cpus", Value::Float(self.cpus)),
            ("cards", Value::Float(self.cards)),
            ("memoryGb", Value::Float(self.memory_gb)),
            ("bundle", text("img-07")),
            ("imageGb", Value::Float(0.5)),
            ("breeds", Value::Null),
            ("yard", self.yard.as_deref().map_or(Value::Null, text)),
            ("samePlace", Value::Bool(self.one_zone)),
            ("scatter", Value::Bool(self.spread)),
            ("loaners", Value::Bool(self.spot)),
            ("guessS", Value::Float(self.run_s)),
            ("bookmarkS", Value::Float(self.checkpoint_s)),
            ("stashS", Value::Float(self.save_s)),
            ("dueS", Value::Null),
        ]);
        if let (Value::Map(entries), false) = (&mut body, self.prereqs.is_empty()) {
            let prereqs = self.prereqs.iter().map(|id| text(id)).collect();
            entries.push(("prereqs".into(), Value::List(prereqs)));
        }
        body
    }
}

/// A task that was on a machine: from when it had its image until it exited, was killed or the
/// machine was gone.
#[derive(Clone, Debug)]
pub struct Stay {
    pub host: String,
    pub piece: String,
    pub attempt: u64,
    pub from: Duration,
    pub to: Option<Duration>,
}

impl Stay {
    pub fn job(&self) -> &str {
        self.piece.split('/').next().unwrap_or("")
    }
}

struct Shared {
    start: Instant,
    record: Mutex<File>,
    jobs: Mutex<BTreeMap<String, Job>>,
    stays: Mutex<Vec<Stay>>,
    folder: PathBuf,
}

/// See the module's comment.
#[derive(Clone)]
pub struct World(Arc<Shared>);

impl World {
    pub fn new(case_folder: &Path, folder: PathBuf) -> std::io::Result<World> {
        let record = Mutex::new(File::create(case_folder.join("record.txt"))?);
        Ok(World(Arc::new(Shared {
            start: Instant::now(),
            record,
            jobs: Mutex::default(),
            stays: Mutex::default(),
            folder,
        })))
    }

    /// The temporary folder of this run.
    pub fn folder(&self) -> &Path {
        &self.0.folder
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// Adds a line to the record.
    pub fn record(&self, line: &str) {
        let mut file = self.0.record.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", self.now().as_secs_f64());
    }

    pub fn upload(&self, job: &Job) {
        self.0.jobs.lock().unwrap().insert(job.id.clone(), job.clone());
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.0.jobs.lock().unwrap().get(id).cloned()
    }

    /// Records that a task has its image.
    pub fn task_begins(&self, host: &str, piece: &str, attempt: u64) {
        self.record(&format!("{host}: {piece} try {attempt} is on the machine"));
        let from = self.now();
        let (host, piece) = (host.to_owned(), piece.to_owned());
        self.0.stays.lock().unwrap().push(Stay { host, piece, attempt, from, to: None });
    }

    /// Records that a task is gone.
    pub fn task_ends(&self, host: &str, piece: &str, attempt: u64, why: &str) {
        self.record(&format!("{host}: {piece} try {attempt} is gone: {why}"));
        let now = self.now();
        let mut stays = self.0.stays.lock().unwrap();
        let is_it =
            |stay: &&mut Stay| stay.host == host && stay.piece == piece && stay.attempt == attempt && stay.to.is_none();
        if let Some(stay) = stays.iter_mut().find(is_it) {
            stay.to = Some(now);
        }
    }

    pub fn stays(&self) -> Vec<Stay> {
        self.0.stays.lock().unwrap().clone()
    }

    /// Reports whether a task is on a machine now.
    pub fn is_on(&self, host: &str, piece: &str) -> bool {
        self.stays().iter().any(|stay| stay.host == host && stay.piece == piece && stay.to.is_none())
    }

    /// Returns the largest number of GPUs that a team's tasks used at once, and when.
    pub fn peak_gpus(&self, team: &str) -> (f64, Duration) {
        let stays = self.stays();
        let mut peak = (0.0, Duration::ZERO);
        for at in stays.iter().map(|stay| stay.from) {
            let is_there = |stay: &&Stay| stay.from <= at && stay.to.is_none_or(|to| to > at);
            let cards = |stay: &Stay| self.job(stay.job()).filter(|job| job.team == team).map_or(0.0, |job| job.cards);
            let used: f64 = stays.iter().filter(is_there).map(cards).sum();
            if used > peak.0 {
                peak = (used, at);
            }
        }
        peak
    }
}
