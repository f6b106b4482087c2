//! Records the purpose of each pending call, so that its reply can be dispatched.
//!
//! In all variants `sent_at` is when the request was sent, in ms on the monotonic clock.

use std::{collections::HashMap, rc::Rc};

use crate::{
    coordination::model::{CallId, MachineIndex, Millis, Term},
    storage::records::JobRecord,
    transport::ConnectionId,
};

/// Purpose of a pending call.
#[derive(Debug)]
pub enum PendingCall {
    /// A request of the leader election.
    Election(ElectionCall),
    /// A request for the key that permits this controller to renew worker leases without
    /// leading.
    RenewalKey(RenewalKeyCall),
    /// A read of the leader's key and the renewal keys.
    LeaderKey(LeaderKeyCall),
    /// A read of the jobs' records.
    Jobs(JobsCall),
    /// A request for the keys that record which version each controller runs.
    Version(VersionCall),
    /// A write for a user.
    User(UserCall),
    /// A request of the leader under this term.
    Leader { term: Term, call: LeaderCall },
    /// A read of the cloud's machine types.
    MachineTypes,
}

/// A request of the leader election, for the store lease and the leader's key.
#[derive(Debug)]
pub enum ElectionCall {
    CreateStoreLease,
    RenewStoreLease,
    ClaimKey,
    DeleteStoreLease,
}

/// A request for this controller's renewal key and its store lease.
#[derive(Debug)]
pub enum RenewalKeyCall {
    CreateStoreLease,
    RenewStoreLease,
    WriteKey,
}

/// A read of the leader's key and the renewal keys.
#[derive(Debug)]
pub enum LeaderKeyCall {
    Listing,
    Watch { sent_at: Millis },
}

/// A read of the jobs' records.
#[derive(Debug)]
pub enum JobsCall {
    /// A page of all records.
    Page { is_first: bool },
    /// A watch of the records' changes.
    Watch { sent_at: Millis },
    /// A read of the changes up to now, before the leader of this term loads the task
    /// records.
    LeaderSync { term: Term, sent_at: Millis },
    /// A read of the changes for the users' requests that wait for the read barrier.
    ReadBarrier { sent_at: Millis },
}

/// A request for the version keys.
#[derive(Debug)]
pub enum VersionCall {
    /// A write of this controller's own key.
    Write,
    /// A listing of the keys of all controllers.
    Listing,
}

/// A write of a job's record on behalf of a user.
#[derive(Debug)]
pub enum UserCall {
    Submit(JobWrite),
    Cancel(JobWrite),
}

/// A write of a job's record, and the connection to which its result is reported.
#[derive(Debug)]
pub struct JobWrite {
    /// Connection on which the user waits for the response.
    pub conn: ConnectionId,
    /// Id of the job whose record is written.
    pub id: String,
    /// Record to be written.
    pub record: Rc<JobRecord>,
    /// Number of retries so far.
    pub retries: u32,
}

/// A request of the leader; `call` is the number that the leader assigned to it.
#[derive(Debug)]
pub enum LeaderCall {
    /// A read of a page of the task records.
    TasksPage,
    /// A transaction.
    Commit,
    /// A read of a record after the result of a transaction was unknown.
    Resync { key: String },
    /// Commands sent to a worker.
    Commands { machine: MachineIndex, call: CallId },
    /// A query of a worker's status after its heartbeats stopped.
    Probe { machine: MachineIndex },
    /// A scale-out request to the cloud.
    ProvisionHosts { call: CallId },
    /// A scale-in request to the cloud.
    ReleaseHosts { call: CallId },
    /// A read of a page of the cloud's list of hosts.
    ListHosts { call: CallId },
}

impl LeaderCall {
    fn is_store_call(&self) -> bool {
        match self {
            LeaderCall::TasksPage | LeaderCall::Commit | LeaderCall::Resync { .. } => true,
            LeaderCall::Commands { .. }
            | LeaderCall::Probe { .. }
            | LeaderCall::ProvisionHosts { .. }
            | LeaderCall::ReleaseHosts { .. }
            | LeaderCall::ListHosts { .. } => false,
        }
    }
}

impl PendingCall {
    /// Reports whether the call's result reflects the health of the key-value store. A
    /// result from a worker or the cloud doesn't: if it were included, the store would seem
    /// to respond, or to fail, because of another service.
    pub fn reflects_store_health(&self) -> bool {
        match self {
            PendingCall::Leader { call, .. } => call.is_store_call(),
            PendingCall::MachineTypes => false,
            PendingCall::Election(_)
            | PendingCall::RenewalKey(_)
            | PendingCall::LeaderKey(_)
            | PendingCall::Jobs(_)
            | PendingCall::Version(_)
            | PendingCall::User(_) => true,
        }
    }
}

/// The calls that have no result yet, by tag.
#[derive(Debug)]
pub struct PendingCalls {
    by_tag: HashMap<u64, PendingCall>,
    next_tag: u64,
}

impl Default for PendingCalls {
    fn default() -> Self {
        PendingCalls { by_tag: HashMap::new(), next_tag: 1 }
    }
}

impl PendingCalls {
    /// Adds a call and returns its tag, which is unique in the process.
    pub fn add(&mut self, pending: PendingCall) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.by_tag.insert(tag, pending);
        tag
    }

    /// Removes and returns the pending call with this tag; None if there is none.
    pub fn take(&mut self, tag: u64) -> Option<PendingCall> {
        self.by_tag.remove(&tag)
    }
}
