//! What the end of a worker's lease proves.

use super::*;

impl Leader {
    /// Frees what lease expiry proves gone.
    pub fn expire(&mut self, now: Ms) {
        for n in 0..self.machines.len() {
            let m = &self.machines[n];
            if m.places.is_empty() && m.tombs.is_empty() {
                continue;
            }
            // Guard: counted from the last 200 that any leader could have sent
            // (a new leader counts from its own start), both clocks' drift added.
            let end = m.renewed + self.cfg.lease_ms + self.cfg.lease_ms / 500 + 500;
            if now < end {
                continue;
            }
            let ix = MachineIx(n as u32);
            tracing::warn!(machine = &*m.id, tasks = m.places.len(), "lease ran out");
            let top = m.places.iter().filter_map(|&p| self.place(p)).map(|p| p.session).max().unwrap_or(0);
            let m = &mut self.machines[n];
            m.dead_session = m.dead_session.max(m.session).max(top);
            self.free_machine(ix, None);
        }
    }
}
