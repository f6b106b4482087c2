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

use super::http::{call, serve, Response};

/// Jobs whose ids begin so end by themselves; all others run on.
const SHORT_JOBS: &str = "j-0";
const SHORT_RUN: Duration = Duration::from_millis(300);
const HEARTBEAT_GAP: Duration = Duration::from_millis(150);

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

/// A task on the machine, and when it started.
pub struct WorkerTask {
    pub status: TaskStatus,
    pub started: Instant,
}

impl WorkerTask {
    fn is_attempt(&self, task: &str, attempt: Attempt) -> bool {
        self.status.task == task && self.status.attempt == attempt
    }

    pub fn is_running(&self) -> bool {
        self.status.state == TaskState::Running
    }

    fn job(&self) -> &str {
        self.status.task.split('/').next().unwrap()
    }
}

/// State of the one machine.
pub struct Worker {
    pub addr: SocketAddr,
    sequence: u64,
    pub token: u64,
    pub tasks: Vec<WorkerTask>,
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
        self.tasks.iter().filter(|task| task.status.task.starts_with(job) && task.is_running()).count()
    }

    /// The next heartbeat, with what has ended by now.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        for task in &mut self.tasks {
            let is_short = task.job().starts_with(SHORT_JOBS) || self.finishing.contains(task.job());
            if task.is_running() && is_short && task.started.elapsed() > SHORT_RUN {
                end(&mut task.status, ExitReason::Done, &mut self.events);
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
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(|task| task.status.clone()).collect(),
        }
    }

    fn launch(&mut self, task: &str, attempt: Attempt) {
        if self.tasks.iter().any(|held| held.is_attempt(task, attempt)) {
            return;
        }
        let started = Instant::now();
        let status =
            TaskStatus { task: task.to_owned(), attempt, state: TaskState::Running, exit_reason: None, saved: None };
        self.tasks.push(WorkerTask { status, started });
        let change = TaskChange::Started;
        self.events.push(TaskEvent { task: task.to_owned(), attempt: attempt.0, change, at: started });
    }

    fn halt(&mut self, task: &str, attempt: Attempt) {
        for held in self.tasks.iter_mut().filter(|held| held.is_attempt(task, attempt) && held.is_running()) {
            end(&mut held.status, ExitReason::Stopped, &mut self.events);
        }
    }

    fn apply_commands(&mut self, token: u64, commands: &[WorkerCommand]) {
        self.token = token;
        for command in commands {
            match command {
                WorkerCommand::Launch { task, attempt } => self.launch(task, *attempt),
                WorkerCommand::Halt { task, attempt, .. } => self.halt(task, *attempt),
                WorkerCommand::Reap { task, attempt } => self.tasks.retain(|held| !held.is_attempt(task, *attempt)),
            }
        }
    }

    /// Executes a direct command, unless it is fenced off.
    fn execute_command(&mut self, request: &DirectCommandRequest) -> Response {
        if request.token < FencingToken(self.token) || request.incarnation != Incarnation(1) {
            return Response::encoded(409, &self.heartbeat());
        }
        self.apply_commands(request.token.0, &request.commands);
        Response::encoded(200, &self.heartbeat())
    }
}

/// A task's attempt ends.
fn end(status: &mut TaskStatus, why: ExitReason, events: &mut Vec<TaskEvent>) {
    status.state = TaskState::Exited;
    status.exit_reason = Some(why);
    let change = TaskChange::Ended(why);
    events.push(TaskEvent { task: status.task.clone(), attempt: status.attempt.0, change, at: Instant::now() });
}

/// Where a worker listens, and its state.
pub struct WorkerHandle {
    pub addr: SocketAddr,
    pub state: Arc<Mutex<Worker>>,
}

/// Starts a worker that sends heartbeats to the controllers in turn until `stop`.
pub fn start_worker(controllers: Arc<Mutex<Vec<SocketAddr>>>, stop: Arc<AtomicBool>) -> WorkerHandle {
    let state = Arc::new(Mutex::new(Worker::new()));
    let shared = state.clone();
    let addr = serve(move |_, path, bytes| {
        let mut worker = shared.lock().unwrap();
        if path == "/do" {
            return worker.execute_command(&body::decode(bytes).unwrap());
        }
        Response::encoded(200, &worker.heartbeat())
    });
    state.lock().unwrap().addr = addr;
    let shared = state.clone();
    thread::spawn(move || send_heartbeats_until(&stop, &controllers, &shared));
    WorkerHandle { addr, state }
}

fn send_heartbeats_until(stop: &AtomicBool, controllers: &Mutex<Vec<SocketAddr>>, worker: &Mutex<Worker>) {
    let mut at = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(HEARTBEAT_GAP);
        let controllers = controllers.lock().unwrap().clone();
        if controllers.is_empty() {
            continue;
        }
        let heartbeat = worker.lock().unwrap().heartbeat();
        let sent = Instant::now();
        match call(controllers[at % controllers.len()], "POST", "/checkin", &body::encode(&heartbeat)) {
            Some(Response { status: 200, body: bytes }) => {
                let response: HeartbeatResponse = body::decode(&bytes).unwrap();
                let mut worker = worker.lock().unwrap();
                if response.token >= FencingToken(worker.token) {
                    worker.renewed = Some(sent);
                    worker.apply_commands(response.token.0, &response.commands);
                }
            }
            _ => at += 1,
        }
    }
}
