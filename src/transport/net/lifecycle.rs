//! Lifecycle of a connection: registration with the event loop, reads and writes when
//! the socket is ready, and closing.

use std::{cell::Cell, net::TcpStream, rc::Rc};

use calloop::{generic::Generic, Interest, Mode, PostAction};

use super::{
    connection::{Connection, ConnectionId, Disposition, ReadOutcome, Role},
    CallError, Event, Net,
};

impl Net {
    /// Adds a connection and registers its socket with the event loop, once for its whole
    /// lifetime. Returns `None` if the registration fails.
    pub(super) fn register(
        &mut self,
        stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: u64,
    ) -> Option<ConnectionId> {
        let id = self.next_id;
        self.next_id = id.next();
        let stream = Rc::new(stream);
        let closed = Cell::new(false);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |readiness, _, net: &mut Net| {
                if !closed.get() {
                    net.handle_readiness(id, readiness.readable || readiness.error, readiness.writable);
                    closed.set(!net.connections.contains_key(&id));
                }
                Ok(PostAction::Continue)
            })
            .ok()?;
        let (input, output) = (Vec::new(), Vec::new());
        let connection = Connection { stream, token, role, connecting, input, output, written: 0, deadline };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Handles readiness of a connection's socket.
    pub(super) fn handle_readiness(&mut self, id: ConnectionId, readable: bool, writable: bool) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.connecting) {
            if !(writable || readable) {
                return;
            }
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => connection.connecting = false,
                Ok(None) => return,
                _ => return self.close(id),
            }
        }
        if writable && self.flush(id) == Disposition::Close {
            return self.close(id);
        }
        if readable && self.read(id) == Disposition::Close {
            self.close(id);
        }
    }

    fn flush(&mut self, id: ConnectionId) -> Disposition {
        self.connections.get_mut(&id).map_or(Disposition::Keep, Connection::flush)
    }

    fn read(&mut self, id: ConnectionId) -> Disposition {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
            if Net::exceeds_pending_input_limit(connection) {
                return Disposition::Close;
            }
            let count = match connection.read_into(&mut self.read_buffer) {
                ReadOutcome::Bytes(count) => count,
                ReadOutcome::WouldBlock => return Disposition::Keep,
                ReadOutcome::Closed => return Disposition::Close,
            };
            if connection.awaits_request() {
                connection.deadline = self.start.elapsed().as_millis() as u64 + self.limits.request_timeout_ms;
            }
            connection.input.extend_from_slice(&self.read_buffer[..count]);
            if self.parse(id) == Disposition::Close {
                return Disposition::Close;
            }
        }
    }

    /// Extracts complete messages from a connection's input.
    pub(super) fn parse(&mut self, id: ConnectionId) -> Disposition {
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        match connection.role {
            Role::Server { responding: true, .. } => Disposition::Keep,
            Role::Server { responding: false, .. } => self.parse_request(id),
            Role::Client { .. } => self.parse_reply(id),
            Role::PeerInbound => self.parse_frames(id),
            Role::PeerOutbound { .. } => {
                // Peers send nothing on outbound links, so any input is discarded.
                connection.input.clear();
                Disposition::Keep
            }
        }
    }

    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.handle.remove(connection.token);
        match connection.role {
            Role::Client { service, tag, sent } => {
                self.pool.remove(service, id);
                if let Some(tag) = tag {
                    let error = if sent { CallError::Unknown } else { CallError::NotSent };
                    self.events.push_back(Event::Reply { tag, result: Err(error) });
                }
            }
            Role::PeerOutbound { link } => self.handle_link_closed(link),
            Role::Server { .. } | Role::PeerInbound => {}
        }
    }
}
