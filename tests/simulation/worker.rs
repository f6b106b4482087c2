//! A worker and the tasks on it, as the protocol describes them.

use shedhook::{
    coordination::model::Millis,
    protocol::{
        ids::{Attempt, FencingToken, Incarnation, SequenceNumber},
        workers::{DirectCommandRequest, ExitReason, Heartbeat, HeartbeatResponse, TaskState, TaskStatus},
    },
};

use super::{HEARTBEAT_INTERVAL_MS, LEASE_MS};

/// A changed state is sent so long after the last heartbeat, at the soonest.
const CHANGE_DELAY_MS: Millis = 500;

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

    pub(super) fn is_attempt(&self, name: &str, attempt: Attempt) -> bool {
        self.name == name && self.attempt == attempt
    }

    fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.name.clone(),
            attempt: self.attempt,
            state: self.state,
            exit_reason: self.why,
            saved: (self.why == Some(ExitReason::Stopped)).then_some(true),
        }
    }
}

/// What machine the worker runs on.
#[derive(Clone)]
pub struct WorkerSpec {
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    /// It is booting until then.
    pub up_at: Millis,
}

/// What is wrong with a worker or its network.
#[derive(Clone, Copy, Default)]
pub struct WorkerFaults {
    /// Its packets go nowhere; it goes on working.
    pub partitioned: bool,
    /// It doesn't execute, nor answer, but may resume.
    pub hung: bool,
    /// Hears no answers to its heartbeats.
    pub answers_lost: bool,
    /// Its heartbeats go nowhere, commands and probes reach it.
    pub outbound_lost: bool,
    /// Its heartbeats come through, but nothing reaches it.
    pub inbound_lost: bool,
    /// On its side of the partition, another controller renews its lease.
    pub lease_kept_by_peer: bool,
}

impl WorkerFaults {
    pub(super) fn loses_heartbeats(self) -> bool {
        self.partitioned || self.outbound_lost
    }
}

pub struct Worker {
    pub id: String,
    pub spec: WorkerSpec,
    pub tasks: Vec<WorkerTask>,
    pub faults: WorkerFaults,
    pub dead: bool,
    /// Every task fails here after running for so long.
    pub fails_after: Option<Millis>,
    incarnation: Incarnation,
    sequence: SequenceNumber,
    token: FencingToken,
    /// When the last answered heartbeat was sent, or the incarnation began.
    lease_start: Millis,
    next_heartbeat: Millis,
    changed: bool,
    /// A higher token counts as a change once in half a lease.
    token_shown: Option<Millis>,
}

impl Worker {
    pub(super) fn new(id: String, spec: WorkerSpec, now: Millis, first_heartbeat: Millis) -> Worker {
        Worker {
            id,
            spec,
            tasks: Vec::new(),
            faults: WorkerFaults::default(),
            dead: false,
            fails_after: None,
            incarnation: Incarnation(1),
            sequence: SequenceNumber::default(),
            token: FencingToken::NONE,
            lease_start: now,
            next_heartbeat: first_heartbeat,
            changed: false,
            token_shown: None,
        }
    }

    /// Can commands and probes reach it?
    pub(super) fn is_reached(&self) -> bool {
        !(self.dead || self.faults.partitioned || self.faults.hung || self.faults.inbound_lost)
    }

    pub(super) fn is_booting(&self, now: Millis) -> bool {
        now < self.spec.up_at
    }

    /// Whether a task occupies this machine.
    pub(super) fn holds(&self, task: &str) -> bool {
        !self.dead && self.tasks.iter().any(|held| held.name == task && held.occupies_machine())
    }

    pub(super) fn live_tasks(&self) -> impl Iterator<Item = &WorkerTask> {
        self.tasks.iter().filter(|task| task.state != TaskState::Exited)
    }

    /// It never comes up.
    pub fn delay_boot(&mut self) {
        self.spec.up_at = Millis::MAX;
    }

    /// It is gone, and all that was on it.
    pub fn terminate(&mut self) {
        self.dead = true;
        self.tasks.clear();
    }

    /// It comes back at once, with a new incarnation and nothing on it.
    pub(super) fn restart(&mut self, now: Millis) {
        self.tasks.clear();
        self.incarnation = self.incarnation.next();
        self.lease_start = now;
        self.changed = true;
    }

    /// Whether its tasks go on now. A booting machine has no lease to lose yet;
    /// one that hangs loses it like others.
    pub(super) fn begin_step(&mut self, now: Millis) -> bool {
        if self.is_booting(now) {
            self.lease_start = now;
            return false;
        }
        if self.dead && !self.faults.hung {
            return false;
        }
        self.expire(now);
        !(self.dead || self.faults.hung)
    }

    fn expire(&mut self, now: Millis) {
        if now > self.lease_start + LEASE_MS {
            self.restart(now);
        }
    }

    pub(super) fn replace_task(&mut self, index: usize, task: WorkerTask) {
        self.tasks[index] = task;
        self.changed = true;
    }

    pub(super) fn add_task(&mut self, task: WorkerTask) {
        self.tasks.push(task);
        self.changed = true;
    }

    /// Stops a live task; false when there is no such attempt.
    pub(super) fn stop_task(&mut self, name: &str, attempt: Attempt) -> bool {
        let is_live = |task: &&mut WorkerTask| task.is_attempt(name, attempt) && task.state != TaskState::Exited;
        let Some(task) = self.tasks.iter_mut().find(is_live) else { return false };
        (task.state, task.why) = (TaskState::Exited, Some(ExitReason::Stopped));
        self.changed = true;
        true
    }

    pub(super) fn reap_task(&mut self, name: &str, attempt: Attempt) {
        self.tasks.retain(|task| !(task.is_attempt(name, attempt) && task.state == TaskState::Exited));
    }

    /// Whether a heartbeat is to be sent now; if so, the next one is scheduled.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis) -> bool {
        let change_is_due = self.changed && now + HEARTBEAT_INTERVAL_MS >= self.next_heartbeat + CHANGE_DELAY_MS;
        if now < self.next_heartbeat && !change_is_due {
            return false;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
        self.changed = false;
        true
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence = self.sequence.next();
        self.latest_heartbeat()
    }

    /// The last heartbeat that it could have sent, without sending anything.
    pub fn latest_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            machine: self.id.clone(),
            addr: "127.0.0.1:9".into(),
            machine_type: self.spec.machine_type.clone(),
            zone: self.spec.zone.clone(),
            spot: self.spec.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(WorkerTask::status).collect(),
        }
    }

    /// Another controller renews the lease, if one does; false when none does.
    pub(super) fn renew_by_peer(&mut self, sent: Millis) -> bool {
        let renewed = self.faults.loses_heartbeats() && self.faults.lease_kept_by_peer && self.token > FencingToken(0);
        if renewed {
            self.lease_start = sent;
        }
        renewed
    }

    /// Takes the answer to a heartbeat sent at `sent`; false when it comes from
    /// an earlier leader, so that its commands are not for this worker.
    pub(super) fn accept_response(&mut self, sent: Millis, response: &HeartbeatResponse) -> bool {
        if response.token < self.token {
            return false;
        }
        if response.token > self.token && self.token_shown.is_none_or(|shown| sent >= shown + LEASE_MS / 2) {
            (self.changed, self.token_shown) = (true, Some(sent));
        }
        self.token = response.token;
        self.lease_start = sent;
        true
    }

    /// Checks the token and incarnation of a direct command, and takes the
    /// token; false when the command is fenced off.
    pub(super) fn accept_command(&mut self, request: &DirectCommandRequest) -> bool {
        if request.token < self.token || request.incarnation != self.incarnation {
            return false;
        }
        self.token = request.token;
        true
    }
}
