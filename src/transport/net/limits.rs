//! How many sockets the process may use, and for how long a served one may idle.

/// One socket in this many is kept back from accepted connections, so that
/// outgoing calls and peer links always find one.
const RESERVED_SOCKETS_DIVISOR: usize = 16;
/// Sockets kept back at least, however small the limit.
const MIN_RESERVED_SOCKETS: usize = 16;
/// One of this many sockets for served connections is left to users and health
/// probes; connections that carry only heartbeats don't keep it occupied.
const USER_SOCKETS_DIVISOR: usize = 8;
/// One socket in this many may be an idle connection that waits for the next call.
const IDLE_CONNECTIONS_DIVISOR: usize = 16;
/// Idle connections for the next calls that are allowed in any case.
const MIN_IDLE_CONNECTIONS: usize = 8;

/// Limits on sockets and on the time that served connections may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most sockets open at once, listeners and links included.
    pub sockets: usize,
    /// A served connection with no request for this long is closed.
    pub idle_timeout_ms: u64,
    /// A request must be complete this long after its first byte.
    pub request_timeout_ms: u64,
    /// At the limit of sockets, a served connection that has had no request
    /// for this long may be closed to admit another.
    pub stale_ms: u64,
}

impl Limits {
    /// Most sockets that may be open when a connection is accepted; the rest
    /// is reserved for outgoing calls and peer links.
    pub(super) fn max_sockets_for_accepting(&self) -> usize {
        let reserved = (self.sockets / RESERVED_SOCKETS_DIVISOR).max(MIN_RESERVED_SOCKETS);
        self.sockets.saturating_sub(reserved)
    }

    /// Above this many sockets, connections that carry only heartbeats are closed
    /// after the answer: users and health probes must always find a socket.
    pub(super) fn scarce_sockets_threshold(&self) -> usize {
        let max = self.max_sockets_for_accepting();
        max - max / USER_SOCKETS_DIVISOR
    }

    /// Most idle connections kept for the next calls, to all services together.
    pub(super) fn max_idle_connections(&self) -> usize {
        (self.sockets / IDLE_CONNECTIONS_DIVISOR).max(MIN_IDLE_CONNECTIONS)
    }
}
