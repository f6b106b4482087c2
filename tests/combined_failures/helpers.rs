//! Submissions and heartbeats that several cases share.

use shedhook::protocol::{jobs::Submission, workers::Heartbeat};

use crate::simulation::{submission, Held, Simulation};

/// Delivers copies of heartbeats to whoever leads then.
pub fn deliver_reports_later(sim: &mut Simulation, heartbeats: &[Heartbeat], delay_ms: u64) {
    let at = sim.now + delay_ms;
    sim.delayed.extend(heartbeats.iter().map(|r| (at, Held::Heartbeat(r.clone()))));
}

/// A submission of low priority.
pub fn low(id: &str, kind: &str, tasks: u32) -> Submission {
    let mut job = submission(id, kind, tasks);
    job.priority = Some("low".into());
    job
}

/// A submission of high priority.
pub fn high(id: &str, kind: &str, tasks: u32, cpus: f64) -> Submission {
    let mut job = submission(id, kind, tasks);
    (job.priority, job.cpus) = (Some("high".into()), Some(cpus));
    job
}
