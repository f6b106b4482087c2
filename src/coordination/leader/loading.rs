//! A new leader reads what the ones before wrote.

use super::*;

impl Leader {
    /// A chunk record read at the beginning.
    #[allow(clippy::too_many_arguments)]
    pub fn load(
        &mut self,
        now: Ms,
        wall_ms: u64,
        key: &str,
        v: &Value,
        stamp: u64,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let Some((id, chunk)) = records::split_chunk_key(key) else { return };
        let Some(ix) = job_cache.find(id) else { return };
        let e = job_cache.get(ix);
        if self.jobs.len() <= ix.at() {
            self.jobs.resize_with(ix.at() + 1, || None);
        }
        if e.status == Status::Done {
            self.drops.push_back((key.to_owned(), stamp));
            return;
        }
        if self.jobs[ix.at()].is_none() {
            // Guard: nothing of a job that still waits can have been placed. Were
            // it so all the same, its places must count.
            if job_cache.waits(ix) {
                tracing::error!(key, "a task record of a job that waits for others");
            }
            let Some(spec) = job_cache.effective_spec(ix) else { return };
            self.add_job(now, wall_ms, ix, spec, job_cache);
        }
        let Ok(rec) = v.deserialized::<ChunkRecord>() else {
            tracing::error!(key, "a task record can't be read");
            return;
        };
        let Some(job) = self.jobs[ix.at()].as_mut() else { return };
        let Some(c) = job.chunks.get_mut(chunk as usize) else { return };
        c.stamp = stamp;
        let (from, size) = (chunk * job.chunk_size, job.chunk_size);
        let mut newly = 0;
        for n in 0..size.min(job.spec.tasks.saturating_sub(from)) {
            let slot = &mut job.slots[(from + n) as usize];
            if *slot == Slot::Pending && records::is_done(&rec.done, n as usize) {
                *slot = Slot::Done;
                newly += 1;
            }
        }
        job.done += newly;
        job.started |= newly > 0;
        job.begun |= newly > 0;
        if newly > 0 {
            let slots = &job.slots;
            job.pending.retain(|&t| slots[t as usize] == Slot::Pending);
        }
        for AssignmentRecord(task, machine, session, attempt, zone) in rec.assignments {
            let zone = tables.zones.intern(&zone);
            let m = self.machine_named(now, &machine, zone);
            self.machines[m.at()].renewed = now;
            if let Some(p) = self.add_assignment(now, ix, task, m, session, attempt, zone) {
                // Its launch may have been sent by the leader before.
                if let Some(p) = self.assignments[p.at()].as_mut() {
                    p.sent = Some(now);
                    p.inherited = true;
                }
            }
        }
        // What was read is what is written.
        if let Some(job) = self.jobs[ix.at()].as_mut() {
            let c = &mut job.chunks[chunk as usize];
            c.ver = c.ver.max(1);
            c.committed = c.ver;
        }
    }

    /// All records are read.
    pub fn loaded(&mut self, now: Ms, wall_ms: u64, job_cache: &JobCache) {
        self.loaded = true;
        self.day_ms = wall_ms as i64 - now as i64;
        for ix in job_cache.all() {
            if job_cache.get(ix).status == Status::Pending && self.job(ix).is_none() {
                self.job_update(now, wall_ms, ix, job_cache);
            }
        }
        for ix in self.active.clone() {
            if job_cache.get(ix).status == Status::Cancelled {
                self.stop_job(now, ix, 0.0);
            }
        }
        let placed: u32 = self.active.iter().filter_map(|&j| self.job(j)).map(|j| j.placed).sum();
        tracing::info!(jobs = self.active.len(), placed, "records read, leading");
        self.pass_needed = true;
    }
}
