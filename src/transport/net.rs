//! The owner of all sockets: an event loop that turns bytes into [`Event`]s.
//!
//! Callbacks only move bytes and queue events; the owner of [`Net`] takes them
//! out after each turn of the loop. Every connection has a deadline, every
//! buffer a bound.

mod connection;
mod limits;
mod outgoing;
mod peer_links;
mod server;

use std::{
    cell::Cell,
    collections::{HashMap, VecDeque},
    io,
    net::TcpStream,
    rc::Rc,
    time::{Duration, Instant},
};

use calloop::{generic::Generic, EventLoop, Interest, LoopHandle, Mode, PostAction};

pub use self::{
    connection::ConnId,
    limits::Limits,
    outgoing::{Call, CallError},
    server::ListenerKind,
};
use self::{
    connection::{Connection, Disposition, ReadOutcome, Role},
    outgoing::ConnectionPool,
    peer_links::PeerLink,
};
use super::http::{Reply, Request};

/// Bytes read from a socket at a time.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Time between two looks for connections past their deadline, in ms.
const SWEEP_INTERVAL_MS: u64 = 100;

/// What happened on the sockets.
#[derive(Debug)]
pub enum Event {
    /// A client's request, to be answered by [`Net::respond`].
    Request {
        /// The client's connection.
        conn: ConnId,
        /// The request.
        req: Request,
    },
    /// The outcome of a [`Call`].
    Reply {
        /// The call's tag.
        tag: u64,
        /// The reply, or why there is none.
        result: Result<Reply, CallError>,
    },
    /// A frame of a peer.
    Frame {
        /// The frame, without its length.
        bytes: Vec<u8>,
    },
}

/// All sockets of the process.
pub struct Net {
    handle: LoopHandle<'static, Net>,
    start: Instant,
    limits: Limits,
    connections: HashMap<ConnId, Connection>,
    next_id: ConnId,
    pool: ConnectionPool,
    links: Vec<PeerLink>,
    events: VecDeque<Event>,
    read_buffer: Vec<u8>,
    next_sweep: u64,
    /// No sockets can be freed before this time.
    full_until: u64,
}

impl Net {
    /// A `Net` without listeners or connections, served by `event_loop`.
    pub fn new(event_loop: &EventLoop<'static, Net>, limits: Limits) -> Net {
        Net {
            handle: event_loop.handle(),
            start: Instant::now(),
            limits,
            connections: HashMap::new(),
            next_id: 1,
            pool: ConnectionPool::default(),
            links: Vec::new(),
            events: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            next_sweep: 0,
            full_until: 0,
        }
    }

    /// Milliseconds on the steady clock since this process began.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// The next event that was queued.
    pub fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Sockets of connections that are open.
    pub fn sockets(&self) -> usize {
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
        self.sweep();
        Ok(())
    }

    /// Closes all connections and drops what was read from them.
    ///
    /// Guard: called after the process was halted while its clocks ran on. What
    /// waits in its sockets is old, and its senders have given up: requests and
    /// frames are dropped, and calls count as unanswered.
    pub fn drop_stale_io(&mut self) {
        let ids: Vec<ConnId> = self.connections.keys().copied().collect();
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

    /// Adds a connection to the event loop, registered once for its whole life.
    fn register(&mut self, stream: TcpStream, role: Role, connecting: bool, deadline: u64) -> Option<ConnId> {
        let id = self.next_id;
        self.next_id += 1;
        let stream = Rc::new(stream);
        let closed = Cell::new(false);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |readiness, _, net: &mut Net| {
                if !closed.get() {
                    net.ready(id, readiness.readable || readiness.error, readiness.writable);
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
    fn ready(&mut self, id: ConnId, readable: bool, writable: bool) {
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

    fn flush(&mut self, id: ConnId) -> Disposition {
        self.connections.get_mut(&id).map_or(Disposition::Keep, Connection::flush)
    }

    fn read(&mut self, id: ConnId) -> Disposition {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
            if Net::floods_while_busy(connection) {
                return Disposition::Close;
            }
            let count = match connection.read_into(&mut self.read_buffer) {
                ReadOutcome::Bytes(count) => count,
                ReadOutcome::WouldBlock => return Disposition::Keep,
                ReadOutcome::Closed => return Disposition::Close,
            };
            if connection.is_idle_served() {
                connection.deadline = self.start.elapsed().as_millis() as u64 + self.limits.head_ms;
            }
            connection.input.extend_from_slice(&self.read_buffer[..count]);
            if self.parse(id) == Disposition::Close {
                return Disposition::Close;
            }
        }
    }

    /// Takes complete messages out of a connection's input.
    fn parse(&mut self, id: ConnId) -> Disposition {
        let Some(connection) = self.connections.get_mut(&id) else { return Disposition::Keep };
        match connection.role {
            Role::Served { busy: true, .. } => Disposition::Keep,
            Role::Served { busy: false, .. } => self.parse_request(id),
            Role::Calling { .. } => self.parse_reply(id),
            Role::FramesIn => self.parse_frames(id),
            Role::FramesOut { .. } => {
                // Peers send nothing on a link of ours.
                connection.input.clear();
                Disposition::Keep
            }
        }
    }

    fn close(&mut self, id: ConnId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.handle.remove(connection.token);
        match connection.role {
            Role::Calling { dest, tag, sent } => {
                self.pool.remove(dest, id);
                if let Some(tag) = tag {
                    let error = if sent { CallError::Unknown } else { CallError::NotSent };
                    self.events.push_back(Event::Reply { tag, result: Err(error) });
                }
            }
            Role::FramesOut { link } => self.link_closed(link),
            Role::Served { .. } | Role::FramesIn => {}
        }
    }

    /// Closes connections past their deadline.
    fn sweep(&mut self) {
        let now = self.now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL_MS;
        let late: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.role {
                Role::FramesOut { .. } => peer_links::is_broken(connection, now),
                _ => now >= connection.deadline,
            })
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            self.close(id);
        }
    }
}

#[cfg(test)]
#[path = "tests/net.rs"]
mod tests;
