//! One controller: the layers wired together around the event loop.

mod duties;
mod users;
mod wiring;

pub use wiring::{run, Node, NodeError};
