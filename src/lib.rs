//! shedhook: a cluster scheduler as a library; `main.rs` is the daemon that runs it.
//!
//! The layers, from the lowest to the highest:
//!
//! - [`transport`]: sockets, HTTP and peer frames.
//! - [`protocol`]: typed messages of all interfaces, and the settings.
//! - [`storage`]: stored records, their cache, and request budgets.
//! - [`coordination`]: all decisions, without I/O.
//! - [`controller`]: one controller, which connects the other layers.

#![deny(missing_docs)]

pub mod controller;
pub mod coordination;
pub mod protocol;
pub mod storage;
pub mod transport;
