//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// The time of day, in ms since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
