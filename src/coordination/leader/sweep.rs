//! Regular checks for what only time tells, and the summary for the logs.

use super::Leader;
use crate::coordination::model::{MachineIndex, MachineLifecycle, Millis, Resources};

/// Interval of the checks: short against leases and heartbeat interval.
const SWEEP_MS: Millis = 250;
/// Interval of the summary in the logs.
pub(in crate::coordination) const SUMMARY_MS: Millis = 10_000;

impl Leader {
    /// Checks every machine for what only time tells: leases that ran out,
    /// heartbeats that are overdue, machines that have nothing to do or may take
    /// nothing new.
    pub fn sweep(&mut self, now: Millis) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_MS;
        self.cluster.last_event_at = now;
        for n in 0..self.cluster.machines.len() {
            let index = MachineIndex(n as u32);
            if self.cluster.machines[n].lifecycle == MachineLifecycle::Gone {
                continue;
            }
            self.expire_lease(now, index);
            self.probe_if_overdue(now, index);
            self.note_idle(now, index);
            self.cluster.refresh(now, index);
        }
        self.judge_failures(now);
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_MS;
            self.log_summary();
        }
    }

    /// Logs what there is, what of it is in use, what waits, and what was
    /// written since the last summary.
    fn log_summary(&mut self) {
        let (mut capacity, mut free, mut closed) = (Resources::default(), Resources::default(), 0);
        for pool in &self.cluster.snapshot.pools {
            capacity += pool.capacity * pool.members.len() as f64;
            for host in pool.members.iter().filter_map(|&n| self.cluster.snapshot.hosts.get(n as usize)) {
                free += host.free.max0();
                closed += u32::from(!host.open);
            }
        }
        let written = self.commits.take_statistics();
        tracing::info!(
            machines_up = self.cluster.snapshot.pools.iter().map(|pool| pool.members.len()).sum::<usize>(),
            machines_unschedulable = closed,
            cpus = capacity.cpus.round(),
            cpus_free = free.cpus.round(),
            gpus = capacity.gpus.round(),
            gpus_free = free.gpus.round(),
            jobs = self.cluster.active.len(),
            waiting_jobs = self.cluster.backlog.unmet.len(),
            transactions = written.txns,
            placements = written.placements,
            exits = written.exits,
            completed_jobs = written.completed_jobs,
            deleted_records = written.deleted_records,
            writing_ms = written.mean_placement_wait_ms(),
            "summary"
        );
    }

    fn note_idle(&mut self, now: Millis, index: MachineIndex) {
        let machine = &mut self.cluster.machines[index.at()];
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
