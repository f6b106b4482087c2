//! The state of a link to a peer.

use std::net::SocketAddr;

use super::connection::{Connection, ConnectionId};

/// Bytes that may wait on a link; above it frames are dropped, and a link that
/// does not drain is closed.
pub(super) const MAX_LINK_QUEUE_BYTES: usize = 256 * 1024;

/// A link to one peer; it is connected when a frame is to be sent.
pub(super) struct PeerLink {
    pub destination: SocketAddr,
    pub connection: Option<ConnectionId>,
    /// No attempt to connect is made before this time, in ms of [`super::Net::now`].
    pub retry_at: u64,
}

/// Whether a link must be closed: it could not connect, or it doesn't drain. A
/// working link has no deadline.
pub(super) fn is_broken(connection: &Connection, now: u64) -> bool {
    (connection.connecting && now >= connection.deadline) || connection.unsent() > MAX_LINK_QUEUE_BYTES
}
