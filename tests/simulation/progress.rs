//! Progress: no job is left waiting while there is room for it.

use shedhook::{coordination::model::Millis, protocol::workers::TaskState, storage::records::JobStatus};

use super::{worker::WorkerTask, Simulation};

impl Simulation {
    /// Runs for so long; no job is left waiting for 90 s while there is room.
    pub fn run_without_starvation(&mut self, name: &str, ids: &[String], ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            for id in ids {
                if !self.is_finished_or_running(id) && self.has_room(id) {
                    let since = *self.waiting_since.entry(id.clone()).or_insert(self.now);
                    assert!(self.now <= since + 90_000, "{name}: {id} is left waiting, with room");
                } else {
                    self.waiting_since.remove(id);
                }
            }
            self.run(1_000);
        }
    }

    /// Runs until every job that was not cancelled is done, or runs if it is a
    /// service; meanwhile none is left waiting.
    pub fn run_until_settled(&mut self, name: &str, max: Millis) {
        let end = self.now + max;
        let mut ids: Vec<String> = self.jobs.keys().cloned().collect();
        ids.sort();
        loop {
            let waiting: Vec<String> = ids.iter().filter(|id| !self.is_finished_or_running(id)).cloned().collect();
            if waiting.is_empty() {
                return;
            }
            assert!(self.now < end, "{name}: never came: {waiting:?}, {:?}", self.violations);
            self.run_without_starvation(name, &ids, 1_000);
        }
    }

    pub(super) fn is_finished_or_running(&self, id: &str) -> bool {
        let f = &self.jobs[id];
        let service = f.sub.kind.as_deref() == Some("service");
        let there = |n: u32| self.worker_running(&format!("{id}/{n}")).is_some();
        match self.status(id) {
            JobStatus::Pending => service && (0..f.sub.tasks.unwrap() as u32).all(there),
            JobStatus::Done | JobStatus::Cancelled => true,
        }
    }

    /// Does some machine fit a task of this job that is nowhere, or, for a
    /// gang, do machines fit all of them?
    pub(super) fn has_room(&self, id: &str) -> bool {
        let s = &self.jobs[id].sub;
        let (tasks, gang) = (s.tasks.unwrap() as u32, s.kind.as_deref() == Some("ensemble"));
        let name = |n: u32| format!("{id}/{n}");
        let at = |n: u32| {
            let there = |t: &WorkerTask| t.name == name(n) && t.state != TaskState::Exited;
            self.workers.iter().position(|x| !x.dead && x.tasks.iter().any(there))
        };
        let nowhere: Vec<u32> = (0..tasks).filter(|&n| !self.completed.contains(&name(n)) && at(n).is_none()).collect();
        if nowhere.is_empty() || (gang && nowhere.len() < tasks as usize) {
            return false; // it is on its way, or its rest has to end first
        }
        let (cpus, gpus) = (s.cpus.unwrap(), s.gpus.unwrap());
        let needed = if gang { nowhere.len() } else { 1 };
        let (mut used, mut free) = (0.0, Vec::new());
        for x in self.workers.iter().filter(|x| !x.dead) {
            let live = x.tasks.iter().filter(|t| t.state != TaskState::Exited);
            let (mut n, mut cpus_left, mut gpus_left) = (0, 8.0, 4.0);
            for sub in live.filter_map(|t| Some(&self.facts(&t.name)?.sub)) {
                (n, cpus_left, gpus_left) = (n + 1, cpus_left - sub.cpus.unwrap(), gpus_left - sub.gpus.unwrap());
                used += sub.gpus.unwrap();
            }
            let by_gpus = if gpus > 0.0 { (gpus_left / gpus) as usize } else { usize::MAX };
            let fits = ((cpus_left / cpus) as usize).min(by_gpus).min(self.slots.saturating_sub(n));
            if s.zone.as_ref().is_none_or(|z| *z == x.zone) && (s.spot == Some(true) || !x.spot) {
                free.push((x.zone.as_str(), fits));
            }
        }
        if self.team_gpus_max > 0.0 && used + gpus * needed as f64 > self.team_gpus_max {
            return false;
        }
        let in_zone = |z: &str| free.iter().filter(|f| f.0 == z).map(|f| f.1).sum::<usize>();
        let taken = |z: &str| (0..tasks).filter_map(at).filter(|&n| self.workers[n].zone == z).count();
        let (a, b) = (in_zone("a"), in_zone("b"));
        if s.one_zone == Some(true) {
            let (in_a, in_b) = (taken("a") > 0, taken("b") > 0);
            return (a >= needed && !in_b) || (b >= needed && !in_a);
        }
        if s.spread == Some(true) {
            let capacity = tasks.div_ceil(2) as usize;
            return a.min(capacity.saturating_sub(taken("a"))) + b.min(capacity.saturating_sub(taken("b"))) >= needed;
        }
        a + b >= needed
    }
}
