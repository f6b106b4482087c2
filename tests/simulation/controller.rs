//! The leading controller: elections, reads of changes, transactions, and the
//! effects that the library's leader asks for.

use ciborium::Value;
use rand::RngExt;
use shedhook::{
    coordination::{
        cluster::Config,
        effects::{CommitOutcome, DirectCallOutcome, Effect},
        leader::Leader,
        lease_renewal::TimeSpan,
        model::{TeamLimits, Term},
        RentOutcome,
    },
    protocol::store::Op,
    storage::{
        budget::Urgency,
        job_cache::JobCache,
        records::{self, JobRecord, JobStatus},
    },
};

use super::{faults::Held, worker::Worker, Simulation, LEASE, REPORT};

fn gpu_limit(max: f64) -> TeamLimits {
    TeamLimits { gpus_max: (max > 0.0).then_some(max), ..TeamLimits::default() }
}

impl Simulation {
    fn team_limits(&self) -> Vec<TeamLimits> {
        let guaranteed = (self.red_gpus_guaranteed > 0.0).then_some(self.red_gpus_guaranteed);
        let red = TeamLimits { gpus: guaranteed, ..gpu_limit(self.team_gpus_max) };
        vec![red, gpu_limit(self.blue_gpus_max)]
    }

    /// A new leader: the key changes hands, whatever the old one had under way.
    pub fn elect(&mut self) {
        self.leader = None;
        let revision = self.store.advance();
        self.store.keys.insert(records::LEADER.into(), (Value::Null, revision));
        let cfg = Config {
            lease_ms: LEASE,
            heartbeat_interval_ms: REPORT,
            gang_peer_s: 8.0,
            txn_ops: 8,
            value_max: self.value_max,
            value_fit: self.value_fit,
            chunk_fit: self.chunk_fit,
            list_lag_ms: 1_000,
            teams: self.team_limits(),
            objectives: Vec::new(),
            idle_keep_ms: 1 << 40,
            silent_ms: self.silent_ms,
            max_machines: usize::MAX,
            use_spot: true,
        };
        let nonce = self.rng.random();
        let mut leader = Leader::new(cfg, Term(revision), nonce, self.now, self.types());
        self.job_cache = JobCache::default();
        self.job_cache.page(&self.store.page(records::JOBS), true, &mut self.tables);
        self.job_cache.take_changed();
        for p in self.store.page(records::TASKS).pairs {
            leader.load(self.now, self.now, &p, &self.job_cache, &mut self.tables);
        }
        leader.loaded(self.now, self.now, &self.job_cache);
        self.leader = Some(leader);
    }

    pub(super) fn lead_step(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let now = self.now;
        self.read_changes();
        let changed = self.job_cache.take_changed();
        let Some(l) = &mut self.leader else { return };
        for index in changed {
            l.job_update(now, now, index, &self.job_cache);
        }
        // Once heard again, those behind the cut say when they last kept a lease.
        let mut no_peer_renewals =
            TimeSpan { from: self.last_peer_renewal as i64, to: self.peers_silent_since.unwrap_or(now) as i64 };
        if let Some(since) = self.peers_silent_since {
            no_peer_renewals.from = no_peer_renewals.from.min(since as i64);
        }
        l.set_no_peer_renewals(no_peer_renewals);
        l.set_may_reshard(self.may_reshard);
        l.sweep(now);
        self.cloud |= self.capacity > 0;
        if self.cloud {
            l.autoscale(now, &self.tables);
        }
        l.run_scheduling_cycle(now);
        self.commit();
        let Some(l) = &mut self.leader else { return };
        l.dispatch_commands(now);
        for e in l.take_effects() {
            self.perform_effect(e);
        }
    }

    pub(super) fn read_changes(&mut self) {
        let (now, term) = (self.now, self.leader.as_ref().map_or_else(Term::default, |l| l.term()));
        if self.refuse_leader || self.changes_unread {
            return;
        }
        if self.changes_ms == 0 {
            self.reading = None;
            let changes = self.store.changes(records::JOBS, self.job_cache.store_revision());
            self.job_cache.apply(&changes, &mut self.tables);
            self.check_dependents_of_cancelled();
            return;
        }
        if let Some((_, _, changes)) = self.reading.take_if(|r| r.1 == term && r.0 <= now) {
            self.job_cache.apply(&changes, &mut self.tables);
        }
        if self.reading.as_ref().is_none_or(|r| r.1 != term) {
            let at = now + self.rng.random_range(0..self.changes_ms);
            self.reading = Some((at, term, self.store.changes(records::JOBS, self.job_cache.store_revision())));
        }
    }

    pub(super) fn commit(&mut self) {
        let now = self.now;
        let Some(l) = &mut self.leader else { return };
        if let Some(key) = l.resync_key().filter(|_| !self.refuse_leader).map(str::to_owned) {
            let found = self.store.keys.get(&key).cloned();
            l.resynced(now, &key, found);
        }
        if !l.may_commit(now) {
            return;
        }
        // Now and then there is budget to spare.
        let (mut spare, mut max_ops) = ((now / 1_000).is_multiple_of(4), 8);
        if let Some(w) = &mut self.writes {
            let allowed = w.controllers[0].commits.available(now, Urgency::Commit);
            (spare, max_ops) = (allowed > 0.6 * w.controllers[0].commits.burst(), max_ops.min(allowed as usize));
            if max_ops == 0 {
                return;
            }
        }
        if !l.has_writes(now, spare) {
            return;
        }
        let Some(mut txn) = l.commit(now, max_ops, spare, &self.tables) else { return };
        if self.writes_old_form {
            for w in &mut txn.writes {
                let Op::Put { key, v, .. } = w else { continue };
                if let Some(rec) = key.starts_with(records::JOBS).then(|| v.deserialized::<JobRecord>().unwrap()) {
                    let at_ms = if rec.status == JobStatus::Done { 0 } else { rec.at_ms };
                    *v = records::to_value(&JobRecord { at_ms, ..rec });
                }
            }
        }
        if let Some(w) = &mut self.writes {
            let _ = w.controllers[0].commits.take(now, txn.writes.len() as f64, Urgency::Lease);
        }
        self.count_writes(txn.writes.len());
        self.txns += 1;
        if txn.writes.len() > 8 || txn.conditions.len() > 32 {
            self.violations.push(format!("a transaction of {} writes", txn.writes.len()));
        }
        let revision = self.store.keys[records::LEADER].1;
        if !txn.conditions.iter().any(|c| c.key == records::LEADER && c.revision == revision) {
            self.violations.push(format!("a transaction that any later leader would let through, at {now}"));
        }
        if std::mem::take(&mut self.die_before_txn) {
            self.leader = None;
            return;
        }
        if self.txns_left == Some(0) || self.refuse_leader {
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Refused);
            }
            return;
        }
        self.txns_left = self.txns_left.map(|n| n - 1);
        let too_large = |w: &Op| matches!(w, Op::Put { v, .. } if records::json_size(v) > self.value_now);
        if txn.writes.len() > self.ops_now || txn.writes.iter().any(too_large) {
            self.too_large += 1;
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::TooLarge);
            }
            return;
        }
        if self.chance(self.faults.lost_txn) {
            if self.rng.random_range(0..2) == 0 {
                let _ = self.store.apply(&txn);
            } else {
                let at = now + self.rng.random_range(100..40_000);
                self.delayed.push((at, Held::Txn(txn)));
            }
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Unknown);
            }
            return;
        }
        if self.chance(self.faults.late_txn) {
            let at = now + self.rng.random_range(2_000..12_000);
            self.delayed.push((at, Held::Txn(txn)));
            if let Some(l) = &mut self.leader {
                l.committed(now, CommitOutcome::Unknown);
            }
            return;
        }
        if self.txn_ms > 0 {
            let at = now + self.rng.random_range(0..self.txn_ms);
            self.delayed.push((at, Held::SlowTxn { txn, term: Term(revision) }));
            return;
        }
        let outcome = match self.store.apply(&txn) {
            Ok(store_revision) => CommitOutcome::Done(store_revision),
            Err(failed) => CommitOutcome::Conflict(failed),
        };
        if std::mem::take(&mut self.die_after_txn) {
            self.leader = None;
            return;
        }
        if self.leader.as_mut().is_some_and(|l| !l.committed(now, outcome)) {
            self.leader = None;
        }
    }

    pub(super) fn perform_effect(&mut self, e: Effect) {
        let now = self.now;
        match e {
            Effect::Do { machine, call, req, .. } => {
                let id = self.leader.as_ref().map(|l| l.cluster().machine(machine).id.clone()).unwrap_or_default();
                let Some(n) = self.workers.iter().position(|w| w.id == id) else { return };
                self.check_orders(&id, &req.commands);
                let reached = self.workers[n].is_reached();
                if reached && self.chance(self.faults.slow_command) {
                    let term = self.leader.as_ref().map_or_else(Term::default, |l| l.term());
                    let at = now + self.rng.random_range(300..1_900);
                    self.delayed.push((at, Held::SlowDo { worker: n, req, machine, call, term }));
                    return;
                }
                let out = if !reached {
                    if self.workers[n].hung {
                        self.delayed.push((now + 1_000, Held::Do { worker: n, req }));
                    }
                    DirectCallOutcome::Unknown
                } else if self.chance(self.faults.late_command) {
                    let at = now + self.rng.random_range(200..90_000);
                    self.delayed.push((at, Held::Do { worker: n, req }));
                    DirectCallOutcome::Unknown
                } else if self.chance(self.faults.lost_command) {
                    DirectCallOutcome::Unknown
                } else {
                    if self.chance(self.faults.repeated_command) {
                        let at = now + self.rng.random_range(200..40_000);
                        self.delayed.push((at, Held::Do { worker: n, req: req.clone() }));
                    }
                    let out = self.execute_command(n, &req);
                    if self.chance(self.faults.slow_command_answer) {
                        let term = self.leader.as_ref().map_or_else(Term::default, |l| l.term());
                        let at = now + self.rng.random_range(300..1_900);
                        self.delayed.push((at, Held::DoAnswer { out, machine, call, term }));
                        return;
                    }
                    out
                };
                if let Some(l) = &mut self.leader {
                    l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                }
            }
            Effect::Rent { call, req } => {
                let names = self.rent(&req);
                let lost = self.chance(self.faults.lost_rental_answer);
                if let Some(l) = &mut self.leader {
                    let out = match names {
                        _ if lost => RentOutcome::Again,
                        Some(n) => RentOutcome::Rented(n),
                        None => RentOutcome::NoCapacity,
                    };
                    l.rented(now, call, out);
                }
            }
            Effect::Return { call, ids } => {
                for w in &mut self.workers {
                    if ids.contains(&w.id) {
                        w.dead = true;
                        w.tasks.clear();
                    }
                }
                if let Some(l) = &mut self.leader {
                    l.returned(now, call, true);
                }
            }
            Effect::Probe { machine, .. } => {
                let id = self.leader.as_ref().map(|l| l.cluster().machine(machine).id.clone()).unwrap_or_default();
                let w = self.workers.iter_mut().find(|w| w.id == id && w.is_reached());
                let heartbeat = w.map(Worker::heartbeat);
                if let Some(l) = &mut self.leader {
                    l.probed(now, machine, heartbeat.as_ref(), &self.job_cache, &mut self.tables);
                }
            }
            Effect::List { call, from } => {
                let list = self.list(from.as_deref());
                if let Some(l) = &mut self.leader {
                    l.listed(now, call, list.as_ref(), &mut self.tables);
                }
            }
        }
    }
}
