//! Handles workers' heartbeats. The leader responds to them; a follower redirects them to
//! the leader, or renews the worker lease itself while no leader is reachable.

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
    /// Handles a worker's heartbeat, given as the CBOR body of its request.
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
            self.renewal_key.record_other_zone_heartbeat(now);
        }
        // The leader first applies the changes in the job cache. Otherwise the response could
        // launch tasks of a job that the cache shows as cancelled.
        self.leadership.sync_jobs(now, &mut self.jobs);
        let term = self.election.leading_term(now);
        match self.leadership.process_heartbeat(now, term, &heartbeat, &self.jobs, &mut self.names) {
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

    /// Sends the leader's response, which renews the worker lease.
    ///
    /// It is sent only if this controller still leads. Preparing the response took time, in
    /// which another leader may have been elected; the response would then renew a lease that
    /// the new leader expects to expire.
    ///
    /// The job cache must be recent, unless nothing runs on the machine. Otherwise the renewed
    /// lease could let a task outlive a cancellation that this controller doesn't know of yet.
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
        let is_leading = self.election.leading_term(now).is_some();
        let Some(leader) = self.leadership.leader_mut() else {
            return net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
        };
        if is_leading && (cache_is_recent || !leader.may_hold_tasks(heartbeat)) {
            return net.respond_to_heartbeat(conn, OK, &bytes);
        }
        tracing::debug!(machine = &*heartbeat.machine, is_leading, cache_is_recent, "heartbeat rejected");
        leader.response_not_sent(&heartbeat.machine);
        net.respond(conn, SERVICE_UNAVAILABLE, None, b"");
    }

    /// Reports whether a worker lease may be renewed although no leader is reachable; see
    /// `coordination::lease_renewal`.
    fn may_renew_without_leader(&self, now: Millis, heartbeat: &Heartbeat) -> bool {
        heartbeat.token != FencingToken::NONE
            && self.leader_hint(now).is_none()
            && self.renewal_key.may_renew_without_leader(now, &self.peers.contacts())
    }

    /// Renews a worker lease without leading. The response commands the worker to stop the
    /// tasks of jobs that are known to be cancelled, which any controller may do; all other
    /// tasks keep running.
    fn renew_without_leader(&mut self, net: &mut Net, conn: ConnectionId, now: Millis, heartbeat: &Heartbeat) {
        // The renewal is recorded before the response is sent. In the other order, a leader
        // that doesn't know of the renewal could consider the lease expired while the worker
        // holds it.
        self.renewal_key.record_leaderless_renewal(now);
        let commands = stop_commands_for_cancelled(heartbeat, self.jobs.cache());
        let bytes = cbor::encode(&HeartbeatResponse { token: heartbeat.token, commands });
        net.respond_to_heartbeat(conn, OK, &bytes);
    }

    /// Rejects a heartbeat with 421 and the label of the leader, if it is known.
    fn redirect_heartbeat(&mut self, net: &mut Net, conn: ConnectionId, now: Millis) {
        self.peers.record_rejected_heartbeat(now);
        let redirect = Redirect { leader: self.leader_hint(now) };
        net.respond(conn, MISDIRECTED_REQUEST, None, &cbor::encode(&redirect));
    }
}
