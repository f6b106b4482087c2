//! Headroom: capacity reserved for the service replicas that are expected next.

use std::rc::Rc;

use crate::{
    coordination::{cluster::ClusterState, model::Millis, scheduler::trial::TrialRequest},
    protocol::jobs::{JobKind, JobSpec, Priority},
    storage::records::JobStatus,
};

/// Window over which the arrival rate of replicas is measured.
const ARRIVAL_WINDOW_S: f64 = 120.0;
/// Capacity is reserved for the replicas expected to arrive within this time:
/// about the time that a new machine takes to boot.
const LEAD_TIME_S: f64 = 30.0;
/// Maximum number of replicas of one class for which capacity is reserved.
const REPLICAS_MAX: usize = 4;

/// Replicas of one class that are expected soon.
pub struct ExpectedReplicas {
    spec: Rc<JobSpec>,
    replicas: usize,
}

/// Replicas of one class that arrived within the window.
struct RecentArrivals {
    spec: Rc<JobSpec>,
    replicas: f64,
}

/// Returns the classes of the unfinished production services, with the number of
/// replicas of each that are expected within the time that a new machine takes to
/// boot.
pub fn expected_replicas(cluster: &ClusterState, now: Millis) -> Vec<ExpectedReplicas> {
    let mut arrivals: Vec<RecentArrivals> = Vec::new();
    for job in cluster.active_jobs() {
        let spec = &job.spec;
        let is_service = spec.kind == JobKind::Service && spec.priority == Priority::Production;
        if !is_service || job.status != JobStatus::Pending {
            continue;
        }
        let recent = if job.age_s(now) < ARRIVAL_WINDOW_S { f64::from(spec.tasks) } else { 0.0 };
        match arrivals.iter_mut().find(|known| known.spec.class == spec.class) {
            Some(known) => known.replicas += recent,
            None => arrivals.push(RecentArrivals { spec: spec.clone(), replicas: recent }),
        }
    }
    arrivals.into_iter().map(RecentArrivals::expected).collect()
}

/// Reserves capacity for replicas of one class, until the reservations are released.
pub fn reserve_headroom(cluster: &mut ClusterState, expected: &ExpectedReplicas) {
    let spec = &expected.spec;
    let tasks: Vec<u32> = (0..expected.replicas as u32).collect();
    let outcome = cluster.snapshot_mut().trial(&TrialRequest::with_stopping_capacity(spec, &tasks, 1, &[]));
    let hosts = outcome.placements.iter().map(|placement| placement.host);
    cluster.snapshot_mut().reserve_for_tasks(spec, hosts);
}

/// Reserves capacity for all replicas that are expected next, until the
/// reservations are released.
pub fn reserve_all_headroom(cluster: &mut ClusterState, now: Millis) {
    for expected in expected_replicas(cluster, now) {
        reserve_headroom(cluster, &expected);
    }
}

impl RecentArrivals {
    fn expected(self) -> ExpectedReplicas {
        let in_lead_time = (self.replicas / ARRIVAL_WINDOW_S * LEAD_TIME_S).ceil() as usize;
        ExpectedReplicas { spec: self.spec, replicas: in_lead_time.clamp(1, REPLICAS_MAX) }
    }
}
