//! State of machines, as known to the leader.

mod commands;
mod heartbeats;
mod token_requirement;

use std::net::SocketAddr;

pub use self::{commands::CommandState, heartbeats::HeartbeatState, token_requirement::TokenRequirement};
use super::{AssignmentIndex, Millis};
use crate::{
    protocol::{
        ids::FencingToken,
        names::{MachineTypeIndex, ZoneIndex},
    },
    storage::job_cache::JobIndex,
};

/// Stage of a machine between its provisioning and its release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineLifecycle {
    /// Provisioned or listed; no heartbeat of its worker was received yet.
    Booting,
    /// A heartbeat of its worker was received.
    Up,
    /// Its release was requested from the cloud.
    Releasing,
    /// The cloud confirmed that it no longer exists.
    Gone,
}

/// After this many consecutive heartbeats that do not acknowledge this leader's
/// responses, the machine is considered unable to receive them.
const UNACKNOWLEDGED_HEARTBEAT_LIMIT: u32 = 3;

/// A failed task, recorded at the machine on which it failed.
#[derive(Debug, Clone, Copy)]
pub struct TaskFailure {
    /// The job of the task.
    pub job: JobIndex,
    /// When the leader received the report of the failure.
    pub at: Millis,
    /// Whether the job runs successfully on other machines, so that this machine is the
    /// cause.
    pub job_is_healthy: bool,
}

/// Assignments to a machine, and since when it is idle.
#[derive(Debug)]
pub struct MachineLoad {
    /// Tasks that are, or may be, on the machine.
    pub assignments: Vec<AssignmentIndex>,
    /// Number of assignments that use GPUs.
    pub gpu_assignments: u32,
    /// Since when the machine has no assignments; `None`: it has some, or it is not up.
    pub idle_since: Option<Millis>,
    /// Since when none of the machine's GPUs is in use; `None`: some are, or it is not up.
    pub gpu_idle_since: Option<Millis>,
}

impl MachineLoad {
    fn new() -> MachineLoad {
        MachineLoad { assignments: Vec::new(), gpu_assignments: 0, idle_since: None, gpu_idle_since: None }
    }
}

/// One machine, provisioned by this leader or recovered from an earlier one.
#[derive(Debug)]
pub struct Machine {
    /// Name assigned by the cloud.
    pub id: String,
    /// Address of the worker; `None`: not known yet.
    pub addr: Option<SocketAddr>,
    /// Type of the machine; `None`: not known yet.
    pub machine_type: Option<MachineTypeIndex>,
    /// Zone of the machine.
    pub zone: ZoneIndex,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Stage between provisioning and release.
    pub lifecycle: MachineLifecycle,
    /// Heartbeats received, the worker's lease, and probes.
    pub heartbeats: HeartbeatState,
    /// Fencing token of the machine, and the token that its worker must acknowledge.
    pub token_requirement: TokenRequirement,
    /// When the cloud will reclaim a spot machine, according to its interruption notice;
    /// `None`: no notice.
    pub spot_interruption_at: Option<Millis>,
    /// Assignments to the machine, and since when it is idle.
    pub load: MachineLoad,
    /// Commands that may still be in flight, and exits to be reaped.
    pub commands: CommandState,
    /// When this leader provisioned the machine, or when the machine became known from
    /// the cloud's list, a heartbeat or a record.
    pub provisioned_at: Millis,
    /// When this leader received the worker's first heartbeat; `None`: it has received
    /// none.
    pub up_at: Option<Millis>,
    /// No new tasks are assigned to the machine before this time.
    pub unschedulable_until: Millis,
    /// Recent failures of tasks on the machine, one entry per job.
    pub recent_failures: Vec<TaskFailure>,
    /// Whether the machine gets no new tasks and is released once it is empty.
    pub cordoned: bool,
    /// The release of the machine is not requested before this time.
    pub release_retry_at: Millis,
}

impl Machine {
    /// Creates a machine that was just provisioned or listed, or became known from a
    /// heartbeat or a record.
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

    /// Reports whether the machine's heartbeats are received, but responses don't reach it.
    pub fn is_unreachable(&self) -> bool {
        self.token_requirement.unacknowledged_heartbeats >= UNACKNOWLEDGED_HEARTBEAT_LIMIT
    }

    /// Reports whether no command sent before the required token was raised can still
    /// take effect.
    pub fn is_fenced(&self) -> bool {
        self.token_requirement.is_acknowledged()
    }

    /// Reports whether no command with a launch can still be in flight. If so, the
    /// worker's list of tasks is final: a task that it doesn't list can't start any more.
    pub fn has_no_launch_in_flight(&self) -> bool {
        self.is_fenced() && self.commands.direct_call.is_none() && !self.commands.launch_in_response
    }

    /// Reports whether the machine was recovered from an earlier leader with tasks on it,
    /// and no heartbeat was received since this leader's term began.
    pub fn is_recovered_without_heartbeat(&self) -> bool {
        self.lifecycle == MachineLifecycle::Booting && !self.load.assignments.is_empty()
    }
}

#[cfg(test)]
#[path = "../../tests/machine.rs"]
mod tests;
