//! The wanted state, written: one transaction at a time.

use super::{resharding::RESHARD_GAP_MS, *};

/// Ends wait this long for others to be written with them; less when there is
/// budget to spare.
const ENDS_MS: Ms = 8_000;
const ENDS_SPARE_MS: Ms = 1_500;
pub(super) const MAX_BYTES: usize = 48 * 1024;

impl Leader {
    pub(super) fn chunk_value(&self, job: &Job, chunk: usize, tag: u64, tables: &Tables) -> Value {
        let size = job.chunk_size as usize;
        self.part_value(job, chunk * size, size, tag, tables)
    }

    /// The record of so many tasks from one on.
    pub(super) fn part_value(&self, job: &Job, from: usize, size: usize, tag: u64, tables: &Tables) -> Value {
        let to = (from + size).min(job.slots.len());
        let assignments = (from..to)
            .filter_map(|n| match job.slots[n] {
                Slot::At(p) => self.assignment(p),
                _ => None,
            })
            .map(|p| {
                AssignmentRecord(
                    p.task,
                    self.machine(p.machine).id.clone(),
                    p.session,
                    p.attempt,
                    tables.zones.name(p.zone.0).to_owned(),
                )
            })
            .collect();
        let done = records::pack_done(job.slots[from..to].iter().map(|s| *s == Slot::Done));
        records::to_value(&ChunkRecord { done, assignments, tag })
    }

    pub fn commit_busy(&self) -> bool {
        self.in_flight_txn.as_ref().is_some_and(|f| f.sent)
    }

    /// A key to read before the next transaction.
    pub fn resync_key(&self) -> Option<&str> {
        self.in_flight_txn.as_ref().filter(|f| !f.sent).and_then(|f| f.resync.last()).map(String::as_str)
    }

    /// How urgently a job's records are to be written, if at all; less is
    /// sooner. Ends wait for one another: nothing but the reaping of what has
    /// ended depends on them, and a later leader learns them from the workers.
    fn write_class(job: &Job, now: Ms, spare: bool) -> Option<u8> {
        if job.stale || job.resharding {
            return None;
        }
        if job.status != Status::Pending {
            return None; // its records are dropped once all of it is gone
        }
        if job.all_done() {
            return Some(0);
        }
        if job.is_urgent() {
            return Some(match job.spec.priority {
                Priority::Production => 1,
                Priority::High => 2,
                Priority::Normal => 3,
                Priority::Low => 4,
            });
        }
        let age = now.saturating_sub(job.unwritten_since?);
        (age >= if spare { ENDS_SPARE_MS } else { ENDS_MS }).then_some(5)
    }

    /// True when something is to be written. `spare`: more may be written than is asked for.
    pub fn has_writes(&mut self, now: Ms, spare: bool) -> bool {
        for &ix in &self.active {
            if let Some(j) = self.jobs.get_mut(ix.at()).and_then(Option::as_mut) {
                if j.unwritten_since.is_none() && j.has_unwritten_changes() {
                    j.unwritten_since = Some(now);
                }
            }
        }
        let reshard = self.reshard_candidate(now, spare).is_some();
        if !reshard && now >= self.reshard_after {
            // Looked for now and then only.
            self.reshard_after = now + RESHARD_GAP_MS;
        }
        reshard
            || self.in_flight_txn.is_some()
            || (spare && !self.drops.is_empty())
            || self.active.iter().any(|&j| self.job(j).is_some_and(|j| Leader::write_class(j, now, spare).is_some()))
    }

    /// The next transaction of at most `max_ops` writes: jobs that are done
    /// first, then placements by priority, then ends that have waited; a tree
    /// that doesn't fit waits for the next one. An unanswered transaction is
    /// sent again as it was.
    pub fn commit(&mut self, now: Ms, max_ops: usize, spare: bool, tables: &Tables) -> Option<Txn> {
        if let Some(f) = &mut self.in_flight_txn {
            if f.sent || !f.resync.is_empty() {
                return None;
            }
            f.sent = true;
            return Some(f.txn.clone());
        }
        let max_ops = max_ops.min(self.cfg.txn_ops).min(self.ops_cap);
        if let Some(txn) = self.reshard(now, max_ops, spare, tables) {
            return Some(txn);
        }
        let mut oversize: Vec<(JobIx, usize)> = Vec::new();
        let mut order: Vec<(u8, i64, JobIx)> = self
            .active
            .iter()
            .filter_map(|&ix| self.job(ix))
            .filter_map(|j| Some((Leader::write_class(j, now, spare)?, j.since, j.ix)))
            .collect();
        order.sort_unstable();
        self.tag += 1;
        let tag = self.tag;
        let mut txn = Txn::default();
        let (mut chunks, mut dones, mut drops) = (Vec::new(), Vec::new(), Vec::new());
        let mut size = 0;
        for (class, _, ix) in order {
            let left = max_ops.saturating_sub(txn.writes.len());
            if left == 0 || size > MAX_BYTES {
                break;
            }
            let Some(job) = self.job(ix) else { continue };
            let conditions_before = txn.conditions.len();
            if job.all_done() && job.status == Status::Pending {
                let submission = Submission { tasks: Some(f64::from(job.spec.tasks)), ..Submission::default() };
                // Whoever leads next counts the waiting of those after it from here.
                let at_ms = (now as i64 + self.day_ms).max(0) as u64;
                let rec = JobRecord { submission, status: Status::Done, at_ms, chunk: job.chunk_size };
                let v = records::to_value(&rec);
                size += records::json_size(&v) + 64;
                txn.writes.push(Op::Put { key: records::job_key(&job.id), v, permit: None });
                dones.push(ix);
            } else {
                let due =
                    |c: &Chunk| now >= c.held_until && (c.urgent > c.committed || (class == 5 && c.ver != c.committed));
                let pass_needed: Vec<usize> = (0..job.chunks.len()).filter(|&c| due(&job.chunks[c])).collect();
                // Split between trees, unless one alone is more than a transaction takes.
                if pass_needed.len() > left && left < max_ops {
                    continue;
                }
                for c in pass_needed.into_iter().take(left) {
                    if size > MAX_BYTES {
                        break;
                    }
                    let v = self.chunk_value(job, c, tag, tables);
                    let key = records::chunk_key(&job.id, c as u32);
                    let bytes = records::json_size(&v);
                    // Guard: what is too large is never sent again as it is.
                    if bytes > self.value_limit {
                        oversize.push((ix, c));
                        continue;
                    }
                    size += bytes + 64;
                    txn.conditions.push(Condition { key: key.clone(), stamp: job.chunks[c].stamp });
                    txn.writes.push(Op::Put { key, v, permit: None });
                    chunks.push((ix, c, job.chunks[c].ver));
                }
            }
            if txn.conditions.len() > conditions_before || dones.last() == Some(&ix) {
                txn.conditions.push(Condition { key: records::job_key(&job.id), stamp: job.stamp });
            }
        }
        for (ix, c) in oversize {
            self.shrink(now, ix, c);
        }
        // Records of jobs that are over go slowly: a large job's must not take
        // the budget from anything that somebody waits for.
        let droppable =
            if spare && now >= self.drop_after { max_ops.saturating_sub(txn.writes.len()).min(DROPS) } else { 0 };
        for _ in 0..droppable {
            let Some((key, stamp)) = self.drops.pop_front() else { break };
            self.drop_after = now + DROP_GAP_MS;
            txn.conditions.push(Condition { key: key.clone(), stamp });
            txn.writes.push(Op::Delete { key: key.clone() });
            drops.push(key);
        }
        if txn.writes.is_empty() {
            return None;
        }
        // Guard: whoever leads by then, only this leadership's writes count.
        txn.conditions.push(Condition { key: records::LEADER.to_owned(), stamp: self.stamp });
        let out = txn.clone();
        self.in_flight_txn =
            Some(InFlightTxn { txn, chunks, dones, drops, reshard: None, tag, sent: true, resync: Vec::new() });
        Some(out)
    }

    /// How the transaction under way ended. False: the leadership is lost.
    pub fn committed(&mut self, now: Ms, outcome: CommitOutcome) -> bool {
        let Some(mut f) = self.in_flight_txn.take() else { return true };
        match outcome {
            CommitOutcome::Done(epoch) => {
                self.applied(now, f, epoch);
            }
            CommitOutcome::Refused => {
                self.commit_after = now + 150;
                // Rebuilt from the wanted state as it is by then. But if an
                // earlier copy went unanswered, this one must be settled first.
                if f.tag & UNSURE != 0 {
                    f.sent = false;
                    self.in_flight_txn = Some(f);
                } else {
                    self.give_back(f);
                }
            }
            CommitOutcome::TooLarge => self.too_large(now, f),
            CommitOutcome::Unknown => {
                // Guard: it may yet be applied. The same transaction again, on
                // the same conditions, can be applied only once in all.
                self.commit_after = now + 100;
                f.sent = false;
                f.tag |= UNSURE;
                self.in_flight_txn = Some(f);
            }
            CommitOutcome::Conflict(failed) => {
                if failed.iter().any(|k| k == records::LEADER) {
                    return false;
                }
                for key in &failed {
                    if let Some(id) = key.strip_prefix(records::JOBS) {
                        let stale: Vec<JobIx> = self
                            .active
                            .iter()
                            .copied()
                            .filter(|&j| self.job(j).is_some_and(|j| &*j.id == id))
                            .collect();
                        let sent = f.txn.conditions.iter().find(|c| c.key == *key).map_or(0, |c| c.stamp);
                        for ix in stale {
                            // Unless the job cache has shown the change already.
                            if let Some(j) = self.job_mut(ix).filter(|j| j.stamp == sent) {
                                j.stale = true;
                            }
                        }
                    }
                }
                let tasks: Vec<String> = failed.into_iter().filter(|k| k.starts_with(records::TASKS)).collect();
                // Keys to be dropped that changed or are gone need no second look:
                // whoever leads next drops what is left of a job that is over.
                let (lost, resync): (Vec<String>, Vec<String>) = tasks.into_iter().partition(|k| f.drops.contains(k));
                f.drops.retain(|k| !lost.contains(k));
                if resync.is_empty() {
                    self.give_back(f);
                } else {
                    f.sent = false;
                    f.resync = resync;
                    self.in_flight_txn = Some(f);
                }
            }
        }
        true
    }

    pub(super) fn give_back(&mut self, f: InFlightTxn) {
        if let Some(r) = &f.reshard {
            if let Some(job) = self.job_mut(r.job) {
                job.resharding = false;
            }
            self.adopt_recorded_sharding(r.job);
            self.retire_over(r.job);
        }
        for key in f.drops {
            let stamp = f.txn.conditions.iter().find(|c| c.key == key).map_or(0, |c| c.stamp);
            self.drops.push_back((key, stamp));
        }
        self.after_flight(f.chunks.iter().map(|c| c.0).collect());
    }

    fn after_flight(&mut self, jobs: Vec<JobIx>) {
        for ix in jobs {
            self.retire_over(ix);
        }
        self.pass_needed = true;
    }

    fn applied(&mut self, now: Ms, f: InFlightTxn, epoch: u64) {
        let mut user_responses: Vec<MachineIx> = Vec::new();
        self.written_since.txns += 1;
        self.written_since.dones += f.dones.len() as u32;
        self.written_since.drops += f.drops.len() as u32;
        for &(ix, c, ver) in &f.chunks {
            match self.job_mut(ix) {
                Some(job) => {
                    let (placed, since) = (job.chunks[c].urgent > job.chunks[c].committed, job.last_assigned);
                    let w = &mut self.written_since;
                    *(if placed { &mut w.assignments } else { &mut w.ends }) += 1;
                    w.waited_ms += if placed { now.saturating_sub(since) } else { 0 };
                    let Some(job) = self.job_mut(ix) else { continue };
                    job.chunks[c].committed = job.chunks[c].committed.max(ver);
                    job.chunks[c].stamp = epoch;
                    job.unwritten_since = None;
                    // A gang's launches wait for the last of its records.
                    let gang = job.spec.kind == Kind::Gang;
                    let size = job.chunk_size as usize;
                    let part = c * size..((c + 1) * size).min(job.slots.len());
                    let slots = if gang { &job.slots[..] } else { &job.slots[part] };
                    let at = slots.iter().filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None });
                    let at: Vec<AssignmentIx> = at.collect();
                    let wanted = |p: &&Assignment| p.state == AssignmentState::Wanted;
                    user_responses
                        .extend(at.into_iter().filter_map(|p| self.assignment(p)).filter(wanted).map(|p| p.machine));
                }
                None => tracing::debug!("records of a job that is over were written"),
            }
        }
        self.wake.extend(user_responses.into_iter().map(|m| (now, m)));
        if let Some(r) = &f.reshard {
            self.resharded(now, r, epoch);
        }
        for &ix in &f.dones {
            if let Some(job) = self.job_mut(ix) {
                job.stamp = epoch;
                let last_s = (job.last_assigned as i64 - job.since) as f64 / 1000.0;
                let (est, tasks) = (job.spec.estimate_s, job.spec.tasks);
                tracing::info!(job = &*job.id, age_s = job.age_s(now), last_s, tasks, est, rank = ?job.spec.priority, stops = job.stops, losses = job.losses, "done");
            }
            self.finish(ix);
        }
        self.after_flight(f.chunks.iter().map(|c| c.0).collect());
    }

    /// A key asked for by `resync_key` was read: who wrote it, and when.
    pub fn resynced(&mut self, now: Ms, key: &str, found: Option<(Value, u64)>) {
        let Some(mut f) = self.in_flight_txn.take() else { return };
        let mut stamp = 0;
        if let Some((v, at)) = found {
            stamp = at;
            let rec = v.deserialized::<ChunkRecord>().unwrap_or_default();
            if rec.tag == f.tag & !UNSURE {
                // Ours after all: everything in it has this one stamp.
                f.resync.clear();
                self.applied(now, f, at);
                return;
            }
        }
        f.resync.retain(|k| k != key);
        if let Some((id, c)) = records::split_chunk_key(key) {
            for ix in self.active.clone() {
                if let Some(job) = self.job_mut(ix).filter(|j| &*j.id == id) {
                    if let Some(c) = job.chunks.get_mut(c as usize) {
                        c.stamp = stamp;
                    }
                }
            }
        }
        if f.resync.is_empty() {
            self.commit_after = now;
            self.give_back(f);
        } else {
            self.in_flight_txn = Some(f);
        }
    }
}
