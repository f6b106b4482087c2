//! Workers' heartbeats: answered by the leader, redirected or answered without a
//! leader by others.

use super::Controller;
use crate::{
    coordination::{effects::HeartbeatOutcome, model::Millis, stop_commands_for_cancelled},
    protocol::{
        cbor,
        ids::FencingToken,
        workers::{Heartbeat, HeartbeatResponse, Redirect},
    },
    transport::{
        http::status::{BAD_REQUEST, MISDIRECTED_REQUEST, OK, SERVICE_UNAVAILABLE},
        ConnectionId, Net,
    },
};

impl Controller {
    /// Handles a worker's heartbeat.
    pub(super) fn handle_heartbeat(&mut self, net: &mut Net, conn: ConnectionId, bytes: &[u8]) {
        let heartbeat: Heartbeat = match cbor::decode(bytes) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::warn!(%error, "invalid heartbeat");
                return net.respond(conn, BAD_REQUEST, None, b"");
            }
        };
        let now = net.now();
        if heartbeat.zone != self.identity.zone {
            self.renewal_key.record_foreign_heartbeat(now);
        }
        // Guard: the answer must not launch what the job cache shows as cancelled.
        self.leadership.sync_jobs(now, &mut self.jobs);
        let term = self.election.leading(now);
        match self.leadership.answer_heartbeat(now, term, &heartbeat, &self.jobs, &mut self.names) {
            Some(HeartbeatOutcome::Accepted(response)) => self.send_leader_response(net, conn, &heartbeat, &response),
            Some(HeartbeatOutcome::Stale) => net.respond(conn, SERVICE_UNAVAILABLE, None, b""),
            Some(HeartbeatOutcome::Superseded) => {
                tracing::warn!(
                    machine = &*heartbeat.machine,
                    token = %heartbeat.token,
                    "worker has seen a higher fencing token"
                );
                self.redirect_heartbeat(net, conn, now);
            }
            None if self.may_renew_without_leader(now, &heartbeat) => {
                self.renew_without_leader(net, conn, now, &heartbeat);
            }
            None => self.redirect_heartbeat(net, conn, now),
        }
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
    fn send_leader_response(
        &mut self,
        net: &mut Net,
        conn: ConnectionId,
        heartbeat: &Heartbeat,
        response: &HeartbeatResponse,
    ) {
        let bytes = cbor::encode(response);
        let now = net.now();
        let cache_is_recent = self.renewal_key.may_renew(now);
        let is_leading = self.election.leading(now).is_some();
        let Some(leader) = self.leadership.leader_mut() else {
            return net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
        };
        if is_leading && (cache_is_recent || !leader.may_hold_tasks(heartbeat)) {
            return net.respond_to_heartbeat(conn, OK, &bytes);
        }
        tracing::debug!(machine = &*heartbeat.machine, is_leading, cache_is_recent, "heartbeat not answered");
        leader.response_not_sent(&heartbeat.machine);
        net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
    }

    /// Whether a worker's lease may be renewed although no leader is in contact;
    /// see `coordination::lease_renewal`.
    fn may_renew_without_leader(&self, now: Millis, heartbeat: &Heartbeat) -> bool {
        heartbeat.token != FencingToken::NONE
            && self.leader_hint(now).is_none()
            && self.renewal_key.may_renew_without_leader(now, &self.peers.contacts())
    }

    /// Renews a worker's lease. Tasks that are known as cancelled are stopped,
    /// which any controller may command; all others go on.
    fn renew_without_leader(&mut self, net: &mut Net, conn: ConnectionId, now: Millis, heartbeat: &Heartbeat) {
        // Guard: recorded before the answer is sent, so that no leader counts the
        // lease as expired.
        self.renewal_key.record_renewal(now);
        let commands = stop_commands_for_cancelled(heartbeat, self.jobs.cache());
        let bytes = cbor::encode(&HeartbeatResponse { token: heartbeat.token, commands });
        net.respond_to_heartbeat(conn, OK, &bytes);
    }

    /// Redirects a worker to the leader, if it is known.
    fn redirect_heartbeat(&mut self, net: &mut Net, conn: ConnectionId, now: Millis) {
        self.peers.record_rejected_heartbeat(now);
        let redirect = Redirect { leader: self.leader_hint(now) };
        net.respond(conn, MISDIRECTED_REQUEST, None, &cbor::encode(&redirect));
    }
}
