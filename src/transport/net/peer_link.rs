//! State of an outbound link to a peer.

use std::net::SocketAddr;

use super::connection::{Connection, ConnectionId};

/// Maximum number of unsent bytes on a link. Above it, frames are dropped and the link is
/// closed, since its peer doesn't read.
pub(super) const MAX_LINK_QUEUE_BYTES: usize = 256 * 1024;

/// A link to one peer, which is connected when a frame is to be sent.
pub(super) struct PeerLink {
    pub destination: SocketAddr,
    pub connection: Option<ConnectionId>,
    /// Earliest time of the next attempt to connect, in ms of [`super::Net::now`].
    pub retry_at: u64,
}

/// Reports whether a link must be closed, because it could not connect in time, or its
/// peer doesn't read and the unsent bytes exceed [`MAX_LINK_QUEUE_BYTES`]. An established
/// link has no deadline.
pub(super) fn is_broken(connection: &Connection, now: u64) -> bool {
    (connection.connecting && now >= connection.deadline) || connection.unsent() > MAX_LINK_QUEUE_BYTES
}
