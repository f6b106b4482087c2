//! shedhook: a cluster scheduler as a library; `main.rs` is the thin daemon.
//!
//! Layers, lower first: [`transport`], [`protocol`], [`coordination`] beside
//! [`bookkeeping`]; [`node`] wires them into one controller.

pub mod bookkeeping;
pub mod coordination;
pub mod node;
pub mod protocol;
pub mod transport;
