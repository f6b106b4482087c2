//! Outgoing requests to services and workers, and their errors.

use std::net::SocketAddr;

use crate::transport::http::Method;

/// One request to a service (key-value store or cloud) or to a worker.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the service or worker.
    pub destination: SocketAddr,
    /// Method of the request.
    pub method: Method,
    /// Path, including the query if there is one.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// Time after which the call fails if no complete reply was received, in ms.
    pub timeout_ms: u64,
    /// Identifies the call; returned in [`Event::Reply`](super::Event::Reply).
    pub tag: u64,
}

/// Why a call failed without a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection was not established, so nothing was sent: the request was not
    /// executed and won't be.
    #[error("request not sent")]
    NotSent,
    /// No complete response was received: the request may have been executed, or may
    /// still be executed later.
    #[error("no complete response received")]
    Unknown,
}
