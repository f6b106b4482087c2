//! What a controller does while it leads: loads records, writes, commands, rents.

use std::collections::HashSet;

use super::{
    replies::body,
    wiring::{wall_ms, Node, Peer, Pending},
};
use crate::{
    bookkeeping::{
        budget::{share, BudgetRole, Urgency},
        records,
    },
    coordination::{
        fleet::RentOutcome,
        leader::{CommitOutcome, DirectCallOutcome, Effect, Leader},
        model::Ms,
    },
    protocol::{
        cbor,
        cloud::HostNames,
        store::{Conflict, Epoch, Page},
    },
    transport::{CallError, Net, Reply},
};

/// A peer not heard for this long may use its whole part of the budgets.
const PEER_SILENT_MS: Ms = 2_000;
const PASS_GAP_MS: Ms = 40;
const SLOW_PASS_GAP_MS: Ms = 300;
/// Shares of the burst below and above which writes are scarce and to spare.
const LOW: f64 = 0.4;
const SPARE: f64 = 0.6;
const GIVE_WAY_MS: Ms = 8_000;

impl Node {
    /// Shares follow need: what others say they use is left to them.
    pub(super) fn set_budgets(&mut self, now: Ms, leading: bool) {
        if self.budget_leading == Some(leading) {
            return;
        }
        self.budget_leading = Some(leading);
        let (rps, write_rps) = self.settings.cluster.state.rates(self.limits_lowered);
        let all = self.peers.len() + 1;
        let used = |of: fn(&Peer) -> f64| -> Vec<Option<f64>> {
            self.peers.iter().map(|p| p.heard.filter(|h| now < h + PEER_SILENT_MS).map(|_| of(p))).collect()
        };
        let reads =
            share(rps, if leading { BudgetRole::Leader } else { BudgetRole::Users(all) }, &used(|p| p.reads_used));
        let mut others = used(|p| p.writes_used + p.commits_used);
        others.push(Some(self.commits.used(now)));
        let writes = share(write_rps, BudgetRole::Users(all), &others);
        let mut others = used(|p| p.writes_used);
        others.push(Some(self.writes.used(now)));
        let commits = share(write_rps, BudgetRole::Leader, &others);
        self.reads.set(reads, rps * if leading { 0.5 } else { 0.2 });
        self.writes.set(writes, (write_rps * 0.2).max(4.0));
        self.commits.set(commits, (write_rps * 0.5).max(4.0));
    }

    pub(super) fn lead(&mut self, net: &mut Net) {
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
        if self.types.is_empty() || !self.job_cache.loaded() {
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
        let mut no_peer_renewals = self.peer_inactivity.span();
        no_peer_renewals.from = no_peer_renewals.from.max(self.renewal_right.last as i64);
        l.may_reshard = self.versions.is_complete();
        l.no_peer_renewals = no_peer_renewals;
        l.sweep(now);
        l.fleet_step(now, &self.tables);
        let gap = now.saturating_sub(l.last_pass);
        // While the budget for writes is low, a pass places more at a time, so
        // that one write carries more.
        let low = self.commits.available(now, Urgency::Commit) < LOW * self.commits.burst();
        if (l.pass_needed && gap >= if low { SLOW_PASS_GAP_MS } else { PASS_GAP_MS }) || gap >= 1_000 {
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
    pub(super) fn feed_leader(&mut self, now: Ms) {
        let changed = self.job_cache.take_changed();
        let Some(l) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for ix in changed {
            if seen.insert(ix) {
                l.job_update(now, wall_ms(), ix, &self.job_cache);
            }
        }
    }

    /// First what the job cache may have missed, then the task records: all of
    /// it read after the leader's key was written, so no earlier leader's
    /// transaction can be applied any more.
    pub(super) fn load_tasks(&mut self, net: &mut Net, now: Ms, stamp: u64) {
        if !self.tasks.due(now) || self.reads.take(now, 1.0, Urgency::Lease).is_err() {
            return;
        }
        self.tasks.in_flight = true;
        if !self.tasks_synced {
            let path = format!("/changes?under={}&from={}&waitMs=0", records::JOBS, self.job_cache.epoch());
            return self.ask_state(net, Pending::TasksSync { stamp, sent: now }, "GET", path, Vec::new(), 1_500);
        }
        let from = self.tasks_from.as_ref().map_or(String::new(), |f| format!("&from={f}"));
        let path = format!("/store?under={}{from}&most=1000", records::TASKS);
        self.ask_state(net, Pending::TasksPage { stamp }, "GET", path, Vec::new(), 3_000);
    }

    pub(super) fn tasks_page(&mut self, now: Ms, stamp: u64, result: &Result<Reply, CallError>) {
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
            l.load(now, wall, &p.key, &p.v, p.stamp, &self.job_cache, &mut self.tables);
        }
        match page.pairs.last() {
            Some(last) if page.truncated => self.tasks_from = Some(last.key.clone()),
            _ => l.loaded(now, wall, &self.job_cache),
        }
    }

    pub(super) fn commit(&mut self, net: &mut Net, stamp: u64) {
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

    pub(super) fn carry_out(&mut self, net: &mut Net, stamp: u64) {
        let Some(l) = &mut self.leader else { return };
        for effect in l.take_effects() {
            let now = net.now();
            // Guard: rechecked at each send.
            let entitled = self.election.leading(now) == Some(stamp);
            match effect {
                Effect::Do { machine, call, addr, req } => {
                    if !entitled {
                        if let Some(l) = &mut self.leader {
                            l.direct_call_result(
                                now,
                                machine,
                                call,
                                DirectCallOutcome::NotSent,
                                &self.job_cache,
                                &mut self.tables,
                            );
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
    pub(super) fn give_way(&mut self, net: &mut Net, now: Ms) {
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
        let rejected_reports =
            self.peers.iter().any(|p| p.heard.is_some_and(|h| now < h + 2_000) && p.rejected_reports >= 2);
        if quiet && rejected_reports {
            tracing::warn!("no worker reaches this controller, others they do: giving way");
            if let Some(act) = self.election.resign(now) {
                self.act(net, act);
            }
            self.leader = None;
        }
    }

    pub(super) fn committed(&mut self, net: &mut Net, now: Ms, stamp: u64, result: &Result<Reply, CallError>) {
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
                400 => {
                    tracing::warn!("the state service takes no transaction like this one (400)");
                    self.lower_limits();
                    CommitOutcome::TooLarge
                }
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
