//! All workers: how their tasks advance, and how they execute commands.

use std::{
    collections::{HashMap, HashSet},
    ops::{Index, IndexMut},
    slice::SliceIndex,
};

use shedhook::{
    coordination::{effects::DirectCallOutcome, model::Millis},
    protocol::{
        ids::Attempt,
        workers::{split_task, DirectCommandRequest, ExitReason, TaskState, WorkerCommand},
    },
};

use super::{
    users::SubmittedJob,
    worker::{Worker, WorkerSpec, WorkerTask},
};

/// How long a gang's task waits for the other tasks of the gang before it exits.
const GANG_WAIT_MS: Millis = 60_000;

/// How long a gang's task keeps running after another task of the gang is lost.
const GANG_PEER_MS: Millis = 8_000;

/// Number of consecutive tasks of a job after which the extra run time starts again at 0.
const RUN_STEPS: u32 = 16;

/// Settings of all workers.
pub struct WorkerSettings {
    /// Number of live tasks that a worker accepts.
    pub slots: usize,
    /// How long it takes to fetch an image.
    pub image_fetch_ms: Millis,
    /// How much longer each task of a job runs than the task before it. After 16 tasks
    /// (`RUN_STEPS`), the extra run time starts again at 0.
    pub run_step_ms: Millis,
    /// Tasks of a gang wait for each other to start, and exit when one of them is lost.
    pub gang_semantics: bool,
}

impl Default for WorkerSettings {
    fn default() -> WorkerSettings {
        WorkerSettings { slots: 4, image_fetch_ms: 1_000, run_step_ms: 0, gang_semantics: false }
    }
}

/// A command that stopped a task.
pub struct Halt {
    pub at: Millis,
    pub task: String,
    /// Time that the task gets to save its state, in seconds.
    pub grace_s: f64,
}

/// The state that a task enters next, with the reason if it exits.
pub(super) struct Transition {
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
}

impl Transition {
    fn to(state: TaskState) -> Transition {
        Transition { state, exit_reason: None }
    }

    fn exit(exit_reason: ExitReason) -> Transition {
        Transition { state: TaskState::Exited, exit_reason: Some(exit_reason) }
    }
}

/// One attempt of a task of a gang.
#[derive(PartialEq, Eq, Hash)]
struct GangMember {
    task: String,
    attempt: Attempt,
}

/// All workers, and what happened on them.
#[derive(Default)]
pub struct SimulatedWorkers {
    pub settings: WorkerSettings,
    workers: Vec<Worker>,
    /// Names of the tasks that completed; when started again, they exit at once.
    completed: HashSet<String>,
    halts: Vec<Halt>,
    relaunches_of_completed: usize,
    /// For each task of a gang, since when another task of its gang has been lost.
    peer_lost_since: HashMap<GangMember, Millis>,
}

impl<I: SliceIndex<[Worker]>> Index<I> for SimulatedWorkers {
    type Output = I::Output;

    fn index(&self, index: I) -> &I::Output {
        &self.workers[index]
    }
}

impl<I: SliceIndex<[Worker]>> IndexMut<I> for SimulatedWorkers {
    fn index_mut(&mut self, index: I) -> &mut I::Output {
        &mut self.workers[index]
    }
}

impl SimulatedWorkers {
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Worker> {
        self.workers.iter()
    }

    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Worker> {
        self.workers.iter_mut()
    }

    pub(super) fn alive(&self) -> impl Iterator<Item = &Worker> {
        self.iter().filter(|worker| !worker.dead)
    }

    /// Returns the index of the worker with this name.
    pub(super) fn position(&self, id: &str) -> Option<usize> {
        self.iter().position(|worker| worker.id == id)
    }

    /// Adds a worker and returns its name.
    pub(super) fn add(&mut self, now: Millis, spec: WorkerSpec) -> String {
        let number = self.workers.len();
        let id = format!("i-{number:06}");
        // The workers' heartbeats are sent at different times.
        let first_heartbeat = now + 100 * (number as Millis % 30);
        self.workers.push(Worker::new(id.clone(), spec, now, first_heartbeat));
        id
    }

    /// Reports whether this task has completed at least once.
    pub fn has_completed(&self, task: &str) -> bool {
        self.completed.contains(task)
    }

    pub fn completed_tasks(&self) -> impl Iterator<Item = &String> {
        self.completed.iter()
    }

    pub fn completed_count(&self) -> usize {
        self.completed.len()
    }

    /// Returns all commands that stopped a task, in order.
    pub fn halts(&self) -> &[Halt] {
        &self.halts
    }

    /// Returns the number of launches of tasks that had already completed. A repeated launch
    /// of an attempt that its worker still lists isn't included.
    pub fn relaunches_of_completed(&self) -> usize {
        self.relaunches_of_completed
    }

    /// Returns the state that a task enters now, if it changes.
    pub(super) fn transition(
        &mut self,
        now: Millis,
        worker: usize,
        task: &WorkerTask,
        job: &SubmittedJob,
    ) -> Option<Transition> {
        let completed = self.has_completed(&task.name);
        let depends_on_peers = self.settings.gang_semantics && job.is_gang() && !completed;
        let elapsed = |duration: Millis| now >= task.since + duration;
        let fails_after_ms = job.fails_after_ms.or(self[worker].fails_after_ms);
        let run_ms = job.run_ms + self.extra_run_ms(&task.name);
        match task.state {
            TaskState::Fetching if !elapsed(self.settings.image_fetch_ms) => None,
            TaskState::Fetching if depends_on_peers => Some(Transition::to(TaskState::Waiting)),
            TaskState::Fetching if completed => Some(Transition::exit(ExitReason::Done)),
            TaskState::Fetching => Some(Transition::to(TaskState::Running)),
            TaskState::Waiting if self.has_all_peers(task, job) => Some(Transition::to(TaskState::Running)),
            TaskState::Waiting if elapsed(GANG_WAIT_MS) => Some(Transition::exit(ExitReason::Alone)),
            TaskState::Running if depends_on_peers && self.has_lost_peer(now, task, job) => {
                Some(Transition::exit(ExitReason::Peers))
            }
            TaskState::Running if fails_after_ms.is_some_and(elapsed) => Some(Transition::exit(ExitReason::Error)),
            TaskState::Running if job.run_ms > 0 && elapsed(run_ms) => {
                self.completed.insert(task.name.clone());
                Some(Transition::exit(ExitReason::Done))
            }
            _ => None,
        }
    }

    fn extra_run_ms(&self, task: &str) -> Millis {
        split_task(task).map_or(0, |(_, number)| Millis::from(number % RUN_STEPS) * self.settings.run_step_ms)
    }

    /// Reports whether all tasks of this task's gang are present: each of them has completed,
    /// or its attempt with the same number occupies a machine that isn't hung.
    fn has_all_peers(&self, task: &WorkerTask, job: &SubmittedJob) -> bool {
        let Some((id, _)) = split_task(&task.name) else { return false };
        let is_present = |name: &str| {
            let is_peer = |held: &WorkerTask| held.is_attempt(name, task.attempt) && held.occupies_machine();
            self.alive().any(|worker| !worker.faults.hung && worker.tasks.iter().any(is_peer))
        };
        job.task_names(id).all(|name| self.has_completed(&name) || is_present(&name))
    }

    /// Reports whether another task of the gang has been lost for `GANG_PEER_MS`.
    fn has_lost_peer(&mut self, now: Millis, task: &WorkerTask, job: &SubmittedJob) -> bool {
        let member = GangMember { task: task.name.clone(), attempt: task.attempt };
        if self.has_all_peers(task, job) {
            self.peer_lost_since.remove(&member);
            return false;
        }
        let since = *self.peer_lost_since.entry(member).or_insert(now);
        now >= since + GANG_PEER_MS
    }

    /// Executes a direct command, unless its token or incarnation is refused.
    pub(super) fn execute_command(
        &mut self,
        now: Millis,
        worker: usize,
        request: &DirectCommandRequest,
    ) -> DirectCallOutcome {
        if !self[worker].accept_command(request) {
            return DirectCallOutcome::Refused(self[worker].heartbeat());
        }
        self.apply_commands(now, worker, &request.commands);
        DirectCallOutcome::Executed(self[worker].heartbeat())
    }

    pub(super) fn apply_commands(&mut self, now: Millis, worker: usize, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Launch { task, attempt } => self.launch(now, worker, task, *attempt),
                WorkerCommand::Halt { task, attempt, grace_s } => {
                    if self[worker].stop_task(task, *attempt) {
                        self.halts.push(Halt { at: now, task: task.clone(), grace_s: *grace_s });
                    }
                }
                WorkerCommand::Reap { task, attempt } => self[worker].reap_task(task, *attempt),
            }
        }
    }

    fn launch(&mut self, now: Millis, worker: usize, task: &str, attempt: Attempt) {
        if self[worker].tasks.iter().any(|held| held.is_attempt(task, attempt)) {
            return;
        }
        let busy = self[worker].live_tasks().any(|held| held.name == task);
        let full = self[worker].live_tasks().count() >= self.settings.slots;
        let Transition { state, exit_reason } = match (busy, full) {
            (true, _) => Transition::exit(ExitReason::Busy),
            (_, true) => Transition::exit(ExitReason::InsufficientResources),
            _ => Transition::to(TaskState::Fetching),
        };
        self.relaunches_of_completed += usize::from(self.has_completed(task));
        self[worker].add_task(WorkerTask { name: task.to_owned(), attempt, state, exit_reason, since: now });
    }
}
