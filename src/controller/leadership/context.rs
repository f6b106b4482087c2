//! The components of the controller that a leader uses.

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

/// Mutable access to the components of the controller that a leader uses.
pub struct LeaderContext<'a> {
    /// All sockets of the process.
    pub net: &'a mut Net,
    /// Client of the external services, with the request budgets.
    pub client: &'a mut ServiceClient,
    /// The election, which determines whether this controller still leads.
    pub election: &'a mut ElectionDriver,
    /// The watch on the job records, with the job cache.
    pub jobs: &'a mut JobWatch,
    /// Interned names of teams, job classes, zones, machine types and images.
    pub names: &'a mut Interners,
}

impl LeaderContext<'_> {
    /// Sends a request of the leader of `term` to the key-value store.
    pub(super) fn send_to_store(&mut self, term: Term, call: LeaderCall, request: StoreRequest) {
        self.client.send_to_store(self.net, PendingCall::Leader { term, call }, request);
    }

    /// Sends a request of the leader of `term` to the cloud.
    pub(super) fn send_to_cloud(&mut self, term: Term, call: LeaderCall, request: CloudRequest) {
        self.client.send_to_cloud(self.net, PendingCall::Leader { term, call }, request);
    }

    /// Sends a request of the leader of `term` to a worker.
    pub(super) fn send_to_worker(&mut self, term: Term, call: LeaderCall, request: WorkerRequest) {
        self.client.send_to_worker(self.net, PendingCall::Leader { term, call }, request);
    }
}

/// The state of the other controllers, as far as a leader needs it.
#[derive(Debug, Clone, Copy)]
pub struct PeerView {
    /// Whether all controllers are known to run this version.
    pub all_upgraded: bool,
    /// Whether workers reach other controllers.
    pub have_worker_contact: bool,
    /// The time span in which no worker lease was renewed by another controller, or by
    /// this one while it did not lead.
    pub no_renewals: TimeSpan,
}
