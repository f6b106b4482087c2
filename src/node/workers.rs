//! Workers' reports: answered by the leader, kept up or sent on by others.

use ciborium::Value;

use super::wiring::Node;
use crate::{
    bookkeeping::records::{self, LeaderRecord},
    coordination::{
        leader::{halts_of_cancelled, Answer},
        lease_renewal::{shares_the_cut, Other},
        model::Ms,
    },
    protocol::{
        cbor,
        store::Change,
        workers::{Redirect, Report, ReportAnswer},
    },
    transport::{ConnId, Net},
};

impl Node {
    pub fn checkin(&mut self, net: &mut Net, conn: ConnId, bytes: &[u8]) {
        let report: Report = match cbor::decode(bytes) {
            Ok(r) => r,
            Err(e) => {
                tracing::warn!(error = %e, "a report that can't be read");
                return net.respond(conn, 400, None, b"");
            }
        };
        let now = net.now();
        if report.zone != self.settings.domain {
            self.foreign_zone_report = Some(now);
        }
        // Guard: what the job cache shows as cancelled is not launched in the answer.
        self.feed_leader(now);
        let stamp = self.election.leading(now);
        let answer = match &mut self.leader {
            Some(l) if stamp == Some(l.stamp) => Some(l.report(now, &report, &self.job_cache, &mut self.tables)),
            _ => None,
        };
        match answer {
            Some(Answer::Ok(a)) => {
                let bytes = cbor::encode(&a);
                // Guard: thinking took time; a 200 may only be sent within the lease.
                // Guard: nor may it let a task outlive a cancellation that this
                // controller doesn't know of; where nothing runs, none can.
                let now = net.now();
                let fresh = self.renewal_right.may_renew(now);
                let entitled = self.election.leading(now).is_some();
                match &mut self.leader {
                    Some(l) if entitled && (fresh || !l.may_hold_tasks(&report)) => {
                        net.respond_report(conn, 200, &bytes);
                    }
                    Some(l) => {
                        tracing::debug!(machine = &*report.machine, entitled, fresh, "a report is not answered");
                        l.not_answered(&report.machine);
                        net.respond(conn, 503, None, b"");
                    }
                    None => net.respond(conn, 503, None, b""),
                }
            }
            Some(Answer::Stale) => net.respond(conn, 503, None, b""),
            Some(Answer::Superseded) => {
                tracing::warn!(machine = &*report.machine, token = report.token, "a worker has seen a higher token");
                self.turn_away(net, conn, now);
            }
            None if self.may_renew_without_leader(now, &report) => {
                // Guard: noted before it is sent, so that no leader counts it out.
                self.renewal_right.last = now;
                // What is known as cancelled ends with it: a halt may come from
                // anybody, and the rest of the machine goes on.
                let orders = halts_of_cancelled(&report, &self.job_cache);
                let bytes = cbor::encode(&ReportAnswer { token: report.token, orders });
                net.respond_report(conn, 200, &bytes);
            }
            None => self.turn_away(net, conn, now),
        }
    }

    /// With no leader to be found, a worker's lease is kept; see `coordination::keeping`.
    pub(super) fn may_renew_without_leader(&self, now: Ms, r: &Report) -> bool {
        if r.token == 0 || !self.renewal_right.may_renew_without_leader(now) || self.leader_hint(now).is_some() {
            return false;
        }
        let others: Vec<Other> = self
            .settings
            .seeds
            .iter()
            .zip(&self.peers)
            .map(|(s, p)| Other { near: s.domain == self.settings.domain, heard: p.heard, state_age: p.state_age })
            .collect();
        shares_the_cut(now, self.renewal_right.contact(), &others, self.foreign_zone_report)
    }

    pub(super) fn turn_away(&mut self, net: &mut Net, conn: ConnId, now: Ms) {
        self.rejected_reports.push(now);
        if self.rejected_reports.len() > 10_000 {
            self.rejected_reports.clear();
        }
        net.respond(conn, 421, None, &cbor::encode(&Redirect { report_to: self.leader_hint(now) }));
    }

    /// Whether the value of this controller's own key is of the grant it holds.
    pub(super) fn is_mine(&self, v: &Value) -> bool {
        let ours =
            |r: LeaderRecord| r.label == self.settings.label && Some(r.nonce) == self.renewal_right.mark(self.nonce);
        v.deserialized::<LeaderRecord>().is_ok_and(ours)
    }

    /// A key under which a controller may keep leases came or went.
    pub(super) fn renewal_key_changed(&mut self, now: Ms, c: &Change) {
        let Some(key) = c.write.as_ref().or(c.drop.as_ref()) else { return };
        let there = c.write.is_some();
        if *key == records::renewal_key(&self.settings.label) {
            let mine = c.v.as_ref().is_some_and(|v| self.is_mine(v));
            self.renewal_right.saw_key(if there { c.stamp } else { 0 }, c.stamp, mine);
        } else if let Some(p) = self.peers.iter_mut().find(|p| *key == records::renewal_key(&p.label)) {
            p.keyless = (!there).then_some(now);
        }
    }
}
