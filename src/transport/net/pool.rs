//! The pool of idle connections to services.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use super::connection::ConnectionId;

/// Idle connections kept per service.
const MAX_IDLE_PER_SERVICE: usize = 8;

/// A connection that became idle at a time.
pub(super) struct IdleConnection {
    pub id: ConnectionId,
    /// When it became idle, in ms of [`super::Net::now`].
    pub idle_since: u64,
}

/// Idle connections by service, and in the order in which they became idle.
#[derive(Default)]
pub(super) struct ConnectionPool {
    by_service: HashMap<SocketAddr, Vec<ConnectionId>>,
    /// Longest idle first; some may be in use again.
    longest_idle_first: VecDeque<IdleConnection>,
}

impl ConnectionPool {
    /// An idle connection to the service, the one used last.
    pub fn take(&mut self, service: SocketAddr) -> Option<ConnectionId> {
        self.by_service.get_mut(&service).and_then(Vec::pop)
    }

    /// Adds an idle connection, unless the service has enough of them.
    pub fn add(&mut self, service: SocketAddr, idle: IdleConnection) -> bool {
        let connections = self.by_service.entry(service).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVICE {
            return false;
        }
        connections.push(idle.id);
        self.longest_idle_first.push_back(idle);
        true
    }

    /// Number of connections in the order of becoming idle.
    pub fn len(&self) -> usize {
        self.longest_idle_first.len()
    }

    /// Takes out the connection that became idle first; it may be in use again.
    pub fn pop_longest_idle(&mut self) -> Option<IdleConnection> {
        self.longest_idle_first.pop_front()
    }

    /// Forgets a connection that was closed.
    pub fn remove(&mut self, service: SocketAddr, id: ConnectionId) {
        if let Some(connections) = self.by_service.get_mut(&service) {
            connections.retain(|&other| other != id);
        }
    }
}
