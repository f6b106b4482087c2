//! Outgoing calls to services, and the pool of idle connections for them.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::{SocketAddr, SocketAddrV4, TcpStream},
    os::fd::OwnedFd,
};

use super::{
    connection::{ConnectionId, Disposition, Role},
    Event, Net,
};
use crate::transport::http::{self, Method, Parsed};

/// An idle connection to a service is closed after this long, in ms: before
/// the services close it themselves.
const POOL_IDLE_MS: u64 = 30_000;
/// Idle connections kept per service.
const MAX_IDLE_PER_SERVICE: usize = 8;

/// One request to an outside service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the service.
    pub dest: SocketAddr,
    /// Method of the request.
    pub method: Method,
    /// Path, with its query if there is one.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// How long the reply is waited for, in ms.
    pub timeout_ms: u64,
    /// Returned with the reply.
    pub tag: u64,
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection was never established: nothing was executed, nor will be.
    #[error("not sent")]
    NotSent,
    /// No complete answer: the request may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
}

/// A connection that became idle at a time.
struct IdleConnection {
    id: ConnectionId,
    since: u64,
}

/// Idle connections by service, and in the order in which they became idle.
#[derive(Default)]
pub(super) struct ConnectionPool {
    by_service: HashMap<SocketAddr, Vec<ConnectionId>>,
    /// Longest idle first; some may be in use again.
    oldest_first: VecDeque<IdleConnection>,
}

impl ConnectionPool {
    fn take(&mut self, service: SocketAddr) -> Option<ConnectionId> {
        self.by_service.get_mut(&service).and_then(Vec::pop)
    }

    /// Adds an idle connection, unless the service has enough of them.
    fn add(&mut self, service: SocketAddr, idle: IdleConnection) -> bool {
        let connections = self.by_service.entry(service).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVICE {
            return false;
        }
        connections.push(idle.id);
        self.oldest_first.push_back(idle);
        true
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, service: SocketAddr, id: ConnectionId) {
        if let Some(connections) = self.by_service.get_mut(&service) {
            connections.retain(|&other| other != id);
        }
    }
}

/// Starts to connect, without waiting for the connection to be established.
pub(super) fn dial(dest: SocketAddr) -> io::Result<TcpStream> {
    use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
    let SocketAddr::V4(v4) = dest else { return Err(io::ErrorKind::Unsupported.into()) };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let fd: OwnedFd = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    match connect(&fd, &SocketAddrV4::new(*v4.ip(), v4.port())) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = TcpStream::from(fd);
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

impl Net {
    /// Sends a request. Its outcome, a failure included, comes as [`Event::Reply`].
    pub fn call(&mut self, call: Call) {
        let deadline = self.now() + call.timeout_ms;
        let connection_id = match self.pool.take(call.dest) {
            Some(id) => Some(id),
            None => self.open_client_connection(call.dest, deadline),
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
        let host = call.dest.to_string();
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

    /// Parses the reply to a call; its connection is kept for the next one if
    /// it can be reused.
    pub(super) fn parse_reply(&mut self, id: ConnectionId) -> Disposition {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        let Role::Client { service, tag, sent } = &mut connection.role else { return Disposition::Keep };
        let (reply, used) = match http::parse_reply(&connection.input) {
            Ok(Parsed::Partial) => return Disposition::Keep,
            Ok(Parsed::Whole(reply, used)) => (reply, used),
            Err(_) => return Disposition::Close,
        };
        let Some(tag) = tag.take() else { return Disposition::Close };
        let reusable = !reply.close && used == connection.input.len();
        connection.input.clear();
        *sent = false;
        connection.deadline = now + POOL_IDLE_MS;
        let service = *service;
        self.events.push_back(Event::Reply { tag, result: Ok(reply) });
        if !reusable || !self.pool.add(service, IdleConnection { id, since: now }) {
            return Disposition::Close;
        }
        if self.pool.oldest_first.len() > self.limits.max_idle_calls() {
            self.close_oldest_idle_call();
        }
        Disposition::Keep
    }

    /// Closes the connection to a service that has been idle longest, if any.
    pub(super) fn close_oldest_idle_call(&mut self) -> bool {
        while let Some(oldest) = self.pool.oldest_first.pop_front() {
            let still_idle = self.connections.get(&oldest.id).is_some_and(|connection| {
                matches!(connection.role, Role::Client { tag: None, .. })
                    && connection.deadline == oldest.since + POOL_IDLE_MS
            });
            if still_idle {
                self.close(oldest.id);
                return true;
            }
        }
        false
    }
}
