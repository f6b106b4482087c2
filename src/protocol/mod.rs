//! The messages of each interface as types, their encodings, and the settings.
//!
//! Names used on wires appear only here, in serde attributes.

pub mod cbor;
pub mod cloud;
pub mod ids;
pub mod jobs;
pub mod names;
pub mod operator;
pub mod peers;
pub mod settings;
pub mod store;
pub mod workers;
