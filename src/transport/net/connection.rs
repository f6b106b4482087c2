//! One TCP connection: what it is used for, its buffers and its deadline.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
};

use calloop::RegistrationToken;

/// Identifies a connection for the life of the process; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    pub(super) const FIRST: ConnectionId = ConnectionId(1);

    pub(super) fn next(self) -> ConnectionId {
        ConnectionId(self.0 + 1)
    }
}

/// What a connection is used for.
pub(super) enum Role {
    /// This process is the server of an HTTP client.
    Server {
        /// A request is being answered.
        responding: bool,
        /// The connection must be closed after the reply.
        close_after_response: bool,
    },
    /// This process is the HTTP client of a service.
    Client {
        service: SocketAddr,
        /// Tag of the call in flight, if any.
        tag: Option<u64>,
        /// Whether any byte of that call was written.
        sent: bool,
    },
    /// A peer sends frames.
    PeerInbound,
    /// This process sends frames to the peer with this number.
    PeerOutbound { link: usize },
}

/// What to do with a connection after an operation on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    Keep,
    Close,
}

/// What became of a non-blocking read.
pub(super) enum ReadOutcome {
    /// So many bytes were read into the buffer.
    Bytes(usize),
    /// No more bytes for now.
    WouldBlock,
    /// End of stream, or an error.
    Closed,
}

/// An open connection.
pub(super) struct Connection {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub role: Role,
    /// The connection is not established yet.
    pub connecting: bool,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Bytes of `output` that were written already.
    pub written: usize,
    /// The connection is closed at this time, in ms of [`super::Net::now`].
    pub deadline: u64,
}

impl Connection {
    /// Bytes that still wait to be written.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether it serves a client that has no request under way.
    pub fn awaits_request(&self) -> bool {
        matches!(self.role, Role::Server { responding: false, .. }) && self.input.is_empty()
    }

    /// Writes as much of the output as the socket takes.
    pub fn flush(&mut self) -> Disposition {
        if self.connecting {
            return Disposition::Keep;
        }
        while self.written < self.output.len() {
            if let Role::Client { sent, .. } = &mut self.role {
                *sent = true;
            }
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return Disposition::Close,
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Disposition::Keep,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Disposition::Close,
            }
        }
        self.output.clear();
        self.written = 0;
        match self.role {
            Role::Server { responding: false, close_after_response: true } => Disposition::Close,
            _ => Disposition::Keep,
        }
    }

    /// Reads once into `buffer`.
    pub fn read_into(&self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            match (&*self.stream).read(buffer) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => return ReadOutcome::Bytes(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }
}
