//! One TCP connection: its role, buffers and deadline.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
};

use calloop::RegistrationToken;

/// Identifies a connection; unique within the process, as numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl ConnectionId {
    pub(super) const FIRST: ConnectionId = ConnectionId(1);

    pub(super) fn next(self) -> ConnectionId {
        ConnectionId(self.0 + 1)
    }
}

/// The purpose of a connection.
pub(super) enum Role {
    /// This process is the server of an HTTP client.
    Server {
        /// Whether a request was received whose response is still due.
        responding: bool,
        /// Whether the connection must be closed after the response.
        close_after_response: bool,
    },
    /// This process is the HTTP client of a service.
    Client {
        service: SocketAddr,
        /// Tag of the call in flight; `None` while the connection is idle.
        tag: Option<u64>,
        /// Whether sending of that call has started. If not, the call fails with
        /// [`CallError::NotSent`](super::CallError::NotSent).
        sent: bool,
    },
    /// A peer sends frames to this process.
    PeerInbound,
    /// This process sends frames to a peer, on the link with this number.
    PeerOutbound { link: usize },
}

/// Whether a connection is kept or closed after an operation on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    Keep,
    Close,
}

/// The outcome of a non-blocking read.
pub(super) enum ReadOutcome {
    /// Number of bytes that were read into the buffer.
    Bytes(usize),
    /// No bytes are available at present.
    WouldBlock,
    /// The end of the stream was reached, or the read failed.
    Closed,
}

/// An open connection.
pub(super) struct Connection {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub role: Role,
    /// Whether the connection is not established yet.
    pub connecting: bool,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    /// Number of bytes of `output` that were already written to the socket.
    pub written: usize,
    /// Time at which the connection is closed, in ms of [`super::Net::now`]; not applied to an
    /// established outbound peer link.
    pub deadline: u64,
}

impl Connection {
    /// Returns the number of bytes that are still to be written.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Reports whether this is an HTTP client's connection on which no request is being
    /// received or handled.
    pub fn awaits_request(&self) -> bool {
        matches!(self.role, Role::Server { responding: false, .. }) && self.input.is_empty()
    }

    /// Writes as much of the output as the socket accepts.
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

    /// Reads into `buffer` once, and again only if a signal interrupted the read.
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
