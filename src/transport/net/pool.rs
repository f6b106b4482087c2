//! The pool of idle connections to services.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use super::connection::ConnectionId;

/// Maximum number of idle connections kept per service.
const MAX_IDLE_PER_SERVICE: usize = 8;

/// A connection and the time at which it became idle.
pub(super) struct IdleConnection {
    pub id: ConnectionId,
    /// In ms of [`super::Net::now`].
    pub idle_since: u64,
}

/// Idle connections, by service and in the order in which they became idle.
#[derive(Default)]
pub(super) struct ConnectionPool {
    by_service: HashMap<SocketAddr, Vec<ConnectionId>>,
    /// The longest idle first; some of them may be in use again or closed.
    longest_idle_first: VecDeque<IdleConnection>,
}

impl ConnectionPool {
    /// Takes an idle connection to the service: the one that became idle last.
    pub fn take(&mut self, service: SocketAddr) -> Option<ConnectionId> {
        self.by_service.get_mut(&service).and_then(Vec::pop)
    }

    /// Adds an idle connection. Returns false, without adding it, if the pool already has
    /// [`MAX_IDLE_PER_SERVICE`] connections to the service.
    pub fn add(&mut self, service: SocketAddr, idle: IdleConnection) -> bool {
        let connections = self.by_service.entry(service).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVICE {
            return false;
        }
        connections.push(idle.id);
        self.longest_idle_first.push_back(idle);
        true
    }

    /// Returns the number of connections recorded as idle, including those that are in use
    /// again or closed.
    pub fn len(&self) -> usize {
        self.longest_idle_first.len()
    }

    /// Removes and returns the connection that became idle first; it may be in use again
    /// or closed.
    pub fn pop_longest_idle(&mut self) -> Option<IdleConnection> {
        self.longest_idle_first.pop_front()
    }

    /// Removes a closed connection from those that can be taken.
    pub fn remove(&mut self, service: SocketAddr, id: ConnectionId) {
        if let Some(connections) = self.by_service.get_mut(&service) {
            connections.retain(|&other| other != id);
        }
    }
}
