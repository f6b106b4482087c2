//! Machines as the leader knows them.

use std::net::SocketAddr;

use super::{AssignmentIndex, CallId, DirectCall, ExitRecord, Millis, PendingReap};
use crate::{
    protocol::{
        ids::{Attempt, FencingToken, Incarnation, SequenceNumber},
        names::{MachineTypeIndex, ZoneIndex},
        workers::TaskStatus,
    },
    storage::job_cache::JobIndex,
};

/// Where a machine is between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// Rented or listed; its worker has sent no heartbeat yet.
    Booting,
    /// Its worker has sent a heartbeat.
    Up,
    /// Its release was requested from the cloud.
    Releasing,
    /// The cloud confirmed that it no longer exists.
    Gone,
}

/// After this many heartbeats in a row that do not acknowledge our responses, a
/// machine counts as unable to receive them.
const UNACKNOWLEDGED_HEARTBEAT_LIMIT: u32 = 3;

/// A failed task, recorded at the machine on which it failed.
#[derive(Debug, Clone, Copy)]
pub struct TaskFailure {
    /// The job of the task.
    pub job: JobIndex,
    /// When the leader learned of the failure.
    pub at: Millis,
    /// The job runs well on other machines, so this machine is at fault.
    pub job_is_healthy: bool,
}

/// Fencing token of a machine, and which tokens its worker has acknowledged.
#[derive(Debug)]
pub struct TokenRequirement {
    /// The token that commands to the machine carry now.
    pub token: FencingToken,
    /// Consecutive heartbeats that do not acknowledge the fence, though a response
    /// that carried it was sent.
    pub unacknowledged_heartbeats: u32,
    /// The absence or the end of a task proves something only once the worker has
    /// acknowledged at least this token.
    required_token: FencingToken,
    /// The highest token that the worker has acknowledged.
    acknowledged_token: FencingToken,
    /// A heartbeat was answered since the fence was last raised.
    response_sent_since_raised: bool,
    /// When the last unacknowledged heartbeat was counted; 0: never.
    last_unacknowledged_at: Millis,
}

impl TokenRequirement {
    fn new(token: FencingToken) -> TokenRequirement {
        TokenRequirement {
            token,
            unacknowledged_heartbeats: 0,
            required_token: token,
            acknowledged_token: FencingToken::NONE,
            response_sent_since_raised: false,
            last_unacknowledged_at: 0,
        }
    }

    /// Raises the token above that of any command sent so far.
    pub fn raise_token(&mut self) {
        self.token = self.token.next();
    }

    /// Raises the token and requires the worker to acknowledge it, so that no
    /// command sent so far can take effect afterwards.
    pub fn raise_and_require_token(&mut self) {
        self.raise_token();
        self.required_token = self.token;
        self.response_sent_since_raised = false;
    }

    /// Records the token that a heartbeat, a command's response or a probe's
    /// response carries.
    pub fn record_acknowledged_token(&mut self, token: FencingToken) {
        self.acknowledged_token = self.acknowledged_token.max(token);
    }

    /// Counts a heartbeat as acknowledging our earlier responses or not, before it
    /// is answered. `min_gap_ms`: heartbeats that follow a counted one within this
    /// time are not counted.
    ///
    /// Guard: a worker that receives a response shows its token in the next
    /// heartbeat. One that never does can't be sent any command. Heartbeats that a
    /// network partition held back come together and count once.
    pub fn count_acknowledgement(&mut self, now: Millis, token: FencingToken, min_gap_ms: Millis) {
        if token >= self.required_token {
            self.unacknowledged_heartbeats = 0;
        } else if self.response_sent_since_raised && now >= self.last_unacknowledged_at + min_gap_ms {
            self.unacknowledged_heartbeats += 1;
            self.last_unacknowledged_at = now;
        }
        self.response_sent_since_raised = true;
    }

    /// The response to the last heartbeat is not sent after all: that the worker
    /// never acknowledges it means nothing.
    pub fn response_not_sent(&mut self) {
        self.response_sent_since_raised = false;
    }

    fn is_acknowledged(&self) -> bool {
        self.acknowledged_token >= self.required_token
    }
}

/// Which heartbeats of a machine were received, its lease, and its probes.
#[derive(Debug)]
pub struct HeartbeatState {
    /// The latest incarnation of its worker.
    pub incarnation: Incarnation,
    /// Heartbeats of incarnations up to this one are stale: their lease expired.
    pub expired_incarnation: Incarnation,
    /// When its last heartbeat came, sent periodically or in response to a call.
    pub last_contact: Option<Millis>,
    /// When its last periodic heartbeat came.
    pub last_heartbeat: Option<Millis>,
    /// When the last 200 was sent to one of its heartbeats, by any leader.
    pub lease_renewed_at: Millis,
    /// Consecutive probes that went unanswered.
    pub failed_probes: u32,
    /// Number of the latest heartbeat within the incarnation.
    sequence: SequenceNumber,
    /// A probe is in flight.
    probe_in_flight: bool,
}

impl HeartbeatState {
    fn new(now: Millis) -> HeartbeatState {
        HeartbeatState {
            incarnation: Incarnation::NONE,
            expired_incarnation: Incarnation::NONE,
            last_contact: None,
            last_heartbeat: None,
            lease_renewed_at: now,
            failed_probes: 0,
            sequence: SequenceNumber::default(),
            probe_in_flight: false,
        }
    }

    /// Whether a heartbeat with these numbers is newer than the latest one.
    pub fn is_outdated_by(&self, incarnation: Incarnation, sequence: SequenceNumber) -> bool {
        (incarnation, sequence) > (self.incarnation, self.sequence)
    }

    /// Whether the lease of this incarnation is known to have expired.
    pub fn is_expired(&self, incarnation: Incarnation) -> bool {
        incarnation <= self.expired_incarnation
    }

    /// Records a heartbeat, periodic or in response to a call.
    pub fn record_contact(&mut self, now: Millis, sequence: SequenceNumber) {
        self.sequence = sequence;
        self.last_contact = Some(now);
        self.failed_probes = 0;
    }

    /// Begins a new incarnation and returns the previous one.
    ///
    /// Guard: the new incarnation has a lease of its own, from its beginning on,
    /// also where only the response to a probe or a command tells of it.
    pub fn begin_incarnation(&mut self, now: Millis, incarnation: Incarnation) -> Incarnation {
        self.lease_renewed_at = self.lease_renewed_at.max(now);
        std::mem::replace(&mut self.incarnation, incarnation)
    }

    /// Records that the lease of the worker expired in its latest incarnation, and
    /// in `last_assigned`, the latest one that tasks were assigned to.
    pub fn expire(&mut self, last_assigned: Incarnation) {
        self.expired_incarnation = self.expired_incarnation.max(self.incarnation).max(last_assigned);
    }

    /// Whether the last heartbeat of any kind came at most `max_age_ms` ago.
    pub fn contacted_within(&self, now: Millis, max_age_ms: Millis) -> bool {
        self.last_contact.is_some_and(|contact| now <= contact + max_age_ms)
    }

    /// Whether the last periodic heartbeat came at most `max_age_ms` ago.
    pub fn heartbeat_within(&self, now: Millis, max_age_ms: Millis) -> bool {
        self.last_heartbeat.is_some_and(|heartbeat| now <= heartbeat + max_age_ms)
    }

    /// Whether a probe is in flight.
    pub fn is_probing(&self) -> bool {
        self.probe_in_flight
    }

    /// A probe is sent.
    pub fn begin_probe(&mut self) {
        self.probe_in_flight = true;
    }

    /// The probe in flight was answered, or timed out.
    pub fn end_probe(&mut self) {
        self.probe_in_flight = false;
    }
}

/// Commands to a machine that may still be in flight, and exits to be reaped.
#[derive(Debug)]
pub struct CommandState {
    /// Exited tasks that its worker still lists.
    pub pending_reaps: Vec<PendingReap>,
    /// The direct call in flight, if any.
    pub direct_call: Option<DirectCall>,
    /// No direct call is made before.
    direct_calls_paused_until: Millis,
    /// The response to its last heartbeat carried launches, and no heartbeat came since.
    launch_in_response: bool,
}

impl CommandState {
    fn new() -> CommandState {
        CommandState {
            pending_reaps: Vec::new(),
            direct_call: None,
            direct_calls_paused_until: 0,
            launch_in_response: false,
        }
    }

    /// Until when direct calls are paused; in the past: they are not.
    pub fn direct_calls_paused_until(&self) -> Millis {
        self.direct_calls_paused_until
    }

    /// Makes no direct call before `until`.
    pub fn pause_direct_calls(&mut self, until: Millis) {
        self.direct_calls_paused_until = until;
    }

    /// Ends the direct call in flight if it has this number.
    pub fn end_direct_call(&mut self, id: CallId) -> Option<DirectCall> {
        self.direct_call.take_if(|call| call.id == id)
    }

    /// Records whether the response to the last heartbeat may still deliver launches.
    pub fn set_launch_in_response(&mut self, launch_in_response: bool) {
        self.launch_in_response = launch_in_response;
    }

    /// Whether the response to the last heartbeat may still deliver launches.
    pub fn has_launch_in_response(&self) -> bool {
        self.launch_in_response
    }

    /// Has an attempt reaped that its worker lists without an assignment.
    pub fn add_pending_reap(&mut self, status: &TaskStatus, job: JobIndex, record: ExitRecord) {
        let (task, attempt) = (status.task.clone(), status.attempt);
        self.pending_reaps.push(PendingReap { task, attempt, job, record });
    }

    /// Whether this attempt is among the exits to be reaped.
    pub fn is_pending_reap(&self, task: &str, attempt: Attempt) -> bool {
        self.pending_reaps.iter().any(|exit| exit.task == task && exit.attempt == attempt)
    }
}

/// What is, or may be, on a machine.
#[derive(Debug)]
pub struct MachineLoad {
    /// The tasks that are, or may be, on it.
    pub assignments: Vec<AssignmentIndex>,
    /// How many of the assignments use GPUs.
    pub gpu_assignments: u32,
    /// Since when nothing is on it; None: something is, or it is not up.
    pub idle_since: Option<Millis>,
    /// Since when none of its GPUs is in use.
    pub gpu_idle_since: Option<Millis>,
}

impl MachineLoad {
    fn new() -> MachineLoad {
        MachineLoad { assignments: Vec::new(), gpu_assignments: 0, idle_since: None, gpu_idle_since: None }
    }
}

/// One machine, rented or inherited from an earlier leader.
#[derive(Debug)]
pub struct Machine {
    /// Name that the cloud gave it.
    pub id: String,
    /// Address of its worker; None: not known yet.
    pub addr: Option<SocketAddr>,
    /// Its type; None: unknown.
    pub machine_type: Option<MachineTypeIndex>,
    /// Its zone.
    pub zone: ZoneIndex,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it is between its rental and its return.
    pub lifecycle: MachineLifecycle,
    /// Which of its heartbeats were received, its lease, and its probes.
    pub heartbeats: HeartbeatState,
    /// Its fencing token, and which tokens its worker has acknowledged.
    pub token_requirement: TokenRequirement,
    /// When a spot machine with an interruption notice will be taken away; None:
    /// no notice.
    pub spot_interruption_at: Option<Millis>,
    /// What is, or may be, on it.
    pub load: MachineLoad,
    /// Commands to it that may still be in flight, and exits to be reaped.
    pub commands: CommandState,
    /// When it was rented, or first listed or known from a heartbeat or a record.
    pub provisioned_at: Millis,
    /// When its worker first sent this leader a heartbeat; None: it has not.
    pub up_at: Option<Millis>,
    /// No new tasks are assigned to it before.
    pub unschedulable_until: Millis,
    /// Tasks that failed here recently, one entry per job.
    pub recent_failures: Vec<TaskFailure>,
    /// It gets no new tasks and is released once it is empty.
    pub cordoned: bool,
    /// Its return is not requested before.
    pub release_retry_at: Millis,
}

impl Machine {
    /// A machine that was just rented, listed, or became known from a heartbeat or a record.
    pub fn new(id: &str, zone: ZoneIndex, token: FencingToken, now: Millis) -> Machine {
        Machine {
            id: id.to_owned(),
            addr: None,
            machine_type: None,
            zone,
            spot: false,
            lifecycle: MachineLifecycle::Booting,
            heartbeats: HeartbeatState::new(now),
            token_requirement: TokenRequirement::new(token),
            spot_interruption_at: None,
            load: MachineLoad::new(),
            commands: CommandState::new(),
            provisioned_at: now,
            up_at: None,
            unschedulable_until: 0,
            recent_failures: Vec::new(),
            cordoned: false,
            release_retry_at: 0,
        }
    }

    /// Its heartbeats arrive, but our responses don't reach it.
    pub fn is_unreachable(&self) -> bool {
        self.token_requirement.unacknowledged_heartbeats >= UNACKNOWLEDGED_HEARTBEAT_LIMIT
    }

    /// No command sent before the fence was raised can still take effect.
    pub fn is_fenced(&self) -> bool {
        self.token_requirement.is_acknowledged()
    }

    /// No command with a launch can still be in flight: what its worker lists, or
    /// doesn't, is final.
    pub fn has_no_launch_in_flight(&self) -> bool {
        self.is_fenced() && self.commands.direct_call.is_none() && !self.commands.launch_in_response
    }

    /// Inherited with tasks on it, and without a heartbeat since this leader began.
    pub fn is_recovered_without_heartbeat(&self) -> bool {
        self.lifecycle == MachineLifecycle::Booting && !self.load.assignments.is_empty()
    }
}

#[cfg(test)]
#[path = "../tests/machine.rs"]
mod tests;
