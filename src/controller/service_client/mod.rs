//! Requests to the outside services: the key-value store, the cloud and the workers.

mod budgets;
mod pending_call;
mod replies;
mod requests;

use std::net::SocketAddr;

pub use self::{
    budgets::{Budgets, Usage},
    pending_call::{
        ElectionCall, JobWrite, JobsCall, LeaderCall, LeaderKeyCall, PendingCall, PendingCalls, RenewalKeyCall,
        UserCall, VersionCall,
    },
    replies::{applied_revision, body, renewal_outcome, status, store_lease_id, CallResult},
    requests::{CloudRequest, StoreRequest, WorkerRequest},
};
use crate::{
    protocol::settings::Settings,
    transport::{Call, Net},
};

/// Timeout, in ms, of small requests to the key-value store whose result is
/// needed soon: store leases, the leader's transactions, reads for the read barrier.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// Timeout, in ms, of requests to the key-value store that are not urgent.
pub const SLOW_STORE_TIMEOUT_MS: u64 = 2_500;
/// Timeout, in ms, of reads of a page of records, which may be large.
pub const PAGE_TIMEOUT_MS: u64 = 3_000;
/// Time, in ms, that a watch may take beyond the requested wait.
pub const WATCH_GRACE_MS: u64 = 2_000;
/// Timeout, in ms, of requests to the cloud, which is the slowest of the services.
const CLOUD_TIMEOUT_MS: u64 = 4_000;

/// Sends requests, records the purpose of each pending call, and holds the budgets.
#[derive(Debug)]
pub struct ServiceClient {
    store_addr: SocketAddr,
    cloud_addr: SocketAddr,
    pending: PendingCalls,
    budgets: Budgets,
}

impl ServiceClient {
    /// Creates a client without pending calls.
    pub fn new(settings: &Settings) -> ServiceClient {
        ServiceClient {
            store_addr: settings.service_addresses.store,
            cloud_addr: settings.service_addresses.cloud,
            pending: PendingCalls::default(),
            budgets: Budgets::new(&settings.cluster.store, &settings.cluster.cloud),
        }
    }

    /// Returns the rate-limit budgets. Callers must take from them before they send.
    pub fn budgets(&mut self) -> &mut Budgets {
        &mut self.budgets
    }

    /// Removes and returns the pending call with this tag; None if its reply was already
    /// handled.
    pub fn take_pending(&mut self, tag: u64) -> Option<PendingCall> {
        self.pending.take(tag)
    }

    /// Sends a request to the key-value store, without a check of the budgets.
    pub fn send_to_store(&mut self, net: &mut Net, pending: PendingCall, request: StoreRequest) {
        let StoreRequest { method, path, body, timeout_ms } = request;
        let tag = self.pending.add(pending);
        net.call(&Call { destination: self.store_addr, method, path, body, timeout_ms, tag });
    }

    /// Sends a request to the cloud, without a check of the budgets.
    pub fn send_to_cloud(&mut self, net: &mut Net, pending: PendingCall, request: CloudRequest) {
        let CloudRequest { method, path, body } = request;
        let tag = self.pending.add(pending);
        net.call(&Call { destination: self.cloud_addr, method, path, body, timeout_ms: CLOUD_TIMEOUT_MS, tag });
    }

    /// Sends a request to a worker, to which no budget applies.
    pub fn send_to_worker(&mut self, net: &mut Net, pending: PendingCall, request: WorkerRequest) {
        let WorkerRequest { addr: destination, method, path, body, timeout_ms } = request;
        let tag = self.pending.add(pending);
        net.call(&Call { destination, method, path: path.into(), body, timeout_ms, tag });
    }
}
