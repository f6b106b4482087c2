//! Worker processes: they execute launches, stops and reaps, hold a lease, and
//! report what runs on them.

use rand::RngExt;
use shedhook::{
    coordination::{
        effects::{DirectCallOutcome, HeartbeatOutcome},
        model::Millis,
    },
    protocol::{
        ids::{Attempt, FencingToken, Incarnation, SequenceNumber},
        workers::{split_task, DirectCommandRequest, ExitReason, Heartbeat, TaskState, TaskStatus, WorkerCommand},
    },
};

use super::{faults::Held, users::JobFacts, Simulation, LEASE, REPORT};

const GANG_WAIT: Millis = 60_000;

const GANG_PEER: Millis = 8_000;

#[derive(Debug, Clone)]
pub struct WorkerTask {
    pub name: String,
    pub attempt: Attempt,
    pub state: TaskState,
    pub why: Option<ExitReason>,
    pub(super) since: Millis,
}

impl WorkerTask {
    /// On its machine, as the rules count it.
    pub(super) fn occupies_machine(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Waiting)
    }
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    /// It is booting until then.
    pub(super) up_at: Millis,
    pub incarnation: Incarnation,
    pub sequence: SequenceNumber,
    pub token: FencingToken,
    pub tasks: Vec<WorkerTask>,
    /// When the last answered report was sent, or the incarnation began.
    pub(super) lease_start: Millis,
    pub(super) next_report: Millis,
    pub(super) changed: bool,
    /// Its packets go nowhere; it goes on working.
    pub partitioned: bool,
    /// It doesn't execute, nor answer, but may resume.
    pub hung: bool,
    pub dead: bool,
    /// Behind the cut, another controller keeps its lease.
    pub lease_kept_by_peer: bool,
    /// Hears no answers to its heartbeats.
    pub answers_lost: bool,
    /// Its reports go nowhere, commands and probes reach it.
    pub outbound_lost: bool,
    /// Its reports come through, but nothing reaches it.
    pub inbound_lost: bool,
    /// Every task fails here after running for so long.
    pub fails_after: Option<Millis>,
    /// A higher token counts as a change once in half a lease.
    pub(super) token_shown: Option<Millis>,
}

impl Worker {
    /// Can commands and probes reach it?
    pub(super) fn is_reached(&self) -> bool {
        !(self.dead || self.partitioned || self.hung || self.inbound_lost)
    }

    /// It never comes up.
    pub fn delay_boot(&mut self) {
        self.up_at = Millis::MAX;
    }

    /// It comes back at once, with a new incarnation and nothing on it.
    pub fn restart(&mut self, now: Millis) {
        self.tasks.clear();
        self.incarnation = self.incarnation.next();
        self.lease_start = now;
        self.changed = true;
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence = self.sequence.next();
        Heartbeat {
            machine: self.id.clone(),
            addr: "127.0.0.1:9".into(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| TaskStatus {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: (t.why == Some(ExitReason::Stopped)).then_some(true),
                })
                .collect(),
        }
    }
}

impl Simulation {
    pub(super) fn facts(&self, task: &str) -> Option<&JobFacts> {
        self.jobs.get(split_task(task)?.0)
    }

    pub(super) fn advance(&mut self, n: usize) {
        let now = self.now;
        if now < self.workers[n].up_at {
            self.workers[n].lease_start = now;
            return;
        }
        if self.workers[n].dead || self.workers[n].hung {
            if self.workers[n].hung {
                self.expire(n);
            }
            return;
        }
        self.expire(n);
        for t in 0..self.workers[n].tasks.len() {
            let task = self.workers[n].tasks[t].clone();
            let Some(run) = self.facts(&task.name).map(|f| f.run_ms) else { continue };
            let fails_after = self.facts(&task.name).and_then(|f| f.fails_after).or(self.workers[n].fails_after);
            let gang = self.facts(&task.name).is_some_and(|f| f.sub.kind.as_deref() == Some("ensemble"));
            let waits = self.gang_semantics && gang && !self.completed.contains(&task.name);
            let longer = split_task(&task.name).map_or(0, |(_, n)| Millis::from(n % 16) * self.run_ms_step);
            let (state, why) = match task.state {
                TaskState::Fetching if now >= task.since + self.fetch && !waits => {
                    if self.completed.contains(&task.name) {
                        (TaskState::Exited, Some(ExitReason::Done))
                    } else {
                        (TaskState::Running, None)
                    }
                }
                TaskState::Fetching if now >= task.since + self.fetch && waits => (TaskState::Waiting, None),
                TaskState::Waiting if self.has_all_peers(&task) => (TaskState::Running, None),
                TaskState::Waiting if now >= task.since + GANG_WAIT => (TaskState::Exited, Some(ExitReason::Alone)),
                TaskState::Running if waits && self.has_lost_peer(&task) => {
                    (TaskState::Exited, Some(ExitReason::Peers))
                }
                TaskState::Running if fails_after.is_some_and(|ms| now >= task.since + ms) => {
                    (TaskState::Exited, Some(ExitReason::Error))
                }
                TaskState::Running if run > 0 && now >= task.since + run + longer => {
                    self.completed.insert(task.name.clone());
                    (TaskState::Exited, Some(ExitReason::Done))
                }
                _ => continue,
            };
            if task.state == TaskState::Fetching && state != TaskState::Exited {
                self.check_start(n, &task.name);
            }
            let w = &mut self.workers[n];
            w.tasks[t] = WorkerTask { state, why, since: now, ..task };
            w.changed = true;
        }
        let w = &mut self.workers[n];
        if now >= w.next_report || (w.changed && now + REPORT >= w.next_report + 500) {
            w.next_report = now + REPORT;
            w.changed = false;
            self.send_report(n);
        }
    }

    /// Is every task of this one's gang done, or there with its attempt?
    pub(super) fn has_all_peers(&self, task: &WorkerTask) -> bool {
        let Some((job, _)) = split_task(&task.name) else { return false };
        let there = |name: &str| {
            let same = |t: &WorkerTask| t.name == name && t.attempt == task.attempt && t.occupies_machine();
            self.workers.iter().any(|w| !w.dead && !w.hung && w.tasks.iter().any(same))
        };
        let names = (0..self.jobs[job].sub.tasks.unwrap() as u32).map(|n| format!("{job}/{n}"));
        names.into_iter().all(|name| self.completed.contains(&name) || there(&name))
    }

    pub(super) fn has_lost_peer(&mut self, task: &WorkerTask) -> bool {
        let key = (task.name.clone(), task.attempt);
        if self.has_all_peers(task) {
            self.peer_lost_since.remove(&key);
            return false;
        }
        let since = *self.peer_lost_since.entry(key).or_insert(self.now);
        self.now >= since + GANG_PEER
    }

    pub(super) fn expire(&mut self, n: usize) {
        let w = &mut self.workers[n];
        if self.now > w.lease_start + LEASE {
            w.restart(self.now);
        }
    }

    pub(super) fn send_report(&mut self, n: usize) {
        let sent = self.now;
        let r = self.workers[n].heartbeat();
        if (self.workers[n].partitioned || self.workers[n].outbound_lost)
            && self.workers[n].lease_kept_by_peer
            && r.token > FencingToken(0)
        {
            self.workers[n].lease_start = sent;
            self.last_peer_renewal = sent;
        }
        if self.workers[n].partitioned || self.workers[n].outbound_lost {
            return;
        }
        if self.chance(self.faults.late_report) {
            let at = sent + self.rng.random_range(1_000..120_000);
            self.delayed.push((at, Held::Heartbeat(r.clone())));
        }
        if self.chance(self.faults.very_late_report) {
            let at = sent + self.rng.random_range(LEASE / 2..4 * LEASE);
            self.delayed.push((at, Held::Heartbeat(r.clone())));
        }
        if self.chance(self.faults.delayed_report) {
            let at = sent + self.rng.random_range(500..LEASE / 2);
            self.delayed.push((at, Held::Heartbeat(r)));
            return;
        }
        let Some(l) = &mut self.leader else { return };
        let HeartbeatOutcome::Ok(a) = l.heartbeat(sent, &r, &self.job_cache, &mut self.tables) else { return };
        let id = self.workers[n].id.clone();
        self.check_orders(&id, &a.commands);
        if self.workers[n].answers_lost || self.workers[n].inbound_lost || self.chance(self.faults.lost_report_answer) {
            return;
        }
        let w = &mut self.workers[n];
        if a.token < w.token {
            return;
        }
        if a.token > w.token && w.token_shown.is_none_or(|t| sent >= t + LEASE / 2) {
            (w.changed, w.token_shown) = (true, Some(sent));
        }
        w.token = a.token;
        w.lease_start = sent;
        self.apply_orders(n, &a.commands);
    }

    pub(super) fn execute_command(&mut self, n: usize, req: &DirectCommandRequest) -> DirectCallOutcome {
        let w = &mut self.workers[n];
        if req.token < w.token || req.incarnation != w.incarnation {
            return DirectCallOutcome::Refused(w.heartbeat());
        }
        w.token = req.token;
        self.apply_orders(n, &req.commands);
        DirectCallOutcome::Executed(self.workers[n].heartbeat())
    }

    pub(super) fn apply_orders(&mut self, n: usize, commands: &[WorkerCommand]) {
        for o in commands {
            let w = &mut self.workers[n];
            match o {
                WorkerCommand::Launch { task, attempt } => {
                    if w.tasks.iter().any(|t| t.name == *task && t.attempt == *attempt) {
                        continue;
                    }
                    let live = |t: &&WorkerTask| t.state != TaskState::Exited;
                    let busy = w.tasks.iter().filter(live).any(|t| t.name == *task);
                    let full = w.tasks.iter().filter(live).count() >= self.slots;
                    let (state, why) = match (busy, full) {
                        (true, _) => (TaskState::Exited, Some(ExitReason::Busy)),
                        (_, true) => (TaskState::Exited, Some(ExitReason::NoRoom)),
                        _ => (TaskState::Fetching, None),
                    };
                    self.relaunches_of_completed += usize::from(self.completed.contains(task));
                    w.tasks.push(WorkerTask { name: task.clone(), attempt: *attempt, state, why, since: self.now });
                    w.changed = true;
                }
                WorkerCommand::Halt { task, attempt, grace_s } => {
                    let hit = w
                        .tasks
                        .iter_mut()
                        .find(|t| t.name == *task && t.attempt == *attempt && t.state != TaskState::Exited);
                    if let Some(t) = hit {
                        t.state = TaskState::Exited;
                        t.why = Some(ExitReason::Stopped);
                        w.changed = true;
                        self.halts.push((self.now, task.clone(), *grace_s));
                    }
                }
                WorkerCommand::Reap { task, attempt } => {
                    w.tasks.retain(|t| !(t.name == *task && t.attempt == *attempt && t.state == TaskState::Exited));
                }
            }
        }
    }

    /// What a worker last could have reported.
    pub fn report_of(&mut self, n: usize) -> Heartbeat {
        let sequence = self.workers[n].sequence;
        let heartbeat = self.workers[n].heartbeat();
        self.workers[n].sequence = sequence;
        Heartbeat { sequence, ..heartbeat }
    }

    pub(super) fn holds(w: &Worker, task: &str) -> bool {
        !w.dead && w.tasks.iter().any(|t| t.name == task && t.occupies_machine())
    }

    /// Where a task is, by worker number.
    pub fn worker_running(&self, task: &str) -> Option<usize> {
        self.workers.iter().position(|w| Simulation::holds(w, task))
    }
}
