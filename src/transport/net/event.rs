//! What the event loop tells the owner of [`Net`](super::Net).

use super::{CallError, ConnectionId};
use crate::transport::http::{Reply, Request};

/// What happened on the sockets.
#[derive(Debug)]
pub enum Event {
    /// A client's request, to be answered by [`Net::respond`](super::Net::respond).
    Request {
        /// The client's connection.
        connection: ConnectionId,
        /// The request.
        request: Request,
    },
    /// The outcome of a [`Call`](super::Call).
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
