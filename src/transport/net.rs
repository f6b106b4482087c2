//! [`Net`], the owner of all sockets, which parses received bytes into [`Event`]s.
//!
//! Callbacks of the event loop only transfer bytes and queue events; the owner of [`Net`]
//! takes the events from the queue after each iteration of the loop. Every connection but
//! an established peer link has a deadline, and every buffer has a maximum size. Times are
//! in ms of [`Net::now`].

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

/// Maximum number of bytes per read from a socket.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Interval between two checks for connections past their deadline, in ms.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 100;

/// The sockets of the process, and the events received on them.
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
    /// Events that the owner has not processed yet.
    events: VecDeque<Event>,
    /// Buffer for reads, shared by all connections.
    read_buffer: Vec<u8>,
    next_expiry_check: u64,
    /// Earliest time of the next attempt to free sockets, set when an attempt freed none.
    free_sockets_retry_at: u64,
}

impl Net {
    /// Creates a `Net` without listeners or connections, which `event_loop` drives.
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

    /// Returns the time on the monotonic clock since this `Net` was created, in ms.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Removes and returns the oldest queued event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the number of open connections, those being established included; listeners
    /// are not counted.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Runs one iteration of the event loop, which waits for I/O for at most `wait`, and not at
    /// all if events are queued.
    pub fn run_once(&mut self, event_loop: &mut EventLoop<'static, Net>, wait: Duration) -> io::Result<()> {
        let wait = if self.events.is_empty() { wait } else { Duration::ZERO };
        match event_loop.dispatch(wait, self) {
            Ok(()) => {}
            Err(calloop::Error::IoError(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(io::Error::other(error.to_string())),
        }
        self.close_expired_connections();
        Ok(())
    }

    /// Closes all connections and drops the input that was read from them.
    ///
    /// Called after the process was halted while its clocks continued to run. Input that is
    /// pending in the sockets is then old, and its senders have stopped waiting: requests
    /// and frames are dropped, and all calls fail; one whose reply was already received
    /// fails with [`CallError::Unknown`].
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

    /// Closes connections past their deadline, and broken peer links.
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
