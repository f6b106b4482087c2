//! Carries out the decisions of the leader election as requests to the key-value store.

use super::{
    identity::Identity,
    service_client::{
        applied_revision, renewal_outcome, status, store_lease_id, CallResult, ElectionCall, PendingCall,
        ServiceClient, StoreRequest, STORE_TIMEOUT_MS,
    },
};
use crate::{
    coordination::{
        election::Election,
        ephemeral_key::Action,
        model::{Millis, Term},
    },
    protocol::ids::Revision,
    storage::records::{self, LeaderRecord},
    transport::{http::status::BAD_REQUEST, Net},
};

/// Driver of the leader election: sends the requests that [`Election`] decides on, and
/// passes their results back to it.
#[derive(Debug)]
pub struct ElectionDriver {
    election: Election,
}

impl ElectionDriver {
    /// Creates the driver of a controller that has not read the leader's key yet.
    /// `leader_ttl_ms` is the time to live of the leader's store lease, in ms.
    pub fn new(identity: &Identity, leader_ttl_ms: u64) -> ElectionDriver {
        ElectionDriver { election: Election::new(&identity.label, identity.nonce, leader_ttl_ms) }
    }

    /// Sends the next request if one is due.
    pub fn tick(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if let Some(action) = self.election.tick(now) {
            self.perform(net, client, &action);
        }
    }

    /// Resigns from leadership, if this controller leads, so that another controller can
    /// be elected.
    pub fn step_down(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if let Some(store_lease) = self.election.step_down(now) {
            client.budgets().charge_read(net.now());
            let request = StoreRequest::delete_store_lease(store_lease, STORE_TIMEOUT_MS);
            client.send_to_store(net, PendingCall::Election(ElectionCall::DeleteStoreLease), request);
        }
    }

    fn perform(&self, net: &mut Net, client: &mut ServiceClient, action: &Action) {
        let now = net.now();
        client.budgets().charge_read(now);
        match *action {
            Action::RequestStoreLease => {
                let request = StoreRequest::create_store_lease(self.election.ttl_ms(), STORE_TIMEOUT_MS);
                client.send_to_store(net, PendingCall::Election(ElectionCall::CreateStoreLease), request);
            }
            Action::RenewStoreLease(store_lease) => {
                let request = StoreRequest::renew_store_lease(store_lease, self.election.renewal_timeout_ms());
                client.send_to_store(net, PendingCall::Election(ElectionCall::RenewStoreLease), request);
            }
            Action::WriteKey { store_lease, expected_revision } => {
                let record = self.election.record(store_lease);
                let request = StoreRequest::write_leased_key(
                    records::LEADER_KEY.into(),
                    &record,
                    store_lease,
                    expected_revision,
                    STORE_TIMEOUT_MS,
                );
                client.budgets().charge_commits(now, 1);
                client.send_to_store(net, PendingCall::Election(ElectionCall::ClaimKey), request);
            }
        }
    }

    /// Handles the result of a request of the election.
    pub fn handle_reply(&mut self, now: Millis, call: &ElectionCall, result: &CallResult) {
        match call {
            ElectionCall::CreateStoreLease => self.election.handle_store_lease_response(now, store_lease_id(result)),
            ElectionCall::RenewStoreLease => self.election.handle_renewal_outcome(now, renewal_outcome(result)),
            ElectionCall::ClaimKey => self.handle_claim_result(now, result),
            ElectionCall::DeleteStoreLease => {}
        }
    }

    fn handle_claim_result(&mut self, now: Millis, result: &CallResult) {
        // This status means that the store lease no longer exists.
        if status(result) == BAD_REQUEST {
            self.election.handle_store_lease_expiry();
        }
        self.election.handle_claim_result(now, applied_revision(result));
    }

    /// Records the state of the leader's key. `record` is `None` if the key doesn't
    /// exist. `revision` is the revision of the record or of its removal; if a listing
    /// shows no such key, it is the revision of the store at the listing.
    pub fn observe_key(&mut self, now: Millis, record: Option<LeaderRecord>, revision: Revision) {
        self.election.observe_key(now, record, revision);
    }

    /// Returns the term of this controller's leadership, if it has the authority to act
    /// at this moment.
    pub fn leading_term(&self, now: Millis) -> Option<Term> {
        self.election.leading_term(now)
    }

    /// Returns the term of this controller's leadership, whether or not it has the
    /// authority to act at this moment: its store lease may have expired.
    pub fn held_term(&self) -> Option<Term> {
        self.election.held_term()
    }

    /// Returns the label of the controller that the leader's key names; `None` if the key
    /// is unknown or doesn't exist.
    pub fn leader(&self) -> Option<&str> {
        self.election.leader()
    }
}

#[cfg(test)]
#[path = "tests/election_driver.rs"]
mod tests;
