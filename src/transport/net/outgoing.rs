//! Outgoing calls to services and workers, on pooled connections.

use std::net::SocketAddr;

use super::{
    call::{Call, CallError},
    connection::{ConnectionId, Disposition, Role},
    dial::dial,
    pool::IdleConnection,
    Event, Net,
};
use crate::transport::http::{self, Parsed};

/// Time after which an idle connection to a service is closed, in ms; shorter than the
/// time after which the services close it themselves.
const POOL_IDLE_TIMEOUT_MS: u64 = 30_000;

impl Net {
    /// Sends a request. Its outcome, including any failure, is queued as [`Event::Reply`].
    pub fn call(&mut self, call: &Call) {
        let deadline = self.now() + call.timeout_ms;
        let connection_id = match self.pool.take(call.destination) {
            Some(id) => Some(id),
            None => self.open_client_connection(call.destination, deadline),
        };
        let Some(id) = connection_id else {
            self.events.push_back(Event::Reply { tag: call.tag, result: Err(CallError::NotSent) });
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Role::Client { tag, .. } = &mut connection.role {
            *tag = Some(call.tag);
        }
        connection.deadline = deadline;
        let host = call.destination.to_string();
        http::write_request(&mut connection.output, call.method.as_str(), &call.path, &host, &call.body);
        if connection.flush() == Disposition::Close {
            self.close(id);
        }
    }

    fn open_client_connection(&mut self, service: SocketAddr, deadline: u64) -> Option<ConnectionId> {
        if self.connections.len() >= self.limits.sockets {
            self.free_sockets();
        }
        let role = Role::Client { service, tag: None, sent: false };
        let stream = dial(service).ok()?;
        self.register(stream, role, true, deadline)
    }

    /// Parses the reply to a call. A connection that can be reused is returned to the pool.
    pub(super) fn parse_reply(&mut self, id: ConnectionId) -> Disposition {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        let Role::Client { service, tag, sent } = &mut connection.role else { return Disposition::Keep };
        let (reply, used) = match http::parse_reply(&connection.input) {
            Ok(Parsed::Partial) => return Disposition::Keep,
            Ok(Parsed::Complete(reply, used)) => (reply, used),
            Err(_) => return Disposition::Close,
        };
        let Some(tag) = tag.take() else { return Disposition::Close };
        let reusable = !reply.close && used == connection.input.len();
        connection.input.clear();
        *sent = false;
        connection.deadline = now + POOL_IDLE_TIMEOUT_MS;
        let service = *service;
        self.events.push_back(Event::Reply { tag, result: Ok(reply) });
        if !reusable || !self.pool.add(service, IdleConnection { id, idle_since: now }) {
            return Disposition::Close;
        }
        if self.pool.len() > self.limits.max_idle_connections() {
            self.close_longest_idle_connection();
        }
        Disposition::Keep
    }

    /// Closes the idle connection that has been idle longest, whichever service it leads
    /// to. Returns whether there was an idle connection.
    pub(super) fn close_longest_idle_connection(&mut self) -> bool {
        while let Some(longest_idle) = self.pool.pop_longest_idle() {
            let still_idle = self.connections.get(&longest_idle.id).is_some_and(|connection| {
                matches!(connection.role, Role::Client { tag: None, .. })
                    && connection.deadline == longest_idle.idle_since + POOL_IDLE_TIMEOUT_MS
            });
            if still_idle {
                self.close(longest_idle.id);
                return true;
            }
        }
        false
    }
}
