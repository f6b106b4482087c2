//! Workers' reports: answered by the leader, redirected or answered without a
//! leader by others.

use super::wiring::Node;
use crate::{
    coordination::{
        leader::{halts_of_cancelled, Answer},
        lease_renewal::{shares_the_cut, Other},
        model::Ms,
    },
    protocol::{
        cbor,
        workers::{Redirect, Report, ReportAnswer},
    },
    transport::{
        http::status::{BAD_REQUEST, MISDIRECTED_REQUEST, OK, SERVICE_UNAVAILABLE},
        ConnId, Net,
    },
};

impl Node {
    /// Handles a worker's report.
    pub(super) fn checkin(&mut self, net: &mut Net, conn: ConnId, bytes: &[u8]) {
        let report: Report = match cbor::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                tracing::warn!(%error, "a report that can't be read");
                return net.respond(conn, BAD_REQUEST, None, b"");
            }
        };
        let now = net.now();
        if report.zone != self.settings.domain {
            self.foreign_zone_report = Some(now);
        }
        // Guard: the answer must not launch what the job cache shows as cancelled.
        self.feed_leader(now);
        match self.leader_answer(now, &report) {
            Some(Answer::Ok(answer)) => self.send_leader_answer(net, conn, &report, &answer),
            Some(Answer::Stale) => net.respond(conn, SERVICE_UNAVAILABLE, None, b""),
            Some(Answer::Superseded) => {
                tracing::warn!(machine = &*report.machine, token = report.token, "a worker has seen a higher token");
                self.reject_report(net, conn, now);
            }
            None if self.may_renew_without_leader(now, &report) => {
                self.renew_without_leader(net, conn, now, &report);
            }
            None => self.reject_report(net, conn, now),
        }
    }

    /// The leader's answer, if this controller leads.
    fn leader_answer(&mut self, now: Ms, report: &Report) -> Option<Answer> {
        let stamp = self.election.leading(now)?;
        let leader = self.leader.as_mut().filter(|leader| leader.stamp == stamp)?;
        Some(leader.report(now, report, &self.job_cache, &mut self.tables))
    }

    /// Sends the leader's answer, which renews the worker's lease.
    ///
    /// Guard: preparing the answer took time. It may be sent only while this
    /// controller still leads, as it would renew a lease that a new leader counts
    /// on to expire.
    ///
    /// Guard: it must not let a task outlive a cancellation that this controller
    /// doesn't know of yet, so the job cache must be recent, unless nothing runs
    /// on the machine.
    fn send_leader_answer(&mut self, net: &mut Net, conn: ConnId, report: &Report, answer: &ReportAnswer) {
        let bytes = cbor::encode(answer);
        let now = net.now();
        let fresh = self.renewal_right.may_renew(now);
        let entitled = self.election.leading(now).is_some();
        let Some(leader) = &mut self.leader else {
            return net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
        };
        if entitled && (fresh || !leader.may_hold_tasks(report)) {
            return net.respond_report(conn, OK, &bytes);
        }
        tracing::debug!(machine = &*report.machine, entitled, fresh, "a report is not answered");
        leader.not_answered(&report.machine);
        net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
    }

    /// Whether a worker's lease may be renewed although no leader is in contact;
    /// see `coordination::lease_renewal`.
    fn may_renew_without_leader(&self, now: Ms, report: &Report) -> bool {
        if report.token == 0 || !self.renewal_right.may_renew_without_leader(now) || self.leader_hint(now).is_some() {
            return false;
        }
        let seeds = self.settings.seeds.iter();
        let others: Vec<Other> = seeds
            .zip(&self.peers.list)
            .map(|(seed, peer)| Other {
                near: seed.domain == self.settings.domain,
                heard: peer.heard,
                state_age: peer.state_age,
            })
            .collect();
        shares_the_cut(now, self.renewal_right.contact(), &others, self.foreign_zone_report)
    }

    /// Renews a worker's lease. Tasks that are known as cancelled are stopped,
    /// which any controller may order; all others go on.
    fn renew_without_leader(&mut self, net: &mut Net, conn: ConnId, now: Ms, report: &Report) {
        // Guard: recorded before the answer is sent, so that no leader counts the
        // lease as expired.
        self.renewal_right.last = now;
        let orders = halts_of_cancelled(report, &self.job_cache);
        let bytes = cbor::encode(&ReportAnswer { token: report.token, orders });
        net.respond_report(conn, OK, &bytes);
    }

    /// Redirects a worker to the leader, if it is known.
    fn reject_report(&mut self, net: &mut Net, conn: ConnId, now: Ms) {
        self.gossip.record_rejected_report(now);
        let redirect = Redirect { report_to: self.leader_hint(now) };
        net.respond(conn, MISDIRECTED_REQUEST, None, &cbor::encode(&redirect));
    }
}
