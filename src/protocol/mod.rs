//! Message types of each interface, their encodings, and the settings.
//!
//! The names on the wire appear only here, in serde attributes.

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
