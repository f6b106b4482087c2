//! Control of the workers: heartbeats are reconciled with the cluster state,
//! commands are sent, and expired leases are noticed.

mod commands;
mod direct_calls;
mod exits;
mod failures;
mod heartbeats;
mod leases;
mod reach;
mod task_statuses;

pub use self::commands::halts_of_cancelled;
pub use self::heartbeats::SAVE_MARGIN_S;
use super::{lease_renewal::TimeSpan, model::Millis};

/// State of the control of the workers.
#[derive(Debug)]
pub struct WorkerControl {
    /// The time in which no other controller renewed any lease.
    pub no_peer_renewals: TimeSpan,
    /// Failed tasks are judged no earlier.
    pub next_judgement: Millis,
}

impl WorkerControl {
    /// The control of a leadership that begins now.
    pub fn new(now: Millis) -> WorkerControl {
        WorkerControl { no_peer_renewals: TimeSpan::ALWAYS, next_judgement: now }
    }
}
