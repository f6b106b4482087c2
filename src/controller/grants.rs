//! The grants of this controller in the state service: one for the leader's key,
//! one for its renewal key. Decisions are made in `coordination`; here they
//! become requests.

use super::{
    calls::{Pending, StateCall, STATE_TIMEOUT_MS},
    wiring::Controller,
};
use crate::{
    coordination::{election, lease_renewal, model::Millis},
    protocol::{
        cbor,
        ids::Revision,
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

fn renew_grant(permit: u64, timeout_ms: u64) -> StateCall {
    StateCall::post(format!("/grants/{permit}/renew"), Vec::new(), timeout_ms)
}

/// Writes a key that is attached to a grant, if its revision is as expected.
fn write_key(key: String, record: &LeaderRecord, permit: u64, expected_revision: Revision) -> StateCall {
    let transaction = Txn {
        conditions: vec![Condition { key: key.clone(), revision: expected_revision }],
        writes: vec![Op::Put { key, v: records::to_value(record), permit: Some(permit) }],
    };
    StateCall::transaction(&transaction, STATE_TIMEOUT_MS)
}

impl Controller {
    /// Carries out what the election decided.
    pub(super) fn perform_election_action(&mut self, net: &mut Net, action: election::Action) {
        let now = net.now();
        let _ = self.budgets.reads.take(now, 1.0, Urgency::Lease);
        match action {
            election::Action::Grant => {
                let call = request_grant(self.election.ttl_ms());
                self.ask_state(net, Pending::LeaderGrant, call);
            }
            election::Action::Renew(permit) => {
                let call = renew_grant(permit, self.election.patience_ms());
                self.ask_state(net, Pending::LeaderGrantRenewal, call);
            }
            election::Action::Claim { permit, expect } => {
                let call = write_key(records::LEADER.into(), &self.election.record(permit), permit, expect);
                let _ = self.budgets.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::LeaderClaim, call);
            }
            election::Action::StepDown(permit) => {
                let call = StateCall::delete(format!("/grants/{permit}"), STATE_TIMEOUT_MS);
                self.ask_state(net, Pending::LeaderStepDown, call);
            }
        }
    }

    /// Carries out what the right to renew leases needs.
    pub(super) fn perform_renewal_action(&mut self, net: &mut Net, action: lease_renewal::Action) {
        let now = net.now();
        let _ = self.budgets.reads.take(now, 1.0, Urgency::Lease);
        match action {
            lease_renewal::Action::Grant => {
                let call = request_grant(self.renewal_right.ttl_ms());
                self.ask_state(net, Pending::RenewalKeyGrant, call);
            }
            lease_renewal::Action::Renew(permit) => {
                let call = renew_grant(permit, STATE_TIMEOUT_MS);
                self.ask_state(net, Pending::RenewalKeyGrantRenewal, call);
            }
            lease_renewal::Action::Register { permit, expect } => {
                let nonce = self.renewal_right.mark(self.nonce).unwrap_or(self.nonce);
                let record = LeaderRecord { label: self.settings.label.clone(), nonce };
                let call = write_key(records::renewal_key(&self.settings.label), &record, permit, expect);
                let _ = self.budgets.commits.take(now, 1.0, Urgency::Lease);
                self.ask_state(net, Pending::RenewalKeyClaim, call);
            }
        }
    }

    /// Gives up leading, if this controller does, so that another can be elected.
    pub(super) fn step_down(&mut self, net: &mut Net, now: Millis) {
        if let Some(action) = self.election.step_down(now) {
            self.perform_election_action(net, action);
        }
        self.leader = None;
    }
}
