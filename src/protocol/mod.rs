//! What is said on each interface, as typed messages. Wire names stay here.

pub mod cbor;
pub mod cloud;
pub mod jobs;
pub mod names;
pub mod operator;
pub mod peers;
pub mod settings;
pub mod store;
pub mod workers;
