//! How many sockets the process may use, and for how long a served one may idle.

/// One socket in this many is kept back from accepted connections, so that
/// outgoing calls and peer links always find one.
const RESERVED_FRACTION: usize = 16;
/// Sockets kept back at least, however small the limit.
const MIN_RESERVED_SOCKETS: usize = 16;
/// One of this many sockets for served connections is left to users and health
/// probes; connections that carry only heartbeats don't keep it occupied.
const USER_FRACTION: usize = 8;
/// One socket in this many may be an idle connection that waits for the next call.
const IDLE_CALL_FRACTION: usize = 16;
/// Idle connections for the next calls that are allowed in any case.
const MIN_IDLE_CALLS: usize = 8;

/// Limits on sockets and on the time that served connections may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most sockets open at once, listeners and links included.
    pub sockets: usize,
    /// A served connection with no request for this long is closed.
    pub idle_ms: u64,
    /// A request must be complete this long after its first byte.
    pub head_ms: u64,
    /// At the limit of sockets, a served connection that has had no request
    /// for this long may be closed to admit another.
    pub stale_ms: u64,
}

impl Limits {
    /// Most sockets that may be open when a connection is accepted; the rest
    /// is reserved for outgoing calls and peer links.
    pub(super) fn max_for_accepting(&self) -> usize {
        let reserved = (self.sockets / RESERVED_FRACTION).max(MIN_RESERVED_SOCKETS);
        self.sockets.saturating_sub(reserved)
    }

    /// Above this many sockets, connections that carry only heartbeats are closed
    /// after the answer: users and health probes must always find a socket.
    pub(super) fn crowded(&self) -> usize {
        let max = self.max_for_accepting();
        max - max / USER_FRACTION
    }

    /// Most idle connections kept for the next calls, to all services together.
    pub(super) fn max_idle_calls(&self) -> usize {
        (self.sockets / IDLE_CALL_FRACTION).max(MIN_IDLE_CALLS)
    }
}
