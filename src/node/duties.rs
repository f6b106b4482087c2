//! What a controller does by itself: keeps its mirror, stands for leader, and,
//! while it leads, carries out what the leader's mind wants.

use std::collections::HashSet;

use ciborium::Value;

use super::wiring::{wall_ms, Node, Peer, Pending};
use crate::{
    bookkeeping::{
        budget::{share, Part, Urgency},
        records::{self, LeaderRecord, Status},
    },
    coordination::{
        fleet::RentOutcome,
        leader::{Answer, CommitOutcome, DoOutcome, Effect, Leader},
        model::{Ms, Res, TypeInfo},
    },
    protocol::{
        cbor,
        cloud::{Flavors, HostList, HostNames},
        peers::{self, Echo, Gossip},
        store::{Change, Changes, Conflict, Epoch, Page, Pair, Permit},
        workers::{split_task, Redirect, Report, ReportAnswer, TaskReport},
    },
    transport::{CallError, ConnId, Net, Reply},
};

const WATCH_MS: u64 = 10_000;
/// Of the leader's key: its end also tells that the state service is there.
const KEY_WATCH_MS: u64 = 3_000;
const GOSSIP_MS: Ms = 400;
/// Between two reads for the barrier, for each controller that does the same.
const BARRIER_GAP_MS: Ms = 40;
/// A peer not heard for this long may use its whole part of the budgets.
/// How long users wait for the barrier at most.
const BARRIER_MS: Ms = 1_600;
const PEER_SILENT_MS: Ms = 2_000;
const PASS_GAP_MS: Ms = 40;
const SLOW_PASS_GAP_MS: Ms = 300;
/// Shares of the burst below and above which writes are scarce and to spare.
const LOW: f64 = 0.4;
const SPARE: f64 = 0.6;
/// How often the logs say how users fared.
const TOLD_MS: Ms = 5_000;
const GIVE_WAY_MS: Ms = 8_000;

fn status(result: &Result<Reply, CallError>) -> u16 {
    result.as_ref().map_or(0, |r| r.status)
}

fn body<T: serde::de::DeserializeOwned>(result: &Result<Reply, CallError>) -> Option<T> {
    let r = result.as_ref().ok().filter(|r| r.status == 200)?;
    match cbor::decode(&r.body) {
        Ok(v) => Some(v),
        Err(e) => {
            tracing::warn!(error = %e, "an answer from outside can't be read");
            None
        }
    }
}

impl Node {
    pub fn wait_ms(&self, _now: Ms) -> u64 {
        match &self.leader {
            Some(l) if l.dirty => 10,
            Some(_) => 25,
            None => 50,
        }
    }

    pub fn tick(&mut self, net: &mut Net) {
        let now = net.now();
        self.keep_mirror(net, now);
        self.keep_types(net, now);
        if let Some(act) = self.election.tick(now) {
            self.act(net, act);
        }
        if let Some(act) = self.keeper.tick(now) {
            self.keep_act(net, act);
        }
        self.lead(net);
        self.flush_barrier(net);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_MS;
            self.gossip(net, now);
        }
        if now >= self.next_told {
            self.next_told = now + TOLD_MS;
            self.tell_users_lot();
        }
    }

    // ---- mirror, leader's key, types -------------------------------------

    fn keep_mirror(&mut self, net: &mut Net, now: Ms) {
        if !self.leader_known {
            if self.leader_key.due(now) && self.reads.take(now, 1.0, Urgency::Commit).is_ok() {
                self.leader_key.in_flight = true;
                let path = format!("/store?under={}&most=1000", records::LEADER);
                self.ask_state(net, Pending::LeaderKey, "GET", path, Vec::new(), 2_000);
            }
        } else if self.leader_key.due(now) && self.reads.take(now, 1.0, Urgency::Cancel).is_ok() {
            self.leader_key.in_flight = true;
            let path = format!("/changes?under={}&from={}&waitMs={KEY_WATCH_MS}", records::LEADER, self.leader_epoch);
            self.ask_state(net, Pending::LeaderWatch { sent: now }, "GET", path, Vec::new(), KEY_WATCH_MS + 2_000);
        }
        if !self.mirror.loaded() {
            if self.jobs_page.due(now) && self.reads.take(now, 1.0, Urgency::Commit).is_ok() {
                self.jobs_page.in_flight = true;
                let from = self.jobs_from.as_ref().map_or(String::new(), |f| format!("&from={f}"));
                let path = format!("/store?under={}{from}&most=1000", records::JOBS);
                let first = self.jobs_from.is_none();
                self.ask_state(net, Pending::JobsPage { first }, "GET", path, Vec::new(), 3_000);
            }
        } else if self.jobs_watch.due(now) && self.reads.take(now, 1.0, Urgency::Commit).is_ok() {
            self.jobs_watch.in_flight = true;
            let path = format!("/changes?under={}&from={}&waitMs={WATCH_MS}", records::JOBS, self.mirror.epoch());
            self.ask_state(net, Pending::JobsWatch { sent: now }, "GET", path, Vec::new(), WATCH_MS + 2_000);
        }
    }

    fn keep_types(&mut self, net: &mut Net, now: Ms) {
        if self.flavors.due(now) && self.cloud.take(now, 1.0, Urgency::Commit).is_ok() {
            self.flavors.in_flight = true;
            self.ask_cloud(net, Pending::Flavors, "GET", "/flavors".into(), Vec::new());
        }
    }

    fn flush_barrier(&mut self, net: &mut Net) {
        let now = net.now();
        if self.barrier.due(now) {
            self.barrier.sent(now, BARRIER_GAP_MS * (self.peers.len() as Ms + 1));
            if self.reads.take(now, 1.0, Urgency::Cancel).is_err() {
                let waiters = self.barrier.ended();
                return self.refuse_all(net, waiters);
            }
            let path = format!("/changes?under={}&from={}&waitMs=0", records::JOBS, self.mirror.epoch());
            self.ask_state(net, Pending::Barrier { sent: now }, "GET", path, Vec::new(), 1_500);
        }
        if !self.barrier.is_empty() {
            let late = self.barrier.overdue(now, BARRIER_MS);
            self.refuse_all(net, late);
        }
    }

    fn apply_changes(&mut self, sent: Ms, result: &Result<Reply, CallError>) -> bool {
        match body::<Changes>(result) {
            Some(c) => {
                self.mirror.apply(&c, &mut self.tables);
                self.keeper.synced(sent);
                true
            }
            None => {
                if status(result) == 410 {
                    self.mirror.reload();
                    self.jobs_from = None;
                }
                false
            }
        }
    }

    fn leader_page(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        self.leader_key.in_flight = false;
        match body::<Page>(result) {
            Some(page) => {
                self.leader_known = true;
                self.leader_epoch = page.epoch;
                let rec = page.pairs.iter().find(|p| p.key == records::LEADER);
                let seen = rec.and_then(|p| p.v.deserialized::<LeaderRecord>().ok());
                let stamp = rec.map_or(page.epoch, |p| p.stamp);
                self.election.saw_key(now, seen, stamp);
                let own = records::keeper_key(&self.settings.label);
                let found = page.pairs.iter().find(|p| p.key == own);
                let mine = found.is_some_and(|p| self.is_mine(&p.v));
                self.keeper.saw_key(found.map_or(0, |p| p.stamp), page.epoch, mine);
                for p in &mut self.peers {
                    let key = records::keeper_key(&p.label);
                    p.keyless = (!page.pairs.iter().any(|r| r.key == key)).then_some(now);
                }
            }
            None => self.leader_key.after = now + 250,
        }
    }

    fn leader_changes(&mut self, now: Ms, sent: Ms, result: &Result<Reply, CallError>) {
        self.leader_key.in_flight = false;
        match body::<Changes>(result) {
            Some(c) => {
                for e in &c.events {
                    if e.write.as_deref() == Some(records::LEADER) {
                        let rec = e.v.as_ref().and_then(|v| v.deserialized::<LeaderRecord>().ok());
                        self.election.saw_key(now, rec, e.stamp);
                    } else if e.drop.as_deref() == Some(records::LEADER) {
                        self.election.saw_key(now, None, e.stamp);
                    } else {
                        self.keeper_change(now, e);
                    }
                }
                // Who had no key when the watch was sent, nor since: it kept nothing.
                for (n, p) in self.peers.iter().enumerate() {
                    if let Some(since) = p.keyless {
                        self.witness.quiet(n, since as i64, sent as i64);
                    }
                }
                self.leader_epoch = self.leader_epoch.max(c.epoch);
            }
            None => {
                if status(result) == 410 {
                    self.leader_known = false;
                }
                self.leader_key.after = now + 250;
            }
        }
    }

    fn is_mine(&self, v: &Value) -> bool {
        v.deserialized::<LeaderRecord>().is_ok_and(|r| r.label == self.settings.label && r.nonce == self.nonce)
    }

    /// A key under which a controller may keep leases came or went.
    fn keeper_change(&mut self, now: Ms, c: &Change) {
        let Some(key) = c.write.as_ref().or(c.drop.as_ref()) else { return };
        let there = c.write.is_some();
        if *key == records::keeper_key(&self.settings.label) {
            let mine = c.v.as_ref().is_some_and(|v| self.is_mine(v));
            self.keeper.saw_key(if there { c.stamp } else { 0 }, c.stamp, mine);
        } else if let Some(p) = self.peers.iter_mut().find(|p| *key == records::keeper_key(&p.label)) {
            p.keyless = (!there).then_some(now);
        }
    }

    fn took_flavors(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        self.flavors.in_flight = false;
        let Some(f) = body::<Flavors>(result) else {
            self.flavors.after = now + 500;
            return;
        };
        self.flavors.after = now + 30_000;
        let mut types = Vec::new();
        for t in f.types {
            let numbers = [t.cpus, t.gpus, t.memory_gb, t.cache_gb, t.fetch_gb_per_s, t.price, t.spot_price, t.boot_s];
            if numbers.iter().any(|x| !x.is_finite() || *x < 0.0) {
                tracing::warn!(name = &*t.name, "a machine type with impossible numbers is left out");
                continue;
            }
            types.push(TypeInfo {
                ix: self.tables.types.intern(&t.name),
                cap: Res { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
                cache_gb: t.cache_gb,
                fetch_gb_per_s: t.fetch_gb_per_s,
                price: t.price,
                spot_price: t.spot_price,
                boot_s: t.boot_s,
                zones: t.zones.iter().map(|z| self.tables.zones.intern(z)).collect(),
            });
        }
        if let Some(l) = &mut self.leader {
            l.types.clone_from(&types);
            l.picture.types_changed(&types);
        }
        self.types = types;
    }

    // ---- gossip ----------------------------------------------------------

    fn gossip(&mut self, net: &mut Net, now: Ms) {
        self.knocks.retain(|&t| now < t + 4_000);
        let leading = self.election.leading(now).is_some();
        let counts = match &mut self.leader {
            Some(l) if leading => l.take_counts(500),
            _ => Vec::new(),
        };
        for c in &counts {
            self.mirror.show(&c.job, c.done, c.running);
        }
        let g = Gossip {
            from: self.settings.label.clone(),
            nonce: self.nonce,
            count: self.gossips,
            state_age_ms: now.saturating_sub(self.state_ok),
            knocks: self.knocks.len() as u32,
            leading,
            reads_used: self.reads.used(now),
            writes_used: self.writes.used(now),
            commits_used: self.commits.used(now),
            clock_ms: now,
            echoes: self
                .peers
                .iter()
                .filter_map(|p| {
                    let (nonce, clock_ms) = p.clock?;
                    Some(Echo { of: p.label.clone(), nonce, clock_ms })
                })
                .collect(),
            quiet_ms: now.saturating_sub(self.keeper.last),
            counts,
        };
        self.gossips += 1;
        let bytes = peers::encode(&g);
        for p in &self.peers {
            net.send_frame(p.link, &bytes);
        }
        self.budget_leading = None;
        self.set_budgets(now, leading);
    }

    // ---- workers ---------------------------------------------------------

    pub fn checkin(&mut self, net: &mut Net, conn: ConnId, bytes: &[u8]) {
        let report: Report = match cbor::decode(bytes) {
            Ok(r) => r,
            Err(e) => {
                tracing::warn!(error = %e, "a report that can't be read");
                return net.respond(conn, 400, None, b"");
            }
        };
        let now = net.now();
        let answer = match (&mut self.leader, self.election.leading(now)) {
            (Some(l), Some(stamp)) if l.stamp == stamp => Some(l.report(now, &report, &self.mirror, &mut self.tables)),
            _ => None,
        };
        match answer {
            Some(Answer::Ok(a)) => {
                let bytes = cbor::encode(&a);
                // Guard: thinking took time; a 200 may only be sent within the lease.
                if self.election.leading(net.now()).is_some() {
                    net.respond_report(conn, 200, &bytes);
                } else {
                    net.respond(conn, 503, None, b"");
                }
            }
            Some(Answer::Stale) => net.respond(conn, 503, None, b""),
            Some(Answer::Superseded) => {
                tracing::warn!(machine = &*report.machine, token = report.token, "a worker has seen a higher token");
                self.turn_away(net, conn, now);
            }
            None if self.keeps(now, &report) => {
                // Guard: noted before it is sent, so that no leader counts it out.
                self.keeper.last = now;
                let bytes = cbor::encode(&ReportAnswer { token: report.token, orders: Vec::new() });
                net.respond_report(conn, 200, &bytes);
            }
            None => self.turn_away(net, conn, now),
        }
    }

    /// With no leader to be found, a worker's lease is kept; see `coordination::keeping`.
    fn keeps(&self, now: Ms, r: &Report) -> bool {
        let cancelled = |t: &TaskReport| {
            let job = split_task(&t.task).and_then(|(id, _)| self.mirror.find(id));
            job.is_some_and(|ix| self.mirror.get(ix).status == Status::Cancelled)
        };
        r.token > 0 && self.keeper.may_keep(now) && self.boss(now).is_none() && !r.tasks.iter().any(cancelled)
    }

    fn turn_away(&mut self, net: &mut Net, conn: ConnId, now: Ms) {
        self.knocks.push(now);
        if self.knocks.len() > 10_000 {
            self.knocks.clear();
        }
        net.respond(conn, 421, None, &cbor::encode(&Redirect { report_to: self.boss(now) }));
    }

    // ---- leading ---------------------------------------------------------

    /// Shares follow need: what others say they use is left to them.
    fn set_budgets(&mut self, now: Ms, leading: bool) {
        if self.budget_leading == Some(leading) {
            return;
        }
        self.budget_leading = Some(leading);
        let st = &self.settings.cluster.state;
        let all = self.peers.len() + 1;
        let used = |of: fn(&Peer) -> f64| -> Vec<Option<f64>> {
            self.peers.iter().map(|p| p.heard.filter(|h| now < h + PEER_SILENT_MS).map(|_| of(p))).collect()
        };
        let reads = share(st.rps, if leading { Part::Leader } else { Part::Users(all) }, &used(|p| p.reads_used));
        let mut others = used(|p| p.writes_used + p.commits_used);
        others.push(Some(self.commits.used(now)));
        let writes = share(st.write_rps, Part::Users(all), &others);
        let mut others = used(|p| p.writes_used);
        others.push(Some(self.writes.used(now)));
        let commits = share(st.write_rps, Part::Leader, &others);
        self.reads.set(reads, st.rps * if leading { 0.5 } else { 0.2 });
        self.writes.set(writes, (st.write_rps * 0.2).max(4.0));
        self.commits.set(commits, (st.write_rps * 0.5).max(4.0));
    }

    fn lead(&mut self, net: &mut Net) {
        let now = net.now();
        let leading = self.election.leading(now);
        self.set_budgets(now, leading.is_some());
        if let Some(l) = &self.leader {
            if self.election.holds_key() != Some(l.stamp) {
                tracing::warn!(stamp = l.stamp, "no longer leading");
                self.leader = None;
            }
        }
        let Some(stamp) = leading else { return };
        if self.types.is_empty() || !self.mirror.loaded() {
            return;
        }
        if self.leader.is_none() {
            tracing::info!(stamp, "elected");
            let cfg = self.leader_config();
            // A random number of this leadership alone: rental names never repeat.
            self.leader = Some(Leader::new(cfg, stamp, rand::random(), now, self.types.clone()));
            self.tasks_synced = false;
            self.tasks_from = None;
            self.tasks.in_flight = false;
            self.tasks.after = now;
            self.resync.in_flight = false;
        }
        self.feed_leader(now);
        let Some(l) = &mut self.leader else { return };
        if !l.loaded {
            return self.load_tasks(net, now, stamp);
        }
        // What this controller kept itself, while it did not lead, counts too.
        let (from, to) = self.witness.span();
        l.quiet = (from.max(self.keeper.last as i64), to);
        l.sweep(now);
        l.fleet_step(now, &self.tables);
        let gap = now.saturating_sub(l.last_pass);
        // While the budget for writes is low, a pass places more at a time, so
        // that one write carries more.
        let low = self.commits.available(now, Urgency::Commit) < LOW * self.commits.burst();
        if (l.dirty && gap >= if low { SLOW_PASS_GAP_MS } else { PASS_GAP_MS }) || gap >= 1_000 {
            l.pass(now);
        }
        self.commit(net, stamp);
        if let Some(l) = &mut self.leader {
            l.push_orders(now);
        }
        self.carry_out(net, stamp);
        self.give_way(net, now);
    }

    /// Hands changed records on to the leader's mind.
    fn feed_leader(&mut self, now: Ms) {
        let changed = self.mirror.take_changed();
        let Some(l) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for ix in changed {
            if seen.insert(ix) {
                l.job_update(now, wall_ms(), ix, &self.mirror);
            }
        }
    }

    /// First what the mirror may have missed, then the task records: all of
    /// it read after the leader's key was written, so no earlier leader's
    /// transaction can be applied any more.
    fn load_tasks(&mut self, net: &mut Net, now: Ms, stamp: u64) {
        if !self.tasks.due(now) || self.reads.take(now, 1.0, Urgency::Lease).is_err() {
            return;
        }
        self.tasks.in_flight = true;
        if !self.tasks_synced {
            let path = format!("/changes?under={}&from={}&waitMs=0", records::JOBS, self.mirror.epoch());
            return self.ask_state(net, Pending::TasksSync { stamp, sent: now }, "GET", path, Vec::new(), 1_500);
        }
        let from = self.tasks_from.as_ref().map_or(String::new(), |f| format!("&from={f}"));
        let path = format!("/store?under={}{from}&most=1000", records::TASKS);
        self.ask_state(net, Pending::TasksPage { stamp }, "GET", path, Vec::new(), 3_000);
    }

    fn tasks_page(&mut self, now: Ms, stamp: u64, result: &Result<Reply, CallError>) {
        if self.leader.as_ref().is_none_or(|l| l.stamp != stamp || l.loaded) {
            return;
        }
        self.tasks.in_flight = false;
        let Some(page) = body::<Page>(result) else {
            self.tasks.after = now + 200;
            return;
        };
        let wall = wall_ms();
        let Some(l) = &mut self.leader else { return };
        for p in &page.pairs {
            l.load(now, wall, &p.key, &p.v, p.stamp, &self.mirror, &mut self.tables);
        }
        match page.pairs.last() {
            Some(last) if page.truncated => self.tasks_from = Some(last.key.clone()),
            _ => l.loaded(now, wall, &self.mirror),
        }
    }

    fn commit(&mut self, net: &mut Net, stamp: u64) {
        let now = net.now();
        let Some(l) = &mut self.leader else { return };
        if l.commit_busy() || now < l.commit_after {
            return;
        }
        if let Some(key) = l.resync_key() {
            if self.resync.due(now) && self.reads.take(now, 1.0, Urgency::Cancel).is_ok() {
                let key = key.to_owned();
                self.resync.in_flight = true;
                let path = format!("/store/{key}");
                self.ask_state(net, Pending::Resync { stamp, key }, "GET", path, Vec::new(), 1_500);
            }
            return;
        }
        let allowed = self.commits.available(now, Urgency::Commit);
        let spare = allowed > SPARE * self.commits.burst();
        if !l.has_writes(now, spare) {
            return;
        }
        if allowed < 1.0 || self.reads.available(now, Urgency::Commit) < 1.0 {
            return;
        }
        let Some(txn) = l.commit(now, allowed as usize, spare, &self.tables) else { return };
        let _ = self.commits.take(now, txn.writes.len() as f64, Urgency::Lease);
        let _ = self.reads.take(now, 1.0, Urgency::Lease);
        let bytes = cbor::encode(&txn);
        // Guard: rechecked at each send.
        if self.election.leading(net.now()) == Some(stamp) {
            self.ask_state(net, Pending::Commit { stamp }, "POST", "/multi".into(), bytes, 1_500);
        } else {
            l.committed(now, CommitOutcome::Refused);
        }
    }

    fn carry_out(&mut self, net: &mut Net, stamp: u64) {
        let Some(l) = &mut self.leader else { return };
        for effect in l.take_effects() {
            let now = net.now();
            // Guard: rechecked at each send.
            let entitled = self.election.leading(now) == Some(stamp);
            match effect {
                Effect::Do { machine, call, addr, req } => {
                    if !entitled {
                        if let Some(l) = &mut self.leader {
                            l.do_result(now, machine, call, DoOutcome::NotSent, &self.mirror, &mut self.tables);
                        }
                        continue;
                    }
                    let what = Pending::Do { stamp, machine, call };
                    self.send(net, addr, what, "POST", "/do".into(), cbor::encode(&req), 2_000);
                }
                Effect::Rent { call, req } => {
                    if entitled && self.cloud.take(now, 1.0, Urgency::Commit).is_ok() {
                        let what = Pending::Rent { stamp, call };
                        self.ask_cloud(net, what, "POST", "/hosts".into(), cbor::encode(&req));
                    } else if let Some(l) = &mut self.leader {
                        l.rented(now, call, RentOutcome::Again);
                    }
                }
                Effect::Return { call, ids } => {
                    if entitled && self.cloud.take(now, 1.0, Urgency::Cancel).is_ok() {
                        let what = Pending::Return { stamp, call };
                        let bytes = cbor::encode(&HostNames { hosts: ids });
                        self.ask_cloud(net, what, "POST", "/hosts/return".into(), bytes);
                    } else if let Some(l) = &mut self.leader {
                        l.returned(now, call, false);
                    }
                }
                Effect::Probe { machine, addr } => {
                    let what = Pending::Probe { stamp, machine };
                    self.send(net, addr, what, "GET", "/status".into(), Vec::new(), 700);
                }
                Effect::List { call, from } => {
                    if entitled && self.cloud.take(now, 1.0, Urgency::Submit).is_ok() {
                        let from = from.map_or(String::new(), |f| format!("from={f}&"));
                        let what = Pending::List { stamp, call };
                        self.ask_cloud(net, what, "GET", format!("/hosts?{from}most=500"), Vec::new());
                    } else if let Some(l) = &mut self.leader {
                        l.listed(now, call, None, &mut self.tables);
                    }
                }
            }
        }
    }

    /// A leader that no worker reaches, though its peers see them knocking, gives way.
    fn give_way(&mut self, net: &mut Net, now: Ms) {
        let Some(l) = &self.leader else { return };
        if l.tokens_spent() {
            tracing::info!("a worker's tokens are spent: a new leadership begins");
            if let Some(act) = self.election.resign(now) {
                self.act(net, act);
            }
            self.leader = None;
            return;
        }
        let quiet = now > l.heard_any + GIVE_WAY_MS && now > l.started + GIVE_WAY_MS;
        let knocks = self.peers.iter().any(|p| p.heard.is_some_and(|h| now < h + 2_000) && p.knocks >= 2);
        if quiet && knocks {
            tracing::warn!("no worker reaches this controller, others they do: giving way");
            if let Some(act) = self.election.resign(now) {
                self.act(net, act);
            }
            self.leader = None;
        }
    }

    // ---- answers from outside --------------------------------------------

    pub fn reply(&mut self, net: &mut Net, what: Pending, result: Result<Reply, CallError>) {
        let now = net.now();
        let outside = matches!(
            what,
            Pending::Do { .. }
                | Pending::Rent { .. }
                | Pending::Return { .. }
                | Pending::List { .. }
                | Pending::Flavors
        );
        if !outside {
            self.state_answered(now, &result);
        }
        match what {
            Pending::Grant => {
                let permit = body::<Permit>(&result).map(|p| p.permit);
                self.election.granted(now, permit);
            }
            Pending::Renew => {
                let ok = match status(&result) {
                    200 => Some(true),
                    404 => Some(false),
                    _ => None,
                };
                self.election.renewed(now, ok);
            }
            Pending::Claim => {
                if status(&result) == 400 {
                    self.election.permit_lost();
                }
                self.election.claimed(now, body::<Epoch>(&result).map(|e| e.epoch));
            }
            Pending::Resign => {}
            Pending::KeeperGrant => self.keeper.granted(now, body::<Permit>(&result).map(|p| p.permit)),
            Pending::KeeperRenew => {
                let ok = match status(&result) {
                    200 => Some(true),
                    404 => Some(false),
                    _ => None,
                };
                self.keeper.renewed(now, ok);
            }
            Pending::KeeperRegister => {
                if status(&result) == 400 {
                    self.keeper.lost();
                }
                self.keeper.registered(now, body::<Epoch>(&result).map(|e| e.epoch));
            }
            Pending::LeaderKey => self.leader_page(now, &result),
            Pending::LeaderWatch { sent } => self.leader_changes(now, sent, &result),
            Pending::JobsPage { first } => {
                self.jobs_page.in_flight = false;
                match body::<Page>(&result) {
                    Some(page) => {
                        self.mirror.page(&page, first, &mut self.tables);
                        self.jobs_from = page.pairs.last().map(|p| p.key.clone()).filter(|_| page.truncated);
                    }
                    None => self.jobs_page.after = now + 250,
                }
            }
            Pending::JobsWatch { sent } => {
                self.jobs_watch.in_flight = false;
                // Others need no watch of their own: what users ask brings it up to date.
                let gap = if self.leader.is_some() { 10 } else { 1_000 };
                self.jobs_watch.after = now + if self.apply_changes(sent, &result) { gap } else { 250 };
            }
            Pending::Barrier { sent } => {
                let ok = self.apply_changes(sent, &result);
                // Guard: after a halt, the read is as old as those who asked.
                let late = self.barrier.overdue(now, BARRIER_MS);
                self.refuse_all(net, late);
                let waiters = self.barrier.ended();
                if ok {
                    self.serve(net, waiters);
                } else {
                    self.refuse_all(net, waiters);
                }
            }
            Pending::Submit { conn, id, record } => self.submitted(net, conn, id, &record, result),
            Pending::Abort { conn, id, record, tries } => self.aborted(net, conn, id, &record, tries, result),
            Pending::TasksSync { stamp, sent } => {
                if self.leader.as_ref().is_some_and(|l| l.stamp == stamp) {
                    self.tasks.in_flight = false;
                    self.tasks_synced = self.apply_changes(sent, &result);
                    self.tasks.after = if self.tasks_synced { now } else { now + 200 };
                }
            }
            Pending::TasksPage { stamp } => self.tasks_page(now, stamp, &result),
            Pending::Commit { stamp } => self.committed(net, now, stamp, &result),
            Pending::Resync { stamp, key } => {
                self.resync.in_flight = false;
                let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) else { return };
                match status(&result) {
                    200 => {
                        if let Some(p) = body::<Pair>(&result) {
                            l.resynced(now, &key, Some((p.v, p.stamp)));
                        }
                    }
                    404 => l.resynced(now, &key, None),
                    _ => self.resync.after = now + 200,
                }
            }
            Pending::Do { stamp, machine, call } => {
                let outcome = match &result {
                    Ok(r) if r.status == 200 || r.status == 409 => match cbor::decode::<Report>(&r.body) {
                        Ok(rep) if r.status == 200 => DoOutcome::Executed(rep),
                        Ok(rep) => DoOutcome::Refused(rep),
                        Err(_) => DoOutcome::Unknown,
                    },
                    Ok(_) | Err(CallError::Unknown) => DoOutcome::Unknown,
                    Err(CallError::NotSent) => DoOutcome::NotSent,
                };
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    if !l.do_result(now, machine, call, outcome, &self.mirror, &mut self.tables) {
                        tracing::warn!("a worker has seen a higher token than this leader's");
                    }
                }
            }
            Pending::Rent { stamp, call } => {
                let outcome = match status(&result) {
                    200 => match body::<HostNames>(&result) {
                        Some(h) => RentOutcome::Rented(h.hosts),
                        None => RentOutcome::Again,
                    },
                    400 => RentOutcome::Malformed,
                    503 if result.as_ref().is_ok_and(|r| r.body.windows(8).any(|w| w == b"capacity")) => {
                        RentOutcome::NoCapacity
                    }
                    _ => RentOutcome::Again,
                };
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    l.rented(now, call, outcome);
                }
            }
            Pending::Return { stamp, call } => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    l.returned(now, call, status(&result) == 200);
                }
            }
            Pending::List { stamp, call } => {
                let list = body::<HostList>(&result);
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    l.listed(now, call, list.as_ref(), &mut self.tables);
                }
            }
            Pending::Probe { stamp, machine } => {
                let report = body::<Report>(&result);
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    l.probed(now, machine, report.as_ref(), &self.mirror, &mut self.tables);
                }
            }
            Pending::Flavors => self.took_flavors(now, &result),
        }
    }

    fn committed(&mut self, net: &mut Net, now: Ms, stamp: u64, result: &Result<Reply, CallError>) {
        let outcome = match result {
            Ok(r) => match r.status {
                200 => body::<Epoch>(result).map_or(CommitOutcome::Unknown, |e| CommitOutcome::Done(e.epoch)),
                409 => match cbor::decode::<Conflict>(&r.body) {
                    Ok(c) => CommitOutcome::Conflict(c.failed),
                    Err(_) => CommitOutcome::Unknown,
                },
                429 => {
                    self.commits.refused(now);
                    CommitOutcome::Refused
                }
                503 => CommitOutcome::Refused,
                other => {
                    tracing::error!(status = other, "the state service refuses a transaction");
                    CommitOutcome::Refused
                }
            },
            Err(CallError::NotSent) => CommitOutcome::Refused,
            Err(CallError::Unknown) => CommitOutcome::Unknown,
        };
        let conflict = matches!(outcome, CommitOutcome::Conflict(_));
        let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) else { return };
        if !l.committed(now, outcome) {
            tracing::warn!(stamp, "another leader has written: leadership lost");
            if let Some(act) = self.election.resign(now) {
                self.act(net, act);
            }
            self.leader = None;
        } else if conflict {
            // Records changed under the transaction: read them before the next.
            self.jobs_watch.after = now;
        }
    }
}
