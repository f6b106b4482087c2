//! shedhook: a cluster scheduler as a library; `main.rs` is the daemon around it.
//!
//! The layers, from the lowest:
//!
//! - [`transport`]: sockets, HTTP and frames of peers.
//! - [`protocol`]: typed messages of all interfaces, and the settings.
//! - [`storage`]: records, the cache of them, and request budgets.
//! - [`coordination`]: all decisions, without any I/O.
//! - [`controller`]: one controller, made of the other layers.

#![deny(missing_docs)]

pub mod controller;
pub mod coordination;
pub mod protocol;
pub mod storage;
pub mod transport;
