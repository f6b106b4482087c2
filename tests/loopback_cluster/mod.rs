//! A small cluster on loopback: real controller processes between stand-ins for
//! the key-value store, the cloud and one worker, written from the protocol.

// Two test binaries include this module, and neither needs all of it; together
// they use all.
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

/// How long [`wait_for`] waits.
const WAIT_MAX: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until `poll` gives something, and fails the test if it never does.
pub fn wait_for<T>(what: &str, poll: impl FnMut() -> Option<T>) -> T {
    wait_up_to(WAIT_MAX, what, poll)
}

/// As [`wait_for`], for what may take longer.
pub fn wait_up_to<T>(wait_max: Duration, what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + wait_max;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
