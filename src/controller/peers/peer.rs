//! The state of one other controller, from its gossip.

use crate::{
    controller::{identity::Identity, service_client::Usage},
    coordination::{lease_renewal::PeerContact, model::Millis},
    protocol::{
        peers::{ClockEcho, FrameOrder, Gossip},
        settings::PeerSettings,
    },
};

/// Factor that shortens the time since a peer's last leaderless renewal, as the peer
/// reports it, because two monotonic clocks may run at slightly different rates.
const CLOCK_RATE_MARGIN: f64 = 0.999;
/// Longest time since a peer's last leaderless renewal, in ms; a longer reported time is
/// reduced to this. It is more than any uptime, and safe in signed arithmetic.
const MAX_INACTIVE_MS: Millis = 1 << 40;

/// A reading of a peer's clock.
#[derive(Debug)]
struct PeerClock {
    /// Identifies the start of the peer's process.
    nonce: u64,
    /// The peer's monotonic clock, in ms.
    clock_ms: Millis,
}

/// The state of one other controller.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) label: String,
    /// Number of the link to the peer.
    pub(super) link: usize,
    /// Whether the peer runs in this controller's zone.
    same_zone: bool,
    frame_order: FrameOrder,
    /// When its last frame was received, in ms; `None`: no frame was received yet.
    last_received: Option<Millis>,
    /// Age, in ms, of the last response that the peer had received from the key-value
    /// store when it sent its last frame.
    pub(super) store_age_ms: Millis,
    /// Number of workers' heartbeats that it recently rejected.
    pub(super) rejected_heartbeats: u32,
    pub(super) leading: bool,
    pub(super) usage: Usage,
    /// The clock in its last frame; `None`: no frame was received yet.
    clock: Option<PeerClock>,
    /// Since when the peer is known to have no renewal key, in ms; `None`: it may have
    /// one.
    pub(super) renewal_key_absent_since: Option<Millis>,
    /// Whether the peer reads notices of cancellations.
    pub(super) reads_notices: bool,
}

impl Peer {
    /// Creates the state of a peer from which no frame was received yet.
    pub(super) fn new(settings: &PeerSettings, own_zone: &str, link: usize) -> Peer {
        Peer {
            label: settings.label.clone(),
            link,
            same_zone: settings.zone == own_zone,
            frame_order: FrameOrder::default(),
            last_received: None,
            store_age_ms: Millis::MAX,
            rejected_heartbeats: 0,
            leading: false,
            usage: Usage::default(),
            clock: None,
            renewal_key_absent_since: None,
            reads_notices: false,
        }
    }

    /// Reports whether a frame of the peer was received within the last `within_ms`.
    pub(super) fn frame_received_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.last_received.is_some_and(|received| now < received + within_ms)
    }

    /// Applies the state in a frame. Returns false, and ignores the frame, if it is not
    /// newer than all frames that were received before.
    pub(super) fn update(&mut self, now: Millis, gossip: &Gossip) -> bool {
        if !self.frame_order.accept_if_newer(gossip) {
            return false;
        }
        self.last_received = Some(now);
        self.reads_notices = gossip.reads_notices();
        self.clock = Some(PeerClock { nonce: gossip.nonce, clock_ms: gossip.clock_ms });
        self.store_age_ms = gossip.state_age_ms;
        self.rejected_heartbeats = gossip.rejected_heartbeats;
        self.leading = gossip.leading;
        self.usage = Usage { reads: gossip.reads_used, writes: gossip.writes_used, commits: gossip.commits_used };
        true
    }

    /// Returns an echo of the peer's last received clock reading, to be sent back to the
    /// peer; `None` if no frame was received yet.
    pub(super) fn echo(&self) -> Option<ClockEcho> {
        let clock = self.clock.as_ref()?;
        Some(ClockEcho { peer_label: self.label.clone(), nonce: clock.nonce, clock_ms: clock.clock_ms })
    }

    /// Returns when the peer last had contact with this controller and with the key-value
    /// store, as input to the decision whether leases may be renewed without a leader.
    pub(super) fn contact(&self) -> PeerContact {
        PeerContact { same_zone: self.same_zone, last_received: self.last_received, store_age_ms: self.store_age_ms }
    }
}

/// A span of time in which a peer renewed no worker lease, on this controller's
/// monotonic clock in ms.
#[derive(Debug, Clone, Copy)]
pub(super) struct InactiveSpan {
    pub(super) from: i64,
    pub(super) to: i64,
}

impl InactiveSpan {
    /// Returns the span of time in which a peer, according to its frame, renewed no worker
    /// lease; `None` if the frame echoes no clock reading from this start of this
    /// controller's process.
    ///
    /// A frame may have been delayed by any time, so the span doesn't extend to when the
    /// frame arrived. It ends at the echoed clock reading, which the peer had received
    /// before it sent the frame.
    pub(super) fn from_gossip(gossip: &Gossip, identity: &Identity, now: Millis) -> Option<InactiveSpan> {
        let is_own = |echo: &&ClockEcho| echo.peer_label == identity.label && echo.nonce == identity.nonce;
        let echo = gossip.echoes.iter().find(is_own)?;
        let inactive_ms = (gossip.since_leaderless_renewal_ms.min(MAX_INACTIVE_MS) as f64 * CLOCK_RATE_MARGIN) as i64;
        Some(InactiveSpan { from: now as i64 - inactive_ms, to: echo.clock_ms.min(now) as i64 })
    }
}
