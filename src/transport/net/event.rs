//! Events that [`Net`](super::Net) queues for its owner.

use super::{CallError, ConnectionId};
use crate::transport::http::{Reply, Request};

/// A message received on a socket, or the outcome of a call.
#[derive(Debug)]
pub enum Event {
    /// A client's request, to which [`Net::respond`](super::Net::respond) responds.
    Request {
        /// Connection on which the response must be sent.
        connection: ConnectionId,
        /// The complete request.
        request: Request,
    },
    /// The outcome of a [`Call`](super::Call).
    Reply {
        /// [`Call::tag`](super::Call::tag) of the call.
        tag: u64,
        /// The reply, or why none was received.
        result: Result<Reply, CallError>,
    },
    /// A frame received from a peer.
    Frame {
        /// Content of the frame, without its length prefix.
        bytes: Vec<u8>,
    },
}
