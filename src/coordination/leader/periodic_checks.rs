//! Periodic checks for conditions that arise from the passage of time, and the summary
//! in the logs.

use super::Leader;
use crate::coordination::{
    model::{MachineIndex, MachineLifecycle, Millis, Resources},
    snapshot::ClusterSnapshot,
    workers::probes,
};

/// Interval of the checks, in ms: short compared with leases and the heartbeat interval.
const PERIODIC_CHECK_INTERVAL_MS: Millis = 250;
/// Interval of the summary in the logs, in ms.
pub(in crate::coordination) const SUMMARY_INTERVAL_MS: Millis = 10_000;

impl Leader {
    /// Checks every machine, once per interval, for conditions that arise from the passage
    /// of time: expired leases, late heartbeats, machines that are idle or may take no new
    /// tasks. Also evaluates recent task failures, and logs the summary when it is due.
    pub fn run_periodic_checks(&mut self, now: Millis) {
        if now < self.next_periodic_checks {
            return;
        }
        self.next_periodic_checks = now + PERIODIC_CHECK_INTERVAL_MS;
        self.cluster.record_event_at(now);
        for index in self.cluster.machine_indices() {
            if self.cluster.machine(index).lifecycle == MachineLifecycle::Gone {
                continue;
            }
            self.workers.expire_lease(&mut self.cluster, now, index);
            probes::probe_if_heartbeat_late(&mut self.cluster, &mut self.outbox, now, index);
            self.update_idle_since(now, index);
            self.cluster.update_snapshot_host(now, index);
        }
        self.workers.attribute_failures(&mut self.cluster, now);
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL_MS;
            self.log_summary();
        }
    }

    /// Logs the machines' total and free capacity, the numbers of jobs and of waiting
    /// jobs, and the counts of the writes since the last summary.
    fn log_summary(&mut self) {
        let totals = CapacityTotals::of(self.cluster.snapshot());
        let written = self.commits.take_statistics();
        tracing::info!(
            machines_up = totals.machines,
            machines_unschedulable = totals.unschedulable_machines,
            cpus = totals.capacity.cpus.round(),
            cpus_free = totals.free.cpus.round(),
            gpus = totals.capacity.gpus.round(),
            gpus_free = totals.free.gpus.round(),
            jobs = self.cluster.active_job_count(),
            waiting_jobs = self.cluster.unmet_demand().len(),
            transactions = written.transactions,
            placements = written.placements,
            exits = written.exits,
            completed_jobs = written.completed_jobs,
            deleted_records = written.deleted_records,
            writing_ms = written.mean_placement_wait_ms(),
            "summary"
        );
    }

    /// Records the time since which a machine, or its GPUs, have been idle.
    fn update_idle_since(&mut self, now: Millis, index: MachineIndex) {
        let machine = self.cluster.machine_mut(index);
        if machine.lifecycle != MachineLifecycle::Up {
            return;
        }
        if machine.load.gpu_assignments == 0 {
            machine.load.gpu_idle_since.get_or_insert(now);
        }
        if machine.load.assignments.is_empty() {
            machine.load.idle_since.get_or_insert(now);
        }
    }
}

/// Capacity of all machines together.
#[derive(Debug, Default)]
struct CapacityTotals {
    machines: usize,
    /// Number of machines that take no new tasks.
    unschedulable_machines: u32,
    capacity: Resources,
    free: Resources,
}

impl CapacityTotals {
    fn of(snapshot: &ClusterSnapshot) -> CapacityTotals {
        let mut totals = CapacityTotals::default();
        for pool in &snapshot.pools {
            totals.machines += pool.members.len();
            totals.capacity += pool.capacity * pool.members.len() as f64;
            for host in pool.members.iter().filter_map(|&host_index| snapshot.hosts.get(host_index as usize)) {
                totals.free += host.free.clamp_to_zero();
                totals.unschedulable_machines += u32::from(!host.schedulable);
            }
        }
        totals
    }
}
