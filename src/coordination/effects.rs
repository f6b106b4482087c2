//! Calls that the leader asks to be made, and their outcomes.

use std::net::SocketAddr;

use crate::{
    coordination::model::{CallId, MachineIndex, Millis},
    protocol::{
        cloud::ProvisionRequest,
        ids::Revision,
        workers::{DirectCommandRequest, Heartbeat, HeartbeatResponse},
    },
};

/// A call to a worker or to the cloud that is to be made.
#[derive(Debug, Clone)]
pub enum Effect {
    /// POST /do: a command sent directly to a worker.
    DirectCommand {
        /// The machine of the worker.
        machine: MachineIndex,
        /// Number of the call.
        call: CallId,
        /// Address of the worker.
        addr: SocketAddr,
        /// The body of the request.
        request: DirectCommandRequest,
    },
    /// POST /hosts
    ScaleOut {
        /// Number of the call.
        call: CallId,
        /// The body of the request.
        request: ProvisionRequest,
    },
    /// POST /hosts/return
    ScaleIn {
        /// Number of the call.
        call: CallId,
        /// Names of the machines.
        ids: Vec<String>,
    },
    /// GET /hosts, from one machine's name on.
    ListMachines {
        /// Number of the call.
        call: CallId,
        /// The first name to list; None: from the beginning.
        from: Option<String>,
    },
    /// GET /status, of a worker whose heartbeat is overdue.
    Probe {
        /// The machine of the worker.
        machine: MachineIndex,
        /// Address of the worker.
        addr: SocketAddr,
    },
}

/// How a worker's heartbeat is answered.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    /// Accepted: this renews the worker's lease and carries commands.
    Accepted(HeartbeatResponse),
    /// Ignored: it is older than one received before, or from a machine that is gone.
    Stale,
    /// The worker has seen a higher token than any of ours.
    Superseded,
}

/// How a command sent directly to a worker ended.
#[derive(Debug)]
pub enum DirectCallOutcome {
    /// Executed; the worker's heartbeat after it.
    Executed(Heartbeat),
    /// Refused by the worker; its heartbeat.
    Refused(Heartbeat),
    /// Never sent, so certainly not executed.
    NotSent,
    /// Unanswered: it may have been executed, or may yet be.
    Unknown,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// Applied; the revision that all of its records have now.
    Applied(Revision),
    /// Not applied, because these keys had other revisions than expected.
    Conflict(Vec<String>),
    /// Certainly not executed.
    Refused,
    /// Not executed, and as it is it never will be.
    TooLarge,
    /// May have been executed, or may yet be.
    Unknown,
}

/// Pause after a refusal, in ms, so that a busy service is not asked again at once.
pub(in crate::coordination) const REFUSED_PAUSE_MS: Millis = 150;

/// Effects that the leader has decided on, and the numbers of its calls.
#[derive(Debug)]
pub(in crate::coordination) struct Outbox {
    effects: Vec<Effect>,
    last_call: CallId,
}

impl Default for Outbox {
    fn default() -> Self {
        Outbox { effects: Vec::new(), last_call: CallId(1) }
    }
}

impl Outbox {
    /// A number for a call, unique within this leadership.
    pub fn next_call(&mut self) -> CallId {
        self.last_call = self.last_call.next();
        self.last_call
    }

    /// Adds an effect.
    pub fn send(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Removes and returns the effects, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
