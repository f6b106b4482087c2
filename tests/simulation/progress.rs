//! Progress: no job is left waiting while there is free capacity for it.

use std::collections::HashMap;

use shedhook::{coordination::model::Millis, storage::records::JobStatus};

use super::{cloud::ZONES, users::SubmittedJob, worker::Worker, Simulation};

/// How long a job may wait while there is free capacity for it.
const WAIT_MAX_MS: Millis = 90_000;

/// Since when a job's tasks wait though there is free capacity.
#[derive(Default)]
pub(super) struct StarvationCheck {
    waiting_since: HashMap<String, Millis>,
}

impl StarvationCheck {
    pub(super) fn clear_waits(&mut self) {
        self.waiting_since.clear();
    }

    /// Notes whether a job waits beside free capacity; false when it has for too long.
    fn observe(&mut self, now: Millis, id: &str, starves: bool) -> bool {
        if !starves {
            self.waiting_since.remove(id);
            return true;
        }
        let since = *self.waiting_since.entry(id.to_owned()).or_insert(now);
        now <= since + WAIT_MAX_MS
    }
}

/// How many tasks of a job fit on the free machines, and are placed, by zone.
#[derive(Clone, Copy, Default)]
struct ZoneCapacity {
    fits: usize,
    placed: usize,
}

impl Simulation {
    /// Runs for so long; no job is left waiting for 90 s while there is
    /// free capacity for it.
    pub fn run_without_starvation(&mut self, name: &str, ids: &[String], ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            for id in ids {
                let starves = !self.is_finished_or_running(id) && self.has_capacity(id);
                let in_time = self.starvation.observe(self.now, id, starves);
                assert!(in_time, "{name}: {id} is left waiting, with room");
            }
            self.run(1_000);
        }
    }

    /// Runs until every job that was not cancelled is done, or runs if it is a
    /// service; meanwhile none is left waiting.
    pub fn run_until_settled(&mut self, name: &str, max: Millis) {
        let end = self.now + max;
        let mut ids: Vec<String> = self.users.jobs().map(|(id, _)| id.clone()).collect();
        ids.sort();
        loop {
            let waiting: Vec<&String> = ids.iter().filter(|id| !self.is_finished_or_running(id)).collect();
            if waiting.is_empty() {
                return;
            }
            assert!(self.now < end, "{name}: never came: {waiting:?}, {:?}", self.invariants.violations());
            self.run_without_starvation(name, &ids, 1_000);
        }
    }

    fn is_finished_or_running(&self, id: &str) -> bool {
        match self.status(id) {
            JobStatus::Pending => {
                let job = &self.users[id];
                job.is_service() && job.task_names(id).all(|task| self.worker_running(&task).is_some())
            }
            JobStatus::Done | JobStatus::Cancelled => true,
        }
    }

    /// Does some machine fit a task of this job that is nowhere, or, for a
    /// gang, do machines fit all of them?
    fn has_capacity(&self, id: &str) -> bool {
        let job = &self.users[id];
        let unplaced = job
            .task_names(id)
            .filter(|task| !self.workers.has_completed(task) && self.worker_with(task).is_none())
            .count();
        if unplaced == 0 || (job.is_gang() && unplaced < job.tasks() as usize) {
            return false; // it is on its way, or its rest has to end first
        }
        let needed = if job.is_gang() { unplaced } else { 1 };
        !self.exceeds_quota(job, needed) && self.zones_fit(id, job, needed)
    }

    /// The worker on which a task is, in whatever state before its end.
    fn worker_with(&self, task: &str) -> Option<&Worker> {
        self.workers.alive().find(|worker| worker.live_tasks().any(|held| held.name == task))
    }

    /// Whether so many tasks more would exceed the limit of team "red", to which
    /// all jobs belong where progress is checked.
    fn exceeds_quota(&self, job: &SubmittedJob, needed: usize) -> bool {
        let Some(gpus_max) = self.controller.settings.quotas.red_gpus_max else { return false };
        let live = self.workers.alive().flat_map(Worker::live_tasks);
        let used: f64 =
            live.filter_map(|task| self.users.job_of(&task.name)).filter_map(|job| job.submission.gpus).sum();
        used + job.submission.gpus.unwrap() * needed as f64 > gpus_max
    }

    /// Whether the zones have free capacity for so many tasks, as the job may use them.
    fn zones_fit(&self, id: &str, job: &SubmittedJob, needed: usize) -> bool {
        let [a, b] = ZONES.map(|zone| self.zone_capacity(id, job, zone));
        if job.submission.one_zone == Some(true) {
            return (a.fits >= needed && b.placed == 0) || (b.fits >= needed && a.placed == 0);
        }
        if job.submission.spread == Some(true) {
            let spread_max = job.tasks().div_ceil(2) as usize;
            let fits = |zone: ZoneCapacity| zone.fits.min(spread_max.saturating_sub(zone.placed));
            return fits(a) + fits(b) >= needed;
        }
        a.fits + b.fits >= needed
    }

    fn zone_capacity(&self, id: &str, job: &SubmittedJob, zone: &str) -> ZoneCapacity {
        let is_allowed = |worker: &&Worker| {
            let in_zone = worker.spec.zone == zone && job.submission.zone.as_ref().is_none_or(|only| only == zone);
            in_zone && (job.submission.spot == Some(true) || !worker.spec.spot)
        };
        let fits = self.workers.alive().filter(is_allowed).map(|worker| self.tasks_that_fit(job, worker)).sum();
        let placed = job
            .task_names(id)
            .filter_map(|task| self.worker_with(&task))
            .filter(|worker| worker.spec.zone == zone)
            .count();
        ZoneCapacity { fits, placed }
    }

    /// How many tasks of this job fit on a worker beside what is there.
    fn tasks_that_fit(&self, job: &SubmittedJob, worker: &Worker) -> usize {
        let (mut slots_used, mut cpus_left, mut gpus_left) = (0, 8.0, 4.0);
        for other in worker.live_tasks().filter_map(|task| self.users.job_of(&task.name)) {
            slots_used += 1;
            cpus_left -= other.submission.cpus.unwrap();
            gpus_left -= other.submission.gpus.unwrap();
        }
        let (cpus, gpus) = (job.submission.cpus.unwrap(), job.submission.gpus.unwrap());
        let by_gpus = if gpus > 0.0 { (gpus_left / gpus) as usize } else { usize::MAX };
        let by_slots = self.workers.settings.slots.saturating_sub(slots_used);
        ((cpus_left / cpus) as usize).min(by_gpus).min(by_slots)
    }
}
