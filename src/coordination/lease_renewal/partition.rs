//! Detects whether a network partition that separates this controller from the
//! key-value store affects its peers too.

use super::{Millis, STORE_UNREACHABLE_MS};

/// A peer is reachable if a message from it was received within this time, in ms.
const REACHABLE_MS: Millis = 2_000;
/// A heartbeat from another zone shows that the zone is not partitioned only if it was
/// received at least this long, in ms, after the last contact with the store. The
/// partition may have begun after an earlier heartbeat.
const OTHER_ZONE_HEARTBEAT_SLACK_MS: Millis = 1_000;

/// Last contact of this controller with a peer, and of that peer with the key-value store.
#[derive(Debug, Clone, Copy)]
pub struct PeerContact {
    /// Whether the peer is in this controller's zone.
    pub same_zone: bool,
    /// When a message from the peer was last received, in ms; `None`: never.
    pub last_received: Option<Millis>,
    /// How long the peer had had no contact with the key-value store when it sent that
    /// message, in ms.
    pub store_age_ms: Millis,
}

impl PeerContact {
    fn is_reachable(&self, now: Millis) -> bool {
        self.last_received.is_some_and(|received| now < received + REACHABLE_MS)
    }
}

/// Reports whether the whole zone, and not this controller alone, is partitioned from
/// the key-value store. `last_store_contact` is when this controller last had contact
/// with the store, `last_other_zone_heartbeat` when a worker of another zone last sent a
/// heartbeat.
///
/// If only this controller is partitioned and it renewed leases nevertheless, workers
/// would stay with it although they could reach the leader elsewhere. The partition is
/// therefore considered shared in two cases only:
///
/// - This controller can reach peers, but none of these has contact with the store.
/// - This controller can reach no peer, no peer is in its zone, and no worker of another
///   zone has sent a heartbeat since this controller's last contact with the store.
pub fn is_shared_partition(
    now: Millis,
    last_store_contact: Millis,
    peers: &[PeerContact],
    last_other_zone_heartbeat: Option<Millis>,
) -> bool {
    let mut reachable = peers.iter().filter(|peer| peer.is_reachable(now)).peekable();
    if reachable.peek().is_some() {
        return reachable.all(|peer| peer.store_age_ms >= STORE_UNREACHABLE_MS);
    }
    let is_alone_in_zone = !peers.iter().any(|peer| peer.same_zone);
    let may_precede_partition = |heartbeat: Millis| heartbeat < last_store_contact + OTHER_ZONE_HEARTBEAT_SLACK_MS;
    is_alone_in_zone && last_other_zone_heartbeat.is_none_or(may_precede_partition)
}

#[cfg(test)]
#[path = "../tests/partition.rs"]
mod tests;
