//! One other controller, as its gossip shows it.

use crate::{
    controller::{identity::Identity, service_client::Usage},
    coordination::{lease_renewal::PeerContact, model::Millis},
    protocol::{
        peers::{ClockEcho, FrameOrder, Gossip},
        settings::PeerSettings,
    },
};

/// Part of a peer's time without renewals that counts: two steady clocks may
/// run at slightly different rates.
const CLOCK_RATE_MARGIN: f64 = 0.999;
/// Longest time without renewals that a peer is believed, in ms; more than any
/// uptime, and safe in signed arithmetic.
const MAX_QUIET_MS: Millis = 1 << 40;

/// A reading of a peer's clock.
#[derive(Debug)]
struct PeerClock {
    /// Identifies the start of the peer's process.
    nonce: u64,
    clock_ms: Millis,
}

/// One other controller.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) label: String,
    /// Number of the link to it.
    pub(super) link: usize,
    /// It runs in this controller's zone.
    same_zone: bool,
    order: FrameOrder,
    /// When its last frame was received.
    last_heard: Option<Millis>,
    /// How long before that the key-value store had answered it.
    pub(super) store_age: Millis,
    /// Workers' heartbeats that it rejected lately.
    pub(super) rejected_heartbeats: u32,
    pub(super) leading: bool,
    pub(super) usage: Usage,
    /// The clock in its last frame.
    clock: Option<PeerClock>,
    /// Since when it is known to have no key under which it may renew leases.
    pub(super) without_key_since: Option<Millis>,
    /// It reads notices of cancellations.
    pub(super) reads_notices: bool,
}

impl Peer {
    /// A peer that was not heard yet.
    pub(super) fn new(seed: &PeerSettings, own_zone: &str, link: usize) -> Peer {
        Peer {
            label: seed.label.clone(),
            link,
            same_zone: seed.zone == own_zone,
            order: FrameOrder::default(),
            last_heard: None,
            store_age: Millis::MAX,
            rejected_heartbeats: 0,
            leading: false,
            usage: Usage::default(),
            clock: None,
            without_key_since: None,
            reads_notices: false,
        }
    }

    /// Whether a frame of it was received within the last `within_ms`.
    pub(super) fn heard_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.last_heard.is_some_and(|heard| now < heard + within_ms)
    }

    /// Takes the state in a frame. Returns false for a frame that is older than
    /// one that was received before.
    pub(super) fn update(&mut self, now: Millis, gossip: &Gossip) -> bool {
        if !self.order.accept_if_newer(gossip) {
            return false;
        }
        self.last_heard = Some(now);
        self.reads_notices = gossip.reads_notices();
        self.clock = Some(PeerClock { nonce: gossip.nonce, clock_ms: gossip.clock_ms });
        self.store_age = gossip.state_age_ms;
        self.rejected_heartbeats = gossip.rejected_heartbeats;
        self.leading = gossip.leading;
        self.usage = Usage { reads: gossip.reads_used, writes: gossip.writes_used, commits: gossip.commits_used };
        true
    }

    /// The last clock that was received from it, to be repeated to it.
    pub(super) fn echo(&self) -> Option<ClockEcho> {
        let clock = self.clock.as_ref()?;
        Some(ClockEcho { peer_label: self.label.clone(), nonce: clock.nonce, clock_ms: clock.clock_ms })
    }

    /// What decides whether leases may be renewed without a leader.
    pub(super) fn contact(&self) -> PeerContact {
        PeerContact { same_zone: self.same_zone, last_heard: self.last_heard, store_age_ms: self.store_age }
    }
}

/// A time in which a peer renewed no lease, on this controller's clock in ms.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuietTime {
    pub(super) from: i64,
    pub(super) to: i64,
}

impl QuietTime {
    /// The time that a peer vouches for in a frame.
    ///
    /// Guard: a frame may have been delayed for any time. Its statement holds
    /// up to the reading of our own clock that the peer had received when it
    /// sent the frame, not up to when the frame arrived.
    pub(super) fn stated_in(gossip: &Gossip, identity: &Identity, now: Millis) -> Option<QuietTime> {
        let is_ours = |echo: &&ClockEcho| echo.peer_label == identity.label && echo.nonce == identity.nonce;
        let echo = gossip.echoes.iter().find(is_ours)?;
        let quiet_ms = (gossip.since_leaderless_renewal_ms.min(MAX_QUIET_MS) as f64 * CLOCK_RATE_MARGIN) as i64;
        Some(QuietTime { from: now as i64 - quiet_ms, to: echo.clock_ms.min(now) as i64 })
    }
}
