//! What a controller does by itself: keeps its job cache, stands for leader, and,
//! while it leads, carries out what the leader's mind wants.

use super::{
    replies::{body, status},
    wiring::{Node, Pending},
};
use crate::{
    bookkeeping::{
        budget::Urgency,
        records::{self, LeaderRecord},
    },
    coordination::model::{Ms, Res, TypeInfo},
    protocol::{
        cloud::Flavors,
        store::{Changes, Page},
    },
    transport::{CallError, Net, Reply},
};

/// Of the jobs' records, at most: what is known is counted from the sending of
/// the last watch that came back.
const WATCH_MS: u64 = 3_000;
/// Of the leader's key: its end also tells that the state service is there.
const KEY_WATCH_MS: u64 = 3_000;
const GOSSIP_MS: Ms = 400;
/// Between two reads for the barrier, for each controller that does the same.
const BARRIER_GAP_MS: Ms = 40;
/// How often the logs say how users fared.
const USER_SUMMARY_MS: Ms = 5_000;
/// How long users wait for the barrier at most.
pub(super) const BARRIER_MS: Ms = 1_600;

impl Node {
    pub fn wait_ms(&self, _now: Ms) -> u64 {
        match &self.leader {
            Some(l) if l.pass_needed => 10,
            Some(_) => 25,
            None => 50,
        }
    }

    pub fn tick(&mut self, net: &mut Net) {
        let now = net.now();
        self.refresh_job_cache(net, now);
        self.keep_types(net, now);
        self.keep_versions(net, now);
        if let Some(act) = self.election.tick(now) {
            self.act(net, act);
        }
        if let Some(act) = self.renewal_right.tick(now) {
            self.perform_renewal_action(net, act);
        }
        self.lead(net);
        self.flush_barrier(net);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_MS;
            self.gossip(net, now);
        }
        if now >= self.next_user_summary {
            self.next_user_summary = now + USER_SUMMARY_MS;
            self.log_user_responses();
        }
    }

    // ---- job cache, leader's key, types -------------------------------------

    pub(super) fn refresh_job_cache(&mut self, net: &mut Net, now: Ms) {
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
        if !self.job_cache.loaded() {
            if self.jobs_page.due(now) && self.reads.take(now, 1.0, Urgency::Commit).is_ok() {
                self.jobs_page.in_flight = true;
                let from = self.jobs_from.as_ref().map_or(String::new(), |f| format!("&from={f}"));
                let path = format!("/store?under={}{from}&most=1000", records::JOBS);
                let first = self.jobs_from.is_none();
                self.ask_state(net, Pending::JobsPage { first }, "GET", path, Vec::new(), 3_000);
            }
        } else if self.jobs_watch.due(now) && self.reads.take(now, 1.0, Urgency::Commit).is_ok() {
            self.jobs_watch.in_flight = true;
            let wait = (self.renewal_right.renewal_ms() / 4).clamp(250, WATCH_MS);
            let path = format!("/changes?under={}&from={}&waitMs={wait}", records::JOBS, self.job_cache.epoch());
            self.ask_state(net, Pending::JobsWatch { sent: now }, "GET", path, Vec::new(), wait + 2_000);
        }
    }

    pub(super) fn keep_types(&mut self, net: &mut Net, now: Ms) {
        if self.flavors.due(now) && self.cloud.take(now, 1.0, Urgency::Commit).is_ok() {
            self.flavors.in_flight = true;
            self.ask_cloud(net, Pending::Flavors, "GET", "/flavors".into(), Vec::new());
        }
    }

    pub(super) fn flush_barrier(&mut self, net: &mut Net) {
        let now = net.now();
        if self.barrier.due(now) {
            self.barrier.sent(now, BARRIER_GAP_MS * (self.peers.len() as Ms + 1));
            if self.reads.take(now, 1.0, Urgency::Cancel).is_err() {
                let waiters = self.barrier.ended();
                return self.refuse_all(net, waiters);
            }
            let path = format!("/changes?under={}&from={}&waitMs=0", records::JOBS, self.job_cache.epoch());
            self.ask_state(net, Pending::Barrier { sent: now }, "GET", path, Vec::new(), 1_500);
        }
        if !self.barrier.is_empty() {
            let late = self.barrier.overdue(now, BARRIER_MS);
            self.refuse_all(net, late);
        }
    }

    pub(super) fn apply_changes(&mut self, sent: Ms, result: &Result<Reply, CallError>) -> bool {
        // Guard: while all records are read anew, changes since the first page
        // don't show what later pages hold.
        if !self.job_cache.loaded() {
            return false;
        }
        match body::<Changes>(result) {
            Some(c) => {
                self.job_cache.apply(&c, &mut self.tables);
                self.renewal_right.synced(sent);
                true
            }
            None => {
                if status(result) == 410 {
                    self.job_cache.reload();
                    self.jobs_from = None;
                }
                false
            }
        }
    }

    pub(super) fn leader_page(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        self.leader_key.in_flight = false;
        match body::<Page>(result) {
            Some(page) => {
                self.leader_known = true;
                self.leader_epoch = page.epoch;
                let rec = page.pairs.iter().find(|p| p.key == records::LEADER);
                let seen = rec.and_then(|p| p.v.deserialized::<LeaderRecord>().ok());
                let stamp = rec.map_or(page.epoch, |p| p.stamp);
                self.election.saw_key(now, seen, stamp);
                let own = records::renewal_key(&self.settings.label);
                let found = page.pairs.iter().find(|p| p.key == own);
                let mine = found.is_some_and(|p| self.is_mine(&p.v));
                self.renewal_right.saw_key(found.map_or(0, |p| p.stamp), page.epoch, mine);
                for p in &mut self.peers {
                    let key = records::renewal_key(&p.label);
                    p.keyless = (!page.pairs.iter().any(|r| r.key == key)).then_some(now);
                }
            }
            None => self.leader_key.after = now + 250,
        }
    }

    pub(super) fn leader_changes(&mut self, now: Ms, sent: Ms, result: &Result<Reply, CallError>) {
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
                        self.renewal_key_changed(now, e);
                    }
                }
                // Who had no key when the watch was sent, nor since: it kept nothing.
                for (n, p) in self.peers.iter().enumerate() {
                    if let Some(since) = p.keyless {
                        self.peer_inactivity.record_inactive(n, since as i64, sent as i64);
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

    pub(super) fn took_flavors(&mut self, now: Ms, result: &Result<Reply, CallError>) {
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
            l.snapshot.types_changed(&types);
        }
        self.types = types;
    }
}
