//! Workers' reports: answered by the leader, redirected or answered without a
//! leader by others.

use super::wiring::Controller;
use crate::{
    coordination::{
        leader::{halts_of_cancelled, HeartbeatOutcome},
        lease_renewal::{shares_the_cut, PeerContact},
        model::Millis,
    },
    protocol::{
        cbor,
        ids::FencingToken,
        workers::{Heartbeat, HeartbeatResponse, Redirect},
    },
    transport::{
        http::status::{BAD_REQUEST, MISDIRECTED_REQUEST, OK, SERVICE_UNAVAILABLE},
        ConnId, Net,
    },
};

impl Controller {
    /// Handles a worker's heartbeat.
    pub(super) fn handle_heartbeat(&mut self, net: &mut Net, conn: ConnId, bytes: &[u8]) {
        let heartbeat: Heartbeat = match cbor::decode(bytes) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::warn!(%error, "a report that can't be read");
                return net.respond(conn, BAD_REQUEST, None, b"");
            }
        };
        let now = net.now();
        if heartbeat.zone != self.settings.domain {
            self.last_foreign_heartbeat = Some(now);
        }
        // Guard: the answer must not launch what the job cache shows as cancelled.
        self.sync_jobs_to_leader(now);
        match self.leader_answer(now, &heartbeat) {
            Some(HeartbeatOutcome::Ok(answer)) => self.send_leader_answer(net, conn, &heartbeat, &answer),
            Some(HeartbeatOutcome::Stale) => net.respond(conn, SERVICE_UNAVAILABLE, None, b""),
            Some(HeartbeatOutcome::Superseded) => {
                tracing::warn!(
                    machine = &*heartbeat.machine,
                    token = %heartbeat.token,
                    "a worker has seen a higher token"
                );
                self.redirect_heartbeat(net, conn, now);
            }
            None if self.may_renew_without_leader(now, &heartbeat) => {
                self.renew_without_leader(net, conn, now, &heartbeat);
            }
            None => self.redirect_heartbeat(net, conn, now),
        }
    }

    /// The leader's answer, if this controller leads.
    fn leader_answer(&mut self, now: Millis, heartbeat: &Heartbeat) -> Option<HeartbeatOutcome> {
        let term = self.election.leading(now)?;
        let leader = self.leader.as_mut().filter(|leader| leader.term == term)?;
        Some(leader.heartbeat(now, heartbeat, &self.job_cache, &mut self.tables))
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
    fn send_leader_answer(&mut self, net: &mut Net, conn: ConnId, heartbeat: &Heartbeat, answer: &HeartbeatResponse) {
        let bytes = cbor::encode(answer);
        let now = net.now();
        let fresh = self.renewal_right.may_renew(now);
        let entitled = self.election.leading(now).is_some();
        let Some(leader) = &mut self.leader else {
            return net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
        };
        if entitled && (fresh || !leader.may_hold_tasks(heartbeat)) {
            return net.respond_heartbeat(conn, OK, &bytes);
        }
        tracing::debug!(machine = &*heartbeat.machine, entitled, fresh, "a report is not answered");
        leader.response_not_sent(&heartbeat.machine);
        net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
    }

    /// Whether a worker's lease may be renewed although no leader is in contact;
    /// see `coordination::lease_renewal`.
    fn may_renew_without_leader(&self, now: Millis, heartbeat: &Heartbeat) -> bool {
        if heartbeat.token == FencingToken::NONE
            || !self.renewal_right.may_renew_without_leader(now)
            || self.leader_hint(now).is_some()
        {
            return false;
        }
        let seeds = self.settings.seeds.iter();
        let others: Vec<PeerContact> = seeds
            .zip(&self.peers.list)
            .map(|(seed, peer)| PeerContact {
                same_zone: seed.domain == self.settings.domain,
                last_heard: peer.heard,
                store_age_ms: peer.state_age,
            })
            .collect();
        shares_the_cut(now, self.renewal_right.last_contact(), &others, self.last_foreign_heartbeat)
    }

    /// Renews a worker's lease. Tasks that are known as cancelled are stopped,
    /// which any controller may order; all others go on.
    fn renew_without_leader(&mut self, net: &mut Net, conn: ConnId, now: Millis, heartbeat: &Heartbeat) {
        // Guard: recorded before the answer is sent, so that no leader counts the
        // lease as expired.
        self.renewal_right.record_leaderless_renewal(now);
        let commands = halts_of_cancelled(heartbeat, &self.job_cache);
        let bytes = cbor::encode(&HeartbeatResponse { token: heartbeat.token, commands });
        net.respond_heartbeat(conn, OK, &bytes);
    }

    /// Redirects a worker to the leader, if it is known.
    fn redirect_heartbeat(&mut self, net: &mut Net, conn: ConnId, now: Millis) {
        self.gossip.record_rejected_heartbeat(now);
        let redirect = Redirect { report_to: self.leader_hint(now) };
        net.respond(conn, MISDIRECTED_REQUEST, None, &cbor::encode(&redirect));
    }
}
