//! Stand-in for a worker: simulates tasks that exit after a short time, or when the test
//! requests it, and records every start and exit.

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

/// Tasks of jobs whose ids have this prefix exit by themselves; all others run on.
const SHORT_JOB_PREFIX: &str = "j-0";
/// Time after which a short task exits.
const SHORT_TASK_DURATION: Duration = Duration::from_millis(300);
/// Pause between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Kind of a recorded change of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    /// The attempt started.
    Started,
    /// The attempt exited, for this reason.
    Exited(ExitReason),
}

/// One change of a task's attempt, and when it happened.
#[derive(Debug, Clone)]
pub struct TaskEvent {
    /// Id of the task, `JOB/INDEX`.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// The kind of the change.
    pub change: TaskChange,
    /// When the worker applied the change.
    pub at: Instant,
}

impl TaskEvent {
    /// Returns the id of the task's job.
    pub fn job(&self) -> &str {
        self.task.split('/').next().unwrap()
    }
}

/// An attempt of a task on the machine.
pub struct WorkerTask {
    /// The status that heartbeats report.
    pub status: TaskStatus,
    /// When the attempt started.
    pub started: Instant,
}

impl WorkerTask {
    fn is_attempt(&self, task: &str, attempt: Attempt) -> bool {
        self.status.task == task && self.status.attempt == attempt
    }

    /// Reports whether the attempt hasn't exited.
    pub fn is_running(&self) -> bool {
        self.status.state == TaskState::Running
    }

    fn job(&self) -> &str {
        self.status.task.split('/').next().unwrap()
    }
}

/// State of the cluster's only machine.
pub struct Worker {
    /// Address of the worker's server.
    pub addr: SocketAddr,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// The highest fencing token received.
    pub token: u64,
    /// Attempts that weren't reaped yet.
    pub tasks: Vec<WorkerTask>,
    /// When the last heartbeat with the response 200 was sent; None: there was no such
    /// heartbeat.
    pub last_renewal: Option<Instant>,
    /// Jobs whose tasks exit on request of the test.
    finishing: BTreeSet<String>,
    /// All starts and exits in order.
    pub events: Vec<TaskEvent>,
}

impl Worker {
    fn new() -> Worker {
        Worker {
            addr: "127.0.0.1:1".parse().unwrap(),
            sequence: 0,
            token: 0,
            tasks: vec![],
            last_renewal: None,
            finishing: BTreeSet::new(),
            events: vec![],
        }
    }

    /// Lets the tasks of a job exit as soon as they have run for [`SHORT_TASK_DURATION`],
    /// also those that start later.
    pub fn finish(&mut self, job: &str) {
        self.finishing.insert(job.to_owned());
    }

    /// Returns the number of running tasks of a job.
    pub fn running_tasks(&self, job: &str) -> usize {
        self.tasks.iter().filter(|task| task.status.task.starts_with(job) && task.is_running()).count()
    }

    /// Returns the next heartbeat, which includes the tasks that have exited by now.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        for task in &mut self.tasks {
            let is_short = task.job().starts_with(SHORT_JOB_PREFIX) || self.finishing.contains(task.job());
            if task.is_running() && is_short && task.started.elapsed() > SHORT_TASK_DURATION {
                record_exit(&mut task.status, ExitReason::Done, &mut self.events);
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
        if self.tasks.iter().any(|worker_task| worker_task.is_attempt(task, attempt)) {
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
        for worker_task in self
            .tasks
            .iter_mut()
            .filter(|worker_task| worker_task.is_attempt(task, attempt) && worker_task.is_running())
        {
            record_exit(&mut worker_task.status, ExitReason::Stopped, &mut self.events);
        }
    }

    fn apply_commands(&mut self, token: u64, commands: &[WorkerCommand]) {
        self.token = token;
        for command in commands {
            match command {
                WorkerCommand::Launch { task, attempt } => self.launch(task, *attempt),
                WorkerCommand::Halt { task, attempt, .. } => self.halt(task, *attempt),
                WorkerCommand::Reap { task, attempt } => {
                    self.tasks.retain(|worker_task| !worker_task.is_attempt(task, *attempt))
                }
            }
        }
    }

    /// Executes direct commands, unless their token or incarnation is out of date.
    fn execute_command(&mut self, request: &DirectCommandRequest) -> Response {
        if request.token < FencingToken(self.token) || request.incarnation != Incarnation(1) {
            return Response::encoded(409, &self.heartbeat());
        }
        self.apply_commands(request.token.0, &request.commands);
        Response::encoded(200, &self.heartbeat())
    }
}

/// Marks an attempt as exited, and records the exit.
fn record_exit(status: &mut TaskStatus, reason: ExitReason, events: &mut Vec<TaskEvent>) {
    status.state = TaskState::Exited;
    status.exit_reason = Some(reason);
    let change = TaskChange::Exited(reason);
    events.push(TaskEvent { task: status.task.clone(), attempt: status.attempt.0, change, at: Instant::now() });
}

/// Address and state of a started worker.
pub struct WorkerHandle {
    /// Address of the worker's server.
    pub addr: SocketAddr,
    /// State of the worker, shared with its threads.
    pub state: Arc<Mutex<Worker>>,
}

/// Starts a worker that sends heartbeats until `stop` is set. It sends them to one
/// controller, and after one that did not receive the response 200, to the next controller.
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
    let mut target = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(HEARTBEAT_INTERVAL);
        let controllers = controllers.lock().unwrap().clone();
        if controllers.is_empty() {
            continue;
        }
        let heartbeat = worker.lock().unwrap().heartbeat();
        let sent = Instant::now();
        match call(controllers[target % controllers.len()], "POST", "/checkin", &body::encode(&heartbeat)) {
            Some(Response { status: 200, body: bytes }) => {
                let response: HeartbeatResponse = body::decode(&bytes).unwrap();
                let mut worker = worker.lock().unwrap();
                if response.token >= FencingToken(worker.token) {
                    worker.last_renewal = Some(sent);
                    worker.apply_commands(response.token.0, &response.commands);
                }
            }
            _ => target += 1,
        }
    }
}
