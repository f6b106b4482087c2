//! Support for rolling upgrades: tracks whether every controller is known to run this version.

use super::{
    identity::Identity,
    poll_schedule::PollSchedule,
    service_client::{
        body, status, CallResult, PendingCall, ServiceClient, StoreRequest, VersionCall, SLOW_STORE_TIMEOUT_MS,
    },
};
use crate::{
    coordination::model::Millis,
    protocol::{
        settings::PeerSettings,
        store::{Page, Transaction, WriteOperation},
    },
    storage::{
        rate_limit::Urgency,
        records,
        versions::{version_key, VersionEvidence, VersionRecord, VERSION, VERSION_KEY_PREFIX},
    },
    transport::{http::status::OK, Net},
};

/// Interval, in ms, between reads of the version keys while some are missing.
const POLL_MS: Millis = 1_000;
/// Interval, in ms, between reads of the version keys once none is missing. A key may still
/// be removed: an operator who rolls a controller back removes its key first.
const COMPLETE_POLL_MS: Millis = 10_000;

/// The known versions of the controllers, and the requests that read and write them.
#[derive(Debug)]
pub struct VersionWatch {
    identity: Identity,
    evidence: VersionEvidence,
    /// Whether this controller's own key was written.
    own_key_written: bool,
    write: PollSchedule,
    listing: PollSchedule,
}

impl VersionWatch {
    /// Creates a watch for which no controller is known yet to run this version.
    pub fn new(identity: Identity, peer_settings: &[PeerSettings]) -> VersionWatch {
        let peers = peer_settings.iter().map(|peer| &*peer.label);
        VersionWatch {
            evidence: VersionEvidence::new(peers.chain([&*identity.label])),
            identity,
            own_key_written: false,
            write: PollSchedule::default(),
            listing: PollSchedule::default(),
        }
    }

    /// Reports whether all controllers are known to run this version.
    pub fn is_complete(&self) -> bool {
        self.evidence.is_complete()
    }

    /// Sends the next request if it is due: this controller's key is written once, after
    /// that the keys of all controllers are read repeatedly.
    pub fn refresh(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if self.own_key_written {
            self.read_keys(net, now, client);
        } else {
            self.write_own_key(net, now, client);
        }
    }

    fn write_own_key(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if !self.write.is_due(now) || !client.budgets().take_own_write(now, Urgency::Submit) {
            return;
        }
        self.write.begin();
        let record = VersionRecord { version: VERSION, nonce: self.identity.nonce };
        // The key is attached to no store lease, so that it outlives the process. The write
        // has no condition, because it is allowed to take effect at any later time.
        let key = version_key(&self.identity.label);
        let write = WriteOperation::Put { key, value: records::to_value(&record), store_lease: None };
        let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
        let request = StoreRequest::transaction(&transaction, SLOW_STORE_TIMEOUT_MS);
        client.send_to_store(net, PendingCall::Version(VersionCall::Write), request);
    }

    fn read_keys(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if !self.listing.is_due(now) || !client.budgets().take_read(now, Urgency::Submit) {
            return;
        }
        self.listing.begin();
        let request = StoreRequest::read_page(VERSION_KEY_PREFIX, None, SLOW_STORE_TIMEOUT_MS);
        client.send_to_store(net, PendingCall::Version(VersionCall::Listing), request);
    }

    /// Handles the result of a request for the version keys.
    pub fn handle_reply(&mut self, now: Millis, call: &VersionCall, result: &CallResult) {
        match call {
            VersionCall::Write => {
                self.own_key_written = status(result) == OK;
                self.write.end_and_wait_until(now + POLL_MS);
            }
            VersionCall::Listing => self.listing_received(now, result),
        }
    }

    fn listing_received(&mut self, now: Millis, result: &CallResult) {
        self.listing.end_and_wait_until(now + POLL_MS);
        let Some(page) = body::<Page>(result).filter(|page| !page.truncated) else { return };
        let missing_before = self.evidence.missing_count();
        self.evidence.record_listing(&page);
        if self.evidence.is_complete() {
            self.listing.set_not_before(now + COMPLETE_POLL_MS);
        }
        let missing = self.evidence.missing_count();
        if missing != missing_before {
            tracing::info!(missing, "controllers not known to run this version");
        }
    }
}

#[cfg(test)]
#[path = "tests/version_watch.rs"]
mod tests;
