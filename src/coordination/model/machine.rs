//! Machines as the leader knows them.

use std::net::SocketAddr;

use super::{AssignmentIx, DirectCall, Ms, UnreapedExit};
use crate::{
    bookkeeping::job_cache::JobIx,
    protocol::names::{TypeIx, ZoneIx},
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
const UNACKNOWLEDGED_REPORT_LIMIT: u32 = 3;

/// A failed task, noted at the machine on which it failed.
#[derive(Debug, Clone, Copy)]
pub struct TaskFailure {
    /// The job of the task.
    pub job: JobIx,
    /// When the leader heard of the failure.
    pub at: Ms,
    /// The job ran well elsewhere, so the machine is to blame.
    pub job_is_sound: bool,
}

/// One machine, rented or inherited from an earlier leader.
#[derive(Debug)]
pub struct Machine {
    /// Name that the cloud gave it.
    pub id: String,
    /// Address of its worker; None: not known yet.
    pub addr: Option<SocketAddr>,
    /// Its type; None: unknown.
    pub machine_type: Option<TypeIx>,
    /// Its zone.
    pub zone: ZoneIx,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it is between its rental and its return.
    pub lifecycle: MachineLifecycle,
    /// The latest session of its worker, and the latest report in that session.
    pub session: u64,
    /// Number of the latest report of the session.
    pub seq: u64,
    /// Reports of sessions up to this one are too old to mean anything.
    pub dead_session: u64,
    /// The token that commands to it carry now.
    pub token: u64,
    /// A task's absence or end proves something only once the worker has shown
    /// at least this token.
    pub fence_token: u64,
    /// The highest token that the worker has shown.
    pub seen_token: u64,
    /// A report of it was answered since the fence was last raised.
    pub answered_since_fence: bool,
    /// Reports since then that show no sign of an answer.
    pub unacknowledged_reports: u32,
    /// When the last such report was counted; 0: never.
    pub last_unacknowledged: Ms,
    /// When its last report came, sent by itself or as the answer to a call.
    pub last_heard: Option<Ms>,
    /// When the last report that it sent by itself came.
    pub last_own_report: Option<Ms>,
    /// When the last 200 was sent to one of its reports, by any leader.
    pub lease_renewed: Ms,
    /// A probe is in flight.
    pub probing: bool,
    /// Probes in a row that went unanswered.
    pub failed_probes: u32,
    /// When a spot machine with a notice will be taken away; None: no notice.
    pub spot_notice_until: Option<Ms>,
    /// The tasks that are, or may be, on it.
    pub assignments: Vec<AssignmentIx>,
    /// How many of the assignments use GPUs.
    pub gpu_assignments: u32,
    /// Ended tasks that its worker still lists.
    pub unreaped_exits: Vec<UnreapedExit>,
    /// The direct command that is not answered yet, if any.
    pub direct_call: Option<DirectCall>,
    /// No direct call is made before.
    pub direct_call_after: Ms,
    /// The answer to its last report carried launches, and no report came since.
    pub launch_in_answer: bool,
    /// When it was rented, or first listed or heard of.
    pub rented_at: Ms,
    /// When its worker first reported to this leader; None: it has not.
    pub up_at: Option<Ms>,
    /// Since when nothing is on it; None: something is, or it is not up.
    pub idle_since: Option<Ms>,
    /// Since when none of its GPUs is in use.
    pub gpu_idle_since: Option<Ms>,
    /// No new tasks are assigned to it before.
    pub avoid_until: Ms,
    /// Tasks that failed here lately, one entry per job.
    pub recent_failures: Vec<TaskFailure>,
    /// To be emptied and handed back.
    pub retiring: bool,
    /// Its return is not requested before.
    pub return_after: Ms,
}

impl Machine {
    /// A machine that was just rented, listed or heard of for the first time.
    pub fn new(id: &str, zone: ZoneIx, token: u64, now: Ms) -> Machine {
        Machine {
            id: id.to_owned(),
            addr: None,
            machine_type: None,
            zone,
            spot: false,
            lifecycle: MachineLifecycle::Booting,
            session: 0,
            seq: 0,
            dead_session: 0,
            token,
            fence_token: token,
            seen_token: 0,
            answered_since_fence: false,
            unacknowledged_reports: 0,
            last_unacknowledged: 0,
            last_heard: None,
            last_own_report: None,
            lease_renewed: now,
            probing: false,
            failed_probes: 0,
            spot_notice_until: None,
            assignments: Vec::new(),
            gpu_assignments: 0,
            unreaped_exits: Vec::new(),
            direct_call: None,
            direct_call_after: 0,
            launch_in_answer: false,
            rented_at: now,
            up_at: None,
            idle_since: None,
            gpu_idle_since: None,
            avoid_until: 0,
            recent_failures: Vec::new(),
            retiring: false,
            return_after: 0,
        }
    }

    /// Its reports arrive, but our answers don't reach it.
    pub fn misses_answers(&self) -> bool {
        self.unacknowledged_reports >= UNACKNOWLEDGED_REPORT_LIMIT
    }

    /// No command sent before the fence was raised can still take effect.
    pub fn fenced(&self) -> bool {
        self.seen_token >= self.fence_token
    }

    /// No command with a launch can still be on its way: what its worker lists,
    /// or doesn't, is final.
    pub fn has_no_command_in_flight(&self) -> bool {
        self.fenced() && self.direct_call.is_none() && !self.launch_in_answer
    }

    /// Taken over with tasks on it, and not heard since this leader began.
    pub fn is_inherited_unheard(&self) -> bool {
        self.lifecycle == MachineLifecycle::Booting && !self.assignments.is_empty()
    }

    /// Raises the token above that of any command sent so far.
    pub fn raise_token(&mut self) {
        self.token += 1;
    }
}
