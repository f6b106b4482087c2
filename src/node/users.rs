//! Users' requests, served by every controller alone through the state service.

use std::rc::Rc;

use ciborium::Value;

use super::{
    calls::{StateCall, SLOW_STATE_TIMEOUT_MS},
    wiring::{wall_ms, Node, Pending, Waiter},
};
use crate::{
    bookkeeping::{
        budget::Urgency,
        job_cache::{JobEntry, JobIx},
        records::{self, JobRecord, Status},
    },
    coordination::model::fits_some_type,
    protocol::{
        cbor,
        jobs::{valid_id, JobAnswer, PollAnswer, Refusal, Submission},
        store::{Condition, Epoch, Op, Txn},
    },
    transport::{CallError, ConnId, Net, Reply},
};

/// For the logs: users told to come back, since the last time it was said.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct UserResponseCounts {
    pub unavailable: u32,
    pub over_budget: u32,
    pub accepted: u32,
}

impl Node {
    /// Says how users fared, where some were told to come back.
    pub fn log_user_responses(&mut self) {
        let t = std::mem::take(&mut self.user_responses);
        if t.unavailable + t.over_budget > 0 {
            tracing::info!(
                accepted = t.accepted,
                over_budget = t.over_budget,
                unavailable = t.unavailable,
                "users told to come back"
            );
        }
    }
}

const TRY_AGAIN_S: u32 = 1;
/// How often a submission is tried anew when one that it needs changes.
const CREATE_TRIES: u32 = 3;

/// The jobs that a submission names, as they are known here.
#[derive(Debug)]
enum Prereqs {
    /// All are accepted; these conditions say that they stay as they are.
    Stand(Vec<Condition>),
    Unknown,
    /// A service never ends.
    Service,
}

fn status_word(e: &JobEntry) -> &'static str {
    match e.status {
        Status::Done => "done",
        Status::Cancelled => "cancelled",
        Status::Pending if e.running > 0 => "running",
        Status::Pending => "pending",
    }
}

impl Node {
    pub fn unavailable(&mut self, net: &mut Net, conn: ConnId) {
        self.user_responses.unavailable += 1;
        net.respond(conn, 503, Some(TRY_AGAIN_S), b"");
    }

    fn over_budget(&mut self, net: &mut Net, conn: ConnId, wait_ms: u64) {
        self.user_responses.over_budget += 1;
        let s = wait_ms.div_ceil(1_000).clamp(1, 30) as u32;
        net.respond(conn, 429, Some(s), b"");
    }

    fn job_answer(&self, net: &mut Net, conn: ConnId, code: u16, id: &str, status: &str) {
        net.respond(conn, code, None, &cbor::encode(&JobAnswer { name_id: id, status }));
    }

    fn poll_answer(&self, net: &mut Net, conn: ConnId, ix: JobIx) {
        let e = self.job_cache.get(ix);
        let a = PollAnswer { name_id: &e.id, status: status_word(e), done: e.done, running: e.running };
        net.respond(conn, 200, None, &cbor::encode(&a));
    }

    fn is_final(&self, ix: JobIx) -> bool {
        self.job_cache.get(ix).status != Status::Pending
    }

    /// One conditional write of a job's record, if the budget allows it now.
    #[allow(clippy::too_many_arguments)]
    fn write_record(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        urgency: Urgency,
        conditions: Vec<Condition>,
        key: String,
        v: Value,
        what: Pending,
    ) {
        let now = net.now();
        let budgets = &mut self.budgets;
        let taken = budgets.reads.take(now, 1.0, urgency).and_then(|()| budgets.writes.take(now, 1.0, urgency));
        if let Err(wait) = taken {
            return self.over_budget(net, conn, wait);
        }
        let txn = Txn { conditions, writes: vec![Op::Put { key, v, permit: None }] };
        self.ask_state(net, what, StateCall::transaction(&txn, SLOW_STATE_TIMEOUT_MS));
    }

    /// How such a write ended: applied, or the record had changed. None: it
    /// could not be done, and the user was told so.
    fn wrote(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: &str,
        record: &JobRecord,
        result: &Result<Reply, CallError>,
    ) -> Option<bool> {
        match result {
            Ok(r) if r.status == 200 => {
                if let Ok(e) = cbor::decode::<Epoch>(&r.body) {
                    let v = records::to_value(record);
                    self.job_cache.put(&records::job_key(id), &v, e.epoch, &mut self.tables);
                }
                Some(true)
            }
            Ok(r) if r.status == 409 => Some(false),
            Ok(r) if r.status == 429 => {
                self.budgets.writes.refused(net.now());
                self.user_responses.over_budget += 1;
                net.respond(conn, 429, Some(TRY_AGAIN_S), b"");
                None
            }
            _ => {
                self.unavailable(net, conn);
                None
            }
        }
    }

    // ---- submit --------------------------------------------------------

    pub fn submit(&mut self, net: &mut Net, conn: ConnId, body: &[u8]) {
        let Ok(mut sub) = cbor::decode::<Submission>(body) else {
            return net.respond(conn, 400, None, b"");
        };
        if !self.job_cache.loaded() || self.types.is_empty() {
            // Form is judged without knowing the types, but for a job's
            // types themselves; so only what is surely malformed is told.
            return match sub.check(&mut self.tables, false) {
                Err(Refusal::Malformed(_)) => net.respond(conn, 400, None, b""),
                _ => self.unavailable(net, conn),
            };
        }
        sub.fold_prereqs();
        let checked = sub.check(&mut self.tables, false);
        let id = match (&checked, &sub.name_id) {
            (Err(Refusal::Malformed(field)), _) => {
                tracing::debug!(field, "malformed submission");
                return net.respond(conn, 400, None, b"");
            }
            (_, Some(id)) => id.clone(),
            (_, None) => return net.respond(conn, 400, None, b""),
        };
        let now = net.now();
        if let Some(ix) = self.job_cache.find(&id) {
            if self.is_final(ix) {
                let word = status_word(self.job_cache.get(ix));
                return self.job_answer(net, conn, 200, &id, word);
            }
            return self.barrier.join(now, Waiter::Known { conn, id });
        }
        let refusal = match &checked {
            Err(_) => Some("unknown team"),
            Ok(spec) if !fits_some_type(spec, &self.types) => Some("fits no machine type"),
            Ok(spec) => {
                let limits = self.settings.cluster.teams.get(spec.team.at()).map(|t| {
                    let max = |x: f64| (x > 0.0).then_some(x);
                    crate::coordination::model::TeamLimits {
                        cpus_max: max(t.cpus_max),
                        gpus_max: max(t.gpus_max),
                        ..Default::default()
                    }
                });
                (!limits.unwrap_or_default().ever_allows(spec)).then_some("over the team's limit")
            }
        };
        if let Some(why) = refusal {
            // Never for a job that was accepted: look once more first.
            return self.barrier.join(now, Waiter::Refuse { conn, id, status: 422, why });
        }
        let chunk = self.chunk_size();
        let record = Rc::new(JobRecord { submission: sub, status: Status::Pending, at_ms: wall_ms(), chunk });
        let v = records::to_value(&*record);
        if records::json_size(&v) as f64 > self.settings.cluster.state.fitting_value_kb() * 1024.0 {
            return self.barrier.join(now, Waiter::Refuse { conn, id, status: 400, why: "too long for a record" });
        }
        // Guard: while an old controller may be there, nothing is accepted that
        // it would start too early, or forget the prerequisites of.
        if !record.submission.prereqs().is_empty() && !self.versions.is_complete() {
            return self.unavailable(net, conn);
        }
        self.create(net, conn, id, record, 0);
    }

    /// Writes the record of a new job, if all that it names are known here;
    /// otherwise the read barrier decides.
    fn create(&mut self, net: &mut Net, conn: ConnId, id: String, record: Rc<JobRecord>, tries: u32) {
        let key = records::job_key(&id);
        let mut conditions = vec![Condition { key: key.clone(), stamp: 0 }];
        match self.prereqs(&record) {
            Prereqs::Stand(c) => conditions.extend(c),
            Prereqs::Unknown | Prereqs::Service => {
                // A pipeline's jobs come one after another, to any controller.
                self.barrier.expedite(net.now());
                return self.barrier.join(net.now(), Waiter::Dependent { conn, id, record, tries });
            }
        }
        let v = records::to_value(&*record);
        let what = Pending::Submit { conn, id, record, tries };
        self.write_record(net, conn, Urgency::Submit, conditions, key, v, what);
    }

    /// Whether the jobs that a submission names stand, as far as is known here.
    fn prereqs(&self, record: &JobRecord) -> Prereqs {
        // One condition is for the job's own key. Records of jobs are never
        // removed, so those beyond stand by having been read.
        let most = 4 * self.settings.cluster.state.fitting_txn_ops() - 1;
        let mut conditions = Vec::new();
        let mut has_service = false;
        for p in record.submission.prereqs() {
            let Some(ix) = self.job_cache.find(p) else { return Prereqs::Unknown };
            has_service |= self.job_cache.is_service(ix);
            // What is over stays as it is.
            if !self.is_final(ix) && conditions.len() < most {
                conditions.push(Condition { key: records::job_key(p), stamp: self.job_cache.get(ix).stamp });
            }
        }
        if has_service {
            return Prereqs::Service;
        }
        Prereqs::Stand(conditions)
    }

    pub fn submitted(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: Rc<JobRecord>,
        tries: u32,
        result: Result<Reply, CallError>,
    ) {
        match self.wrote(net, conn, &id, &record, &result) {
            Some(true) => {
                self.user_responses.accepted += 1;
                // It may need a cancelled one.
                let word = self.job_cache.find(&id).map_or("pending", |ix| status_word(self.job_cache.get(ix)));
                self.job_answer(net, conn, 201, &id, word);
            }
            Some(false) if record.submission.prereqs().is_empty() => {
                self.barrier.join(net.now(), Waiter::Known { conn, id });
            }
            // It exists, or one that it needs changed meanwhile.
            Some(false) if tries < CREATE_TRIES => {
                self.barrier.join(net.now(), Waiter::Dependent { conn, id, record, tries: tries + 1 });
            }
            Some(false) => self.unavailable(net, conn),
            None => {}
        }
    }

    // ---- poll ----------------------------------------------------------

    pub fn poll(&mut self, net: &mut Net, conn: ConnId, id: &str) {
        if !valid_id(id) {
            return net.respond(conn, 404, None, b"");
        }
        match self.job_cache.find(id) {
            Some(ix) if self.is_final(ix) => self.poll_answer(net, conn, ix),
            _ if !self.job_cache.loaded() => self.unavailable(net, conn),
            _ => self.barrier.join(net.now(), Waiter::Poll { conn, id: id.to_owned() }),
        }
    }

    // ---- abort ---------------------------------------------------------

    pub fn abort(&mut self, net: &mut Net, conn: ConnId, id: String, tries: u32) {
        if !valid_id(&id) {
            return net.respond(conn, 404, None, b"");
        }
        let now = net.now();
        match self.job_cache.find(&id) {
            Some(ix) if self.is_final(ix) => {
                let word = status_word(self.job_cache.get(ix));
                self.job_answer(net, conn, 200, &id, word);
            }
            Some(ix) => {
                let e = self.job_cache.get(ix);
                let (Some(record), stamp) = (e.record.clone(), e.stamp) else {
                    return self.unavailable(net, conn);
                };
                let record = Rc::new(JobRecord { status: Status::Cancelled, ..(*record).clone() });
                let (key, v) = (records::job_key(&id), records::to_value(&*record));
                let what = Pending::Abort { conn, id, record, tries };
                let conditions = vec![Condition { key: key.clone(), stamp }];
                self.write_record(net, conn, Urgency::Cancel, conditions, key, v, what);
            }
            None if !self.job_cache.loaded() => self.unavailable(net, conn),
            None => self.barrier.join(now, Waiter::Abort { conn, id, tries }),
        }
    }

    pub fn aborted(
        &mut self,
        net: &mut Net,
        conn: ConnId,
        id: String,
        record: &JobRecord,
        tries: u32,
        result: Result<Reply, CallError>,
    ) {
        match self.wrote(net, conn, &id, record, &result) {
            Some(true) => {
                if let Some(stamp) = self.job_cache.find(&id).map(|ix| self.job_cache.get(ix).stamp) {
                    self.tell_cancelled(net, net.now(), &id, stamp);
                }
                self.job_answer(net, conn, 200, &id, "cancelled");
            }
            // Done or cancelled meanwhile: read, then decide anew.
            Some(false) if tries < 3 => {
                self.barrier.join(net.now(), Waiter::Abort { conn, id, tries: tries + 1 });
            }
            Some(false) => self.unavailable(net, conn),
            None => {}
        }
    }

    // ---- the barrier ---------------------------------------------------

    /// The read that these waited for is applied.
    pub fn serve(&mut self, net: &mut Net, waiters: Vec<Waiter>) {
        for w in waiters {
            match w {
                Waiter::Poll { conn, id } => match self.job_cache.find(&id) {
                    Some(ix) => self.poll_answer(net, conn, ix),
                    None => net.respond(conn, 404, None, b""),
                },
                Waiter::Known { conn, id } => match self.job_cache.find(&id) {
                    Some(ix) => {
                        let word = status_word(self.job_cache.get(ix));
                        self.job_answer(net, conn, 200, &id, word);
                    }
                    None => self.unavailable(net, conn),
                },
                Waiter::Refuse { conn, id, status, why } => match self.job_cache.find(&id) {
                    Some(ix) => {
                        let word = status_word(self.job_cache.get(ix));
                        self.job_answer(net, conn, 200, &id, word);
                    }
                    None => {
                        tracing::info!(job = &*id, why, "can never run");
                        net.respond(conn, status, None, b"");
                    }
                },
                Waiter::Dependent { conn, id, record, tries } => match self.job_cache.find(&id) {
                    Some(ix) => {
                        let word = status_word(self.job_cache.get(ix));
                        self.job_answer(net, conn, 200, &id, word);
                    }
                    // Guard: read after it was asked, so what is unknown now was
                    // not accepted when the user named it.
                    None => match self.prereqs(&record) {
                        Prereqs::Stand(_) => self.create(net, conn, id, record, tries),
                        no => {
                            tracing::info!(job = &*id, ?no, "names a job that it can't wait for");
                            net.respond(conn, 422, None, b"");
                        }
                    },
                },
                Waiter::Abort { conn, id, tries } => match self.job_cache.find(&id) {
                    Some(_) => self.abort(net, conn, id, tries),
                    None => net.respond(conn, 404, None, b""),
                },
            }
        }
    }

    /// No barrier, no answer.
    pub fn refuse_all(&mut self, net: &mut Net, waiters: Vec<Waiter>) {
        for w in waiters {
            self.unavailable(net, w.conn());
        }
    }
}
