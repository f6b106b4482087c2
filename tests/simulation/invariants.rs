//! The rules that hold at every moment, whatever fails. A violation is recorded
//! and fails the case at its end.

use std::collections::HashMap;

use shedhook::{
    protocol::{
        ids::Attempt,
        workers::{split_task, ExitReason, TaskState, WorkerCommand},
    },
    storage::records::{self, ChunkRecord, JobRecord, JobStatus},
};

use super::{
    worker::{Worker, WorkerTask},
    Simulation, CANCEL,
};

impl Simulation {
    pub(super) fn check_state(&mut self) {
        if self.workers.len() > 100 && !self.now.is_multiple_of(5_000) {
            return; // starts are judged at once; the rest takes its time
        }
        let (mut red_gpus, mut blue_gpus) = (0.0, 0.0);
        let mut broken = Vec::new();
        for w in self.workers.iter().filter(|w| !w.dead) {
            for t in w.tasks.iter().filter(|t| t.state == TaskState::Running) {
                // Our own rule: wherever a task runs, a record says so, lest
                // the next leader start it elsewhere.
                if !self.records_lost && !self.is_written(&t.name, &w.id, t.attempt) {
                    broken.push(format!("unrecorded: {} runs on {} at {}", t.name, w.id, self.now));
                }
                let Some(f) = split_task(&t.name).and_then(|s| self.jobs.get(s.0)) else { continue };
                let of_team = if f.sub.team.as_deref() == Some("blue") { &mut blue_gpus } else { &mut red_gpus };
                *of_team += f.sub.gpus.unwrap_or(0.0);
                if f.cancelled_at.is_some_and(|c| self.now > c + CANCEL) {
                    broken.push(format!("ran_cancelled: {} on {} at {}", t.name, w.id, self.now));
                }
            }
        }
        for (gpus, max) in [(red_gpus, self.team_gpus_max), (blue_gpus, self.blue_gpus_max)] {
            if max > 0.0 && gpus > max {
                broken.push(format!("quota: {gpus} GPUs at {}", self.now));
            }
        }
        self.violations.extend(broken);
        // not_done: a record may say done only once all its tasks completed.
        for (id, f) in &self.jobs {
            // went_back: what was called cancelled stays so.
            if f.cancelled_at.is_some() && self.status(id) != JobStatus::Cancelled {
                self.violations.push(format!("went_back: {id} at {}", self.now));
            }
            if self.status(id) == JobStatus::Done {
                let all = (0..f.sub.tasks.unwrap() as u32).all(|n| self.completed.contains(&format!("{id}/{n}")));
                if !all {
                    self.violations.push(format!("not_done: {id} at {}", self.now));
                }
            }
        }
    }

    pub(super) fn check_start(&mut self, n: usize, task: &str) {
        self.starts += 1;
        let Some((job, _)) = split_task(task) else { return };
        for (m, w) in self.workers.iter().enumerate() {
            if m != n && Simulation::holds(w, task) {
                self.violations
                    .push(format!("ran_twice: {task} on {} and {} at {}", w.id, self.workers[n].id, self.now));
            }
        }
        let f = &self.jobs[job];
        // Stricter than the rule: their ends must be written, too.
        for p in f.sub.prereqs() {
            let all = (0..self.jobs[p].sub.tasks.unwrap() as u32).all(|n| self.completed.contains(&format!("{p}/{n}")));
            if !all || self.status(p) != JobStatus::Done {
                self.violations.push(format!("too_early: {task} before {p} at {}", self.now));
            }
        }
        self.starts_cancelled += usize::from(f.cancelled_at.is_some());
        let here = &self.workers[n].zone;
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for w in self.workers.iter().filter(|w| !w.dead) {
            for t in &w.tasks {
                if t.name != task && t.occupies_machine() && split_task(&t.name).is_some_and(|s| s.0 == job) {
                    *zones.entry(&w.zone).or_default() += 1;
                }
            }
        }
        let capacity = (f.sub.tasks.unwrap() as u32).div_ceil(2);
        if f.sub.one_zone == Some(true) && zones.keys().any(|z| z != here) {
            self.violations.push(format!("wrong_place: {task} starts in {here} at {}", self.now));
        }
        if f.sub.spread == Some(true) && zones.get(here.as_str()).copied().unwrap_or(0) >= capacity {
            self.violations.push(format!("wrong_place: {task} is one too many in {here} at {}", self.now));
        }
        if f.sub.zone.as_ref().is_some_and(|z| z != here) {
            self.violations.push(format!("wrong_place: {task} in {here}"));
        }
    }

    /// Our own rules: an end is written before the task is reaped, and no
    /// launch is sent before its place is.
    pub(super) fn check_orders(&mut self, worker: &str, commands: &[WorkerCommand]) {
        self.max_orders_in_message = self.max_orders_in_message.max(commands.len());
        for o in commands {
            if let WorkerCommand::Reap { task, attempt } = o {
                // A stopped attempt of a task that was done elsewhere says nothing.
                let of = |w: &&Worker| w.id == worker;
                let listed = self.workers.iter().find(of).and_then(|w| {
                    let same = |t: &&WorkerTask| t.name == *task && t.attempt == *attempt;
                    w.tasks.iter().find(same)
                });
                let is_done = listed.is_none_or(|t| t.why == Some(ExitReason::Done)) && self.completed.contains(task);
                if is_done && !self.records_lost && !self.is_end_written(task) {
                    self.violations
                        .push(format!("reaped: {task} on {worker} before its end is written at {}", self.now));
                }
            }
            let WorkerCommand::Launch { task, attempt } = o else { continue };
            if !self.is_written(task, worker, *attempt) {
                self.violations.push(format!("unwritten: {task} launched on {worker} at {}", self.now));
            }
        }
    }

    /// Stricter than the rule: whoever has read the cancellation calls all that
    /// need the job cancelled, at once.
    pub(super) fn check_dependents_of_cancelled(&mut self) {
        for (id, f) in &self.jobs {
            let mut above: Vec<&String> = f.sub.prereqs().iter().collect();
            let mut seen = std::collections::HashSet::new();
            let mut is_doomed = false;
            while let Some(p) = above.pop() {
                if seen.insert(p) {
                    is_doomed |= self.jobs[p].cancelled_at.is_some();
                    above.extend(self.jobs[p].sub.prereqs());
                }
            }
            if is_doomed && self.status_told_to_users(id) != Some(JobStatus::Cancelled) {
                self.violations.push(format!("orphaned: {id} is {:?} at {}", self.status_told_to_users(id), self.now));
            }
        }
    }

    pub(super) fn is_written(&self, task: &str, worker: &str, attempt: Attempt) -> bool {
        let Some((job, n)) = split_task(task) else { return false };
        // As its record says, which may have been written anew.
        let rec = self.store.keys.get(&records::job_key(job));
        let rec = rec.and_then(|(v, _)| v.deserialized::<JobRecord>().ok());
        let size = rec.map_or(self.chunk, |r| r.chunk);
        let rec = self.store.keys.get(&records::chunk_key(job, n / size));
        let rec = rec.and_then(|(v, _)| v.deserialized::<ChunkRecord>().ok());
        rec.is_some_and(|r| r.assignments.iter().any(|p| p.0 == n && p.1 == worker && p.3 == attempt))
    }

    /// A later leader would know that the task is done, or doesn't care.
    pub(super) fn is_end_written(&self, task: &str) -> bool {
        let Some((job, n)) = split_task(task) else { return false };
        let rec = self.store.keys.get(&records::job_key(job));
        let Some(rec) = rec.and_then(|(v, _)| v.deserialized::<JobRecord>().ok()) else { return false };
        let part = self.store.keys.get(&records::chunk_key(job, n / rec.chunk));
        let part = part.and_then(|(v, _)| v.deserialized::<ChunkRecord>().ok());
        rec.status != JobStatus::Pending || part.is_some_and(|r| records::is_done(&r.done, (n % rec.chunk) as usize))
    }

    pub fn check(&self, name: &str) {
        assert!(self.violations.is_empty(), "{name}: {:#?}", &self.violations[..self.violations.len().min(5)]);
        assert!(self.starts > 0, "{name}: nothing ran");
    }
}
