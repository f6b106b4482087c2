//! Answers from outside, and whom each is for.

use super::{
    background::BARRIER_MS,
    wiring::{Node, Pending},
};
use crate::{
    coordination::{fleet::RentOutcome, leader::DirectCallOutcome},
    protocol::{
        cbor,
        cloud::{HostList, HostNames},
        store::{Epoch, Page, Pair, Permit},
        workers::Report,
    },
    transport::{CallError, Net, Reply},
};

pub(super) fn status(result: &Result<Reply, CallError>) -> u16 {
    result.as_ref().map_or(0, |r| r.status)
}

pub(super) fn body<T: serde::de::DeserializeOwned>(result: &Result<Reply, CallError>) -> Option<T> {
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
            Pending::RenewalRightGrant => self.renewal_right.granted(now, body::<Permit>(&result).map(|p| p.permit)),
            Pending::RenewalRightRenew => {
                let ok = match status(&result) {
                    200 => Some(true),
                    404 => Some(false),
                    _ => None,
                };
                self.renewal_right.renewed(now, ok);
            }
            Pending::RenewalRightRegister => {
                if status(&result) == 400 {
                    self.renewal_right.lost();
                }
                self.renewal_right.registered(now, body::<Epoch>(&result).map(|e| e.epoch));
            }
            Pending::VersionWrite => self.version_wrote(now, &result),
            Pending::VersionRead => self.version_page(now, &result),
            Pending::LeaderKey => self.leader_page(now, &result),
            Pending::LeaderWatch { sent } => self.leader_changes(now, sent, &result),
            Pending::JobsPage { first } => {
                self.jobs_page.in_flight = false;
                match body::<Page>(&result) {
                    Some(page) => {
                        self.job_cache.page(&page, first, &mut self.tables);
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
            Pending::Submit { conn, id, record, tries } => self.submitted(net, conn, id, record, tries, result),
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
                        Ok(rep) if r.status == 200 => DirectCallOutcome::Executed(rep),
                        Ok(rep) => DirectCallOutcome::Refused(rep),
                        Err(_) => DirectCallOutcome::Unknown,
                    },
                    Ok(_) | Err(CallError::Unknown) => DirectCallOutcome::Unknown,
                    Err(CallError::NotSent) => DirectCallOutcome::NotSent,
                };
                if let Some(l) = self.leader.as_mut().filter(|l| l.stamp == stamp) {
                    if !l.direct_call_result(now, machine, call, outcome, &self.job_cache, &mut self.tables) {
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
                    l.probed(now, machine, report.as_ref(), &self.job_cache, &mut self.tables);
                }
            }
            Pending::Flavors => self.took_flavors(now, &result),
        }
    }
}
