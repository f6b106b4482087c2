//! One controller: the other layers, connected around the event loop.
//!
//! [`run()`] feeds events and ticks to `instance::Controller`, which owns the
//! components and hands each event on. A component is a module with private
//! state and one job:
//!
//! - `service_client`: requests to the key-value store, the cloud and the workers,
//!   their budgets, and what each pending reply is for.
//! - `store_health`: whether the key-value store serves this controller.
//! - `peers`: the other controllers, and gossip with them.
//! - `election_driver`, `renewal_key`: the keys that this controller holds under
//!   store leases, to lead and to renew leases.
//! - `leader_key_watch`, `job_watch`, `version_watch`, `machine_types`: what is read
//!   again and again from the store and the cloud.
//! - `users`: the API for users, and their requests that wait for the read barrier.
//! - `leadership`: what a controller does while it leads.

mod clock;
mod cluster_limits;
mod election_driver;
mod identity;
mod instance;
mod job_watch;
mod leader_key_watch;
mod leadership;
mod machine_types;
mod peers;
mod poll_schedule;
mod renewal_key;
mod role;
mod run;
mod service_client;
mod store_health;
#[cfg(test)]
#[path = "tests/support.rs"]
mod test_support;
mod users;
mod version_watch;

pub use run::{run, ControllerError};
