//! Machines become known, and the snapshot is shown what they are.

use super::{base_token, Leader};
use crate::{
    coordination::model::{Machine, MachineIx, MachineLifecycle, Ms},
    protocol::names::ZoneIx,
};

/// How far past its second missed report a machine still takes new tasks.
const REPORT_SLACK_MS: Ms = 500;

impl Leader {
    /// The machine of this name, added if it isn't known yet.
    pub fn machine_named(&mut self, now: Ms, id: &str, zone: ZoneIx) -> MachineIx {
        if let Some(&ix) = self.machine_ix.get(id) {
            return ix;
        }
        let ix = MachineIx(self.machines.len() as u32);
        self.machines.push(Machine::new(id, zone, base_token(self.stamp), now));
        self.machine_ix.insert(id.to_owned(), ix);
        ix
    }

    /// Shows the snapshot what a machine is and whether it takes new tasks.
    pub fn refresh(&mut self, now: Ms, ix: MachineIx) {
        let machine = &self.machines[ix.at()];
        let is_present =
            matches!(machine.lifecycle, MachineLifecycle::Up | MachineLifecycle::Returning) && machine.session != 0;
        let machine_type = if is_present { self.type_of(machine) } else { None };
        let open = self.takes_new_tasks(now, machine);
        let gpu_only = machine_type.is_some_and(|machine_type| self.reserved_for_gpu_work(now, machine, machine_type));
        let (zone, spot) = (machine.zone, machine.spot);
        let pool = match machine_type {
            None => None,
            Some(machine_type) => match self.snapshot.find_pool(machine_type.ix, zone, spot) {
                Some(pool) => Some(pool),
                None => {
                    let machine_type = machine_type.clone();
                    Some(self.snapshot.pool_of(&machine_type, zone, spot))
                }
            },
        };
        let was_open = self.snapshot.hosts.get(ix.at()).is_some_and(|host| host.open);
        self.pass_needed |= open && !was_open;
        self.snapshot.move_to(ix.at(), pool);
        self.snapshot.set_open(ix.at(), open && pool.is_some(), gpu_only);
    }

    fn takes_new_tasks(&self, now: Ms, machine: &Machine) -> bool {
        let report_limit_ms = 2 * self.cfg.report_ms + REPORT_SLACK_MS;
        machine.lifecycle == MachineLifecycle::Up
            // Guard: a machine that reaches no controller answers calls, but its
            // lease is running out: what starts there would soon be lost.
            && machine.last_own_report.is_some_and(|reported| now < reported + report_limit_ms)
            // Guard: it has shown our token, so our answers reach it. A delayed
            // copy of an old report, of a machine that was handed back, say,
            // can't show it.
            && machine.fenced()
            && machine.session > machine.dead_session
            && machine.spot_notice_until.is_none()
            && !machine.retiring
            && now >= machine.avoid_until
    }
}
