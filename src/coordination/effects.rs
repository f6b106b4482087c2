//! Calls that the leader requests, and their outcomes.

use std::net::SocketAddr;

use crate::{
    coordination::model::{CallId, MachineIndex, Millis},
    protocol::{
        cloud::ProvisionRequest,
        ids::Revision,
        workers::{DirectCommandRequest, Heartbeat, HeartbeatResponse},
    },
};

/// A call to a worker or to the cloud, requested by the leader. The code that passes
/// events to the leader makes the call.
#[derive(Debug, Clone)]
pub enum Effect {
    /// POST /do: sends commands directly to a worker.
    DirectCommand {
        /// The machine that the worker runs on.
        machine: MachineIndex,
        /// Number of the call, to be returned with its outcome.
        call: CallId,
        /// Address at which the worker accepts commands.
        addr: SocketAddr,
        /// Body of the request.
        request: DirectCommandRequest,
    },
    /// POST /hosts: provisions machines.
    ScaleOut {
        /// Number of the call, to be returned with its outcome.
        call: CallId,
        /// Body of the request.
        request: ProvisionRequest,
    },
    /// POST /hosts/return: releases machines.
    ScaleIn {
        /// Number of the call, to be returned with its outcome.
        call: CallId,
        /// Names of the machines to release.
        ids: Vec<String>,
    },
    /// GET /hosts: requests the page of the machine list that begins after `from`.
    ListMachines {
        /// Number of the call, to be returned with its outcome.
        call: CallId,
        /// Name of the last machine on the previous page; None: requests the first page.
        from: Option<String>,
    },
    /// GET /status: probes a worker whose heartbeat is late.
    Probe {
        /// The machine that the worker runs on.
        machine: MachineIndex,
        /// Address of the worker.
        addr: SocketAddr,
    },
}

/// The leader's decision on a worker's heartbeat.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    /// Accepted: the response renews the worker lease and carries commands.
    Accepted(HeartbeatResponse),
    /// Ignored: the heartbeat is from an incarnation whose lease is known to have
    /// expired, or its machine no longer exists.
    Stale,
    /// The worker has seen a higher fencing token than any of this leader's.
    Superseded,
}

/// The outcome of a command sent directly to a worker.
#[derive(Debug)]
pub enum DirectCallOutcome {
    /// Executed; holds the worker's heartbeat after the execution.
    Executed(Heartbeat),
    /// Refused by the worker; holds the worker's heartbeat.
    Refused(Heartbeat),
    /// Never sent, so definitely not executed.
    NotSent,
    /// No response received: the command may have been executed, or may still be
    /// executed later.
    Unknown,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// Applied; holds the revision that all of its records have now.
    Applied(Revision),
    /// Not applied, because these keys had revisions other than the expected ones.
    Conflict(Vec<String>),
    /// Definitely not executed.
    Refused,
    /// Not executed: the store never accepts the transaction in its current size.
    TooLarge,
    /// The transaction may have been executed, or may still be executed later.
    Unknown,
}

/// Pause after a refused transaction, in ms, so that a busy store is not called
/// again immediately.
pub(in crate::coordination) const REFUSED_PAUSE_MS: Millis = 150;

/// Effects that the leader has decided on, and the source of its call numbers.
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
    /// Returns a new call number, unique within this leadership.
    pub fn next_call(&mut self) -> CallId {
        self.last_call = self.last_call.next();
        self.last_call
    }

    /// Appends an effect.
    pub fn send(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Removes and returns the effects, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
