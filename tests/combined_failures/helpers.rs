//! Submissions and heartbeats that several cases share.

use shedhook::protocol::{jobs::Submission, workers::Heartbeat};

use crate::simulation::{submission, Simulation, SubmissionBuilder};

/// Delivers copies of heartbeats to the controller that leads after `delay_ms`.
pub fn deliver_heartbeats_later(sim: &mut Simulation, heartbeats: &[Heartbeat], delay_ms: u64) {
    let at = sim.now() + delay_ms;
    for heartbeat in heartbeats {
        sim.network.deliver_heartbeat_at(at, heartbeat.clone());
    }
}

/// Returns a submission of low priority.
pub fn low_priority(id: &str, kind: &str, tasks: u32) -> Submission {
    submission(id, kind, tasks).with_priority("low")
}

/// Returns a submission of high priority.
pub fn high_priority(id: &str, kind: &str, tasks: u32, cpus: f64) -> Submission {
    submission(id, kind, tasks).with_priority("high").with_cpus(cpus)
}
