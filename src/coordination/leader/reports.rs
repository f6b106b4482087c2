//! What workers report, taken into the snapshot.

use super::*;

impl Leader {
    pub fn machine_named(&mut self, now: Ms, id: &str, zone: ZoneIx) -> MachineIx {
        if let Some(&ix) = self.machine_ix.get(id) {
            return ix;
        }
        let ix = MachineIx(self.machines.len() as u32);
        self.machines.push(Machine::new(id, zone, base_token(self.stamp), now));
        self.machine_ix.insert(id.to_owned(), ix);
        ix
    }

    pub fn report(&mut self, now: Ms, r: &Report, job_cache: &JobCache, tables: &mut Tables) -> Answer {
        let zone = tables.zones.intern(&r.zone);
        let ix = self.machine_named(now, &r.machine, zone);
        let m = &mut self.machines[ix.at()];
        if r.token > m.token {
            return Answer::Superseded;
        }
        // Guard: a report held up on its way, from a session whose end was
        // counted out already, or from a machine that was handed back.
        if m.life == MachineLifecycle::Gone || r.session <= m.dead_session {
            return Answer::Stale;
        }
        (self.heard_any, self.clock) = (now, now);
        if !self.loaded {
            // Answering keeps the worker's lease; what it says is taken up
            // from the next report, when the records are known.
            m.renewed = now;
            return Answer::Ok(ReportAnswer { token: m.token, orders: halts_of_cancelled(r, job_cache) });
        }
        let newer = (r.session, r.seq) > (m.session, m.seq);
        self.machines[ix.at()].renewed = now;
        if !newer {
            let token = self.machines[ix.at()].token;
            return Answer::Ok(ReportAnswer { token, orders: halts_of_cancelled(r, job_cache) });
        }
        let m = &mut self.machines[ix.at()];
        m.reported = Some(now);
        // The worker took or dropped our last answer before it sent this.
        m.answer_open = false;
        // Guard: a worker that takes an answer shows its token in the next
        // report. One that never does is deaf. Reports that a cut held back
        // come together and count once.
        if r.token >= m.fence {
            m.unheeded = 0;
        } else if m.answered && now >= m.unheeded_at + self.cfg.report_ms / 2 {
            m.unheeded += 1;
            m.unheeded_at = now;
        }
        m.answered = true;
        self.take_report(now, ix, r, job_cache, tables);
        let mut orders = halts_of_cancelled(r, job_cache);
        let user_responses = orders.len();
        for o in self.orders(now, ix, true) {
            let again = |h: &Order| h.same_halt(&o);
            if !orders[..user_responses].iter().any(again) {
                orders.push(o);
            }
        }
        let m = &mut self.machines[ix.at()];
        m.answer_open = orders.iter().any(|o| matches!(o, Order::Launch { .. }));
        if orders.iter().any(|o| matches!(o, Order::Reap { .. })) {
            // Guard: once reaped, an attempt is unknown to the worker, and a
            // repeat of the command that launched it would start it again. The
            // reap comes with a higher token than any such command.
            m.token += 1;
        }
        Answer::Ok(ReportAnswer { token: self.machines[ix.at()].token, orders })
    }

    /// The answer that was made for a report is not sent after all: the worker
    /// is not deaf because it never shows what was in it.
    pub fn not_answered(&mut self, machine: &str) {
        if let Some(&ix) = self.machine_ix.get(machine) {
            self.machines[ix.at()].answered = false;
        }
    }

    /// A newer report, from a worker itself or as the answer to a command.
    pub(super) fn take_report(
        &mut self,
        now: Ms,
        ix: MachineIx,
        r: &Report,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let ty = tables.types.intern(&r.machine_type);
        let m = &mut self.machines[ix.at()];
        if (r.session, r.seq) <= (m.session, m.seq) {
            return;
        }
        m.addr = r.addr.parse().ok().or(m.addr);
        m.ty = Some(ty);
        m.spot = r.spot;
        m.seq = r.seq;
        m.heard = Some(now);
        m.probe_fails = 0;
        m.seen_token = m.seen_token.max(r.token);
        if m.life == MachineLifecycle::Booting {
            m.life = MachineLifecycle::Up;
            m.up_at = Some(now);
            self.pass_needed = true;
            let boot_s = (now - m.rented) / 1000;
            tracing::info!(machine = &*m.id, machine_type = &*r.machine_type, spot = r.spot, boot_s, "up");
        }
        match r.notice_s {
            Some(s) if m.notice_until.is_none() => {
                tracing::info!(machine = &*m.id, notice_s = s, "spot notice");
                m.notice_until = Some(now + (s.clamp(0.0, 3600.0) * 1000.0) as Ms);
                self.pass_needed = true;
            }
            _ => {}
        }
        if r.session > m.session {
            // A new session: the worker killed and forgot all of the former.
            let had = m.session;
            m.session = r.session;
            // Guard: the new session has a lease of its own, from its beginning
            // on, also where only a probe or a command's answer tells of it.
            m.renewed = m.renewed.max(now);
            if had != 0 {
                tracing::info!(machine = &*m.id, session = r.session, "new session");
            }
            self.free_machine(ix, Some(r.session));
            self.pass_needed = true;
        }
        let mut listed: Vec<AssignmentIx> = Vec::with_capacity(r.tasks.len());
        // Ends that the worker lists: their unreaped exits stay.
        let mut listed_exits: HashSet<(String, u64)> = HashSet::new();
        for t in &r.tasks {
            self.take_task(now, ix, t, job_cache, &mut listed, &mut listed_exits);
        }
        let m = &mut self.machines[ix.at()];
        m.unreaped_exits.retain(|t| listed_exits.contains(&(t.task.clone(), t.attempt)));
        self.take_absences(ix, &listed);
        if self.machines[ix.at()].notice_until.is_some() {
            self.drain(now, ix);
        }
        self.refresh(now, ix);
    }

    /// Tasks that have a place here but aren't listed.
    fn take_absences(&mut self, ix: MachineIx, listed: &[AssignmentIx]) {
        let m = &self.machines[ix.at()];
        // Guard: absence proves nothing while an earlier command may still
        // arrive; only a raised token that came back rules that out.
        // An answer to a report that carries launches is under way as well,
        // until the next report: the body of a command's answer may be older.
        if !m.fenced() || m.call.is_some() || m.answer_open {
            return;
        }
        let gone: Vec<AssignmentIx> = m
            .assignments
            .iter()
            .copied()
            .filter(|p| !listed.contains(p))
            .filter(|&p| self.assignment(p).is_some_and(|p| p.session == m.session && p.halt.is_some()))
            .collect();
        for p in gone {
            self.release_assignment(p, false);
        }
        // Those still wanted are launched again under the same attempt.
        let again: Vec<AssignmentIx> =
            self.machines[ix.at()].assignments.iter().copied().filter(|p| !listed.contains(p)).collect();
        for p in again {
            if let Some(p) = self.assignments[p.at()].as_mut() {
                if matches!(p.state, AssignmentState::Seen(_)) {
                    p.state = AssignmentState::Wanted;
                }
            }
        }
    }

    fn take_task(
        &mut self,
        now: Ms,
        ix: MachineIx,
        t: &TaskReport,
        job_cache: &JobCache,
        listed: &mut Vec<AssignmentIx>,
        listed_exits: &mut HashSet<(String, u64)>,
    ) {
        let Some((id, task)) = split_task(&t.task) else { return };
        let Some(job_ix) = job_cache.find(id) else { return };
        let slot = self.job(job_ix).and_then(|j| j.slots.get(task as usize).copied());
        let mine = match slot {
            Some(Slot::At(p)) => self
                .assignment(p)
                .filter(|pl| pl.machine == ix && pl.attempt == t.attempt && pl.session == self.machine(ix).session)
                .map(|_| p),
            _ => None,
        };
        if let Some(p) = mine {
            listed.push(p);
            self.take_state(now, p, t);
            if self.assignment(p).is_some_and(|pl| pl.job == job_ix && pl.attempt == t.attempt) {
                return;
            }
            // Settled just now: it has a unreaped exit.
            listed_exits.insert((t.task.clone(), t.attempt));
            return;
        }
        if t.state == TaskState::Exited {
            let m = self.machine(ix);
            listed_exits.insert((t.task.clone(), t.attempt));
            if m.unreaped_exits.iter().any(|x| x.task == t.task && x.attempt == t.attempt) {
                return;
            }
            // An end that no place waits for. Completed is completed, though.
            let settled = m.fenced() && m.call.is_none() && !m.answer_open;
            let mut ver = 0;
            let mut chunk = 0;
            if slot == Some(Slot::Pending) && t.why == Some(ExitReason::Done) {
                if let Some(job) = self.job_mut(job_ix) {
                    job.slots[task as usize] = Slot::Done;
                    job.pending.retain(|&x| x != task);
                    job.done += 1;
                    chunk = job.chunk_of(task);
                    ver = job.touch(task);
                }
                self.counts.insert(job_ix);
                self.pass_needed = true;
            }
            if settled {
                let unreaped_exit = UnreapedExit { task: t.task.clone(), attempt: t.attempt, job: job_ix, chunk, ver };
                self.machines[ix.at()].unreaped_exits.push(unreaped_exit);
            }
            return;
        }
        // It runs where no record says so. If the task is wanted, adopt it;
        // otherwise it has to go. Either way it is counted meanwhile.
        if slot == Some(Slot::Pending) && self.job(job_ix).is_some_and(|j| j.status == Status::Pending) {
            let (session, zone) = (self.machine(ix).session, self.machine(ix).zone);
            if let Some(p) = self.add_assignment(now, job_ix, task, ix, session, t.attempt, zone) {
                tracing::warn!(task = &*t.task, machine = &*self.machine(ix).id, "adopted");
                listed.push(p);
                self.take_state(now, p, t);
            }
            return;
        }
        tracing::warn!(
            task = &*t.task,
            attempt = t.attempt,
            machine = &*self.machine(ix).id,
            "stray task, stopping it"
        );
        let m = &mut self.machines[ix.at()];
        // A unreaped exit for a live task: halted until it ends, then reaped.
        if !m.unreaped_exits.iter().any(|x| x.task == t.task && x.attempt == t.attempt) {
            m.unreaped_exits.push(UnreapedExit {
                task: t.task.clone(),
                attempt: t.attempt,
                job: job_ix,
                chunk: 0,
                ver: u64::MAX,
            });
        }
        listed_exits.insert((t.task.clone(), t.attempt));
    }

    pub(super) fn take_state(&mut self, now: Ms, ix: AssignmentIx, t: &TaskReport) {
        let Some(p) = self.assignments[ix.at()].as_mut() else { return };
        let (job_ix, machine) = (p.job, p.machine);
        if t.state == TaskState::Exited {
            if matches!(p.state, AssignmentState::Seen(TaskState::Running)) {
                if let Some(job) = self.jobs[job_ix.at()].as_mut() {
                    job.running = job.running.saturating_sub(1);
                }
            }
            p.state = AssignmentState::Ended(t.why.unwrap_or(ExitReason::Other));
            self.settle(now, ix, t);
            return;
        }
        let was = p.state;
        p.state = AssignmentState::Seen(t.state);
        let (now_running, made, inherited) = (t.state == TaskState::Running, p.made, p.inherited);
        if was == p.state {
            return;
        }
        if now_running && p.running_since.is_none() {
            p.running_since = Some(now);
        }
        let was_running = was == AssignmentState::Seen(TaskState::Running);
        if let Some(job) = self.jobs[job_ix.at()].as_mut() {
            match (was_running, now_running) {
                (false, true) => {
                    job.running += 1;
                    if job.running + job.done == 1 && !inherited {
                        let wait_s = job.age_s(now);
                        let fetched_s = (now - made) as f64 / 1000.0;
                        tracing::info!(job = &*job.id, kind = ?job.spec.kind, rank = ?job.spec.priority, wait_s, fetched_s, gb = job.spec.image_gb, tasks = job.spec.tasks, "first task runs");
                    }
                }
                (true, false) => job.running = job.running.saturating_sub(1),
                _ => {}
            }
            let (image, gb) = (job.spec.image, job.spec.image_gb);
            self.counts.insert(job_ix);
            if let Some(host) = self.snapshot.hosts.get_mut(machine.at()) {
                let cache_gb = host.pool.map_or(0.0, |p| self.snapshot.pools[p].cache_gb);
                host.note_image(image, gb, cache_gb);
            }
        }
    }

    /// A task has ended. Its place is given up unless a command sent earlier
    /// could still start it again.
    fn settle(&mut self, now: Ms, ix: AssignmentIx, t: &TaskReport) {
        let Some(p) = self.assignment(ix) else { return };
        let m = self.machine(p.machine);
        // Guard: a launch still under way could arrive after the reap.
        if !m.fenced() || self.in_flight_launch(p) || m.answer_open {
            return;
        }
        let why = t.why.unwrap_or(ExitReason::Other);
        let (machine, job_ix, task) = (p.machine, p.job, p.task);
        let ran_s = p.running_since.map(|s| (now - s) as f64 / 1000.0);
        let done = why == ExitReason::Done;
        let name = m.id.clone();
        let Some(assignment) = self.release_assignment(ix, done) else { return };
        let (chunk, ver) = match self.job(job_ix) {
            Some(j) => (j.chunk_of(task), j.chunks[j.chunk_of(task)].ver),
            None => (0, 0),
        };
        self.machines[machine.at()].unreaped_exits.push(UnreapedExit {
            task: t.task.clone(),
            attempt: t.attempt,
            job: job_ix,
            chunk,
            ver,
        });
        if !done {
            tracing::debug!(task = &*t.task, machine = &*name, ?why, saved = ?t.saved, "ended");
        }
        match why {
            ExitReason::Done => self.learn(machine, job_ix, &assignment, ran_s),
            ExitReason::NoRoom | ExitReason::Busy => {
                tracing::info!(task = &*t.task, machine = &*name, ?why, "start refused");
                self.machines[machine.at()].avoid_until = now + 3_000;
                self.refresh(now, machine);
            }
            ExitReason::Unknown => {
                if let Some(j) = self.job_mut(job_ix) {
                    j.not_before = now + 3_000;
                }
            }
            ExitReason::Stopped => {
                if let Some(j) = self.job_mut(job_ix) {
                    j.stops += 1;
                }
            }
            ExitReason::Error => self.failed(now, machine, job_ix, &t.task),
            _ => {}
        }
    }

    /// A failed task speaks against its machine first, then against its job.
    fn failed(&mut self, now: Ms, machine: MachineIx, job_ix: JobIx, task: &str) {
        tracing::info!(task, machine = &*self.machine(machine).id, "failed");
        if let Some(j) = self.job_mut(job_ix) {
            j.errors += 1;
            if !j.error_on.contains(&machine) {
                j.error_on.push(machine);
            }
            let n = j.error_on.len() as u32;
            // Failing on several machines: the job's own fault.
            let wait = if n >= 3 { 2_000u64 << (j.errors.min(9) - 3).min(5) } else { 300 };
            j.not_before = now + wait;
        }
        let m = &mut self.machines[machine.at()];
        m.errors.retain(|(j, at)| *j != job_ix && now - *at < 120_000);
        m.errors.push((job_ix, now));
        m.avoid_until = m.avoid_until.max(now + 5_000);
        // Several jobs failed here, and not elsewhere: the machine is faulty.
        if m.errors.len() >= 2 && !m.retire {
            m.retire = true;
            tracing::warn!(machine = &*m.id, "several jobs failed here: retired");
        }
    }

    /// Run times tell about machines and about owners' estimates.
    fn learn(&mut self, machine: MachineIx, job_ix: JobIx, assignment: &Assignment, ran_s: Option<f64>) {
        let (Some(ran_s), Some(job)) = (ran_s, self.job(job_ix)) else { return };
        let est = job.spec.estimate_s;
        if est <= 0.0 || assignment.halt.is_some() {
            return;
        }
        let class = job.spec.class;
        let ratio = (ran_s / est).clamp(0.05, 20.0);
        let (bias, n) = self.class_bias.get(&class).copied().unwrap_or((1.0, 0.0));
        let w = 1.0 / (n + 1.0).min(20.0);
        self.class_bias.insert(class, (bias + (ratio - bias) * w, n + 1.0));
        let _ = machine;
    }

    /// Empties a machine that will be taken away: what can save, does.
    fn drain(&mut self, now: Ms, ix: MachineIx) {
        let Some(until) = self.machine(ix).notice_until else { return };
        let left = until.saturating_sub(now) as f64 / 1000.0;
        for p in self.machine(ix).assignments.clone() {
            let Some(assignment) = self.assignment(p) else { continue };
            let Some(job) = self.job(assignment.job) else { continue };
            let save = job.spec.save_s;
            if job.spec.checkpoint_s <= 0.0 || assignment.halt.is_some() {
                continue;
            }
            // Notices come at half their nominal time too: save while it lasts.
            let (gang, job_ix) = (job.spec.kind == Kind::Gang, assignment.job);
            if left > save * 0.8 {
                if gang {
                    self.stop_job(now, job_ix, save + 2.0);
                } else {
                    self.halt(now, p, save + 2.0);
                }
            }
        }
    }
}
