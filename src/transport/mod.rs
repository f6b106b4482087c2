//! Sockets, HTTP and peer frames on one `calloop` event loop.
//!
//! This layer transports bytes and doesn't interpret message contents: [`http`] parses
//! and writes HTTP/1.1 messages, [`net`] owns the sockets.

pub mod descriptors;
pub mod http;
pub mod net;

pub use http::{Method, Reply, Request};
pub use net::{Call, CallError, ConnectionId, Event, Limits, ListenerKind, Net};
