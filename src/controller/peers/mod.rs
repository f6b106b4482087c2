//! The other controllers: what their gossip shows, and the gossip to them.

mod outgoing;
mod peer;

use self::{
    outgoing::OutgoingGossip,
    peer::{Peer, QuietTime},
};
use super::{identity::Identity, service_client::Usage};
use crate::{
    coordination::{
        lease_renewal::{PeerContact, PeerInactivity, TimeSpan},
        model::Millis,
    },
    protocol::{
        peers::{self as frames, Cancelled, ClockEcho, Frame, Gossip, Notice, TaskCounts},
        settings::PeerSettings,
    },
    transport::Net,
};

/// A peer that was not heard for this long, in ms, is assumed to use its whole
/// share of the budgets.
const PEER_SILENT_MS: Millis = 2_000;
/// For how long, in ms, a peer's statement that it leads is believed.
const LEADER_STATEMENT_MS: Millis = 1_500;
/// A peer is in contact when it was heard within this time, in ms.
const PEER_CONTACT_MS: Millis = 2_500;
/// A peer that the key-value store answered this much later, in ms, than it
/// answered us shows that the failure is ours.
const SERVED_LATER_MS: Millis = 1_500;
/// What a peer says of rejected heartbeats counts for this long, in ms.
const PEER_HEARTBEATS_MS: Millis = 2_000;
/// Rejected heartbeats at one peer that show that workers are there.
const MIN_REJECTED_HEARTBEATS: u32 = 2;

/// What a frame of gossip says of the sender's present state.
#[derive(Debug)]
pub struct LocalState {
    /// Milliseconds since the key-value store last answered.
    pub store_age_ms: Millis,
    /// Whether this controller leads.
    pub leading: bool,
    /// What it uses of the key-value store's limits.
    pub usage: Usage,
    /// Milliseconds since it last renewed a worker's lease without leading.
    pub since_leaderless_renewal_ms: Millis,
    /// Task counts of jobs that changed lately, from the leader.
    pub counts: Vec<TaskCounts>,
}

/// All other controllers.
#[derive(Debug)]
pub struct Peers {
    identity: Identity,
    /// In the order of the settings.
    list: Vec<Peer>,
    /// For which time each is known to have renewed no lease.
    inactivity: PeerInactivity,
    outgoing: OutgoingGossip,
}

impl Peers {
    /// Peers that were not heard yet, with a link to each.
    pub fn new(identity: Identity, peer_settings: &[PeerSettings], net: &mut Net) -> Peers {
        let list =
            peer_settings.iter().map(|seed| Peer::new(seed, &identity.zone, net.add_link(seed.endpoint))).collect();
        Peers {
            identity,
            list,
            inactivity: PeerInactivity::new(peer_settings.len()),
            outgoing: OutgoingGossip::default(),
        }
    }

    /// Number of controllers, this one included.
    pub fn controller_count(&self) -> usize {
        self.list.len() + 1
    }

    /// Whether a peer has this label.
    pub fn contains(&self, label: &str) -> bool {
        self.find(label).is_some()
    }

    fn find(&self, label: &str) -> Option<&Peer> {
        self.list.iter().find(|peer| peer.label == label)
    }

    /// Takes a peer's gossip. Returns the task counts that it tells; none if the
    /// frame is old, or of no peer.
    pub fn receive_gossip(&mut self, now: Millis, gossip: Gossip) -> Vec<TaskCounts> {
        let Some(index) = self.list.iter().position(|peer| peer.label == gossip.from) else { return Vec::new() };
        if !self.list[index].update(now, &gossip) {
            return Vec::new();
        }
        if let Some(quiet) = QuietTime::stated_in(&gossip, &self.identity, now) {
            self.inactivity.record_inactive(index, quiet.from, quiet.to);
        }
        gossip.counts
    }

    /// Sends gossip, and repeats the latest cancellations, if it is due. Returns
    /// whether it was. `local_state` is called only then.
    pub fn gossip_if_due(&mut self, net: &mut Net, now: Millis, local_state: impl FnOnce() -> LocalState) -> bool {
        if !self.outgoing.take_due(now) {
            return false;
        }
        let gossip = self.gossip(now, local_state());
        let bytes = frames::encode(&Frame::Gossip(gossip));
        for peer in &self.list {
            net.send_frame(peer.link, &bytes);
        }
        let cancelled = self.outgoing.repeated_cancellations(now);
        if !cancelled.is_empty() {
            self.send_notice(net, cancelled);
        }
        true
    }

    fn gossip(&mut self, now: Millis, state: LocalState) -> Gossip {
        Gossip {
            from: self.identity.label.clone(),
            nonce: self.identity.nonce,
            count: self.outgoing.next_frame_number(),
            state_age_ms: state.store_age_ms,
            rejected_heartbeats: self.outgoing.recently_rejected(now),
            leading: state.leading,
            reads_used: state.usage.reads,
            writes_used: state.usage.writes,
            commits_used: state.usage.commits,
            clock_ms: now,
            echoes: self.echoes(),
            since_leaderless_renewal_ms: state.since_leaderless_renewal_ms,
            counts: state.counts,
        }
    }

    /// The last clock of each peer, and the mark of the frame types read here.
    fn echoes(&self) -> Vec<ClockEcho> {
        self.list.iter().filter_map(Peer::echo).chain([Gossip::supported_frames_marker()]).collect()
    }

    /// Tells peers at once of a cancellation that was confirmed to a user.
    ///
    /// Guard: the controller that serves the workers may be another one, and must
    /// not launch what a user was told is cancelled. The limit on how long answers
    /// may rely on old reads holds without this, but acts later.
    pub fn announce_cancellation(&mut self, net: &mut Net, now: Millis, cancelled: Cancelled) {
        self.outgoing.record_cancellation(now, cancelled.clone());
        self.send_notice(net, vec![cancelled]);
    }

    fn send_notice(&self, net: &mut Net, cancelled: Vec<Cancelled>) {
        let notice = Notice { from: self.identity.label.clone(), cancelled };
        let bytes = frames::encode(&Frame::Notice(notice));
        for peer in self.list.iter().filter(|peer| peer.reads_notices) {
            net.send_frame(peer.link, &bytes);
        }
    }

    /// A worker's heartbeat was rejected here.
    pub fn record_rejected_heartbeat(&mut self, now: Millis) {
        self.outgoing.record_rejected_heartbeat(now);
    }

    /// Whether a peer said a moment ago that it leads.
    pub fn claims_to_lead(&self, now: Millis, label: &str) -> bool {
        self.find(label).is_some_and(|peer| peer.leading && peer.heard_within(now, LEADER_STATEMENT_MS))
    }

    /// Whether the peers show that a failure of the key-value store, which has lasted
    /// for `failing_ms`, is this controller's alone: it is in contact with none of
    /// them, or the store answered one of them meanwhile.
    pub fn show_own_failure(&self, now: Millis, failing_ms: Millis) -> bool {
        let mut in_contact = self.list.iter().filter(|peer| peer.heard_within(now, PEER_CONTACT_MS)).peekable();
        if in_contact.peek().is_none() {
            return !self.list.is_empty();
        }
        in_contact.any(|peer| peer.store_age + SERVED_LATER_MS < failing_ms)
    }

    /// Whether a peer rejects heartbeats, so that workers reach it.
    pub fn are_reached_by_workers(&self, now: Millis) -> bool {
        self.list.iter().any(|peer| {
            peer.heard_within(now, PEER_HEARTBEATS_MS) && peer.rejected_heartbeats >= MIN_REJECTED_HEARTBEATS
        })
    }

    /// What each peer uses of the key-value store's limits; None: it was not heard lately.
    pub fn recent_usage(&self, now: Millis) -> Vec<Option<Usage>> {
        self.list.iter().map(|peer| peer.heard_within(now, PEER_SILENT_MS).then_some(peer.usage)).collect()
    }

    /// What decides whether leases may be renewed without a leader.
    pub fn contacts(&self) -> Vec<PeerContact> {
        self.list.iter().map(Peer::contact).collect()
    }

    /// The renewal keys were listed; `has_key` tells for a peer's label whether its key exists.
    pub fn observe_renewal_keys(&mut self, now: Millis, has_key: impl Fn(&str) -> bool) {
        for peer in &mut self.list {
            peer.without_key_since = (!has_key(&peer.label)).then_some(now);
        }
    }

    /// A renewal key was written or removed: the first peer whose label matches owns it.
    pub fn observe_renewal_key(&mut self, now: Millis, exists: bool, owns_key: impl Fn(&str) -> bool) {
        if let Some(peer) = self.list.iter_mut().find(|peer| owns_key(&peer.label)) {
            peer.without_key_since = (!exists).then_some(now);
        }
    }

    /// A watch sent at `sent` returned: peers that had no renewal key since
    /// before then can't have renewed a lease.
    pub fn record_inactive_without_key(&mut self, sent: Millis) {
        for (index, peer) in self.list.iter().enumerate() {
            if let Some(since) = peer.without_key_since {
                self.inactivity.record_inactive(index, since as i64, sent as i64);
            }
        }
    }

    /// The time in which no peer renewed a lease.
    pub fn inactive_span(&self) -> TimeSpan {
        self.inactivity.span()
    }
}

#[cfg(test)]
#[path = "../tests/peers.rs"]
mod tests;
