//! The mirror of all jobs' records, kept by `/changes`.

use std::{collections::HashMap, rc::Rc};

use ciborium::Value;

use super::records::{job_key, to_value, JobRecord, Status, JOBS};
use crate::protocol::{
    jobs::JobSpec,
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
    pub at_ms: u64,
    pub chunk: u32,
    pub tasks: u32,
    /// Both are dropped once the job is over.
    pub spec: Option<Rc<JobSpec>>,
    pub record: Option<Rc<JobRecord>>,
    /// For display, from the leader.
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Default)]
pub struct Mirror {
    jobs: Vec<JobEntry>,
    index: HashMap<Rc<str>, JobIx>,
    epoch: u64,
    loaded: bool,
    /// Jobs whose record changed since they were last taken.
    changed: Vec<JobIx>,
}

impl Mirror {
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
        std::mem::take(&mut self.changed)
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
            });
            ix
        });
        let e = &mut self.jobs[ix.at()];
        // done and cancelled are for ever: no later write may turn them back.
        if e.status == Status::Pending {
            e.status = rec.status;
        }
        e.stamp = stamp;
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
            }
        }
        self.changed.push(ix);
        Some(ix)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::{cbor, jobs::Submission, store::Change};

    fn record(status: Status) -> Value {
        let bytes = cbor::encode(&crate::protocol::jobs::tests::sample());
        let submission: Submission = cbor::decode(&bytes).unwrap();
        to_value(&JobRecord { submission, status, at_ms: 5, chunk: 64 })
    }

    fn change(status: Status, stamp: u64) -> Changes {
        let c = Change { write: Some(job_key("j-000412")), drop: None, v: Some(record(status)), stamp };
        Changes { epoch: stamp, events: vec![c] }
    }

    #[test]
    fn never_back_whatever_the_order() {
        use Status::*;
        // Changes as they arrive, with stamps, and the status after each.
        let cases: [&[(Status, u64, Status)]; 4] = [
            &[(Pending, 1, Pending), (Cancelled, 4, Cancelled)],
            &[(Pending, 1, Pending), (Done, 4, Done), (Pending, 1, Done)],
            &[(Done, 4, Done), (Pending, 1, Done), (Pending, 9, Done)],
            &[(Pending, 3, Pending), (Pending, 3, Pending)],
        ];
        for (n, case) in cases.iter().enumerate() {
            let mut m = Mirror::default();
            let mut t = Tables::default();
            let mut top = 0;
            for (status, stamp, want) in *case {
                m.apply(&change(*status, *stamp), &mut t);
                top = top.max(*stamp);
                let ix = m.find("j-000412").expect("known");
                assert_eq!(m.get(ix).status, *want, "case {n}");
                assert_eq!(m.epoch(), top, "case {n}");
            }
        }
    }

    /// Guard: a peer's word of a cancellation counts at once, and neither it nor
    /// the record it speaks of turns anything back, in whatever order they come.
    #[test]
    fn a_peers_word_of_a_cancellation() {
        use Status::*;
        // (record known before, told stamp, record read after, status at the end)
        let cases = [
            (Some((Pending, 3)), 7, None, Some(Cancelled)),
            (Some((Pending, 3)), 7, Some((Cancelled, 7)), Some(Cancelled)),
            (Some((Cancelled, 7)), 7, None, Some(Cancelled)),
            (Some((Done, 9)), 7, None, Some(Done)),
            (None, 7, Some((Cancelled, 7)), Some(Cancelled)),
            (None, 7, None, None),
        ];
        for (n, (before, told, after, want)) in cases.into_iter().enumerate() {
            let (mut m, mut t) = (Mirror::default(), Tables::default());
            let read = |m: &mut Mirror, t: &mut Tables, r: Option<(Status, u64)>| {
                if let Some((status, stamp)) = r {
                    m.apply(&change(status, stamp), t);
                }
            };
            read(&mut m, &mut t, before);
            m.take_changed();
            m.cancelled_elsewhere("j-000412", told, &mut t);
            let first = matches!(before, Some((Pending, _)));
            assert_eq!(m.take_changed().len(), usize::from(first), "case {n}: the leader is told once");
            read(&mut m, &mut t, after);
            assert_eq!(m.find("j-000412").map(|ix| m.get(ix).status), want, "case {n}");
        }
    }

    #[test]
    fn a_record_that_cannot_be_read_is_left_out() {
        let mut m = Mirror::default();
        assert_eq!(m.put("j/j-1", &Value::Text("?".into()), 3, &mut Tables::default()), None);
        assert!(m.is_empty());
    }
}
