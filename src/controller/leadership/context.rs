//! What a leader works with.

use crate::{
    controller::{
        election_driver::ElectionDriver,
        job_watch::JobWatch,
        service_client::{CloudRequest, LeaderCall, PendingCall, ServiceClient, StoreRequest, WorkerRequest},
    },
    coordination::{lease_renewal::TimeSpan, model::Term},
    protocol::names::Interners,
    transport::Net,
};

/// The components that a leader works with.
pub struct LeaderContext<'a> {
    /// The sockets.
    pub net: &'a mut Net,
    /// Requests to the outside services, and their budgets.
    pub client: &'a mut ServiceClient,
    /// Tells whether this controller still leads.
    pub election: &'a mut ElectionDriver,
    /// The jobs' records.
    pub jobs: &'a mut JobWatch,
    /// Interned names.
    pub names: &'a mut Interners,
}

impl LeaderContext<'_> {
    /// Sends a request to the key-value store under a term.
    pub(super) fn send_to_store(&mut self, term: Term, call: LeaderCall, request: StoreRequest) {
        self.client.send_to_store(self.net, PendingCall::Leader { term, call }, request);
    }

    /// Sends a request to the cloud under a term.
    pub(super) fn send_to_cloud(&mut self, term: Term, call: LeaderCall, request: CloudRequest) {
        self.client.send_to_cloud(self.net, PendingCall::Leader { term, call }, request);
    }

    /// Sends a request to a worker under a term.
    pub(super) fn send_to_worker(&mut self, term: Term, call: LeaderCall, request: WorkerRequest) {
        self.client.send_to_worker(self.net, PendingCall::Leader { term, call }, request);
    }
}

/// What a leader must know of the other controllers.
#[derive(Debug, Clone, Copy)]
pub struct PeerView {
    /// All controllers are known to run this version.
    pub all_upgraded: bool,
    /// Workers reach other controllers.
    pub have_worker_contact: bool,
    /// The time in which no controller renewed a lease without leading.
    pub no_renewals: TimeSpan,
}
