//! The wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall clock's time in ms since the Unix epoch; 0 if the clock is set before it.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
