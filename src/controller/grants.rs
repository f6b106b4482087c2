//! The grants of this controller in the state service: one for the leader's key,
//! one for its renewal key. Decisions are made in `coordination`; here they
//! become requests.

use super::{
    calls::{Pending, StateCall, STATE_TIMEOUT_MS},
    wiring::Controller,
};
use crate::{
    coordination::{ephemeral_key::Action, model::Millis},
    protocol::{
        cbor,
        ids::{GrantId, Revision},
        store::{Condition, GrantRequest, Op, Txn},
    },
    storage::{
        budget::Urgency,
        records::{self, LeaderRecord},
    },
    transport::Net,
};

fn request_grant(ttl_ms: u64) -> StateCall {
    StateCall::post("/grants".into(), cbor::encode(&GrantRequest { ttl_ms }), STATE_TIMEOUT_MS)
}

fn renew_grant(grant: GrantId, timeout_ms: u64) -> StateCall {
    StateCall::post(format!("/grants/{grant}/renew"), Vec::new(), timeout_ms)
}

/// Writes a key that is attached to a grant, if its revision is as expected.
fn write_key(key: String, record: &LeaderRecord, grant: GrantId, expected_revision: Revision) -> StateCall {
    let transaction = Txn {
        conditions: vec![Condition { key: key.clone(), revision: expected_revision }],
        writes: vec![Op::Put { key, v: records::to_value(record), permit: Some(grant) }],
    };
    StateCall::transaction(&transaction, STATE_TIMEOUT_MS)
}

impl Controller {
    /// Carries out what the election decided.
    pub(super) fn perform_election_action(&mut self, net: &mut Net, action: Action) {
        let now = net.now();
        let _ = self.budgets.reads.take(now, 1.0, Urgency::Lease);
        match action {
            Action::RequestGrant => {
                let call = request_grant(self.election.ttl_ms());
                self.ask_state(net, Pending::LeaderGrant, call);
            }
            Action::RenewGrant(grant) => {
                let call = renew_grant(grant, self.election.patience_ms());
                self.ask_state(net, Pending::LeaderGrantRenewal, call);
            }
            Action::WriteKey { grant, expected_revision } => {
                let call = write_key(records::LEADER.into(), &self.election.record(grant), grant, expected_revision);
                let _ = self.budgets.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::LeaderClaim, call);
            }
        }
    }

    /// Carries out what the right to renew leases needs.
    pub(super) fn perform_renewal_action(&mut self, net: &mut Net, action: Action) {
        let now = net.now();
        let _ = self.budgets.reads.take(now, 1.0, Urgency::Lease);
        match action {
            Action::RequestGrant => {
                let call = request_grant(self.renewal_right.ttl_ms());
                self.ask_state(net, Pending::RenewalKeyGrant, call);
            }
            Action::RenewGrant(grant) => {
                let call = renew_grant(grant, STATE_TIMEOUT_MS);
                self.ask_state(net, Pending::RenewalKeyGrantRenewal, call);
            }
            Action::WriteKey { grant, expected_revision } => {
                let nonce = self.renewal_right.key_nonce(self.nonce).unwrap_or(self.nonce);
                let record = LeaderRecord { label: self.settings.label.clone(), nonce };
                let call = write_key(records::renewal_key(&self.settings.label), &record, grant, expected_revision);
                let _ = self.budgets.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::RenewalKeyClaim, call);
            }
        }
    }

    /// Gives up leading, if this controller does, so that another can be elected.
    pub(super) fn step_down(&mut self, net: &mut Net, now: Millis) {
        if let Some(grant) = self.election.step_down(now) {
            let _ = self.budgets.reads.take(net.now(), 1.0, Urgency::Lease);
            let call = StateCall::delete(format!("/grants/{grant}"), STATE_TIMEOUT_MS);
            self.ask_state(net, Pending::LeaderStepDown, call);
        }
        self.leader = None;
    }
}
