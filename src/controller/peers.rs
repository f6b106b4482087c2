//! The other controllers, as their frames show them.

use super::wiring::Controller;
use crate::{
    coordination::{lease_renewal::PeerInactivity, model::Millis},
    protocol::{
        peers::{decode, Echo, Frame, FrameOrder, Gossip},
        settings::Seed,
    },
    transport::Net,
};

/// Part of a peer's time without renewals that counts: two steady clocks may
/// run at slightly different rates.
const CLOCK_RATE_MARGIN: f64 = 0.999;
/// Longest time without renewals that a peer is believed, in ms; more than any
/// uptime, and safe in signed arithmetic.
const MAX_QUIET_MS: Millis = 1 << 40;

/// What a peer uses per second of the state service's limits.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub reads: f64,
    pub writes: f64,
    pub commits: f64,
}

/// A reading of a peer's clock.
#[derive(Debug)]
pub(super) struct PeerClock {
    /// Identifies the start of the peer's process.
    pub nonce: u64,
    pub clock_ms: Millis,
}

/// One other controller.
#[derive(Debug)]
pub(super) struct Peer {
    pub label: String,
    /// Number of the link to it.
    pub link: usize,
    order: FrameOrder,
    /// When its last frame was received.
    pub heard: Option<Millis>,
    /// How long before that the state service had answered it.
    pub state_age: Millis,
    /// Workers' heartbeats that it rejected lately.
    pub rejected_heartbeats: u32,
    pub leading: bool,
    pub usage: Usage,
    /// The clock in its last frame.
    pub clock: Option<PeerClock>,
    /// Since when it is known to have no key under which it may renew leases.
    pub without_key_since: Option<Millis>,
    /// It reads notices of cancellations.
    pub reads_notices: bool,
}

impl Peer {
    fn new(label: &str, link: usize) -> Peer {
        Peer {
            label: label.to_owned(),
            link,
            order: FrameOrder::default(),
            heard: None,
            state_age: Millis::MAX,
            rejected_heartbeats: 0,
            leading: false,
            usage: Usage::default(),
            clock: None,
            without_key_since: None,
            reads_notices: false,
        }
    }

    /// Whether a frame of it was received within the last `within_ms`.
    pub fn heard_within(&self, now: Millis, within_ms: Millis) -> bool {
        self.heard.is_some_and(|heard| now < heard + within_ms)
    }

    fn update(&mut self, now: Millis, gossip: &Gossip) {
        self.heard = Some(now);
        self.reads_notices = gossip.reads_notices();
        self.clock = Some(PeerClock { nonce: gossip.nonce, clock_ms: gossip.clock_ms });
        self.state_age = gossip.state_age_ms;
        self.rejected_heartbeats = gossip.rejected_heartbeats;
        self.leading = gossip.leading;
        self.usage = Usage { reads: gossip.reads_used, writes: gossip.writes_used, commits: gossip.commits_used };
    }
}

/// All other controllers.
#[derive(Debug)]
pub(super) struct PeerTable {
    /// In the order of the settings.
    pub list: Vec<Peer>,
    /// For which time each is known to have renewed no lease.
    pub inactivity: PeerInactivity,
}

impl PeerTable {
    /// A table of peers that were not heard yet, with a link to each.
    pub fn new(seeds: &[Seed], net: &mut Net) -> PeerTable {
        let list = seeds.iter().map(|seed| Peer::new(&seed.label, net.add_link(seed.endpoint))).collect();
        PeerTable { list, inactivity: PeerInactivity::new(seeds.len()) }
    }

    /// The peer with this label.
    pub fn find(&self, label: &str) -> Option<&Peer> {
        self.list.iter().find(|peer| peer.label == label)
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
}

impl Controller {
    /// Handles a frame of a peer.
    pub(super) fn handle_frame(&mut self, net: &mut Net, bytes: &[u8]) {
        match decode(bytes) {
            Ok(Frame::Gossip(gossip)) => self.handle_gossip(net.now(), gossip),
            Ok(Frame::Notice(notice)) => self.handle_notice(&notice),
            Err(error) => tracing::debug!(%error, "a peer's frame is left out"),
        }
    }

    fn handle_gossip(&mut self, now: Millis, gossip: Gossip) {
        let Some(index) = self.peers.list.iter().position(|peer| peer.label == gossip.from) else { return };
        let peer = &mut self.peers.list[index];
        if !peer.order.is_news(&gossip) {
            return;
        }
        peer.update(now, &gossip);
        // Guard: a frame may have been delayed for any time. Its statement holds
        // up to the reading of our own clock that the peer had received when it
        // sent the frame, not up to when the frame arrived.
        let is_ours = |echo: &&Echo| echo.of == self.settings.label && echo.nonce == self.nonce;
        if let Some(echo) = gossip.echoes.iter().find(is_ours) {
            let quiet_ms = (gossip.no_renewal_ms.min(MAX_QUIET_MS) as f64 * CLOCK_RATE_MARGIN) as i64;
            let until = echo.clock_ms.min(now) as i64;
            self.peers.inactivity.record_inactive(index, now as i64 - quiet_ms, until);
        }
        for count in gossip.counts {
            self.job_cache.show(&count.job, count.done, count.running);
        }
    }
}
