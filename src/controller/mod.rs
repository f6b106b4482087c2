//! One controller: the other layers, connected around the event loop.
//!
//! `wiring::Controller` owns all state. Its components each have a module with the
//! methods that work on them; [`run()`] feeds it events and ticks.

mod background;
mod budgets;
mod calls;
mod commits;
mod effects;
mod gossip;
mod grants;
mod health;
mod job_feed;
mod leader_config;
mod leader_key;
mod leading;
mod machine_types;
mod peers;
mod poll_loop;
mod replies;
mod routes;
mod run;
mod task_loading;
mod upgrade;
mod users;
mod waiters;
mod wiring;
mod workers;

pub use run::{run, ControllerError};
