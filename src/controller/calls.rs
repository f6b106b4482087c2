//! Outgoing calls, and what each pending reply is for.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use super::wiring::Controller;
use crate::{
    coordination::model::{CallId, MachineIndex, Millis, Term},
    protocol::{cbor, store::Txn},
    storage::records::JobRecord,
    transport::{Call, ConnId, Method, Net},
};

/// Timeout, in ms, of small requests to the state service whose result is
/// needed soon: grants, the leader's transactions, reads for the read barrier.
pub(super) const STATE_TIMEOUT_MS: u64 = 1_500;
/// Timeout, in ms, of requests to the state service that are not urgent.
pub(super) const SLOW_STATE_TIMEOUT_MS: u64 = 2_500;
/// Timeout, in ms, of reads of a page of records, which may be large.
pub(super) const PAGE_TIMEOUT_MS: u64 = 3_000;
/// Time, in ms, that a watch may take beyond the time it was asked to wait.
pub(super) const WATCH_GRACE_MS: u64 = 2_000;
/// Timeout, in ms, of requests to the cloud, which is slower than all else.
const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// What a pending reply is for.
///
/// `sent` is when the request was sent, `term` the leadership it was sent under,
/// `call` the leader's own number of the request.
#[derive(Debug)]
pub(super) enum Pending {
    /// The grant for the leader's key.
    LeaderGrant,
    LeaderGrantRenewal,
    LeaderClaim,
    LeaderStepDown,
    /// A listing of the leader's key and the renewal keys, or their changes.
    LeaderKeyPage,
    LeaderKeyWatch {
        sent: Millis,
    },
    /// A page of the jobs' records, or their changes.
    JobsPage {
        first: bool,
    },
    JobsWatch {
        sent: Millis,
    },
    /// The read that users' requests wait for.
    ReadBarrier {
        sent: Millis,
    },
    /// The grant for this controller's renewal key.
    RenewalKeyGrant,
    RenewalKeyGrantRenewal,
    RenewalKeyClaim,
    /// This controller's version key, and a listing of all of them.
    VersionWrite,
    VersionRead,
    /// The write of a new job, or of its cancellation.
    Submit {
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
    },
    Abort {
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
    },
    /// Before a new leader loads the task records: changes of the jobs' records.
    TasksSync {
        term: Term,
        sent: Millis,
    },
    /// A page of the task records.
    TasksPage {
        term: Term,
    },
    /// A transaction of the leader.
    Commit {
        term: Term,
    },
    /// A record that is read again after a transaction's result was unknown.
    Resync {
        term: Term,
        key: String,
    },
    /// Orders sent to a worker.
    Commands {
        term: Term,
        machine: MachineIndex,
        call: CallId,
    },
    /// Requests to the cloud.
    RentHosts {
        term: Term,
        call: CallId,
    },
    ReturnHosts {
        term: Term,
        call: CallId,
    },
    ListHosts {
        term: Term,
        call: CallId,
    },
    /// A worker's status, asked for after it stopped reporting.
    Probe {
        term: Term,
        machine: MachineIndex,
    },
    /// The machine types.
    MachineTypes,
}

impl Pending {
    /// Whether the reply shows if the state service works. Guard: a reply of a
    /// worker or of the cloud shows nothing of it.
    pub fn shows_state_health(&self) -> bool {
        !matches!(
            self,
            Pending::Commands { .. }
                | Pending::RentHosts { .. }
                | Pending::ReturnHosts { .. }
                | Pending::ListHosts { .. }
                | Pending::Probe { .. }
                | Pending::MachineTypes
        )
    }
}

/// Replies that are waited for, by the tag of their call.
#[derive(Debug)]
pub(super) struct PendingCalls {
    by_tag: HashMap<u64, Pending>,
    next_tag: u64,
}

impl Default for PendingCalls {
    fn default() -> Self {
        PendingCalls { by_tag: HashMap::new(), next_tag: 1 }
    }
}

impl PendingCalls {
    fn add(&mut self, pending: Pending) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.by_tag.insert(tag, pending);
        tag
    }

    /// What the reply with this tag is for.
    pub fn take(&mut self, tag: u64) -> Option<Pending> {
        self.by_tag.remove(&tag)
    }
}

/// A request to the state service.
#[derive(Debug)]
pub(super) struct StateCall {
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout_ms: u64,
}

impl StateCall {
    /// Reads records or changes.
    pub fn read(path: String, timeout_ms: u64) -> StateCall {
        StateCall { method: Method::Get, path, body: Vec::new(), timeout_ms }
    }

    /// Posts to a path that is no transaction.
    pub fn post(path: String, body: Vec<u8>, timeout_ms: u64) -> StateCall {
        StateCall { method: Method::Post, path, body, timeout_ms }
    }

    /// Applies a transaction.
    pub fn transaction(transaction: &Txn, timeout_ms: u64) -> StateCall {
        StateCall::post("/multi".into(), cbor::encode(transaction), timeout_ms)
    }

    /// Deletes what is at a path.
    pub fn delete(path: String, timeout_ms: u64) -> StateCall {
        StateCall { method: Method::Delete, path, body: Vec::new(), timeout_ms }
    }
}

/// A request to the cloud.
#[derive(Debug)]
pub(super) struct CloudCall {
    method: Method,
    path: String,
    body: Vec<u8>,
}

impl CloudCall {
    /// Reads a list.
    pub fn get(path: String) -> CloudCall {
        CloudCall { method: Method::Get, path, body: Vec::new() }
    }

    /// Posts a request.
    pub fn post(path: &str, body: Vec<u8>) -> CloudCall {
        CloudCall { method: Method::Post, path: path.into(), body }
    }
}

/// A request to a worker.
#[derive(Debug)]
pub(super) struct WorkerCall {
    pub addr: SocketAddr,
    pub method: Method,
    pub path: &'static str,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

impl Controller {
    /// Sends a request to the state service.
    pub(super) fn ask_state(&mut self, net: &mut Net, pending: Pending, call: StateCall) {
        let StateCall { method, path, body, timeout_ms } = call;
        let dest = self.settings.outside.state;
        let tag = self.calls.add(pending);
        net.call(Call { dest, method, path, body, timeout_ms, tag });
    }

    /// Sends a request to the cloud.
    pub(super) fn ask_cloud(&mut self, net: &mut Net, pending: Pending, call: CloudCall) {
        let CloudCall { method, path, body } = call;
        let dest = self.settings.outside.cloud;
        let tag = self.calls.add(pending);
        net.call(Call { dest, method, path, body, timeout_ms: CLOUD_TIMEOUT_MS, tag });
    }

    /// Sends a request to a worker.
    pub(super) fn ask_worker(&mut self, net: &mut Net, pending: Pending, call: WorkerCall) {
        let WorkerCall { addr: dest, method, path, body, timeout_ms } = call;
        let tag = self.calls.add(pending);
        net.call(Call { dest, method, path: path.into(), body, timeout_ms, tag });
    }
}
