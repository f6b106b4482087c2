//! Sockets, HTTP and peer frames on one `calloop` loop. Knows bytes only.

pub mod http;
pub mod net;

pub use http::{Reply, Request};
pub use net::{Call, CallError, ConnId, Event, Limits, Net};
