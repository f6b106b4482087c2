//! Listeners and clients' connections: receives HTTP requests and sends the responses.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
};

use calloop::{generic::Generic, Interest, Mode, PostAction};

use super::{
    connection::{Connection, ConnectionId, Disposition, Role},
    Event, Net,
};
use crate::transport::http::{self, Parsed};

/// Maximum number of connections accepted per iteration of the event loop, so that a burst of
/// them doesn't starve other events.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Maximum number of connections closed at once when the socket limit is reached.
const MAX_CLOSED_AT_ONCE: usize = 32;
/// Minimum time, in ms, from a search for connections to close that found none to the next
/// search.
const FREE_SOCKETS_RETRY_MS: u64 = 50;
/// Maximum number of bytes of input that are kept while a request of the same client is
/// handled: the size of the largest next request. Requests are never pipelined, so a
/// connection with more input is closed.
const MAX_PENDING_INPUT_BYTES: usize = http::MAX_REQUEST_BODY_BYTES + http::MAX_HEAD_BYTES;

/// The protocol of a listener's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// HTTP requests of users, workers and health probes.
    Http,
    /// Frames of peers.
    Frames,
}

impl Net {
    /// Listens on `addr` and returns the bound address, which has the actual port if
    /// `addr` has port 0.
    pub fn listen(&mut self, addr: SocketAddr, kind: ListenerKind) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, move |_, listener, net: &mut Net| {
                net.accept(listener, kind);
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(bound)
    }

    fn accept(&mut self, listener: &TcpListener, kind: ListenerKind) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream, kind),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Registers an accepted connection. If no socket is free, the connection is closed
    /// instead, so that a load balancer tries another controller.
    fn admit(&mut self, stream: TcpStream, kind: ListenerKind) {
        if self.connections.len() >= self.limits.max_sockets_for_accepting() && !self.free_sockets() {
            return;
        }
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true);
        let role = match kind {
            ListenerKind::Frames => Role::PeerInbound,
            ListenerKind::Http => Role::Server { responding: false, close_after_response: false },
        };
        let deadline = self.now() + self.limits.idle_timeout_ms;
        if let Some(id) = self.register(stream, role, false, deadline) {
            self.handle_readiness(id, true, false);
        }
    }

    /// Closes connections when the socket limit is reached: first idle ones to services,
    /// then those of clients without a request for [`Limits::stale_after_ms`], the longest idle
    /// first. A connection with a request that is being handled is never closed. Returns
    /// whether a connection may be accepted: the limit for accepting is not reached any
    /// more, or a client's connection was closed.
    ///
    /// [`Limits::stale_after_ms`]: super::Limits::stale_after_ms
    pub(super) fn free_sockets(&mut self) -> bool {
        let now = self.now();
        if now < self.free_sockets_retry_at {
            return false;
        }
        for _ in 0..MAX_CLOSED_AT_ONCE {
            if !self.close_longest_idle_connection() {
                break;
            }
        }
        if self.connections.len() < self.limits.max_sockets_for_accepting() {
            return true;
        }
        let closed = self.close_stale_server_connections(now);
        if !closed {
            self.free_sockets_retry_at = now + FREE_SOCKETS_RETRY_MS;
        }
        closed
    }

    fn close_stale_server_connections(&mut self, now: u64) -> bool {
        // The deadline of a client's connection is `idle_timeout_ms` after its last request
        // or response.
        let stale_deadline = now + self.limits.idle_timeout_ms.saturating_sub(self.limits.stale_after_ms);
        let mut stale: Vec<(u64, ConnectionId)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.awaits_request() && connection.deadline <= stale_deadline)
            .map(|(&id, connection)| (connection.deadline, id))
            .collect();
        stale.sort_unstable();
        for &(_, id) in stale.iter().take(MAX_CLOSED_AT_ONCE) {
            self.close(id);
        }
        !stale.is_empty()
    }

    pub(super) fn exceeds_pending_input_limit(connection: &Connection) -> bool {
        matches!(connection.role, Role::Server { responding: true, .. })
            && connection.input.len() > MAX_PENDING_INPUT_BYTES
    }

    /// Parses the next request of a client's connection that has no request in progress.
    pub(super) fn parse_request(&mut self, id: ConnectionId) -> Disposition {
        let deadline = self.now() + self.limits.idle_timeout_ms;
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        let Role::Server { responding, close_after_response } = &mut connection.role else { return Disposition::Keep };
        match http::parse_request(&connection.input) {
            Ok(Parsed::Partial) => Disposition::Keep,
            Ok(Parsed::Complete(request, used)) => {
                connection.input.drain(..used);
                *responding = true;
                *close_after_response = request.close;
                connection.deadline = deadline;
                self.events.push_back(Event::Request { connection: id, request });
                Disposition::Keep
            }
            Err(error) => {
                *close_after_response = true;
                connection.input.clear();
                http::write_response(&mut connection.output, error.status(), None, b"", true);
                connection.flush();
                Disposition::Close
            }
        }
    }

    /// Sends the response to a client's request. Does nothing if the connection was closed
    /// in the meantime.
    pub fn respond(&mut self, id: ConnectionId, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let deadline = self.now() + self.limits.idle_timeout_ms;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Role::Server { responding, close_after_response } = &mut connection.role else { return };
        if !std::mem::replace(responding, false) {
            return;
        }
        http::write_response(&mut connection.output, status, retry_after_s, body, *close_after_response);
        connection.deadline = deadline;
        if connection.flush() == Disposition::Close {
            return self.close(id);
        }
        // Bytes of the next request may already have been received.
        let has_input = self.connections.get(&id).is_some_and(|connection| !connection.input.is_empty());
        if has_input && self.parse(id) == Disposition::Close {
            self.close(id);
        }
    }

    /// Sends the response to a worker's heartbeat.
    ///
    /// There may be more workers than sockets. While sockets are scarce, the response
    /// also closes the connection, so that another worker can connect; this one reconnects
    /// for its next heartbeat.
    pub fn respond_to_heartbeat(&mut self, id: ConnectionId, status: u16, body: &[u8]) {
        if self.connections.len() > self.limits.scarce_sockets_threshold() {
            if let Some(Connection { role: Role::Server { close_after_response, .. }, .. }) =
                self.connections.get_mut(&id)
            {
                *close_after_response = true;
            }
        }
        self.respond(id, status, None, body);
    }

    /// Reports whether the connection is open, as far as is known: a client's disconnect is
    /// noticed only by the next read or write.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }
}
