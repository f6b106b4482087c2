//! Users of the cluster: submissions, cancellations, and what they are told.

use shedhook::{
    coordination::model::Millis,
    protocol::{
        jobs::Submission,
        store::{Op, Txn},
    },
    storage::{
        budget::Urgency,
        records::{self, JobRecord, JobStatus},
    },
};

use super::Simulation;

pub struct JobFacts {
    pub sub: Submission,
    pub cancelled_at: Option<Millis>,
    pub run_ms: Millis,
    /// Submitted with a mistake: its tasks fail after running for this long.
    pub fails_after: Option<Millis>,
}

pub fn submission(id: &str, kind: &str, tasks: u32) -> Submission {
    Submission {
        name_id: Some(id.into()),
        class: Some("c".into()),
        team: Some("red".into()),
        kind: Some(kind.into()),
        priority: Some("normal".into()),
        tasks: Some(f64::from(tasks)),
        cpus: Some(2.0),
        gpus: Some(0.0),
        memory_gb: Some(1.0),
        image: Some("img".into()),
        image_gb: Some(1.0),
        one_zone: Some(false),
        spread: Some(false),
        spot: Some(true),
        estimate_s: Some(10.0),
        checkpoint_s: Some(0.0),
        save_s: Some(0.0),
        ..Submission::default()
    }
}

impl Simulation {
    pub fn submit(&mut self, sub: Submission, run_ms: Millis) {
        let id = sub.name_id.clone().unwrap();
        let rec = JobRecord {
            submission: sub.clone(),
            status: JobStatus::Pending,
            at_ms: self.now,
            chunk: self.chunk_size(&sub),
        };
        let txn = Txn {
            conditions: vec![],
            writes: vec![Op::Put { key: records::job_key(&id), v: records::to_value(&rec), permit: None }],
        };
        self.store.apply(&txn).unwrap();
        self.jobs.insert(id, JobFacts { sub, cancelled_at: None, run_ms, fails_after: None });
    }

    /// A job that was submitted with a mistake: it fails on every machine.
    pub fn submit_failing(&mut self, sub: Submission, fails_after: Millis) {
        let id = sub.name_id.clone().unwrap();
        self.submit(sub, 0);
        self.jobs.get_mut(&id).unwrap().fails_after = Some(fails_after);
    }

    /// A submission at one of the controllers: false when it is over its budget.
    pub fn submit_at(&mut self, controller: usize, sub: Submission, run_ms: Millis) -> bool {
        let now = self.now;
        let w = self.writes.as_mut().expect("writes are limited");
        if w.controllers[controller].users.take(now, 1.0, Urgency::Submit).is_err() {
            return false;
        }
        self.count_writes(1);
        self.submit(sub, run_ms);
        true
    }

    /// A user's abort, answered: true when cancelled, false when done before.
    pub fn cancel(&mut self, id: &str) -> bool {
        let key = records::job_key(id);
        let mut rec: JobRecord = self.store.keys[&key].0.deserialized().unwrap();
        if rec.status == JobStatus::Done {
            return false;
        }
        rec.status = JobStatus::Cancelled;
        let txn = Txn { conditions: vec![], writes: vec![Op::Put { key, v: records::to_value(&rec), permit: None }] };
        self.store.apply(&txn).unwrap();
        self.jobs.get_mut(id).unwrap().cancelled_at = Some(self.now);
        true
    }

    pub fn status(&self, id: &str) -> JobStatus {
        let rec: JobRecord = self.store.keys[&records::job_key(id)].0.deserialized().unwrap();
        rec.status
    }

    /// What the controller tells users of a job.
    pub fn status_told_to_users(&self, id: &str) -> Option<JobStatus> {
        self.job_cache.find(id).map(|index| self.job_cache.get(index).status)
    }

    pub(super) fn chunk_size(&self, sub: &Submission) -> u32 {
        if sub.tasks.unwrap_or(1.0) > 1_000.0 {
            128
        } else {
            self.chunk
        }
    }
}
