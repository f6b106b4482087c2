//! Progress check: no job waits for long while there is free capacity for it.

use std::collections::HashMap;

use shedhook::{coordination::model::Millis, storage::records::JobStatus};

use super::{cloud::ZONES, users::SubmittedJob, worker::Worker, Simulation};

/// How long a job may wait while there is free capacity for it.
const WAIT_MAX_MS: Millis = 90_000;

/// Since when each job's tasks have been waiting although there is free capacity.
#[derive(Default)]
pub(super) struct StarvationCheck {
    waiting_since: HashMap<String, Millis>,
}

impl StarvationCheck {
    /// Clears all waits, so that they are measured from now on.
    pub(super) fn clear_waits(&mut self) {
        self.waiting_since.clear();
    }

    /// Records whether a job waits although there is free capacity. Returns false when it
    /// has waited for longer than `WAIT_MAX_MS`.
    fn observe(&mut self, now: Millis, id: &str, is_starved: bool) -> bool {
        if !is_starved {
            self.waiting_since.remove(id);
            return true;
        }
        let since = *self.waiting_since.entry(id.to_owned()).or_insert(now);
        now <= since + WAIT_MAX_MS
    }
}

/// How many tasks of a job still fit in a zone, and how many are placed there.
#[derive(Clone, Copy, Default)]
struct ZoneCapacity {
    fits: usize,
    placed: usize,
}

impl Simulation {
    /// Runs for `ms`. Fails if a job waits for more than 90 s while there is free
    /// capacity for it.
    pub fn run_without_starvation(&mut self, name: &str, ids: &[String], ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            for id in ids {
                let is_starved = !self.is_finished_or_running(id) && self.has_capacity(id);
                let in_time = self.starvation.observe(self.now, id, is_starved);
                assert!(in_time, "{name}: {id} waits for too long although there is free capacity");
            }
            self.run(1_000);
        }
    }

    /// Runs until every job that was not cancelled is done, or running if it is a
    /// service. Fails after `max` ms, or if a job waits too long meanwhile.
    pub fn run_until_settled(&mut self, name: &str, max: Millis) {
        let end = self.now + max;
        let mut ids: Vec<String> = self.users.jobs().map(|(id, _)| id.clone()).collect();
        ids.sort();
        loop {
            let waiting: Vec<&String> = ids.iter().filter(|id| !self.is_finished_or_running(id)).collect();
            if waiting.is_empty() {
                return;
            }
            assert!(
                self.now < end,
                "{name}: timed out waiting for {waiting:?}, violations: {:?}",
                self.invariants.violations()
            );
            self.run_without_starvation(name, &ids, 1_000);
        }
    }

    /// Reports whether a job is done or cancelled, or is a service whose tasks all run.
    fn is_finished_or_running(&self, id: &str) -> bool {
        match self.status(id) {
            JobStatus::Pending => {
                let job = &self.users[id];
                job.is_service() && job.task_names(id).all(|task| self.worker_running(&task).is_some())
            }
            JobStatus::Done | JobStatus::Cancelled => true,
        }
    }

    /// Reports whether there is free capacity for an unplaced task of this job; for a
    /// gang, for all of its tasks.
    fn has_capacity(&self, id: &str) -> bool {
        let job = &self.users[id];
        let unplaced = job
            .task_names(id)
            .filter(|task| !self.workers.has_completed(task) && self.worker_with(task).is_none())
            .count();
        if unplaced == 0 || (job.is_gang() && unplaced < job.tasks() as usize) {
            // All tasks are placed, or the remaining tasks of the gang must exit first.
            return false;
        }
        let needed = if job.is_gang() { unplaced } else { 1 };
        !self.exceeds_quota(job, needed) && self.zones_fit(id, job, needed)
    }

    /// Returns the worker that has an attempt of this task in any state other than exited.
    fn worker_with(&self, task: &str) -> Option<&Worker> {
        self.workers.alive().find(|worker| worker.live_tasks().any(|held| held.name == task))
    }

    /// Reports whether `needed` more tasks would exceed the quota of team "red", to which
    /// all jobs belong in the cases that check progress.
    fn exceeds_quota(&self, job: &SubmittedJob, needed: usize) -> bool {
        let Some(gpus_max) = self.controller.settings.quotas.red_gpus_max else { return false };
        let live = self.workers.alive().flat_map(Worker::live_tasks);
        let used: f64 =
            live.filter_map(|task| self.users.job_of(&task.name)).filter_map(|job| job.submission.gpus).sum();
        used + job.submission.gpus.unwrap() * needed as f64 > gpus_max
    }

    /// Reports whether `needed` tasks fit in the zones, under the job's zone constraints.
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

    /// Returns how many more tasks of this job fit in a zone, and how many are placed there.
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

    /// Returns how many more tasks of this job fit on a worker, in addition to the worker's
    /// live tasks.
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
