//! Leader election and scheduling: which controller leads, and which task runs on
//! which machine.
//!
//! All modules here are deterministic and free of I/O: they take events and the
//! current time as input, and return effects for the caller to perform.

mod autoscaler;
pub mod cluster;
mod commits;
pub mod effects;
pub mod election;
pub mod ephemeral_key;
pub mod leader;
pub mod lease_renewal;
pub mod model;
mod scheduler;
pub mod snapshot;
mod workers;

pub use self::{autoscaler::ScaleOutOutcome, workers::stop_commands_for_cancelled};
