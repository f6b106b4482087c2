//! The leader's key and the renewal keys, which every controller watches.

use ciborium::Value;

use super::{
    calls::{Pending, StateCall, WATCH_GRACE_MS},
    poll_loop::PollLoop,
    replies::{body, status},
    wiring::Controller,
};
use crate::{
    coordination::model::Millis,
    protocol::{
        ids::Revision,
        store::{Change, Changes, Page},
    },
    storage::{
        budget::Urgency,
        records::{self, LeaderRecord},
    },
    transport::{http::status::GONE, CallError, Net, Reply},
};

/// How long a watch of the keys waits for a change, in ms. Its regular end also
/// shows that the state service works.
const WATCH_MS: u64 = 3_000;
/// Timeout, in ms, of the listing of the keys.
const LIST_TIMEOUT_MS: u64 = 2_000;
/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 250;

/// How far the keys are known.
#[derive(Debug, Default)]
pub(super) struct LeaderKeyFeed {
    poll: PollLoop,
    /// All keys were listed; since then only changes are read.
    listed: bool,
    /// Revision up to which changes were read.
    store_revision: Revision,
}

impl Controller {
    /// Keeps a listing or a watch of the keys going.
    pub(super) fn refresh_leader_key(&mut self, net: &mut Net, now: Millis) {
        if !self.leader_key.poll.due(now) {
            return;
        }
        let urgency = if self.leader_key.listed { Urgency::Cancel } else { Urgency::Commit };
        if self.budgets.reads.take(now, 1.0, urgency).is_err() {
            return;
        }
        self.leader_key.poll.in_flight = true;
        if self.leader_key.listed {
            let store_revision = self.leader_key.store_revision;
            let path = format!("/changes?under={}&from={store_revision}&waitMs={WATCH_MS}", records::LEADER);
            let call = StateCall::read(path, WATCH_MS + WATCH_GRACE_MS);
            self.ask_state(net, Pending::LeaderKeyWatch { sent: now }, call);
        } else {
            let path = format!("/store?under={}&most=1000", records::LEADER);
            self.ask_state(net, Pending::LeaderKeyPage, StateCall::read(path, LIST_TIMEOUT_MS));
        }
    }

    /// The listing of the keys came.
    pub(super) fn leader_page(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        self.leader_key.poll.in_flight = false;
        let Some(page) = body::<Page>(result) else {
            self.leader_key.poll.after = now + RETRY_MS;
            return;
        };
        self.leader_key.listed = true;
        self.leader_key.store_revision = page.store_revision;
        let find = |key: &str| page.pairs.iter().find(|pair| pair.key == key);

        let leader = find(records::LEADER);
        let record = leader.and_then(|pair| pair.v.deserialized::<LeaderRecord>().ok());
        self.election.saw_key(now, record, leader.map_or(page.store_revision, |pair| pair.revision));

        let own = find(&records::renewal_key(&self.settings.label));
        let is_ours = own.is_some_and(|pair| self.is_own_renewal_key(&pair.v));
        self.renewal_right.saw_key(own.map_or(Revision::ABSENT, |pair| pair.revision), page.store_revision, is_ours);

        for peer in &mut self.peers.list {
            let has_key = find(&records::renewal_key(&peer.label)).is_some();
            peer.without_key_since = (!has_key).then_some(now);
        }
    }

    /// The watch of the keys ended.
    pub(super) fn leader_changes(&mut self, now: Millis, sent: Millis, result: &Result<Reply, CallError>) {
        self.leader_key.poll.in_flight = false;
        let Some(changes) = body::<Changes>(result) else {
            if status(result) == GONE {
                self.leader_key.listed = false;
            }
            self.leader_key.poll.after = now + RETRY_MS;
            return;
        };
        for change in &changes.events {
            self.apply_key_change(now, change);
        }
        self.peers.record_inactive_without_key(sent);
        self.leader_key.store_revision = self.leader_key.store_revision.max(changes.store_revision);
    }

    fn apply_key_change(&mut self, now: Millis, change: &Change) {
        if change.write.as_deref() == Some(records::LEADER) {
            let record = change.v.as_ref().and_then(|value| value.deserialized::<LeaderRecord>().ok());
            self.election.saw_key(now, record, change.revision);
        } else if change.drop.as_deref() == Some(records::LEADER) {
            self.election.saw_key(now, None, change.revision);
        } else {
            self.apply_renewal_key_change(now, change);
        }
    }

    /// The key under which a controller may renew leases was written or removed.
    fn apply_renewal_key_change(&mut self, now: Millis, change: &Change) {
        let Some(key) = change.write.as_ref().or(change.drop.as_ref()) else { return };
        let exists = change.write.is_some();
        if *key == records::renewal_key(&self.settings.label) {
            let is_ours = change.v.as_ref().is_some_and(|value| self.is_own_renewal_key(value));
            self.renewal_right.saw_key(
                if exists { change.revision } else { Revision::ABSENT },
                change.revision,
                is_ours,
            );
            return;
        }
        let mut peers = self.peers.list.iter_mut();
        if let Some(peer) = peers.find(|peer| *key == records::renewal_key(&peer.label)) {
            peer.without_key_since = (!exists).then_some(now);
        }
    }

    /// Whether the value of this controller's renewal key belongs to the grant
    /// that it holds.
    fn is_own_renewal_key(&self, value: &Value) -> bool {
        value.deserialized::<LeaderRecord>().is_ok_and(|record| {
            record.label == self.settings.label && Some(record.nonce) == self.renewal_right.key_nonce(self.nonce)
        })
    }
}
