//! The owner of all sockets: an event loop that turns bytes into [`Event`]s.
//!
//! Callbacks only move bytes and queue events; the owner of [`Net`] takes them
//! out after each turn of the loop. Every connection has a deadline, every
//! buffer a bound. Times are in ms of [`Net::now`].

mod call;
mod connection;
mod dial;
mod event;
mod lifecycle;
mod limits;
mod outgoing;
mod peer_link;
mod peer_links;
mod pool;
mod server;

use std::{
    collections::{HashMap, VecDeque},
    io,
    time::{Duration, Instant},
};

use calloop::{EventLoop, LoopHandle};

pub use self::{
    call::{Call, CallError},
    connection::ConnectionId,
    event::Event,
    limits::Limits,
    server::ListenerKind,
};
use self::{
    connection::{Connection, Role},
    peer_link::PeerLink,
    pool::ConnectionPool,
};

/// Bytes read from a socket at a time.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Time between two looks for connections past their deadline, in ms.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// All sockets of the process.
pub struct Net {
    handle: LoopHandle<'static, Net>,
    start: Instant,
    limits: Limits,
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Idle connections to services.
    pool: ConnectionPool,
    /// Links to peers, by number.
    links: Vec<PeerLink>,
    /// Events that the owner has not taken yet.
    events: VecDeque<Event>,
    /// Scratch space for reads.
    read_buffer: Vec<u8>,
    next_expiry_check: u64,
    /// No sockets can be freed before this time.
    free_sockets_retry_at: u64,
}

impl Net {
    /// A `Net` without listeners or connections, served by `event_loop`.
    pub fn new(event_loop: &EventLoop<'static, Net>, limits: Limits) -> Net {
        Net {
            handle: event_loop.handle(),
            start: Instant::now(),
            limits,
            connections: HashMap::new(),
            next_id: ConnectionId::FIRST,
            pool: ConnectionPool::default(),
            links: Vec::new(),
            events: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            next_expiry_check: 0,
            free_sockets_retry_at: 0,
        }
    }

    /// Milliseconds on the steady clock since this process began.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The next event that was queued.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Sockets of connections that are open.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Runs the loop for one turn of at most `wait`.
    pub fn turn(&mut self, event_loop: &mut EventLoop<'static, Net>, wait: Duration) -> io::Result<()> {
        let wait = if self.events.is_empty() { wait } else { Duration::ZERO };
        match event_loop.dispatch(wait, self) {
            Ok(()) => {}
            Err(calloop::Error::IoError(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(io::Error::other(error.to_string())),
        }
        self.close_expired_connections();
        Ok(())
    }

    /// Closes all connections and drops what was read from them.
    ///
    /// Guard: called after the process was halted while its clocks ran on. What
    /// waits in its sockets is old, and its senders have given up: requests and
    /// frames are dropped, and calls count as unanswered.
    pub fn drop_stale_io(&mut self) {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.close(id);
        }
        self.events.retain_mut(|event| match event {
            Event::Reply { result, .. } => {
                if result.is_ok() {
                    *result = Err(CallError::Unknown);
                }
                true
            }
            Event::Request { .. } | Event::Frame { .. } => false,
        });
    }

    /// Closes connections past their deadline.
    fn close_expired_connections(&mut self) {
        let now = self.now();
        if now < self.next_expiry_check {
            return;
        }
        self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL_MS;
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.role {
                Role::PeerOutbound { .. } => peer_link::is_broken(connection, now),
                _ => now >= connection.deadline,
            })
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.close(id);
        }
    }
}

#[cfg(test)]
#[path = "tests/net.rs"]
mod tests;
