//! The job cache of all jobs' records, kept by `/changes`.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use ciborium::Value;

use super::records::{job_key, to_value, JobRecord, Status, JOBS};
use crate::protocol::{
    jobs::{JobSpec, Kind, Priority},
    names::Tables,
    store::{Changes, Page},
};

/// Dense index of a job in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobIx(pub u32);

impl JobIx {
    pub fn at(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug, Clone)]
pub struct JobEntry {
    pub id: Rc<str>,
    pub status: Status,
    pub stamp: u64,
    /// Time of day at acceptance; once it is done, at its end, if that is known.
    pub at_ms: u64,
    pub chunk: u32,
    pub tasks: u32,
    /// Both are dropped once the job is over.
    pub spec: Option<Rc<JobSpec>>,
    pub record: Option<Rc<JobRecord>>,
    /// For display, from the leader.
    pub done: u32,
    pub running: u32,
    links: Option<Box<Links>>,
    /// Stands in the list of those that changed.
    is_listed: bool,
}

/// What ties an unfinished job to others; most have nothing of the kind.
#[derive(Debug, Clone)]
struct Links {
    /// Those that are known and were unfinished when it was linked.
    prereqs: Vec<JobIx>,
    dependents: Vec<JobIx>,
    /// Prerequisites whose end isn't written, unknown ones included.
    unfinished: u32,
    /// Time of day at which the last of them ended, as far as is known.
    ready_ms: u64,
    /// The highest of its own and of any job that needs it.
    priority: Priority,
    /// Time of day when it should be done, so that it and all that need it
    /// are in time, and when they are long overdue.
    due_ms: f64,
    overdue_ms: f64,
    /// Waits in a walk to hand on what it needs of others.
    is_queued: bool,
}

impl Links {
    fn new(at_ms: u64, spec: Option<&JobSpec>) -> Links {
        let at = |s: Option<f64>| s.map_or(f64::INFINITY, |s| at_ms as f64 + s * 1000.0);
        Links {
            prereqs: Vec::new(),
            dependents: Vec::new(),
            unfinished: 0,
            ready_ms: at_ms,
            priority: spec.map_or(Priority::Low, |s| s.priority),
            due_ms: at(spec.and_then(|s| s.deadline_s)),
            overdue_ms: at(spec.and_then(|s| s.overdue_s)),
            is_queued: false,
        }
    }
}

#[derive(Debug, Default)]
pub struct JobCache {
    jobs: Vec<JobEntry>,
    index: HashMap<Rc<str>, JobIx>,
    epoch: u64,
    loaded: bool,
    /// Jobs whose record changed since they were last taken.
    changed: Vec<JobIx>,
    /// Prerequisites that no record was seen of yet, and who names them.
    awaited: HashMap<Rc<str>, Vec<JobIx>>,
}

impl JobCache {
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn find(&self, id: &str) -> Option<JobIx> {
        self.index.get(id).copied()
    }

    pub fn get(&self, ix: JobIx) -> &JobEntry {
        &self.jobs[ix.at()]
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn all(&self) -> impl Iterator<Item = JobIx> {
        (0..self.jobs.len() as u32).map(JobIx)
    }

    pub fn take_changed(&mut self) -> Vec<JobIx> {
        let changed = std::mem::take(&mut self.changed);
        for ix in &changed {
            self.jobs[ix.at()].is_listed = false;
        }
        changed
    }

    /// Guard: true until the ends of all its prerequisites are written.
    pub fn waits(&self, ix: JobIx) -> bool {
        let e = self.get(ix);
        e.status == Status::Pending && e.links.as_ref().is_some_and(|l| l.unfinished > 0)
    }

    /// Time of day from which its waiting counts: its acceptance, or the end
    /// of the last job that it needs.
    pub fn ready_ms(&self, ix: JobIx) -> u64 {
        let e = self.get(ix);
        e.links.as_ref().map_or(e.at_ms, |l| l.ready_ms)
    }

    /// The job with what those that need it ask of it: their priority, and
    /// their deadline less their run times. Deadlines count from `ready_ms`.
    pub fn effective_spec(&self, ix: JobIx) -> Option<Rc<JobSpec>> {
        let e = self.get(ix);
        let spec = e.spec.as_ref()?;
        let Some(l) = &e.links else { return Some(spec.clone()) };
        let left = |ms: f64| ms.is_finite().then(|| (ms - l.ready_ms as f64) / 1000.0);
        let (deadline_s, overdue_s) = (left(l.due_ms), left(l.overdue_ms));
        Some(Rc::new(JobSpec { priority: l.priority, deadline_s, overdue_s, ..(**spec).clone() }))
    }

    pub fn is_service(&self, ix: JobIx) -> bool {
        self.get(ix).spec.as_ref().is_some_and(|s| s.kind == Kind::Service)
    }

    fn note_changed(&mut self, ix: JobIx) {
        let e = &mut self.jobs[ix.at()];
        if !std::mem::replace(&mut e.is_listed, true) {
            self.changed.push(ix);
        }
    }

    pub fn show(&mut self, id: &str, done: u32, running: u32) {
        if let Some(ix) = self.find(id) {
            let e = &mut self.jobs[ix.at()];
            e.done = done.min(e.tasks);
            e.running = running.min(e.tasks);
        }
    }

    /// One page of the first read. Changes are watched from the first page's
    /// epoch on: what later pages show besides is applied twice, harmlessly.
    pub fn page(&mut self, page: &Page, first: bool, tables: &mut Tables) {
        if first {
            self.epoch = page.epoch;
        }
        for p in &page.pairs {
            self.put(&p.key, &p.v, p.stamp, tables);
        }
        if !page.truncated {
            self.loaded = true;
        }
    }

    pub fn apply(&mut self, changes: &Changes, tables: &mut Tables) {
        for c in &changes.events {
            if let (Some(key), Some(v)) = (&c.write, &c.v) {
                self.put(key, v, c.stamp, tables);
            }
        }
        // Two reads may be under way; the older answer must not turn time back.
        self.epoch = self.epoch.max(changes.epoch);
    }

    /// Another controller told a user that a job is cancelled: its record stands
    /// with this stamp, whether it was read here yet or not.
    pub fn cancelled_elsewhere(&mut self, id: &str, stamp: u64, tables: &mut Tables) {
        let Some(e) = self.find(id).map(|ix| &self.jobs[ix.at()]) else { return };
        let Some(record) = e.record.clone().filter(|_| e.status == Status::Pending) else { return };
        let record = JobRecord { status: Status::Cancelled, ..(*record).clone() };
        self.put(&job_key(id), &to_value(&record), stamp, tables);
    }

    /// The changes asked for are no longer kept: read everything again.
    pub fn reload(&mut self) {
        self.loaded = false;
    }

    pub fn put(&mut self, key: &str, v: &Value, stamp: u64, tables: &mut Tables) -> Option<JobIx> {
        let id = key.strip_prefix(JOBS)?;
        let known = self.find(id);
        let is_new = known.is_none();
        if let Some(ix) = known {
            if self.jobs[ix.at()].stamp >= stamp {
                return known;
            }
        }
        let rec: JobRecord = match v.deserialized() {
            Ok(rec) => rec,
            Err(e) => {
                tracing::error!(job = id, error = %e, "a job's record can't be read");
                return None;
            }
        };
        let ix = known.unwrap_or_else(|| {
            let ix = JobIx(self.jobs.len() as u32);
            let id: Rc<str> = Rc::from(id);
            self.index.insert(id.clone(), ix);
            self.jobs.push(JobEntry {
                id,
                status: Status::Pending,
                stamp: 0,
                at_ms: rec.at_ms,
                chunk: rec.chunk.max(1),
                tasks: rec.submission.tasks.unwrap_or(1.0) as u32,
                spec: None,
                record: None,
                done: 0,
                running: 0,
                links: None,
                is_listed: false,
            });
            ix
        });
        let e = &mut self.jobs[ix.at()];
        // done and cancelled are for ever: no later write may turn them back.
        // Guard: neither does a record that says pending, of a job that needs a
        // cancelled one.
        let was_over = e.status != Status::Pending;
        if !was_over {
            e.status = rec.status;
        }
        e.stamp = stamp;
        // A leader may have divided its tasks anew.
        e.chunk = rec.chunk.max(1);
        let prereqs = if is_new { rec.submission.prereqs().to_vec() } else { Vec::new() };
        match e.status {
            Status::Pending => {
                if e.spec.is_none() {
                    match rec.submission.check(tables, true) {
                        Ok(s) => e.spec = Some(Rc::new(s)),
                        Err(why) => tracing::error!(job = id, %why, "an accepted job's record is not valid"),
                    }
                }
                e.record = Some(Rc::new(rec));
            }
            // The leader still needs it while tasks are being stopped; it keeps its own.
            Status::Cancelled => {
                if e.spec.is_none() {
                    e.spec = rec.submission.check(tables, true).ok().map(Rc::new);
                }
                e.record = None;
                e.running = 0;
            }
            Status::Done => {
                e.spec = None;
                e.record = None;
                e.done = e.tasks;
                e.running = 0;
                e.at_ms = rec.at_ms;
            }
        }
        self.note_changed(ix);
        if is_new {
            self.link(ix, prereqs);
        }
        if !was_over {
            match self.get(ix).status {
                Status::Pending => {}
                Status::Cancelled => self.pass_on_cancel(ix),
                Status::Done => self.pass_on_done(ix),
            }
        }
        Some(ix)
    }

    // ---- dependencies ----------------------------------------------------

    fn is_pending(&self, ix: JobIx) -> bool {
        self.get(ix).status == Status::Pending
    }

    fn links_mut(&mut self, ix: JobIx) -> &mut Links {
        let e = &mut self.jobs[ix.at()];
        e.links.get_or_insert_with(|| Box::new(Links::new(e.at_ms, e.spec.as_deref())))
    }

    /// Ties a job seen for the first time to those it names, and to those
    /// that named it before it was seen.
    fn link(&mut self, ix: JobIx, mut prereqs: Vec<String>) {
        prereqs.sort_unstable();
        prereqs.dedup();
        let mut is_doomed = false;
        if self.is_pending(ix) {
            for id in prereqs {
                match self.find(&id) {
                    Some(p) if self.get(p).status == Status::Done => {
                        let end = self.get(p).at_ms;
                        let l = self.links_mut(ix);
                        l.ready_ms = l.ready_ms.max(end);
                    }
                    Some(p) if self.get(p).status == Status::Cancelled => is_doomed = true,
                    Some(p) if p != ix => {
                        let l = self.links_mut(ix);
                        l.unfinished += 1;
                        l.prereqs.push(p);
                        self.links_mut(p).dependents.push(ix);
                    }
                    Some(_) => {}
                    None => {
                        self.links_mut(ix).unfinished += 1;
                        self.awaited.entry(Rc::from(id)).or_default().push(ix);
                    }
                }
            }
        }
        let id = self.get(ix).id.clone();
        let waiting: Vec<JobIx> = self.awaited.remove(&id).unwrap_or_default();
        for d in waiting {
            if self.is_pending(d) && d != ix {
                self.links_mut(ix).dependents.push(d);
                self.links_mut(d).prereqs.push(ix);
                if self.is_pending(ix) {
                    self.hand_up(d);
                }
            }
        }
        if is_doomed {
            self.jobs[ix.at()].status = Status::Cancelled;
            self.jobs[ix.at()].record = None;
        } else if self.get(ix).links.is_some() && self.is_pending(ix) {
            self.hand_up(ix);
        }
    }

    /// Hands what a job needs in priority and time on to its prerequisites,
    /// and so on up; each is looked at again only when something rose.
    fn hand_up(&mut self, from: JobIx) {
        let mut queue = VecDeque::from([from]);
        while let Some(d) = queue.pop_front() {
            let run_ms = self.get(d).spec.as_ref().map_or(0.0, |s| s.estimate_s * 1000.0);
            let l = self.links_mut(d);
            l.is_queued = false;
            let less = |due_ms: f64| (due_ms - run_ms).max(0.0);
            let (priority, due_ms, overdue_ms) = (l.priority, less(l.due_ms), less(l.overdue_ms));
            let mut prereqs = std::mem::take(&mut l.prereqs);
            prereqs.retain(|&p| self.is_pending(p));
            for &p in &prereqs {
                let l = self.links_mut(p);
                if priority <= l.priority && due_ms >= l.due_ms && overdue_ms >= l.overdue_ms {
                    continue;
                }
                l.priority = l.priority.max(priority);
                l.due_ms = l.due_ms.min(due_ms);
                l.overdue_ms = l.overdue_ms.min(overdue_ms);
                if !std::mem::replace(&mut l.is_queued, true) {
                    queue.push_back(p);
                }
                self.note_changed(p);
            }
            self.links_mut(d).prereqs = prereqs;
        }
    }

    /// Its end is written: whoever waited for it alone may begin.
    fn pass_on_done(&mut self, ix: JobIx) {
        let end = self.get(ix).at_ms;
        let Some(links) = self.jobs[ix.at()].links.take() else { return };
        for d in links.dependents {
            if !self.is_pending(d) {
                continue;
            }
            let l = self.links_mut(d);
            l.unfinished = l.unfinished.saturating_sub(1);
            l.ready_ms = l.ready_ms.max(end);
            if l.unfinished == 0 {
                self.note_changed(d);
            }
        }
    }

    /// Guard: the cancelled record of the first is the fact; that all which
    /// need it are cancelled too follows here, whatever their records say.
    fn pass_on_cancel(&mut self, ix: JobIx) {
        let mut stack = vec![ix];
        while let Some(p) = stack.pop() {
            let Some(links) = self.jobs[p.at()].links.take() else { continue };
            for d in links.dependents {
                let e = &mut self.jobs[d.at()];
                if e.status == Status::Pending {
                    e.status = Status::Cancelled;
                    e.record = None;
                    e.running = 0;
                    self.note_changed(d);
                    stack.push(d);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/job_cache.rs"]
mod tests;
