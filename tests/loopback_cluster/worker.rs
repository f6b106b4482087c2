//! Stand-in for a worker: runs tasks that end after a moment, or when the test
//! says so, and remembers every start and end.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use shedhook::protocol::{
    cbor as body,
    ids::{Attempt, FencingToken, Incarnation, SequenceNumber},
    workers::{DirectCommandRequest, ExitReason, Heartbeat, HeartbeatResponse, TaskState, TaskStatus, WorkerCommand},
};

use super::http::{call, serve};

/// Jobs whose ids begin so end by themselves; all others run on.
const SHORT_JOBS: &str = "j-0";
const SHORT_RUN: Duration = Duration::from_millis(300);
const REPORT_GAP: Duration = Duration::from_millis(150);

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    Started,
    Ended(ExitReason),
}

/// One change of a task's attempt, and when it happened.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    pub task: String,
    pub attempt: u64,
    pub change: TaskChange,
    pub at: Instant,
}

impl TaskEvent {
    /// The job that the task belongs to.
    pub fn job(&self) -> &str {
        self.task.split('/').next().unwrap()
    }
}

/// State of the one machine.
pub struct Worker {
    pub addr: SocketAddr,
    sequence: u64,
    pub token: u64,
    pub tasks: Vec<(TaskStatus, Instant)>,
    /// When a heartbeat that was answered 200 was last sent.
    pub renewed: Option<Instant>,
    /// Jobs whose tasks the test lets end.
    finishing: BTreeSet<String>,
    pub events: Vec<TaskEvent>,
}

impl Worker {
    fn new() -> Worker {
        Worker {
            addr: "127.0.0.1:1".parse().unwrap(),
            sequence: 0,
            token: 0,
            tasks: vec![],
            renewed: None,
            finishing: BTreeSet::new(),
            events: vec![],
        }
    }

    /// Lets the tasks of a job end, those that start later a moment after.
    pub fn finish(&mut self, job: &str) {
        self.finishing.insert(job.to_owned());
    }

    /// Tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        self.tasks.iter().filter(|(t, _)| t.task.starts_with(job) && t.state == TaskState::Running).count()
    }

    /// The next heartbeat, with what has ended by now.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        for (t, since) in &mut self.tasks {
            let job = t.task.split('/').next().unwrap();
            let short = job.starts_with(SHORT_JOBS) || self.finishing.contains(job);
            if t.state == TaskState::Running && short && since.elapsed() > SHORT_RUN {
                end(t, ExitReason::Done, &mut self.events);
            }
        }
        Heartbeat {
            machine: "i-000001".into(),
            addr: self.addr.to_string(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(self.sequence),
            token: FencingToken(self.token),
            notice_s: None,
            tasks: self.tasks.iter().map(|t| t.0.clone()).collect(),
        }
    }

    fn launch(&mut self, task: &str, attempt: u64) {
        if self.tasks.iter().any(|(t, _)| t.task == task && t.attempt == Attempt(attempt)) {
            return;
        }
        let at = Instant::now();
        let state = TaskState::Running;
        self.tasks
            .push((TaskStatus { task: task.to_owned(), attempt: Attempt(attempt), state, why: None, saved: None }, at));
        self.events.push(TaskEvent { task: task.to_owned(), attempt, change: TaskChange::Started, at });
    }

    fn obey(&mut self, token: u64, commands: &[WorkerCommand]) {
        self.token = token;
        for o in commands {
            let same = |t: &TaskStatus, task: &str, attempt: u64| t.task == task && t.attempt == Attempt(attempt);
            match o {
                WorkerCommand::Launch { task, attempt } => self.launch(task, attempt.0),
                WorkerCommand::Halt { task, attempt, .. } => {
                    for (t, _) in &mut self.tasks {
                        if same(t, task, attempt.0) && t.state == TaskState::Running {
                            end(t, ExitReason::Stopped, &mut self.events);
                        }
                    }
                }
                WorkerCommand::Reap { task, attempt } => self.tasks.retain(|(t, _)| !same(t, task, attempt.0)),
            }
        }
    }
}

fn end(t: &mut TaskStatus, why: ExitReason, events: &mut Vec<TaskEvent>) {
    t.state = TaskState::Exited;
    t.why = Some(why);
    let change = TaskChange::Ended(why);
    events.push(TaskEvent { task: t.task.clone(), attempt: t.attempt.0, change, at: Instant::now() });
}

/// Starts a worker that reports to the controllers in turn until `stop`.
pub fn worker(controllers: Arc<Mutex<Vec<SocketAddr>>>, stop: Arc<AtomicBool>) -> (SocketAddr, Arc<Mutex<Worker>>) {
    let state = Arc::new(Mutex::new(Worker::new()));
    let shared = state.clone();
    let addr = serve(move |_, path, bytes| {
        let mut w = shared.lock().unwrap();
        if path == "/do" {
            let req: DirectCommandRequest = body::decode(bytes).unwrap();
            if req.token < FencingToken(w.token) || req.incarnation != Incarnation(1) {
                return (409, body::encode(&w.heartbeat()));
            }
            w.obey(req.token.0, &req.commands);
        }
        (200, body::encode(&w.heartbeat()))
    });
    state.lock().unwrap().addr = addr;
    let shared = state.clone();
    thread::spawn(move || report_until(&stop, &controllers, &shared));
    (addr, state)
}

fn report_until(stop: &AtomicBool, controllers: &Mutex<Vec<SocketAddr>>, worker: &Mutex<Worker>) {
    let mut at = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(REPORT_GAP);
        let controllers = controllers.lock().unwrap().clone();
        if controllers.is_empty() {
            continue;
        }
        let heartbeat = worker.lock().unwrap().heartbeat();
        let sent = Instant::now();
        match call(controllers[at % controllers.len()], "POST", "/checkin", &body::encode(&heartbeat)) {
            Some((200, bytes)) => {
                let a: HeartbeatResponse = body::decode(&bytes).unwrap();
                let mut w = worker.lock().unwrap();
                if a.token >= FencingToken(w.token) {
                    w.renewed = Some(sent);
                    w.obey(a.token.0, &a.commands);
                }
            }
            _ => at += 1,
        }
    }
}
