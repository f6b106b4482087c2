//! Commands sent straight to workers, and probes of silent ones.

use super::{
    commands::{OrderScope, RESEND_MS},
    DirectCallOutcome, Effect, Leader,
};
use crate::{
    bookkeeping::job_cache::JobCache,
    coordination::model::{DirectCall, LaunchId, MachineIx, MachineLifecycle, Ms, Slot},
    protocol::{
        names::Tables,
        workers::{split_task, DirectCommandRequest, Order, Report},
    },
};

/// Added to [`RESEND_MS`] before a machine is looked at again, so that what is
/// to be sent again is due by then.
const RESEND_SLACK_MS: Ms = 100;
/// Report intervals after which a silent worker is sent no more commands.
const SILENT_REPORTS: Ms = 3;
/// Pause after a call that could not be sent.
const NOT_SENT_PAUSE_MS: Ms = 700;
/// Pause after a call that went unanswered.
const UNANSWERED_PAUSE_MS: Ms = 1_000;
/// How late a report must be, besides a quarter of the interval, for a probe.
const PROBE_SLACK_MS: Ms = 400;
/// Probes in a row after which a worker that doesn't answer is not asked again.
const PROBE_LIMIT: u32 = 3;

impl Leader {
    /// Sends what is new straight to the workers that may have to be told something.
    pub fn push_orders(&mut self, now: Ms) {
        while let Some(ix) = self.wake.pop_due(now) {
            self.push_orders_to(now, ix);
        }
    }

    fn push_orders_to(&mut self, now: Ms, ix: MachineIx) {
        let machine = &self.machines[ix.at()];
        if machine.assignments.is_empty() || machine.direct_call.is_some() || machine.lifecycle != MachineLifecycle::Up
        {
            return;
        }
        if now < machine.direct_call_after {
            self.wake.schedule(machine.direct_call_after, ix);
            return;
        }
        // A token that the worker has not shown yet is told by the answer to its
        // report first; a silent worker is sent nothing.
        let Some(addr) = machine.addr else { return };
        let silent_ms = SILENT_REPORTS * self.cfg.report_ms;
        if !machine.fenced() || machine.last_heard.is_none_or(|heard| now > heard + silent_ms) {
            return;
        }
        let orders = self.orders(now, ix, OrderScope::Unsent);
        if orders.is_empty() {
            return;
        }
        let launches = orders.iter().filter_map(|order| self.launch_of(ix, order)).collect();
        let call = self.call_id();
        let machine = &mut self.machines[ix.at()];
        machine.direct_call = Some(DirectCall { id: call, launches });
        let req = DirectCommandRequest { token: machine.token, session: machine.session, orders };
        self.push_effect(Effect::Do { machine: ix, call, addr, req });
        self.wake.schedule(now + RESEND_MS + RESEND_SLACK_MS, ix);
    }

    /// The launch that an order to this machine carries, if it is one.
    fn launch_of(&self, ix: MachineIx, order: &Order) -> Option<LaunchId> {
        let Order::Launch { task, attempt } = order else { return None };
        let (_, task) = split_task(task)?;
        self.machine(ix)
            .assignments
            .iter()
            .filter_map(|&assignment_ix| self.assignment(assignment_ix))
            .find(|assignment| assignment.task == task && assignment.attempt == *attempt)
            .map(|assignment| assignment.launch_id())
    }

    /// How a direct call ended. False: a worker showed a higher token than ours;
    /// another controller leads.
    pub fn direct_call_result(
        &mut self,
        now: Ms,
        ix: MachineIx,
        call: u64,
        outcome: DirectCallOutcome,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> bool {
        let machine = &mut self.machines[ix.at()];
        let Some(finished) = machine.direct_call.take_if(|pending| pending.id == call) else { return true };
        self.wake.schedule(now, ix);
        match outcome {
            DirectCallOutcome::Executed(report) => self.call_answered(now, ix, &report, job_cache, tables),
            DirectCallOutcome::Refused(report) => {
                let still_leads = self.call_answered(now, ix, &report, job_cache, tables);
                if still_leads {
                    // Not executed: its launches may be sent again at once.
                    self.unmark_sent(&finished.launches);
                }
                still_leads
            }
            DirectCallOutcome::NotSent => {
                machine.direct_call_after = now + NOT_SENT_PAUSE_MS;
                true
            }
            DirectCallOutcome::Unknown => {
                machine.direct_call_after = now + UNANSWERED_PAUSE_MS;
                if !finished.launches.is_empty() {
                    self.raise_fence(now, ix);
                }
                true
            }
        }
    }

    /// Takes in the report with which a call was answered.
    fn call_answered(
        &mut self,
        now: Ms,
        ix: MachineIx,
        report: &Report,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> bool {
        let machine = &self.machines[ix.at()];
        if report.token > machine.token {
            return false;
        }
        if report.session > machine.dead_session && machine.lifecycle != MachineLifecycle::Gone {
            self.take_report(now, ix, report, job_cache, tables);
        }
        true
    }

    fn unmark_sent(&mut self, launches: &[LaunchId]) {
        for launch in launches {
            let slot = self.job(launch.job).and_then(|job| job.slots.get(launch.task as usize).copied());
            let Some(Slot::At(assignment_ix)) = slot else { continue };
            let assignment = self.assignments.get_mut(assignment_ix);
            if let Some(assignment) = assignment.filter(|assignment| assignment.attempt == launch.attempt) {
                assignment.sent = None;
            }
        }
    }

    /// Guard: launches that went unanswered may arrive at any later time. The
    /// raised token fences them, once the worker has shown it.
    fn raise_fence(&mut self, now: Ms, ix: MachineIx) {
        let machine = &mut self.machines[ix.at()];
        machine.raise_token();
        machine.fence_token = machine.token;
        machine.answered_since_fence = false;
        tracing::debug!(machine = &*machine.id, token = machine.token, "command unanswered, token raised");
        self.refresh(now, ix);
    }

    /// Asks a worker whose report is overdue. That it doesn't answer proves
    /// nothing, but lets its machine be handed back sooner, which does.
    pub(super) fn probe_if_overdue(&mut self, now: Ms, ix: MachineIx) {
        let overdue_ms = self.cfg.report_ms * 5 / 4 + PROBE_SLACK_MS;
        let machine = &mut self.machines[ix.at()];
        let is_overdue = machine.last_heard.is_some_and(|heard| now > heard + overdue_ms);
        let may_probe = machine.lifecycle == MachineLifecycle::Up
            && !machine.probing
            && !machine.assignments.is_empty()
            && machine.failed_probes < PROBE_LIMIT;
        if !is_overdue || !may_probe {
            return;
        }
        if let Some(addr) = machine.addr {
            machine.probing = true;
            self.push_effect(Effect::Probe { machine: ix, addr });
        }
    }

    /// How a probe ended. `None`: it went unanswered.
    pub fn probed(
        &mut self,
        now: Ms,
        ix: MachineIx,
        report: Option<&Report>,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let machine = &mut self.machines[ix.at()];
        machine.probing = false;
        match report {
            Some(report) if report.session > machine.dead_session && machine.lifecycle == MachineLifecycle::Up => {
                self.take_report(now, ix, report, job_cache, tables);
            }
            Some(_) => {}
            None => machine.failed_probes += 1,
        }
    }
}
