//! The controller process: its event loop, and the components that connect the other layers.
//!
//! [`run()`] feeds events and ticks to `instance::Controller`, which owns the
//! components and dispatches each event to them. A component is a module with
//! private state and one responsibility:
//!
//! - `service_client`: requests to the key-value store, the cloud and the workers,
//!   their rate-limit budgets, and the purpose of each pending call.
//! - `store_health`: whether the key-value store responds to this controller.
//! - `peers`: the state of the other controllers, exchanged by gossip.
//! - `election_driver`, `renewal_key`: the two keys that this controller can hold under
//!   store leases. The first permits it to lead, the second to renew worker leases
//!   without leading.
//! - `leader_key_watch`, `job_watch`, `version_watch`, `machine_types`: data that is
//!   polled or watched in the store and the cloud.
//! - `users`: the API for users, and their requests that wait for the read barrier.
//! - `leadership`: the duties of the controller that leads.

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
