//! The watch of the leader's key and the renewal keys.

use super::{
    election_driver::ElectionDriver,
    peers::Peers,
    poll_schedule::PollSchedule,
    renewal_key::RenewalKey,
    service_client::{
        body, status, CallResult, LeaderKeyCall, PendingCall, ServiceClient, StoreRequest, WATCH_GRACE_MS,
    },
};
use crate::{
    coordination::model::Millis,
    protocol::{
        ids::Revision,
        store::{Change, Changes, Page},
    },
    storage::{
        rate_limit::Urgency,
        records::{self, LeaderRecord},
    },
    transport::{http::status::GONE, Net},
};

/// How long a watch of the keys waits for a change, in ms. Its regular completion also
/// shows that the key-value store works.
const WATCH_MS: u64 = 3_000;
/// Timeout, in ms, of the listing of the keys.
const LIST_TIMEOUT_MS: u64 = 2_000;
/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 250;

/// The components that act on the keys.
pub struct KeyObservers<'a> {
    pub election: &'a mut ElectionDriver,
    pub renewal_key: &'a mut RenewalKey,
    pub peers: &'a mut Peers,
}

impl KeyObservers<'_> {
    /// Passes a listing of all keys on to the components.
    fn observe_listing(&mut self, now: Millis, page: &Page) {
        let find = |key: &str| page.pairs.iter().find(|pair| pair.key == key);

        let leader = find(records::LEADER_KEY);
        let record = leader.and_then(|pair| pair.value.deserialized::<LeaderRecord>().ok());
        self.election.observe_key(now, record, leader.map_or(page.store_revision, |pair| pair.revision));

        let own = find(&self.renewal_key.key());
        let key_revision = own.map_or(Revision::ABSENT, |pair| pair.revision);
        self.renewal_key.observe_key(own.map(|pair| &pair.value), key_revision, page.store_revision);

        self.peers.observe_renewal_keys(now, |label| find(&records::renewal_key(label)).is_some());
    }

    /// Passes the write or removal of one key on to the components.
    fn observe_change(&mut self, now: Millis, change: &Change) {
        if change.write.as_deref() == Some(records::LEADER_KEY) {
            let record = change.value.as_ref().and_then(|value| value.deserialized::<LeaderRecord>().ok());
            self.election.observe_key(now, record, change.revision);
        } else if change.drop.as_deref() == Some(records::LEADER_KEY) {
            self.election.observe_key(now, None, change.revision);
        } else {
            self.observe_renewal_key_change(now, change);
        }
    }

    fn observe_renewal_key_change(&mut self, now: Millis, change: &Change) {
        let Some(key) = change.write.as_ref().or(change.drop.as_ref()) else { return };
        let exists = change.write.is_some();
        if *key == self.renewal_key.key() {
            let key_revision = if exists { change.revision } else { Revision::ABSENT };
            self.renewal_key.observe_key(change.value.as_ref(), key_revision, change.revision);
        } else {
            self.peers.observe_renewal_key(now, exists, |label| *key == records::renewal_key(label));
        }
    }
}

/// The state of the watch: whether the keys were listed, and up to which revision their
/// changes were read.
#[derive(Debug, Default)]
pub struct LeaderKeyWatch {
    schedule: PollSchedule,
    /// Whether all keys were listed; after that only changes are read.
    listed: bool,
    /// Revision of the store up to which changes were read.
    store_revision: Revision,
}

impl LeaderKeyWatch {
    /// Sends a listing or a watch of the keys, unless one is in flight, a pause after a
    /// failure is running, or the read budget is used up.
    pub fn refresh(&mut self, net: &mut Net, now: Millis, client: &mut ServiceClient) {
        if !self.schedule.is_due(now) {
            return;
        }
        let urgency = if self.listed { Urgency::Cancel } else { Urgency::Commit };
        if !client.budgets().take_read(now, urgency) {
            return;
        }
        self.schedule.begin();
        if self.listed {
            let timeout_ms = WATCH_MS + WATCH_GRACE_MS;
            let request = StoreRequest::read_changes(records::LEADER_KEY, self.store_revision, WATCH_MS, timeout_ms);
            client.send_to_store(net, PendingCall::LeaderKey(LeaderKeyCall::Watch { sent_at: now }), request);
        } else {
            let request = StoreRequest::read_page(records::LEADER_KEY, None, LIST_TIMEOUT_MS);
            client.send_to_store(net, PendingCall::LeaderKey(LeaderKeyCall::Listing), request);
        }
    }

    /// Handles the result of a request for the keys, and passes the observed state of the
    /// keys on to `observers`.
    pub fn handle_reply(
        &mut self,
        now: Millis,
        call: &LeaderKeyCall,
        result: &CallResult,
        observers: &mut KeyObservers,
    ) {
        match *call {
            LeaderKeyCall::Listing => self.listing_received(now, result, observers),
            LeaderKeyCall::Watch { sent_at } => self.watch_ended(now, sent_at, result, observers),
        }
    }

    fn listing_received(&mut self, now: Millis, result: &CallResult, observers: &mut KeyObservers) {
        let Some(page) = body::<Page>(result) else {
            self.schedule.end_and_wait_until(now + RETRY_MS);
            return;
        };
        self.schedule.end();
        self.listed = true;
        self.store_revision = page.store_revision;
        observers.observe_listing(now, &page);
    }

    fn watch_ended(&mut self, now: Millis, sent_at: Millis, result: &CallResult, observers: &mut KeyObservers) {
        let Some(changes) = body::<Changes>(result) else {
            if status(result) == GONE {
                self.listed = false;
            }
            self.schedule.end_and_wait_until(now + RETRY_MS);
            return;
        };
        self.schedule.end();
        for change in &changes.events {
            observers.observe_change(now, change);
        }
        observers.peers.record_inactive_without_key(sent_at);
        self.store_revision = self.store_revision.max(changes.store_revision);
    }
}

#[cfg(test)]
#[path = "tests/leader_key_watch.rs"]
mod tests;
