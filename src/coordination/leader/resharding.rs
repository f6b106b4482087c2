//! Records that a lowered limit of the state service makes too large: shrunk,
//! or their job's tasks divided anew into smaller ones.

use super::{commits::MAX_BYTES, *};

/// Between two jobs whose tasks are divided anew.
pub(super) const RESHARD_GAP_MS: Ms = 200;
/// How long what is too large to be written is set aside.
const HELD_MS: Ms = 2_000;

/// A new division under way, and the job as it was when that was built.
#[derive(Debug)]
pub(super) struct Reshard {
    pub job: JobIx,
    slots: Vec<Slot>,
    vers: Vec<u64>,
    /// Of the new chunks, those that have a record.
    written: Vec<usize>,
}

impl Leader {
    /// A chunk that can't be written as it is: what was placed but not written
    /// is taken back, the rest waits for ends.
    pub(super) fn shrink(&mut self, now: Ms, ix: JobIx, c: usize) {
        let Some(job) = self.job_mut(ix) else { return };
        let (from, size) = (c * job.chunk_size as usize, job.chunk_size as usize);
        job.chunks[c].held_until = now + HELD_MS;
        job.not_before = job.not_before.max(now + HELD_MS);
        let committed = job.chunks[c].committed;
        let part = from..(from + size).min(job.slots.len());
        let at = job.slots[part].iter().filter_map(|s| if let Slot::At(p) = s { Some(*p) } else { None });
        let at: Vec<AssignmentIx> = at.collect();
        for p in at {
            let is_unwritten = |p: &Assignment| {
                p.ver > committed && p.state == AssignmentState::Wanted && p.sent.is_none() && !p.inherited
            };
            if self.assignment(p).is_some_and(is_unwritten) {
                self.release_assignment(p, false);
            }
        }
    }

    /// The first 400 shows that the lower limits hold; what fits them and is
    /// refused all the same is cut smaller, and in the end set aside.
    pub(super) fn too_large(&mut self, now: Ms, mut f: InFlightTxn) {
        if self.value_limit > self.cfg.value_fit {
            tracing::warn!(bytes = self.cfg.value_fit, "values are kept smaller from now on");
            self.value_limit = self.cfg.value_fit;
            self.commit_after = now + 150;
        } else {
            self.commit_after = now + 1_000;
            self.ops_cap = (f.txn.writes.len() / 2).max(1);
            if f.txn.writes.len() == 1 {
                for &(ix, c, _) in &f.chunks {
                    self.shrink(now, ix, c);
                }
                for &ix in &f.dones {
                    tracing::error!(job = ix.0, "the end of a job can't be written");
                }
                if let Some(job) = f.reshard.as_ref().and_then(|r| self.job_mut(r.job)) {
                    job.oversized_record = None;
                }
            }
        }
        // Guard: an earlier copy went unanswered; who wrote last is read first.
        if f.tag & UNSURE != 0 {
            let is_tasks = |w: &Op| match w {
                Op::Put { key, .. } if key.starts_with(records::TASKS) => Some(key.clone()),
                _ => None,
            };
            f.resync = f.txn.writes.iter().filter_map(is_tasks).collect();
            if !f.resync.is_empty() {
                f.sent = false;
                self.in_flight_txn = Some(f);
                return;
            }
        }
        self.give_back(f);
    }

    // ---- tasks divided anew ------------------------------------------------

    /// An unfinished job whose tasks were divided under a larger limit, and
    /// whose division can be changed in one transaction.
    pub(super) fn reshard_candidate(&self, now: Ms, spare: bool) -> Option<&Job> {
        // Guard: a controller of the version before would go on with the old division.
        if !self.may_reshard {
            return None;
        }
        // Until it must be, it takes nothing from what somebody waits for.
        let must = self.value_limit <= self.cfg.value_fit;
        if !(must || spare) || now < self.reshard_after {
            return None;
        }
        let most = self.cfg.txn_ops.min(self.ops_cap).min(MAX_BYTES / self.cfg.value_fit.max(1)).max(1);
        let is_ready = |j: &&Job| {
            j.oversized_record.is_some()
                && j.status == Status::Pending
                && !j.stale
                && !j.all_done()
                && self.new_chunks(j).iter().filter(|c| **c != NewChunk::Nothing).count() < most
        };
        self.active.iter().filter_map(|&ix| self.job(ix)).find(is_ready)
    }

    fn new_chunks(&self, job: &Job) -> Vec<NewChunk> {
        let size = self.cfg.chunk_fit as usize;
        let of = |(n, slots): (usize, &[Slot])| {
            if slots.iter().any(|s| *s != Slot::Pending) {
                NewChunk::Put
            } else if job.chunks.get(n).is_some_and(|c| c.stamp != 0) {
                NewChunk::Drop
            } else {
                NewChunk::Nothing
            }
        };
        job.slots.chunks(size).enumerate().map(of).collect()
    }

    pub(super) fn reshard(&mut self, now: Ms, max_ops: usize, spare: bool, tables: &Tables) -> Option<Txn> {
        let job = self.reshard_candidate(now, spare)?;
        let (ix, size) = (job.ix, self.cfg.chunk_fit);
        let record = JobRecord { chunk: size, ..(**job.oversized_record.as_ref()?).clone() };
        let tag = self.tag + 1;
        let key = records::job_key(&job.id);
        let mut txn = Txn::default();
        txn.conditions.push(Condition { key: key.clone(), stamp: job.stamp });
        txn.writes.push(Op::Put { key, v: records::to_value(&record), permit: None });
        let mut written = Vec::new();
        for (n, c) in self.new_chunks(job).into_iter().enumerate() {
            let key = records::chunk_key(&job.id, n as u32);
            let stamp = job.chunks.get(n).map_or(0, |c| c.stamp);
            match c {
                NewChunk::Nothing => continue,
                NewChunk::Drop => txn.writes.push(Op::Delete { key: key.clone() }),
                NewChunk::Put => {
                    let v = self.part_value(job, n * size as usize, size as usize, tag, tables);
                    txn.writes.push(Op::Put { key: key.clone(), v, permit: None });
                    written.push(n);
                }
            }
            txn.conditions.push(Condition { key, stamp });
        }
        if txn.writes.len() > max_ops {
            return None;
        }
        // Guard: as for every transaction of a leader.
        txn.conditions.push(Condition { key: records::LEADER.to_owned(), stamp: self.stamp });
        let vers = job.chunks.iter().map(|c| c.ver).collect();
        let reshard = Some(Reshard { job: ix, slots: job.slots.clone(), vers, written });
        self.tag = tag;
        self.reshard_after = now + RESHARD_GAP_MS;
        if let Some(job) = self.job_mut(ix) {
            job.resharding = true;
        }
        let (chunks, dones, drops) = (Vec::new(), Vec::new(), Vec::new());
        let out = txn.clone();
        self.in_flight_txn =
            Some(InFlightTxn { txn, chunks, dones, drops, reshard, tag, sent: true, resync: Vec::new() });
        Some(out)
    }

    /// The new division is written.
    pub(super) fn resharded(&mut self, now: Ms, r: &Reshard, epoch: u64) {
        let size = self.cfg.chunk_fit;
        let Some(job) = self.job_mut(r.job) else { return };
        job.stamp = job.stamp.max(epoch);
        job.recorded_chunk = size;
        job.unwritten_since = None;
        self.apply_sharding(r.job, size, Some((r, epoch)));
        let Some(job) = self.job(r.job) else { return };
        let at = job.slots.iter().filter_map(|s| if let Slot::At(p) = s { self.assignment(*p) } else { None });
        let user_responses: Vec<MachineIx> = at.map(|p| p.machine).collect();
        self.wake.extend(user_responses.into_iter().map(|m| (now, m)));
        self.retire_over(r.job);
    }

    /// Its record says another division than ours: a write of ours that nobody
    /// answered. Everything is written once more under that.
    pub(super) fn adopt_recorded_sharding(&mut self, ix: JobIx) {
        let Some(job) = self.job(ix) else { return };
        if job.recorded_chunk != job.chunk_size && !job.resharding {
            self.apply_sharding(ix, job.recorded_chunk, None);
        }
    }

    /// `written`: what was written under the new division, and when; otherwise
    /// all of it counts as unwritten.
    fn apply_sharding(&mut self, ix: JobIx, size: u32, written: Option<(&Reshard, u64)>) {
        let Some(job) = self.jobs.get_mut(ix.at()).and_then(Option::as_mut) else { return };
        (job.oversized_record, job.resharding) = (None, false);
        job.chunk_size = size.max(1);
        let n = job.spec.tasks.div_ceil(job.chunk_size) as usize;
        let committed = u64::from(written.is_some());
        job.chunks = vec![Chunk { ver: committed, committed, ..Chunk::default() }; n];
        if let Some((r, epoch)) = written {
            for &c in &r.written {
                job.chunks[c].stamp = epoch;
            }
        }
        for task in 0..job.spec.tasks {
            let slot = job.slots[task as usize];
            let c = job.chunk_of(task);
            if written.is_none() && slot != Slot::Pending {
                job.chunks[c].ver = 1;
                job.chunks[c].urgent = 1;
            }
            // Guard: what changed on the way isn't written yet.
            if written.is_some_and(|(r, _)| r.slots[task as usize] != slot) {
                job.touch(task);
            }
            if let Slot::At(p) = slot {
                if let Some(p) = self.assignments.get_mut(p.at()).and_then(Option::as_mut) {
                    p.ver = 1;
                }
            }
        }
        // Guard: nor is an end reaped before it is.
        for m in &mut self.machines {
            for t in m.unreaped_exits.iter_mut().filter(|t| t.job == ix && t.ver != u64::MAX) {
                let Some((_, task)) = split_task(&t.task) else { continue };
                let is_written = written.is_some_and(|(r, _)| r.vers.get(t.chunk).is_some_and(|v| t.ver <= *v));
                t.chunk = (task / job.chunk_size) as usize;
                let ver = job.chunks.get(t.chunk).map_or(0, |c| c.ver);
                t.ver = if is_written { ver.min(1) } else { ver };
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NewChunk {
    Put,
    Drop,
    Nothing,
}
