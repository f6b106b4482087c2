//! Where tasks may be: places are made, and given up on proof.

use super::*;

impl Leader {
    #[allow(clippy::too_many_arguments)]
    pub fn add_assignment(
        &mut self,
        now: Ms,
        job_ix: JobIx,
        task: u32,
        machine: MachineIx,
        session: u64,
        attempt: u64,
        zone: ZoneIx,
    ) -> Option<AssignmentIx> {
        let job = self.jobs.get_mut(job_ix.at()).and_then(Option::as_mut)?;
        // Guard: its records are being divided anew, on the footing that nothing is placed.
        if job.resharding {
            return None;
        }
        if job.slots.get(task as usize) != Some(&Slot::Pending) {
            return None;
        }
        let ver = job.touch(task);
        let chunk = job.chunk_of(task);
        job.chunks[chunk].urgent = ver;
        job.placed += 1;
        job.started = true;
        if job.spec.one_zone || job.spec.spread {
            if job.zone_used.len() <= zone.at() {
                job.zone_used.resize(zone.at() + 1, 0);
            }
            job.zone_used[zone.at()] += 1;
        }
        if let Some(u) = self.team_used.get_mut(job.spec.team.at()) {
            *u += Res::of(&job.spec);
        }
        self.snapshot.take(machine.at(), &job.spec);
        job.last_assigned = now;
        if job.pending.last() == Some(&task) {
            job.pending.pop();
        } else {
            job.pending.retain(|&t| t != task);
        }
        let assignment = Assignment {
            job: job_ix,
            task,
            machine,
            zone,
            session,
            attempt,
            ver,
            state: AssignmentState::Wanted,
            sent: None,
            running_since: None,
            halt: None,
            made: now,
            inherited: false,
        };
        let ix = match self.release_assignments.pop() {
            Some(n) => {
                self.assignments[n as usize] = Some(assignment);
                AssignmentIx(n)
            }
            None => {
                self.assignments.push(Some(assignment));
                AssignmentIx(self.assignments.len() as u32 - 1)
            }
        };
        job.slots[task as usize] = Slot::At(ix);
        let gpus = job.spec.gpus > 0.0;
        let m = &mut self.machines[machine.at()];
        m.assignments.push(ix);
        m.idle_since = None;
        if gpus {
            m.gpu_assignments += 1;
            m.gpu_idle_since = None;
        }
        Some(ix)
    }

    /// The task is provably not there (any more). `done`: it completed.
    pub fn release_assignment(&mut self, ix: AssignmentIx, done: bool) -> Option<Assignment> {
        let assignment = self.assignments.get_mut(ix.at())?.take()?;
        self.release_assignments.push(ix.0);
        self.machines[assignment.machine.at()].assignments.retain(|&p| p != ix);
        self.pass_needed = true;
        if let Some(job) = self.jobs.get_mut(assignment.job.at()).and_then(Option::as_mut) {
            job.touch(assignment.task);
            job.placed -= 1;
            job.begun |= done || assignment.running_since.is_some_and(|s| self.clock >= s + START_COUNTS_MS);
            if let Some(n) = job.zone_used.get_mut(assignment.zone.at()) {
                *n -= 1;
            }
            if let Some(u) = self.team_used.get_mut(job.spec.team.at()) {
                *u -= Res::of(&job.spec);
            }
            self.snapshot.give(assignment.machine.at(), &job.spec, assignment.halt.is_some());
            if job.spec.gpus > 0.0 {
                self.machines[assignment.machine.at()].gpu_assignments -= 1;
            }
            if matches!(assignment.state, AssignmentState::Seen(TaskState::Running)) {
                job.running = job.running.saturating_sub(1);
            }
            if done {
                job.slots[assignment.task as usize] = Slot::Done;
                job.done += 1;
            } else {
                job.slots[assignment.task as usize] = Slot::Pending;
                // Keep the lowest number next, so that replacements come first.
                let at = job.pending.partition_point(|&t| t > assignment.task);
                job.pending.insert(at, assignment.task);
            }
            self.counts.insert(assignment.job);
            let gang = job.spec.kind == Kind::Gang;
            if gang && !done && job.placed > 0 && job.status == Status::Pending {
                // A gang without one of its tasks can't go on: its rest is
                // stopped, and it starts anew once all of it is gone.
                let rest: Vec<AssignmentIx> =
                    job.slots.iter().filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None }).collect();
                for p in rest {
                    self.halt(assignment.made, p, 0.0);
                }
            }
            self.retire_over(assignment.job);
        }
        Some(assignment)
    }

    /// Everything on a machine is provably gone.
    pub fn free_machine(&mut self, ix: MachineIx, below_session: Option<u64>) {
        let all: Vec<AssignmentIx> = self.machines[ix.at()].assignments.clone();
        for p in all {
            let old = self.assignment(p).is_some_and(|p| below_session.is_none_or(|s| p.session < s));
            if old {
                if let Some(j) = self.assignment(p).map(|p| p.job).and_then(|j| self.job_mut(j)) {
                    j.losses += 1;
                }
                self.release_assignment(p, false);
            }
        }
        self.machines[ix.at()].unreaped_exits.clear();
    }

    pub fn in_flight_launch(&self, p: &Assignment) -> bool {
        self.machines[p.machine.at()].call.as_ref().is_some_and(|c| c.launches.contains(&(p.job, p.task, p.attempt)))
    }

    /// The record of this place is written.
    pub fn written(&self, p: &Assignment) -> bool {
        self.job(p.job).is_some_and(|j| j.chunks[j.chunk_of(p.task)].committed >= p.ver)
    }

    /// Guard: a launch is sent only after its record is written, a gang's
    /// only after the records of all its tasks are.
    pub(super) fn may_launch(&self, p: &Assignment) -> bool {
        let Some(job) = self.job(p.job) else { return false };
        if p.halt.is_some() || job.status != Status::Pending || !self.written(p) {
            return false;
        }
        if job.spec.kind == Kind::Gang && job.is_urgent() {
            return false;
        }
        true
    }
}
