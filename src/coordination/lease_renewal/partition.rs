//! Whether a network partition that separates this controller from the
//! key-value store affects its peers too.

use super::{Millis, OUT_OF_CONTACT_MS};

/// A peer from which a message came within this time, in ms, is reachable.
const REACHABLE_MS: Millis = 2_000;
/// A heartbeat from another zone within this time, in ms, after the last contact
/// is no evidence: the partition may have begun after it.
const FOREIGN_HEARTBEAT_SLACK_MS: Millis = 1_000;

/// A peer, as this controller sees it.
#[derive(Debug, Clone, Copy)]
pub struct PeerContact {
    /// Whether it is in this controller's zone.
    pub same_zone: bool,
    /// When a message of it was last received, in ms; `None`: never.
    pub last_heard: Option<Millis>,
    /// How long it had been out of contact with the key-value store when it sent
    /// that message, in ms.
    pub store_age_ms: Millis,
}

impl PeerContact {
    fn is_reachable(&self, now: Millis) -> bool {
        self.last_heard.is_some_and(|heard| now < heard + REACHABLE_MS)
    }
}

/// Whether the whole zone, and not this controller alone, is out of contact with
/// the key-value store. `last_contact` is when this controller last had contact,
/// `last_foreign_heartbeat` when a worker of another zone last sent a heartbeat.
///
/// Guard: a controller that alone is out of contact must not keep workers that
/// would find the leader elsewhere. It renews leases only when every peer that it
/// can reach is out of contact too; or when it can reach none, has no peer in its
/// zone, and no worker of another zone sent a heartbeat since its last contact.
pub fn is_shared_partition(
    now: Millis,
    last_contact: Millis,
    peers: &[PeerContact],
    last_foreign_heartbeat: Option<Millis>,
) -> bool {
    let mut reachable = peers.iter().filter(|peer| peer.is_reachable(now)).peekable();
    if reachable.peek().is_some() {
        return reachable.all(|peer| peer.store_age_ms >= OUT_OF_CONTACT_MS);
    }
    let is_alone_in_zone = !peers.iter().any(|peer| peer.same_zone);
    let is_foreign_heartbeat_old = |heartbeat: Millis| heartbeat < last_contact + FOREIGN_HEARTBEAT_SLACK_MS;
    is_alone_in_zone && last_foreign_heartbeat.is_none_or(is_foreign_heartbeat_old)
}

#[cfg(test)]
#[path = "../tests/partition.rs"]
mod tests;
