//! One controller: the layers wired together around the event loop.

mod background;
mod gossip;
mod leading;
mod replies;
mod upgrade;
mod users;
mod wiring;
mod workers;

pub use wiring::{run, Node, NodeError};
