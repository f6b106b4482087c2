//! Carries out what the election decides, as requests to the key-value store.

use super::{
    identity::Identity,
    service_client::{
        applied_revision, grant_id, grant_renewed, status, CallResult, ElectionCall, PendingCall, ServiceClient,
        StoreRequest, STORE_TIMEOUT_MS,
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

/// This controller's part in the election, and its grant for the leader's key.
#[derive(Debug)]
pub struct ElectionDriver {
    election: Election,
}

impl ElectionDriver {
    /// A controller that has not read the leader's key yet.
    pub fn new(identity: &Identity, leader_ttl_ms: u64) -> ElectionDriver {
        ElectionDriver { election: Election::new(&identity.label, identity.nonce, leader_ttl_ms) }
    }

    /// Sends the next request if one is due.
    pub fn tick(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if let Some(action) = self.election.tick(now) {
            self.perform(net, client, &action);
        }
    }

    /// Gives up leading, if this controller does, so that another can be elected.
    pub fn step_down(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if let Some(grant) = self.election.step_down(now) {
            client.budgets().charge_read(net.now());
            let request = StoreRequest::delete_grant(grant, STORE_TIMEOUT_MS);
            client.send_to_store(net, PendingCall::Election(ElectionCall::DeleteGrant), request);
        }
    }

    fn perform(&self, net: &mut Net, client: &mut ServiceClient, action: &Action) {
        let now = net.now();
        client.budgets().charge_read(now);
        match *action {
            Action::RequestGrant => {
                let request = StoreRequest::create_grant(self.election.ttl_ms(), STORE_TIMEOUT_MS);
                client.send_to_store(net, PendingCall::Election(ElectionCall::CreateGrant), request);
            }
            Action::RenewGrant(grant) => {
                let request = StoreRequest::renew_grant(grant, self.election.renewal_timeout_ms());
                client.send_to_store(net, PendingCall::Election(ElectionCall::RenewGrant), request);
            }
            Action::WriteKey { grant, expected_revision } => {
                let record = self.election.record(grant);
                let request = StoreRequest::write_granted_key(
                    records::LEADER_KEY.into(),
                    &record,
                    grant,
                    expected_revision,
                    STORE_TIMEOUT_MS,
                );
                client.budgets().charge_commits(now, 1);
                client.send_to_store(net, PendingCall::Election(ElectionCall::ClaimKey), request);
            }
        }
    }

    /// A request of the election ended.
    pub fn handle_reply(&mut self, now: Millis, call: &ElectionCall, result: &CallResult) {
        match call {
            ElectionCall::CreateGrant => self.election.granted(now, grant_id(result)),
            ElectionCall::RenewGrant => self.election.renewed(now, grant_renewed(result)),
            ElectionCall::ClaimKey => self.claimed(now, result),
            ElectionCall::DeleteGrant => {}
        }
    }

    fn claimed(&mut self, now: Millis, result: &CallResult) {
        // The store knows no such grant any more.
        if status(result) == BAD_REQUEST {
            self.election.grant_lost();
        }
        self.election.claimed(now, applied_revision(result));
    }

    /// The leader's key was seen. `record`: None: it doesn't exist. `revision`: of
    /// the record, or of its removal.
    pub fn observe_key(&mut self, now: Millis, record: Option<LeaderRecord>, revision: Revision) {
        self.election.observe_key(now, record, revision);
    }

    /// Term of this controller's leadership, if it may act at this moment.
    pub fn leading(&self, now: Millis) -> Option<Term> {
        self.election.leading(now)
    }

    /// Term of this controller's leadership, even if it may not act just now.
    pub fn held_term(&self) -> Option<Term> {
        self.election.held_term()
    }

    /// The label of the controller that the leader's key names.
    pub fn leader(&self) -> Option<&str> {
        self.election.leader()
    }
}

#[cfg(test)]
#[path = "tests/election_driver.rs"]
mod tests;
