//! Limits on the number of sockets, and on how long clients' connections may be idle.

/// One socket in this many is reserved: accepted connections can't use it, so that
/// outgoing calls and peer links always find a free socket.
const RESERVED_SOCKETS_DIVISOR: usize = 16;
/// Minimum number of sockets that are reserved, however small the limit.
const MIN_RESERVED_SOCKETS: usize = 16;
/// Of the sockets for accepted connections, one in this many is reserved for users and
/// health probes: connections that carry only heartbeats are closed instead of staying open
/// on a reserved socket.
const USER_SOCKETS_DIVISOR: usize = 8;
/// One socket in this many may be an idle connection kept for later outgoing calls.
const IDLE_CONNECTIONS_DIVISOR: usize = 16;
/// Number of idle connections for later calls that is allowed however small the limit.
const MIN_IDLE_CONNECTIONS: usize = 8;

/// Limits on the number of sockets, and timeouts of accepted connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open sockets, including listeners and peer links.
    pub sockets: usize,
    /// Time, in ms, after which an accepted connection is closed if no request was received
    /// on it, or, on a peer's connection, no input.
    pub idle_timeout_ms: u64,
    /// Time within which a request must be received completely, from its first byte, in
    /// ms. Otherwise its connection is closed.
    pub request_timeout_ms: u64,
    /// Time without a request, in ms, after which a client's connection may be closed to
    /// admit another one when the socket limit is reached.
    pub stale_after_ms: u64,
}

impl Limits {
    /// Returns the maximum number of connections that may be open after one is accepted;
    /// the other sockets are reserved for outgoing calls and peer links.
    pub(super) fn max_sockets_for_accepting(&self) -> usize {
        let reserved = (self.sockets / RESERVED_SOCKETS_DIVISOR).max(MIN_RESERVED_SOCKETS);
        self.sockets.saturating_sub(reserved)
    }

    /// Returns the number of open connections above which connections that carry only
    /// heartbeats are closed after the response, because users and health probes must
    /// always find a free socket.
    pub(super) fn scarce_sockets_threshold(&self) -> usize {
        let max = self.max_sockets_for_accepting();
        max - max / USER_SOCKETS_DIVISOR
    }

    /// Returns the maximum number of idle connections kept for later calls, to all
    /// services together.
    pub(super) fn max_idle_connections(&self) -> usize {
        (self.sockets / IDLE_CONNECTIONS_DIVISOR).max(MIN_IDLE_CONNECTIONS)
    }
}
