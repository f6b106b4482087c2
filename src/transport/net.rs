//! The event loop: listeners, served connections, outgoing calls, peer links.
//!
//! Callbacks only move bytes and queue [`Event`]s; whoever owns the [`Net`]
//! takes them out after each turn. Every connection has a deadline, every
//! buffer a bound.

use std::{
    cell::Cell,
    collections::{HashMap, VecDeque},
    io::{self, Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::fd::OwnedFd,
    rc::Rc,
    time::{Duration, Instant},
};

use calloop::{generic::Generic, EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};

use super::http::{self, Parsed, Reply, Request};

pub type ConnId = u64;

#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most sockets open at once, listeners and links included.
    pub sockets: usize,
    /// A served connection with no request for this long is closed.
    pub idle_ms: u64,
    /// A request must be whole this long after its first byte.
    pub head_ms: u64,
    /// At the limit of sockets, a served connection that has had no request
    /// for this long may be closed for another.
    pub stale_ms: u64,
}

impl Limits {
    /// Sockets that accepted connections must leave to our own calls and links.
    fn reserve(&self) -> usize {
        (self.sockets / 16).max(16)
    }

    /// Most sockets that served connections may take.
    fn most(&self) -> usize {
        self.sockets.saturating_sub(self.reserve())
    }

    /// Above this many sockets, those who only report don't keep theirs: users
    /// and health probes must always find one.
    fn crowded(&self) -> usize {
        self.most() - self.most() / 8
    }

    /// Idle connections kept for the next calls, to all services together.
    fn idle_calls(&self) -> usize {
        (self.sockets / 16).max(8)
    }
}

/// One request to an outside service.
#[derive(Debug, Clone)]
pub struct Call {
    pub dest: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
    pub tag: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection never stood: nothing was executed, nor will be.
    #[error("not sent")]
    NotSent,
    /// No whole answer: it may have been executed, or may yet be.
    #[error("no answer")]
    Unknown,
}

#[derive(Debug)]
pub enum Event {
    Request { conn: ConnId, req: Request },
    Reply { tag: u64, result: Result<Reply, CallError> },
    Frame { bytes: Vec<u8> },
}

const MAX_FRAME: usize = 512 * 1024;
const LINK_QUEUE: usize = 256 * 1024;
const LINK_RETRY_MS: u64 = 400;
const CONNECT_MS: u64 = 1_000;
const POOL_IDLE_MS: u64 = 30_000;
const POOL_MAX_IDLE: usize = 8;
/// Connections closed at a time when sockets run out, and the pause after none could be.
const CLOSED_AT_ONCE: usize = 32;
const FULL_MS: u64 = 50;

enum Role {
    /// A client's connection: `busy` while a request is being answered.
    Served { busy: bool, close: bool },
    /// Our request to a service: tag of the call in flight, if any.
    Calling { dest: SocketAddr, tag: Option<u64>, sent: bool },
    /// A peer's frames come in.
    FramesIn,
    /// Our frames go out to peer `link`.
    FramesOut { link: usize },
}

struct Conn {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    role: Role,
    connecting: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    deadline: u64,
}

struct Link {
    dest: SocketAddr,
    conn: Option<ConnId>,
    retry_at: u64,
}

pub struct Net {
    handle: LoopHandle<'static, Net>,
    start: Instant,
    limits: Limits,
    conns: HashMap<ConnId, Conn>,
    next_id: ConnId,
    pool: HashMap<SocketAddr, Vec<ConnId>>,
    links: Vec<Link>,
    events: VecDeque<Event>,
    scratch: Vec<u8>,
    next_sweep: u64,
    /// Idle connections of ours, the one idle longest first (some may be in use again).
    idle_calls: VecDeque<(ConnId, u64)>,
    full_until: u64,
}

enum Fate {
    Keep,
    Close,
}

impl Net {
    pub fn new(event_loop: &EventLoop<'static, Net>, limits: Limits) -> Net {
        Net {
            handle: event_loop.handle(),
            start: Instant::now(),
            limits,
            conns: HashMap::new(),
            next_id: 1,
            pool: HashMap::new(),
            links: Vec::new(),
            events: VecDeque::new(),
            scratch: vec![0; 64 * 1024],
            next_sweep: 0,
            idle_calls: VecDeque::new(),
            full_until: 0,
        }
    }

    /// Milliseconds on the steady clock since this process began.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn sockets(&self) -> usize {
        self.conns.len()
    }

    pub fn listen(&mut self, addr: SocketAddr, frames: bool) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, move |_, listener, net: &mut Net| {
                net.accept(listener, frames);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(at)
    }

    pub fn add_link(&mut self, dest: SocketAddr) -> usize {
        self.links.push(Link { dest, conn: None, retry_at: 0 });
        self.links.len() - 1
    }

    fn accept(&mut self, listener: &TcpListener, frames: bool) {
        // A bounded number per turn: a flood must not starve the rest.
        for _ in 0..64 {
            match listener.accept() {
                Ok((stream, _)) => {
                    if self.conns.len() >= self.limits.most() && !self.free_sockets() {
                        continue; // dropped, which closes it: the balancer moves on
                    }
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    let now = self.now();
                    let (role, deadline) = if frames {
                        (Role::FramesIn, now + self.limits.idle_ms)
                    } else {
                        (Role::Served { busy: false, close: false }, now + self.limits.idle_ms)
                    };
                    if let Some(id) = self.register(stream, role, false, deadline) {
                        self.ready(id, true, false);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// At the limit of sockets: closes idle connections of our own first, then
    /// served ones that have had no request for long, the longest idle first;
    /// never one whose request is being answered. False: there was none.
    fn free_sockets(&mut self) -> bool {
        let now = self.now();
        if now < self.full_until {
            return false;
        }
        for _ in 0..CLOSED_AT_ONCE {
            if !self.close_oldest_idle_call() {
                break;
            }
        }
        if self.conns.len() < self.limits.most() {
            return true;
        }
        let stale_at = now + self.limits.idle_ms.saturating_sub(self.limits.stale_ms);
        let mut stale: Vec<(u64, ConnId)> = self
            .conns
            .iter()
            .filter(|(_, c)| matches!(c.role, Role::Served { busy: false, .. }) && c.input.is_empty())
            .filter(|(_, c)| c.deadline <= stale_at)
            .map(|(&id, c)| (c.deadline, id))
            .collect();
        stale.sort_unstable();
        for &(_, id) in stale.iter().take(CLOSED_AT_ONCE) {
            self.close(id);
        }
        if stale.is_empty() {
            self.full_until = now + FULL_MS;
        }
        !stale.is_empty()
    }

    fn close_oldest_idle_call(&mut self) -> bool {
        while let Some((id, since)) = self.idle_calls.pop_front() {
            let idle = self.conns.get(&id).is_some_and(|c| {
                matches!(c.role, Role::Calling { tag: None, .. }) && c.deadline == since + POOL_IDLE_MS
            });
            if idle {
                self.close(id);
                return true;
            }
        }
        false
    }

    fn register(&mut self, stream: TcpStream, role: Role, connecting: bool, deadline: u64) -> Option<ConnId> {
        let id = self.next_id;
        self.next_id += 1;
        let stream = Rc::new(stream);
        let gone = Rc::new(Cell::new(false));
        let seen = gone.clone();
        // Edge mode: one registration for the whole life of the connection.
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |readiness, _, net: &mut Net| {
                if !seen.get() {
                    net.ready(id, readiness.readable || readiness.error, readiness.writable);
                    seen.set(!net.conns.contains_key(&id));
                }
                Ok(PostAction::Continue)
            })
            .ok()?;
        self.conns.insert(
            id,
            Conn { stream, token, role, connecting, input: Vec::new(), output: Vec::new(), written: 0, deadline },
        );
        Some(id)
    }

    fn ready(&mut self, id: ConnId, readable: bool, writable: bool) {
        if self.conns.get(&id).is_some_and(|c| c.connecting) {
            let Some(c) = self.conns.get_mut(&id) else { return };
            if !(writable || readable) {
                return;
            }
            match c.stream.take_error() {
                Ok(None) if c.stream.peer_addr().is_ok() => c.connecting = false,
                Ok(None) => return,
                _ => return self.close(id),
            }
        }
        if writable && matches!(self.flush(id), Fate::Close) {
            return self.close(id);
        }
        if readable {
            if let Fate::Close = self.read(id) {
                self.close(id);
            }
        }
    }

    fn flush(&mut self, id: ConnId) -> Fate {
        let Some(c) = self.conns.get_mut(&id) else { return Fate::Keep };
        if c.connecting {
            return Fate::Keep;
        }
        while c.written < c.output.len() {
            if let Role::Calling { sent, .. } = &mut c.role {
                *sent = true;
            }
            match (&*c.stream).write(&c.output[c.written..]) {
                Ok(0) => return Fate::Close,
                Ok(n) => c.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Fate::Keep,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fate::Close,
            }
        }
        c.output.clear();
        c.written = 0;
        match c.role {
            Role::Served { busy: false, close: true } => Fate::Close,
            _ => Fate::Keep,
        }
    }

    fn read(&mut self, id: ConnId) -> Fate {
        loop {
            let Some(c) = self.conns.get_mut(&id) else { return Fate::Keep };
            if let Role::Served { busy: true, .. } = c.role {
                // Never pipelined: a client that floods while it waits is cut off.
                if c.input.len() > http::MAX_REQUEST_BODY + http::MAX_HEAD {
                    return Fate::Close;
                }
            }
            match (&*c.stream).read(&mut self.scratch) {
                Ok(0) => return Fate::Close,
                Ok(n) => {
                    if c.input.is_empty() && matches!(c.role, Role::Served { busy: false, .. }) {
                        c.deadline = self.start.elapsed().as_millis() as u64 + self.limits.head_ms;
                    }
                    c.input.extend_from_slice(&self.scratch[..n]);
                    if let Fate::Close = self.parse(id) {
                        return Fate::Close;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Fate::Keep,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fate::Close,
            }
        }
    }

    fn parse(&mut self, id: ConnId) -> Fate {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&id) else { return Fate::Keep };
        match &mut c.role {
            Role::Served { busy: true, .. } => Fate::Keep,
            Role::Served { busy, close } => match http::parse_request(&c.input) {
                Ok(Parsed::Partial) => Fate::Keep,
                Ok(Parsed::Whole(req, used)) => {
                    c.input.drain(..used);
                    *busy = true;
                    *close = req.close;
                    c.deadline = now + self.limits.idle_ms;
                    self.events.push_back(Event::Request { conn: id, req });
                    Fate::Keep
                }
                Err(e) => {
                    *close = true;
                    c.input.clear();
                    http::write_reply(&mut c.output, e.status(), None, b"", true);
                    self.flush(id);
                    Fate::Close
                }
            },
            Role::Calling { dest, tag, sent } => match http::parse_reply(&c.input) {
                Ok(Parsed::Partial) => Fate::Keep,
                Ok(Parsed::Whole(reply, used)) => {
                    let Some(t) = tag.take() else { return Fate::Close };
                    let reusable = !reply.close && used == c.input.len();
                    c.input.clear();
                    *sent = false;
                    c.deadline = now + POOL_IDLE_MS;
                    let dest = *dest;
                    self.events.push_back(Event::Reply { tag: t, result: Ok(reply) });
                    let idle = self.pool.entry(dest).or_default();
                    if reusable && idle.len() < POOL_MAX_IDLE {
                        idle.push(id);
                        self.idle_calls.push_back((id, now));
                        if self.idle_calls.len() > self.limits.idle_calls() {
                            self.close_oldest_idle_call();
                        }
                        Fate::Keep
                    } else {
                        Fate::Close
                    }
                }
                Err(_) => Fate::Close,
            },
            Role::FramesIn => {
                c.deadline = now + self.limits.idle_ms;
                let mut at = 0;
                while let Some(head) = c.input.get(at..at + 4) {
                    let n = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
                    if n > MAX_FRAME {
                        return Fate::Close;
                    }
                    let Some(body) = c.input.get(at + 4..at + 4 + n) else { break };
                    self.events.push_back(Event::Frame { bytes: body.to_vec() });
                    at += 4 + n;
                }
                c.input.drain(..at);
                Fate::Keep
            }
            Role::FramesOut { .. } => {
                c.input.clear(); // nothing is expected on this side
                Fate::Keep
            }
        }
    }

    fn close(&mut self, id: ConnId) {
        let Some(c) = self.conns.remove(&id) else { return };
        self.handle.remove(c.token);
        match c.role {
            Role::Calling { dest, tag, sent } => {
                if let Some(idle) = self.pool.get_mut(&dest) {
                    idle.retain(|&x| x != id);
                }
                if let Some(tag) = tag {
                    let e = if sent { CallError::Unknown } else { CallError::NotSent };
                    self.events.push_back(Event::Reply { tag, result: Err(e) });
                }
            }
            Role::FramesOut { link } => {
                let retry_at = self.now() + LINK_RETRY_MS;
                if let Some(l) = self.links.get_mut(link) {
                    l.conn = None;
                    l.retry_at = retry_at;
                }
            }
            _ => {}
        }
    }

    /// Answers a served request. Unknown connections (gone meanwhile) are ignored.
    pub fn respond(&mut self, conn: ConnId, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let Role::Served { busy, close } = &mut c.role else { return };
        if !std::mem::replace(busy, false) {
            return;
        }
        http::write_reply(&mut c.output, status, retry_after_s, body, *close);
        c.deadline = now + self.limits.idle_ms;
        if let Fate::Close = self.flush(conn) {
            return self.close(conn);
        }
        // Bytes of the next request may already be here.
        if self.conns.get(&conn).is_some_and(|c| !c.input.is_empty()) {
            if let Fate::Close = self.parse(conn) {
                self.close(conn);
            }
        }
    }

    /// Answers a report. Guard: more workers than sockets. While there are too
    /// few, it is also told to close the connection, which makes room for
    /// another; it comes back with its next report.
    pub fn respond_report(&mut self, conn: ConnId, status: u16, body: &[u8]) {
        if self.conns.len() > self.limits.crowded() {
            if let Some(Conn { role: Role::Served { close, .. }, .. }) = self.conns.get_mut(&conn) {
                *close = true;
            }
        }
        self.respond(conn, status, None, body);
    }

    /// Is the client of this connection still there, as far as is known?
    pub fn is_open(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// The process stood still while its clocks ran on. Whatever waits in its
    /// sockets is old, and whoever sent it has given up: all connections are
    /// closed, calls count as unanswered, and what was read already is dropped.
    pub fn stood_still(&mut self) {
        let ids: Vec<ConnId> = self.conns.keys().copied().collect();
        for id in ids {
            self.close(id);
        }
        self.events.retain_mut(|e| match e {
            Event::Reply { result, .. } => {
                if result.is_ok() {
                    *result = Err(CallError::Unknown);
                }
                true
            }
            Event::Request { .. } | Event::Frame { .. } => false,
        });
    }

    fn dial(dest: SocketAddr) -> io::Result<TcpStream> {
        use rustix::net::{connect, socket_with, AddressFamily, SocketFlags, SocketType};
        let SocketAddr::V4(v4) = dest else { return Err(io::ErrorKind::Unsupported.into()) };
        let fd: OwnedFd =
            socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC, None)?;
        match connect(&fd, &SocketAddrV4::new(*v4.ip(), v4.port())) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
            Err(e) => return Err(e.into()),
        }
        let stream = TcpStream::from(fd);
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    pub fn call(&mut self, call: Call) {
        let deadline = self.now() + call.timeout_ms;
        let id = match self.pool.get_mut(&call.dest).and_then(Vec::pop) {
            Some(id) => id,
            None => {
                if self.conns.len() >= self.limits.sockets {
                    self.free_sockets();
                }
                let role = Role::Calling { dest: call.dest, tag: None, sent: false };
                let opened = Net::dial(call.dest).ok().and_then(|s| self.register(s, role, true, deadline));
                let Some(id) = opened else {
                    self.events.push_back(Event::Reply { tag: call.tag, result: Err(CallError::NotSent) });
                    return;
                };
                id
            }
        };
        let Some(c) = self.conns.get_mut(&id) else { return };
        if let Role::Calling { tag, .. } = &mut c.role {
            *tag = Some(call.tag);
        }
        c.deadline = deadline;
        http::write_request(&mut c.output, call.method, &call.path, &call.dest.to_string(), &call.body);
        if let Fate::Close = self.flush(id) {
            self.close(id);
        }
    }

    /// Sends a frame to a peer, or drops it when the link is down or full:
    /// frames carry state that the next one repeats.
    pub fn send_frame(&mut self, link: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(l) = self.links.get(link) else { return };
        let id = match l.conn {
            Some(id) => id,
            None if now < l.retry_at => return,
            None => {
                let dest = l.dest;
                self.links[link].retry_at = now + LINK_RETRY_MS;
                let role = Role::FramesOut { link };
                let Some(id) = Net::dial(dest).ok().and_then(|s| self.register(s, role, true, now + CONNECT_MS)) else {
                    return;
                };
                self.links[link].conn = Some(id);
                id
            }
        };
        let Some(c) = self.conns.get_mut(&id) else { return };
        if c.output.len() - c.written > LINK_QUEUE || bytes.len() > MAX_FRAME {
            return;
        }
        c.output.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        c.output.extend_from_slice(bytes);
        if let Fate::Close = self.flush(id) {
            self.close(id);
        }
    }

    /// Closes what has passed its deadline.
    pub fn sweep(&mut self) {
        let now = self.now();
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + 100;
        let late: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| match c.role {
                // A standing link lives until it breaks or no longer drains.
                Role::FramesOut { .. } => {
                    (c.connecting && now >= c.deadline) || c.output.len() - c.written > LINK_QUEUE
                }
                _ => now >= c.deadline,
            })
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            self.close(id);
        }
    }

    /// Runs the loop for one turn of at most `wait`.
    pub fn turn(&mut self, event_loop: &mut EventLoop<'static, Net>, wait: Duration) -> io::Result<()> {
        let wait = if self.events.is_empty() { wait } else { Duration::ZERO };
        match event_loop.dispatch(wait, self) {
            Ok(()) => {}
            Err(calloop::Error::IoError(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(io::Error::other(e.to_string())),
        }
        self.sweep();
        Ok(())
    }
}

#[cfg(test)]
#[path = "tests/net.rs"]
mod tests;
