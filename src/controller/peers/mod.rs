//! The other controllers: the state that their gossip reports, and the gossip to them.

mod outgoing;
mod peer;

use self::{
    outgoing::OutgoingGossip,
    peer::{InactiveSpan, Peer},
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

/// For how long, in ms, the usage in a peer's last frame is valid. After that the peer
/// is assumed to use its whole share of the budgets.
const PEER_USAGE_VALID_MS: Millis = 2_000;
/// For how long, in ms, a peer's report that it leads is valid.
const LEADER_STATUS_VALID_MS: Millis = 1_500;
/// A peer is reachable if a frame from it was received within this time, in ms.
const PEER_REACHABLE_MS: Millis = 2_500;
/// A failure of the key-value store is local to this controller if the store responded to a
/// peer more than this long, in ms, after the failure began here.
const LATER_STORE_RESPONSE_MS: Millis = 1_500;
/// For how long, in ms, a peer's count of rejected heartbeats is valid.
const REJECTION_COUNT_VALID_MS: Millis = 2_000;
/// If a peer recently rejected at least this many heartbeats, workers can reach that peer.
const MIN_REJECTED_HEARTBEATS: u32 = 2;

/// The current state of this controller, as sent in a gossip frame.
#[derive(Debug)]
pub struct LocalState {
    /// Time since the last response of the key-value store, in ms.
    pub store_age_ms: Millis,
    /// Whether this controller leads.
    pub leading: bool,
    /// This controller's usage of the key-value store's limits, in operations per second.
    pub usage: Usage,
    /// Time since this controller last renewed a worker lease without leading, in ms.
    pub since_leaderless_renewal_ms: Millis,
    /// From the leader: task counts of jobs that changed recently.
    pub counts: Vec<TaskCounts>,
}

/// The state of all other controllers.
#[derive(Debug)]
pub struct Peers {
    identity: Identity,
    /// The peers in the order of the settings.
    peers: Vec<Peer>,
    /// For which time each peer is known to have renewed no worker lease.
    inactivity: PeerInactivity,
    outgoing: OutgoingGossip,
}

impl Peers {
    /// Creates the state of peers from which no frame was received yet, and adds a link
    /// to each.
    pub fn new(identity: Identity, peer_settings: &[PeerSettings], net: &mut Net) -> Peers {
        let peers =
            peer_settings.iter().map(|peer| Peer::new(peer, &identity.zone, net.add_link(peer.endpoint))).collect();
        Peers {
            identity,
            peers,
            inactivity: PeerInactivity::new(peer_settings.len()),
            outgoing: OutgoingGossip::default(),
        }
    }

    /// Returns the number of controllers, including this one.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Reports whether a peer has this label.
    pub fn contains(&self, label: &str) -> bool {
        self.find(label).is_some()
    }

    fn find(&self, label: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.label == label)
    }

    /// Applies a peer's gossip. Returns the task counts that it reports; none if the frame
    /// is not newer than those received before, or if its sender is not a peer.
    pub fn receive_gossip(&mut self, now: Millis, gossip: Gossip) -> Vec<TaskCounts> {
        let Some(index) = self.peers.iter().position(|peer| peer.label == gossip.from) else { return Vec::new() };
        if !self.peers[index].update(now, &gossip) {
            return Vec::new();
        }
        if let Some(inactive) = InactiveSpan::from_gossip(&gossip, &self.identity, now) {
            self.inactivity.record_inactive(index, inactive.from, inactive.to);
        }
        gossip.counts
    }

    /// Sends gossip and repeats the recent cancellations, if gossip is due. Returns
    /// whether it was due; `local_state` is called only then.
    pub fn gossip_if_due(&mut self, net: &mut Net, now: Millis, local_state: impl FnOnce() -> LocalState) -> bool {
        if !self.outgoing.take_due(now) {
            return false;
        }
        let gossip = self.gossip(now, local_state());
        let bytes = frames::encode(&Frame::Gossip(gossip));
        for peer in &self.peers {
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
            rejected_heartbeats: self.outgoing.recent_rejection_count(now),
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

    /// Returns an echo of the last clock of each peer, and the marker of the frame types
    /// that this version reads.
    fn echoes(&self) -> Vec<ClockEcho> {
        self.peers.iter().filter_map(Peer::echo).chain([Gossip::supported_frames_marker()]).collect()
    }

    /// Notifies peers immediately of a cancellation that is being confirmed to a user.
    ///
    /// Another controller may be the one that responds to workers, and it must not launch
    /// tasks of the job after the user received the response that the job is cancelled.
    /// The time for which responses to workers may rely on an old read of the jobs'
    /// records is limited even without this notice, but that limit takes effect later.
    pub fn announce_cancellation(&mut self, net: &mut Net, now: Millis, cancelled: Cancelled) {
        self.outgoing.record_cancellation(now, cancelled.clone());
        self.send_notice(net, vec![cancelled]);
    }

    fn send_notice(&self, net: &mut Net, cancelled: Vec<Cancelled>) {
        let notice = Notice { from: self.identity.label.clone(), cancelled };
        let bytes = frames::encode(&Frame::Notice(notice));
        for peer in self.peers.iter().filter(|peer| peer.reads_notices) {
            net.send_frame(peer.link, &bytes);
        }
    }

    /// Records that this controller rejected a worker's heartbeat.
    pub fn record_rejected_heartbeat(&mut self, now: Millis) {
        self.outgoing.record_rejected_heartbeat(now);
    }

    /// Reports whether the peer with this label recently advertised that it leads.
    pub fn advertises_leadership(&self, now: Millis, label: &str) -> bool {
        self.find(label).is_some_and(|peer| peer.leading && peer.frame_received_within(now, LEADER_STATUS_VALID_MS))
    }

    /// Reports whether a failure of the key-value store, which has lasted for
    /// `failing_ms`, is local to this controller: no peer is reachable, or the store
    /// responded to a reachable peer meanwhile. False if there are no peers.
    pub fn is_store_failure_local(&self, now: Millis, failing_ms: Millis) -> bool {
        let mut reachable =
            self.peers.iter().filter(|peer| peer.frame_received_within(now, PEER_REACHABLE_MS)).peekable();
        if reachable.peek().is_none() {
            return !self.peers.is_empty();
        }
        reachable.any(|peer| peer.store_age_ms + LATER_STORE_RESPONSE_MS < failing_ms)
    }

    /// Reports whether workers reach any peer: a peer recently rejected several of their
    /// heartbeats.
    pub fn have_worker_contact(&self, now: Millis) -> bool {
        self.peers.iter().any(|peer| {
            peer.frame_received_within(now, REJECTION_COUNT_VALID_MS)
                && peer.rejected_heartbeats >= MIN_REJECTED_HEARTBEATS
        })
    }

    /// Returns the usage of the key-value store's limits by each peer; `None` if no frame
    /// was received from the peer recently.
    pub fn recent_usage(&self, now: Millis) -> Vec<Option<Usage>> {
        self.peers
            .iter()
            .map(|peer| peer.frame_received_within(now, PEER_USAGE_VALID_MS).then_some(peer.usage))
            .collect()
    }

    /// Returns the contact with each peer, as input to the decision whether leases may be
    /// renewed without a leader.
    pub fn contacts(&self) -> Vec<PeerContact> {
        self.peers.iter().map(Peer::contact).collect()
    }

    /// Records a listing of the renewal keys. `has_key` returns for a peer's label whether
    /// its key exists.
    pub fn observe_renewal_keys(&mut self, now: Millis, has_key: impl Fn(&str) -> bool) {
        for peer in &mut self.peers {
            peer.renewal_key_absent_since = (!has_key(&peer.label)).then_some(now);
        }
    }

    /// Records that a renewal key was written (`exists`) or removed. It belongs to the
    /// first peer for whose label `owns_key` returns true.
    pub fn observe_renewal_key(&mut self, now: Millis, exists: bool, owns_key: impl Fn(&str) -> bool) {
        if let Some(peer) = self.peers.iter_mut().find(|peer| owns_key(&peer.label)) {
            peer.renewal_key_absent_since = (!exists).then_some(now);
        }
    }

    /// Records the completion of a watch of the renewal keys that was sent at `sent_at`: a
    /// peer without a key can't have renewed a lease between the time from which its key
    /// was known to be absent and `sent_at`.
    pub fn record_inactive_without_key(&mut self, sent_at: Millis) {
        for (index, peer) in self.peers.iter().enumerate() {
            if let Some(since) = peer.renewal_key_absent_since {
                self.inactivity.record_inactive(index, since as i64, sent_at as i64);
            }
        }
    }

    /// Returns the time in which no peer renewed a worker lease.
    pub fn inactive_span(&self) -> TimeSpan {
        self.inactivity.span()
    }
}

#[cfg(test)]
#[path = "../tests/peers.rs"]
mod tests;
