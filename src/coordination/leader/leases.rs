//! What the end of a worker's lease proves.

use super::*;

/// Machines are looked over this often for what only time tells.
const SWEEP_MS: Ms = 250;
/// How often the logs get a summary.
const SUMMARY_MS: Ms = 10_000;

impl Leader {
    /// What only time tells: leases that ran out, reports that are overdue,
    /// machines that have nothing to do or may take nothing new.
    pub fn sweep(&mut self, now: Ms) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_MS;
        self.clock = now;
        for n in 0..self.machines.len() {
            let ix = MachineIx(n as u32);
            if self.machines[n].life == MachineLifecycle::Gone {
                continue;
            }
            self.expire(now, ix);
            self.probe(now, ix);
            self.note_idle(now, ix);
            self.refresh(now, ix);
        }
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_MS;
            self.summarize();
        }
    }

    /// For the logs: what there is, what of it is in use, what waits, and what
    /// was written since the last time.
    fn summarize(&mut self) {
        let (mut cap, mut free, mut closed) = (Res::default(), Res::default(), 0);
        for p in &self.snapshot.pools {
            cap += p.cap * p.members.len() as f64;
            for h in p.members.iter().filter_map(|&n| self.snapshot.hosts.get(n as usize)) {
                free += h.free.max0();
                closed += u32::from(!h.open);
            }
        }
        let w = std::mem::take(&mut self.written_since);
        let writing_ms = w.waited_ms / u64::from(w.assignments.max(1));
        tracing::info!(
            up = self.snapshot.pools.iter().map(|p| p.members.len()).sum::<usize>(),
            closed,
            cpus = cap.cpus.round(),
            cpus_free = free.cpus.round(),
            gpus = cap.gpus.round(),
            gpus_free = free.gpus.round(),
            jobs = self.active.len(),
            waiting = self.fleet.unmet.len(),
            txns = w.txns,
            placements = w.assignments,
            ends = w.ends,
            dones = w.dones,
            drops = w.drops,
            writing_ms,
            "summary"
        );
    }

    fn note_idle(&mut self, now: Ms, ix: MachineIx) {
        let m = &mut self.machines[ix.at()];
        if m.life != MachineLifecycle::Up {
            return;
        }
        if m.gpu_assignments == 0 {
            m.gpu_idle_since.get_or_insert(now);
        }
        if m.assignments.is_empty() {
            m.idle_since.get_or_insert(now);
        }
    }

    /// Shows the snapshot what a machine is and whether it takes new tasks.
    pub fn refresh(&mut self, now: Ms, ix: MachineIx) {
        let m = &self.machines[ix.at()];
        let is_there = matches!(m.life, MachineLifecycle::Up | MachineLifecycle::Returning) && m.session != 0;
        let t = if is_there { self.type_of(m) } else { None };
        let open = m.life == MachineLifecycle::Up
            // Guard: a machine that reaches no controller answers calls, but its
            // lease is running out: what starts there would soon be lost.
            && m.reported.is_some_and(|r| now < r + 2 * self.cfg.report_ms + 500)
            // Guard: it has shown our token, so it hears us. A copy of an old
            // report, of a machine that was handed back, say, can't show it.
            && m.fenced()
            && m.session > m.dead_session
            && m.notice_until.is_none()
            && !m.retire
            && now >= m.avoid_until;
        let gpu_only = t.is_some_and(|t| self.runs_empty(now, m, t));
        let (zone, spot) = (m.zone, m.spot);
        let pool = match t.map(|t| self.snapshot.find_pool(t.ix, zone, spot).ok_or_else(|| t.clone())) {
            Some(Err(t)) => Some(self.snapshot.pool_of(&t, zone, spot)),
            Some(Ok(p)) => Some(p),
            None => None,
        };
        let was = self.snapshot.hosts.get(ix.at()).is_some_and(|h| h.open);
        self.pass_needed |= open && !was;
        self.snapshot.move_to(ix.at(), pool);
        self.snapshot.set_open(ix.at(), open && pool.is_some(), gpu_only);
    }

    /// Frees what the end of a lease proves gone.
    fn expire(&mut self, now: Ms, ix: MachineIx) {
        let m = &self.machines[ix.at()];
        if m.assignments.is_empty() && m.unreaped_exits.is_empty() {
            return;
        }
        // Guard: counted from the last 200 that any leader could have sent
        // (a new leader counts from its own start), both clocks' drift added.
        // Another controller may have kept it: then from the last moment at
        // which one could have, and only once all have spoken for the time since.
        let lease = (self.cfg.lease_ms + self.cfg.lease_ms / 500 + 500) as i64;
        let end = (m.renewed as i64).max(self.no_peer_renewals.0) + lease;
        if (now as i64) < end || self.no_peer_renewals.1 < end {
            return;
        }
        tracing::warn!(machine = &*m.id, tasks = m.assignments.len(), "lease ran out");
        let top = m.assignments.iter().filter_map(|&p| self.assignment(p)).map(|p| p.session).max().unwrap_or(0);
        let m = &mut self.machines[ix.at()];
        m.dead_session = m.dead_session.max(m.session).max(top);
        self.free_machine(ix, None);
    }
}
