//! What workers are told, in answers to reports or straight.

use super::*;

/// Orders in one message: it must stay well below the 64 KiB that workers take.
const ORDERS: usize = 400;
/// What was sent is sent again after this long without effect.
const AGAIN_MS: Ms = 2_500;

/// Halts for what runs of jobs that are known as cancelled. Guard: every 200 to
/// a report renews a lease, so each carries them, whoever answers, and whether
/// the report is new or the records are read yet.
pub fn halts_of_cancelled(r: &Report, job_cache: &JobCache) -> Vec<Order> {
    let cancelled = |t: &&TaskReport| {
        let job = split_task(&t.task).and_then(|(id, _)| job_cache.find(id));
        t.state != TaskState::Exited && job.is_some_and(|ix| job_cache.get(ix).status == Status::Cancelled)
    };
    let halt = |t: &TaskReport| Order::Halt { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 };
    r.tasks.iter().filter(cancelled).map(halt).take(ORDERS).collect()
}

impl Leader {
    /// Whether a task may be on the machine, or on its way there: listed by its
    /// report, placed by a record, or launched by a command that is under way.
    pub fn may_hold_tasks(&self, r: &Report) -> bool {
        let listed = r.tasks.iter().any(|t| t.state != TaskState::Exited);
        let Some(&ix) = self.machine_ix.get(&r.machine) else { return listed || !self.loaded };
        let m = self.machine(ix);
        listed || !self.loaded || !m.assignments.is_empty() || m.call.is_some() || m.answer_open || !m.fenced()
    }

    /// What the worker should be told. `all`: everything that isn't in effect
    /// yet (in the answer to a report); otherwise only what was not sent lately.
    pub fn orders(&mut self, now: Ms, ix: MachineIx, all: bool) -> Vec<Order> {
        let mut out = Vec::new();
        let mut stamps: Vec<(AssignmentIx, bool)> = Vec::new();
        let m = &self.machines[ix.at()];
        let fresh = |sent: Option<Ms>| sent.is_none_or(|s| now >= s + AGAIN_MS);
        if m.fenced() && (all || m.call.is_none()) {
            for t in m.unreaped_exits.iter().take(ORDERS / 4) {
                if t.ver == u64::MAX {
                    // Halt and reap together: whichever applies takes effect.
                    out.push(Order::Halt { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
                    out.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                } else if all && self.is_exit_recorded(t) {
                    out.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                }
            }
        }
        if !all && out.iter().all(|o| matches!(o, Order::Halt { .. } | Order::Reap { .. })) {
            out.clear(); // strays wait for the report's answer
        }
        for &p in &m.assignments {
            let Some(assignment) = self.assignment(p) else { continue };
            let Some(job) = self.job(assignment.job) else { continue };
            if assignment.session != m.session || matches!(assignment.state, AssignmentState::Ended(_)) {
                continue;
            }
            if out.len() >= ORDERS {
                break; // the rest comes with the next answer
            }
            let task = || format!("{}/{}", job.id, assignment.task);
            if let Some(h) = assignment.halt {
                if all || fresh(h.sent) {
                    out.push(Order::Halt { task: task(), attempt: assignment.attempt, grace_s: h.grace_s });
                    stamps.push((p, true));
                }
            } else if assignment.state == AssignmentState::Wanted
                && (all || fresh(assignment.sent))
                && self.may_launch(assignment)
            {
                out.push(Order::Launch { task: task(), attempt: assignment.attempt });
                stamps.push((p, false));
            }
        }
        for (p, halt) in stamps {
            if let Some(assignment) = self.assignments[p.at()].as_mut() {
                if halt {
                    if let Some(h) = &mut assignment.halt {
                        h.sent = Some(now);
                    }
                } else {
                    assignment.sent = Some(now);
                }
            }
        }
        out
    }

    /// Sends what is new straight to the workers that may have to hear something.
    pub fn push_orders(&mut self, now: Ms) {
        while let Some(&(at, ix)) = self.wake.first().filter(|(at, _)| *at <= now) {
            self.wake.remove(&(at, ix));
            let n = ix.at();
            let m = &self.machines[n];
            if m.assignments.is_empty() || m.call.is_some() || m.life != MachineLifecycle::Up {
                continue;
            }
            if now < m.call_after {
                self.wake.insert((m.call_after, ix));
                continue;
            }
            // A token that the worker has not shown yet is told by the answer
            // to its report first; a silent worker is not bothered.
            let Some(addr) = m.addr else { continue };
            if !m.fenced() || m.heard.is_none_or(|h| now > h + 3 * self.cfg.report_ms) {
                continue;
            }
            let orders = self.orders(now, ix, false);
            if orders.is_empty() {
                continue;
            }
            let launches = orders
                .iter()
                .filter_map(|o| match o {
                    Order::Launch { task, attempt } => {
                        let (_, n) = split_task(task)?;
                        let p = self.machines[ix.at()]
                            .assignments
                            .iter()
                            .find(|&&p| self.assignment(p).is_some_and(|p| p.task == n && p.attempt == *attempt))?;
                        self.assignment(*p).map(|p| (p.job, n, *attempt))
                    }
                    _ => None,
                })
                .collect();
            let call = self.call_id();
            let m = &mut self.machines[n];
            m.call = Some(DirectCall { id: call, sent: now, launches });
            let req = DirectCommandRequest { token: m.token, session: m.session, orders };
            self.effects.push(Effect::Do { machine: ix, call, addr, req });
            self.wake.insert((now + AGAIN_MS + 100, ix));
        }
    }

    /// False: a worker showed a higher token than ours; another one leads.
    pub fn direct_call_result(
        &mut self,
        now: Ms,
        ix: MachineIx,
        call: u64,
        outcome: DirectCallOutcome,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> bool {
        let m = &mut self.machines[ix.at()];
        if m.call.as_ref().is_none_or(|c| c.id != call) {
            return true;
        }
        let Some(done) = m.call.take() else { return true };
        self.wake.insert((now, ix));
        let m = &mut self.machines[ix.at()];
        let refused = matches!(outcome, DirectCallOutcome::Refused(_));
        match outcome {
            DirectCallOutcome::Executed(r) | DirectCallOutcome::Refused(r) => {
                if r.token > m.token {
                    return false;
                }
                if r.session > m.dead_session && m.life != MachineLifecycle::Gone {
                    self.take_report(now, ix, &r, job_cache, tables);
                }
                if refused {
                    // Not executed: what it launched may be sent again at once.
                    for (job, task, attempt) in done.launches {
                        let slot = self.job(job).and_then(|j| j.slots.get(task as usize).copied());
                        if let Some(Slot::At(p)) = slot {
                            if let Some(p) = self.assignments[p.at()].as_mut().filter(|p| p.attempt == attempt) {
                                p.sent = None;
                            }
                        }
                    }
                }
            }
            DirectCallOutcome::NotSent => m.call_after = now + 700,
            DirectCallOutcome::Unknown => {
                m.call_after = now + 1_000;
                if !done.launches.is_empty() {
                    // Guard: those launches may arrive at any later time. The
                    // raised token fences them, once the worker has shown it.
                    m.token += 1;
                    m.fence = m.token;
                    m.answered = false;
                    tracing::debug!(machine = &*m.id, token = m.token, "command unanswered, token raised");
                    self.refresh(now, ix);
                }
            }
        }
        true
    }

    /// Asks a worker whose report is overdue. That it doesn't answer proves
    /// nothing, but lets its machine be handed back sooner, which does.
    pub(super) fn probe(&mut self, now: Ms, ix: MachineIx) {
        let overdue = self.cfg.report_ms * 5 / 4 + 400;
        let m = &mut self.machines[ix.at()];
        let late = m.heard.is_some_and(|h| now > h + overdue);
        if m.life == MachineLifecycle::Up && late && !m.probing && !m.assignments.is_empty() && m.probe_fails < 3 {
            if let Some(addr) = m.addr {
                m.probing = true;
                self.effects.push(Effect::Probe { machine: ix, addr });
            }
        }
    }

    pub fn probed(
        &mut self,
        now: Ms,
        ix: MachineIx,
        report: Option<&Report>,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let m = &mut self.machines[ix.at()];
        m.probing = false;
        match report {
            Some(r) if r.session > m.dead_session && m.life == MachineLifecycle::Up => {
                self.take_report(now, ix, r, job_cache, tables);
            }
            Some(_) => {}
            None => m.probe_fails += 1,
        }
    }

    /// The count inside some worker's token is nearly used up: the next
    /// leadership begins a new one.
    pub fn tokens_spent(&self) -> bool {
        self.machines.iter().any(|m| m.token - base_token(self.stamp) > 60_000)
    }
}
