//! The renewal key: the key of the key-value store that permits this controller to
//! renew worker leases without leading. `coordination::lease_renewal` makes the
//! decisions; this module sends the requests.

use ciborium::Value;

use super::{
    identity::Identity,
    service_client::{
        applied_revision, renewal_outcome, status, store_lease_id, CallResult, PendingCall, RenewalKeyCall,
        ServiceClient, StoreRequest, STORE_TIMEOUT_MS,
    },
};
use crate::{
    coordination::{
        ephemeral_key::Action,
        lease_renewal::{self, is_shared_partition, PeerContact, RenewalAuthority},
        model::Millis,
    },
    protocol::{ids::Revision, settings::Settings},
    storage::records::{self, LeaderRecord},
    transport::{http::status::BAD_REQUEST, Net},
};

/// This controller's authority to renew worker leases, and the renewal key, which shows
/// the other controllers that it has this authority.
#[derive(Debug)]
pub struct RenewalKey {
    identity: Identity,
    authority: RenewalAuthority,
    /// When this controller last received a heartbeat from a worker of another zone, in
    /// ms; `None`: never.
    last_other_zone_heartbeat: Option<Millis>,
}

impl RenewalKey {
    /// Creates the state of a controller that has read nothing and holds no key.
    pub fn new(identity: Identity, settings: &Settings) -> RenewalKey {
        let workers = &settings.cluster.workers;
        // A single controller can't renew leases without leading: there is no leader but
        // itself.
        let is_single = settings.peer_settings.is_empty();
        let leaderless_window_ms =
            if is_single { 0 } else { lease_renewal::leaderless_window_ms(workers.cancel_s, workers.lease_s) };
        let authority = RenewalAuthority::new(
            lease_renewal::renewal_window_ms(workers.cancel_s, workers.lease_s),
            leaderless_window_ms,
        );
        RenewalKey { identity, authority, last_other_zone_heartbeat: None }
    }

    /// Sends the next request if one is due.
    pub fn tick(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if let Some(action) = self.authority.tick(now) {
            self.perform(net, client, &action);
        }
    }

    fn perform(&self, net: &mut Net, client: &mut ServiceClient, action: &Action) {
        let now = net.now();
        client.budgets().charge_read(now);
        match *action {
            Action::RequestStoreLease => {
                let request = StoreRequest::create_store_lease(self.authority.ttl_ms(), STORE_TIMEOUT_MS);
                client.send_to_store(net, PendingCall::RenewalKey(RenewalKeyCall::CreateStoreLease), request);
            }
            Action::RenewStoreLease(store_lease) => {
                let request = StoreRequest::renew_store_lease(store_lease, STORE_TIMEOUT_MS);
                client.send_to_store(net, PendingCall::RenewalKey(RenewalKeyCall::RenewStoreLease), request);
            }
            Action::WriteKey { store_lease, expected_revision } => {
                let nonce = self.authority.key_nonce(self.identity.nonce).unwrap_or(self.identity.nonce);
                let record = LeaderRecord { label: self.identity.label.clone(), nonce };
                let request = StoreRequest::write_leased_key(
                    self.key(),
                    &record,
                    store_lease,
                    expected_revision,
                    STORE_TIMEOUT_MS,
                );
                client.budgets().charge_commits(now, 1);
                client.send_to_store(net, PendingCall::RenewalKey(RenewalKeyCall::WriteKey), request);
            }
        }
    }

    /// Handles the result of a request for the key.
    pub fn handle_reply(&mut self, now: Millis, call: &RenewalKeyCall, result: &CallResult) {
        match call {
            RenewalKeyCall::CreateStoreLease => self.authority.handle_store_lease_response(now, store_lease_id(result)),
            RenewalKeyCall::RenewStoreLease => self.authority.handle_renewal_outcome(now, renewal_outcome(result)),
            RenewalKeyCall::WriteKey => self.handle_write_result(now, result),
        }
    }

    fn handle_write_result(&mut self, now: Millis, result: &CallResult) {
        // This status means that the store lease no longer exists.
        if status(result) == BAD_REQUEST {
            self.authority.handle_store_lease_expiry();
        }
        self.authority.handle_write_result(now, applied_revision(result));
    }

    /// Returns the name of this controller's renewal key.
    pub fn key(&self) -> String {
        records::renewal_key(&self.identity.label)
    }

    /// Records the state of the key at a revision of the store. `key_revision` is the
    /// revision of its last write, or [`Revision::ABSENT`].
    pub fn observe_key(&mut self, value: Option<&Value>, key_revision: Revision, store_revision: Revision) {
        let is_own = value.is_some_and(|value| self.is_own_record(value));
        self.authority.observe_key(key_revision, store_revision, is_own);
    }

    /// Reports whether this start of the process wrote `value` to its renewal key under
    /// the store lease that it holds now.
    fn is_own_record(&self, value: &Value) -> bool {
        value.deserialized::<LeaderRecord>().is_ok_and(|record| {
            record.label == self.identity.label && Some(record.nonce) == self.authority.key_nonce(self.identity.nonce)
        })
    }

    /// Records that a read of the jobs' records that was sent at `sent_at` was applied.
    pub fn record_job_read(&mut self, sent_at: Millis) {
        self.authority.record_job_read(sent_at);
    }

    /// Returns for how long, in ms, a read of the jobs' records permits the renewal of
    /// worker leases.
    pub fn read_validity_ms(&self) -> Millis {
        self.authority.renewal_window_ms()
    }

    /// Records a heartbeat that a worker of another zone sent to this controller.
    pub fn record_other_zone_heartbeat(&mut self, now: Millis) {
        self.last_other_zone_heartbeat = Some(now);
    }

    /// Reports whether the last read of the jobs' records is recent enough to renew a
    /// worker lease. Without such a read, the leader may not renew worker leases either.
    pub fn may_renew(&self, now: Millis) -> bool {
        self.authority.may_renew(now)
    }

    /// Reports whether worker leases may be renewed although no leader is reachable.
    pub fn may_renew_without_leader(&self, now: Millis, peers: &[PeerContact]) -> bool {
        self.authority.may_renew_without_leader(now)
            && is_shared_partition(now, self.authority.last_store_contact(), peers, self.last_other_zone_heartbeat)
    }

    /// Records that a worker lease is renewed now without leading.
    pub fn record_leaderless_renewal(&mut self, now: Millis) {
        self.authority.record_leaderless_renewal(now);
    }

    /// Returns when a worker lease was last renewed without leading; 0: never.
    pub fn last_leaderless_renewal(&self) -> Millis {
        self.authority.last_leaderless_renewal()
    }
}

#[cfg(test)]
#[path = "tests/renewal_key.rs"]
mod tests;
