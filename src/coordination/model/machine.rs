//! Machines as the leader knows them.

use std::net::SocketAddr;

use super::{AssignmentIndex, DirectCall, Millis, UnreapedExit};
use crate::{
    protocol::{
        ids::{FencingToken, Incarnation, SequenceNumber},
        names::{MachineTypeIndex, ZoneIndex},
    },
    storage::job_cache::JobIndex,
};

/// Where a machine is between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// Rented or listed; its worker has not reported yet.
    Booting,
    /// Its worker has reported.
    Up,
    /// Being handed back.
    Returning,
    /// The cloud said that it is gone.
    Gone,
}

/// After this many reports in a row that show no sign of our answers, a
/// machine counts as unable to receive them.
const UNACKNOWLEDGED_HEARTBEAT_LIMIT: u32 = 3;

/// A failed task, noted at the machine on which it failed.
#[derive(Debug, Clone, Copy)]
pub struct TaskFailure {
    /// The job of the task.
    pub job: JobIndex,
    /// When the leader heard of the failure.
    pub at: Millis,
    /// The job ran well elsewhere, so the machine is to blame.
    pub job_is_sound: bool,
}

/// Fencing token of a machine, and what its worker has shown of it.
#[derive(Debug)]
pub struct Fence {
    /// The token that commands to it carry now.
    pub token: FencingToken,
    /// A task's absence or end proves something only once the worker has shown
    /// at least this token.
    pub fence_token: FencingToken,
    /// The highest token that the worker has shown.
    pub seen_token: FencingToken,
    /// A heartbeat of it was answered since the fence was last raised.
    pub answered_since_fence: bool,
    /// Heartbeats since then that show no sign of an answer.
    pub unacknowledged_heartbeats: u32,
    /// When the last such report was counted; 0: never.
    pub last_unacknowledged_at: Millis,
}

/// Which heartbeats of a machine were heard, and its lease.
#[derive(Debug)]
pub struct HeartbeatState {
    /// The latest incarnation of its worker, and the latest report in that incarnation.
    pub incarnation: Incarnation,
    /// Number of the latest report of the incarnation.
    pub sequence: SequenceNumber,
    /// Heartbeats of incarnations up to this one are too old to mean anything.
    pub expired_incarnation: Incarnation,
    /// When its last heartbeat came, sent by itself or as the answer to a call.
    pub last_contact: Option<Millis>,
    /// When the last heartbeat that it sent by itself came.
    pub last_heartbeat: Option<Millis>,
    /// When the last 200 was sent to one of its heartbeats, by any leader.
    pub lease_renewed: Millis,
    /// A probe is in flight.
    pub probing: bool,
    /// Probes in a row that went unanswered.
    pub failed_probes: u32,
}

/// Commands to a machine that may still be on their way, and exits to be reaped.
#[derive(Debug)]
pub struct CommandState {
    /// Ended tasks that its worker still lists.
    pub unreaped_exits: Vec<UnreapedExit>,
    /// The direct command that is not answered yet, if any.
    pub direct_call: Option<DirectCall>,
    /// No direct call is made before.
    pub direct_call_after: Millis,
    /// The answer to its last heartbeat carried launches, and no report came since.
    pub launch_in_answer: bool,
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
    /// Which heartbeats of a machine were heard, and its lease.
    pub heartbeats: HeartbeatState,
    /// Fencing token of a machine, and what its worker has shown of it.
    pub fence: Fence,
    /// When a spot machine with a notice will be taken away; None: no notice.
    pub spot_notice_until: Option<Millis>,
    /// What is, or may be, on a machine.
    pub load: MachineLoad,
    /// Commands to a machine that may still be on their way, and exits to be reaped.
    pub commands: CommandState,
    /// When it was rented, or first listed or heard of.
    pub rented_at: Millis,
    /// When its worker first reported to this leader; None: it has not.
    pub up_at: Option<Millis>,
    /// No new tasks are assigned to it before.
    pub avoid_until: Millis,
    /// Tasks that failed here lately, one entry per job.
    pub recent_failures: Vec<TaskFailure>,
    /// To be emptied and handed back.
    pub cordoned: bool,
    /// Its return is not requested before.
    pub return_after: Millis,
}

impl Machine {
    /// A machine that was just rented, listed or heard of for the first time.
    pub fn new(id: &str, zone: ZoneIndex, token: FencingToken, now: Millis) -> Machine {
        Machine {
            id: id.to_owned(),
            addr: None,
            machine_type: None,
            zone,
            spot: false,
            lifecycle: MachineLifecycle::Booting,
            heartbeats: HeartbeatState {
                incarnation: Incarnation::NONE,
                sequence: SequenceNumber::default(),
                expired_incarnation: Incarnation::NONE,
                last_contact: None,
                last_heartbeat: None,
                lease_renewed: now,
                probing: false,
                failed_probes: 0,
            },
            fence: Fence {
                token,
                fence_token: token,
                seen_token: FencingToken::NONE,
                answered_since_fence: false,
                unacknowledged_heartbeats: 0,
                last_unacknowledged_at: 0,
            },
            spot_notice_until: None,
            load: MachineLoad { assignments: Vec::new(), gpu_assignments: 0, idle_since: None, gpu_idle_since: None },
            commands: CommandState {
                unreaped_exits: Vec::new(),
                direct_call: None,
                direct_call_after: 0,
                launch_in_answer: false,
            },
            rented_at: now,
            up_at: None,
            avoid_until: 0,
            recent_failures: Vec::new(),
            cordoned: false,
            return_after: 0,
        }
    }

    /// Its reports arrive, but our answers don't reach it.
    pub fn is_unreachable(&self) -> bool {
        self.fence.unacknowledged_heartbeats >= UNACKNOWLEDGED_HEARTBEAT_LIMIT
    }

    /// No command sent before the fence was raised can still take effect.
    pub fn fenced(&self) -> bool {
        self.fence.seen_token >= self.fence.fence_token
    }

    /// No command with a launch can still be on its way: what its worker lists,
    /// or doesn't, is final.
    pub fn has_no_command_in_flight(&self) -> bool {
        self.fenced() && self.commands.direct_call.is_none() && !self.commands.launch_in_answer
    }

    /// Taken over with tasks on it, and not heard since this leader began.
    pub fn is_inherited_unheard(&self) -> bool {
        self.lifecycle == MachineLifecycle::Booting && !self.load.assignments.is_empty()
    }

    /// Raises the token above that of any command sent so far.
    pub fn raise_token(&mut self) {
        self.fence.token = self.fence.token.next();
    }
}
