//! Who leads, and what runs where. Everything here is pure: events and the
//! present moment go in, effects come out.

pub mod autoscaler;
pub mod election;
pub mod ephemeral_key;
pub mod leader;
pub mod lease_renewal;
pub mod model;
pub mod preemption;
pub mod scheduler;
pub mod snapshot;
pub mod trial;
