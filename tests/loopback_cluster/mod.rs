//! A small cluster on loopback: real controller processes between stand-ins for
//! the state service, the cloud and one worker, written from the protocol.
//!
//! Used by several test programs, none of which needs all of it.
#![allow(dead_code)]

use std::{
    thread,
    time::{Duration, Instant},
};

pub mod answer_watch;
pub mod cloud;
pub mod cluster;
pub mod controllers;
pub mod history;
pub mod http;
pub mod json_size;
pub mod state_service;
pub mod upgrade;
pub mod users;
pub mod versions;
pub mod worker;

/// How long [`wait_for`] waits.
const PATIENCE: Duration = Duration::from_secs(40);
const POLL_GAP: Duration = Duration::from_millis(50);

/// Waits until `f` gives something, and fails the test if it never does.
pub fn wait_for<T>(what: &str, f: impl FnMut() -> Option<T>) -> T {
    wait_up_to(PATIENCE, what, f)
}

/// As [`wait_for`], for what may take longer.
pub fn wait_up_to<T>(patience: Duration, what: &str, mut f: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + patience;
    loop {
        if let Some(x) = f() {
            return x;
        }
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(POLL_GAP);
    }
}
