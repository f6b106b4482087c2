//! Who leads and what runs where. Pure: events and `now` in, effects out.

pub mod election;
pub mod fleet;
pub mod keeping;
pub mod leader;
pub mod model;
pub mod pass;
pub mod picture;
pub mod preemption;
pub mod rent;
pub mod trial;
