//! Workers' reports: taken in and answered.

use super::{
    commands::OrderScope,
    halts_of_cancelled,
    task_reports::{ListedTasks, TaskAttempt},
    Answer, Leader, TaskFate,
};
use crate::{
    bookkeeping::job_cache::JobCache,
    coordination::model::{AssignmentIx, AssignmentState, MachineIx, MachineLifecycle, Ms},
    protocol::{
        jobs::Kind,
        names::Tables,
        workers::{Order, Report, ReportAnswer},
    },
};

/// Longest notice of a spot machine's end that is believed.
const NOTICE_MAX_S: f64 = 3600.0;
/// Share of a task's saving time that a notice must leave for it: notices come
/// at half their nominal time too, so saving begins while it lasts.
const SAVE_SHARE: f64 = 0.8;
/// Grace given to a task beyond the time it needs to save.
pub(in crate::coordination) const SAVE_MARGIN_S: f64 = 2.0;

impl Leader {
    /// A report that a worker sent by itself.
    pub fn report(&mut self, now: Ms, report: &Report, job_cache: &JobCache, tables: &mut Tables) -> Answer {
        let zone = tables.zones.intern(&report.zone);
        let ix = self.machine_named(now, &report.machine, zone);
        let machine = &mut self.machines[ix.at()];
        if report.token > machine.token {
            return Answer::Superseded;
        }
        // Guard: a report held up on its way, from a session whose lease is
        // known to have ended, or from a machine that was handed back, says
        // nothing about what runs now.
        if machine.lifecycle == MachineLifecycle::Gone || report.session <= machine.dead_session {
            return Answer::Stale;
        }
        self.heard_any = now;
        self.clock = now;
        machine.lease_renewed = now;
        let is_newer = (report.session, report.seq) > (machine.session, machine.seq);
        if !self.loaded || !is_newer {
            // Answering keeps the worker's lease. Until the records are read,
            // what it says is left to its next report.
            let orders = halts_of_cancelled(report, job_cache);
            return Answer::Ok(ReportAnswer { token: machine.token, orders });
        }
        self.note_acknowledgement(now, ix, report.token);
        self.take_report(now, ix, report, job_cache, tables);
        let mut orders = halts_of_cancelled(report, job_cache);
        self.add_orders(now, ix, &mut orders);
        let machine = &mut self.machines[ix.at()];
        machine.launch_in_answer = orders.iter().any(|order| matches!(order, Order::Launch { .. }));
        if orders.iter().any(|order| matches!(order, Order::Reap { .. })) {
            // Guard: once reaped, an attempt is unknown to the worker, and a
            // repeat of the command that launched it would start it again. The
            // reap comes with a higher token than any such command.
            machine.raise_token();
        }
        Answer::Ok(ReportAnswer { token: machine.token, orders })
    }

    /// Notes what a report shows of our earlier answers.
    fn note_acknowledgement(&mut self, now: Ms, ix: MachineIx, shown_token: u64) {
        let machine = &mut self.machines[ix.at()];
        machine.last_own_report = Some(now);
        // The worker took or dropped our last answer before it sent this.
        machine.launch_in_answer = false;
        // Guard: a worker that takes an answer shows its token in the next
        // report. One that never does can't be told anything. Reports that a
        // network partition held back come together and count once.
        if shown_token >= machine.fence_token {
            machine.unacknowledged_reports = 0;
        } else if machine.answered_since_fence && now >= machine.last_unacknowledged + self.cfg.report_ms / 2 {
            machine.unacknowledged_reports += 1;
            machine.last_unacknowledged = now;
        }
        machine.answered_since_fence = true;
    }

    /// Adds all that isn't in effect yet, except for halts that are there already.
    fn add_orders(&mut self, now: Ms, ix: MachineIx, orders: &mut Vec<Order>) {
        let halts_of_cancelled = orders.len();
        for order in self.orders(now, ix, OrderScope::All) {
            let is_repeated = orders[..halts_of_cancelled].iter().any(|halt| halt.same_halt(&order));
            if !is_repeated {
                orders.push(order);
            }
        }
    }

    /// The answer that was made for a report is not sent after all: that the
    /// worker never shows what was in it means nothing.
    pub fn not_answered(&mut self, machine: &str) {
        if let Some(&ix) = self.machine_ix.get(machine) {
            self.machines[ix.at()].answered_since_fence = false;
        }
    }

    /// A newer report, from a worker itself or as the answer to a command.
    pub(super) fn take_report(
        &mut self,
        now: Ms,
        ix: MachineIx,
        report: &Report,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let machine = &self.machines[ix.at()];
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return;
        }
        self.take_machine_facts(now, ix, report, tables);
        if report.session > self.machines[ix.at()].session {
            self.begin_session(now, ix, report.session);
        }
        let mut listed = ListedTasks::default();
        for task in &report.tasks {
            self.take_task(now, ix, task, job_cache, &mut listed);
        }
        self.machines[ix.at()]
            .unreaped_exits
            .retain(|exit| listed.exits.contains(&TaskAttempt { task: exit.task.clone(), attempt: exit.attempt }));
        self.take_absences(ix, &listed.assignments);
        if self.machines[ix.at()].spot_notice_until.is_some() {
            self.drain(now, ix);
        }
        self.refresh(now, ix);
    }

    /// Takes in what a report says of the machine itself.
    fn take_machine_facts(&mut self, now: Ms, ix: MachineIx, report: &Report, tables: &mut Tables) {
        let machine_type = tables.types.intern(&report.machine_type);
        let machine = &mut self.machines[ix.at()];
        machine.addr = report.addr.parse().ok().or(machine.addr);
        machine.machine_type = Some(machine_type);
        machine.spot = report.spot;
        machine.seq = report.seq;
        machine.last_heard = Some(now);
        machine.failed_probes = 0;
        machine.seen_token = machine.seen_token.max(report.token);
        if machine.lifecycle == MachineLifecycle::Booting {
            machine.lifecycle = MachineLifecycle::Up;
            machine.up_at = Some(now);
            self.pass_needed = true;
            let boot_s = (now - machine.rented_at) / 1000;
            tracing::info!(
                machine = &*machine.id,
                machine_type = &*report.machine_type,
                spot = report.spot,
                boot_s,
                "up"
            );
        }
        if let Some(notice_s) = report.notice_s.filter(|_| machine.spot_notice_until.is_none()) {
            tracing::info!(machine = &*machine.id, notice_s, "spot notice");
            machine.spot_notice_until = Some(now + (notice_s.clamp(0.0, NOTICE_MAX_S) * 1000.0) as Ms);
            self.pass_needed = true;
        }
    }

    /// A new session: the worker killed and forgot all of the former one.
    fn begin_session(&mut self, now: Ms, ix: MachineIx, session: u64) {
        let machine = &mut self.machines[ix.at()];
        let previous = machine.session;
        machine.session = session;
        // Guard: the new session has a lease of its own, from its beginning on,
        // also where only a probe or a command's answer tells of it.
        machine.lease_renewed = machine.lease_renewed.max(now);
        if previous != 0 {
            tracing::info!(machine = &*machine.id, session, "new session");
        }
        self.free_machine(ix, Some(session));
        self.pass_needed = true;
    }

    /// Handles tasks that are assigned to the machine but aren't listed.
    fn take_absences(&mut self, ix: MachineIx, listed: &[AssignmentIx]) {
        let machine = &self.machines[ix.at()];
        // Guard: absence proves nothing while an earlier command may still
        // arrive; only a raised token that came back rules that out. An answer
        // to a report that carries launches is under way as well, until the
        // next report: the body of a command's answer may be older.
        if !machine.has_no_command_in_flight() {
            return;
        }
        let gone: Vec<AssignmentIx> = machine
            .assignments
            .iter()
            .copied()
            .filter(|assignment_ix| !listed.contains(assignment_ix))
            .filter(|&assignment_ix| {
                self.assignment(assignment_ix)
                    .is_some_and(|assignment| assignment.session == machine.session && assignment.halt.is_some())
            })
            .collect();
        for assignment_ix in gone {
            self.release_assignment(assignment_ix, TaskFate::Unfinished);
        }
        // Those still wanted are launched again under the same attempt.
        for &assignment_ix in self.machines[ix.at()].assignments.iter().filter(|other| !listed.contains(other)) {
            let Some(assignment) = self.assignments.get_mut(assignment_ix) else { continue };
            if matches!(assignment.state, AssignmentState::Seen(_)) {
                assignment.state = AssignmentState::Wanted;
            }
        }
    }

    /// Empties a machine that will be taken away: tasks that can save are
    /// stopped in time to do so.
    fn drain(&mut self, now: Ms, ix: MachineIx) {
        let Some(until) = self.machine(ix).spot_notice_until else { return };
        let left_s = until.saturating_sub(now) as f64 / 1000.0;
        for assignment_ix in self.machine(ix).assignments.clone() {
            let Some(assignment) = self.assignment(assignment_ix) else { continue };
            let Some(job) = self.job(assignment.job) else { continue };
            let save_s = job.spec.save_s;
            let can_save = job.spec.checkpoint_s > 0.0 && left_s > save_s * SAVE_SHARE;
            if !can_save || assignment.halt.is_some() {
                continue;
            }
            let grace_s = save_s + SAVE_MARGIN_S;
            if job.spec.kind == Kind::Gang {
                let job_ix = assignment.job;
                self.stop_job(now, job_ix, grace_s);
            } else {
                self.halt(now, assignment_ix, grace_s);
            }
        }
    }
}
