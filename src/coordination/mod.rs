//! Who leads and what runs where. Pure: events and `now` in, effects out.

pub mod election;
pub mod fleet;
pub mod leader;
pub mod lease_renewal;
pub mod model;
pub mod pass;
pub mod preemption;
pub mod rent;
pub mod snapshot;
pub mod trial;
