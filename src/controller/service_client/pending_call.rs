//! What each pending reply is for.
//!
//! In all variants `sent` is when the request was sent, in ms on the steady clock.

use std::{collections::HashMap, rc::Rc};

use crate::{
    coordination::model::{CallId, MachineIndex, Millis, Term},
    storage::records::JobRecord,
    transport::ConnectionId,
};

/// What a pending reply is for.
#[derive(Debug)]
pub enum PendingCall {
    /// Requests of the election.
    Election(ElectionCall),
    /// Requests for the key under which this controller may renew leases.
    RenewalKey(RenewalKeyCall),
    /// Reads of the leader's key and the renewal keys.
    LeaderKey(LeaderKeyCall),
    /// Reads of the jobs' records.
    Jobs(JobsCall),
    /// Requests for the keys that show which version each controller runs.
    Version(VersionCall),
    /// Writes for users.
    User(UserCall),
    /// Requests of the leader under this term.
    Leader { term: Term, call: LeaderCall },
    /// A read of the cloud's machine types.
    MachineTypes,
}

/// A request of the election.
#[derive(Debug)]
pub enum ElectionCall {
    CreateGrant,
    RenewGrant,
    ClaimKey,
    DeleteGrant,
}

/// A request for this controller's renewal key.
#[derive(Debug)]
pub enum RenewalKeyCall {
    CreateGrant,
    RenewGrant,
    WriteKey,
}

/// A read of the leader's key and the renewal keys.
#[derive(Debug)]
pub enum LeaderKeyCall {
    Listing,
    Watch { sent: Millis },
}

/// A read of the jobs' records.
#[derive(Debug)]
pub enum JobsCall {
    /// A page of all records.
    Page { is_first: bool },
    /// A watch of their changes.
    Watch { sent: Millis },
    /// The changes up to now, before the leader of this term loads the task records.
    LeaderSync { term: Term, sent: Millis },
    /// The changes that users' requests wait for.
    ReadBarrier { sent: Millis },
}

/// A request for the version keys.
#[derive(Debug)]
pub enum VersionCall {
    /// The write of this controller's own key.
    Write,
    /// The listing of all of them.
    Listing,
}

/// A write of a job's record on behalf of a user.
#[derive(Debug)]
pub enum UserCall {
    Submit(JobWrite),
    Cancel(JobWrite),
}

/// A job's record that a user waits to be written.
#[derive(Debug)]
pub struct JobWrite {
    /// The user's connection.
    pub conn: ConnectionId,
    /// Id of the job.
    pub id: String,
    /// The record.
    pub record: Rc<JobRecord>,
    /// How often it was tried again so far.
    pub retries: u32,
}

/// A request of the leader; `call` is the leader's own number of it.
#[derive(Debug)]
pub enum LeaderCall {
    /// A page of the task records.
    TasksPage,
    /// A transaction.
    Commit,
    /// A record that is read again after a transaction's result was unknown.
    Resync { key: String },
    /// Commands sent to a worker.
    Commands { machine: MachineIndex, call: CallId },
    /// A worker's status, asked for after its heartbeats stopped.
    Probe { machine: MachineIndex },
    /// Scale-out at the cloud.
    ProvisionHosts { call: CallId },
    /// Scale-in at the cloud.
    ReleaseHosts { call: CallId },
    /// A page of the cloud's list of hosts.
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
    /// Whether the reply shows if the key-value store works. Guard: a reply of a
    /// worker or of the cloud shows nothing of it.
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

/// Replies that are waited for, by the tag of their call.
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
    /// Adds a call and returns its tag.
    pub fn add(&mut self, pending: PendingCall) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.by_tag.insert(tag, pending);
        tag
    }

    /// What the reply with this tag is for; the call is no longer pending.
    pub fn take(&mut self, tag: u64) -> Option<PendingCall> {
        self.by_tag.remove(&tag)
    }
}
