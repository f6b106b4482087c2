//! One request to an outside service, and why it may have no reply.

use std::net::SocketAddr;

use crate::transport::http::Method;

/// One request to an outside service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the service.
    pub destination: SocketAddr,
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
