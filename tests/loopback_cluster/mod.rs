//! Runs a small cluster on loopback: controller processes with stand-ins for the
//! key-value store, the cloud and one worker, which implement the protocol.

// Two test binaries include this module. Neither uses all of it; together they do.
#![allow(dead_code)]

use std::{
    thread,
    time::{Duration, Instant},
};

pub mod cloud;
pub mod cluster;
pub mod controllers;
pub mod history;
pub mod http;
pub mod json_size;
pub mod key_value_store;
pub mod status_watch;
pub mod upgrade;
pub mod users;
pub mod versions;
pub mod worker;

/// Time after which [`wait_for`] fails the test.
const WAIT_MAX: Duration = Duration::from_secs(40);
/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until `poll` returns a value, and fails the test after [`WAIT_MAX`]
/// without one.
pub fn wait_for<T>(condition: &str, poll: impl FnMut() -> Option<T>) -> T {
    wait_up_to(WAIT_MAX, condition, poll)
}

/// Polls like [`wait_for`], with a time limit of its own.
pub fn wait_up_to<T>(wait_max: Duration, condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + wait_max;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < until, "timed out waiting for: {condition}");
        thread::sleep(POLL_INTERVAL);
    }
}
