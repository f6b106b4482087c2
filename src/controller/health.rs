//! Whether this controller can serve, and who leads: from what the state service
//! and the peers show.

use super::wiring::Controller;
use crate::{
    coordination::model::Millis,
    transport::{
        http::status::{SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS},
        CallError, Reply,
    },
};

/// For how long, in ms, a peer's statement that it leads is believed.
const LEADER_HINT_PEER_MS: Millis = 1_500;
/// For how long, in ms, the leader's key is believed after the state service
/// last answered: a watch of it, and the time to notice that it failed.
const LEADER_HINT_STATE_MS: Millis = 4_500;
/// The state service may fail for this long, in ms, before the controller may
/// become unready.
const UNREADY_AFTER_MS: Millis = 2_500;
/// A peer is in contact when it was heard within this time, in ms.
const PEER_CONTACT_MS: Millis = 2_500;
/// A peer that the state service answered this much later, in ms, than it
/// answered us shows that the failure is ours.
const SERVED_LATER_MS: Millis = 1_500;

/// Whether the state service serves this controller.
#[derive(Debug, Default)]
pub(super) struct StateHealth {
    /// When it last answered with anything but 503.
    pub last_answer: Millis,
    /// When it began to fail, if it does.
    pub failing_since: Option<Millis>,
}

impl StateHealth {
    /// Milliseconds since the last answer.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_answer)
    }

    fn record_answer(&mut self, now: Millis) {
        self.last_answer = now;
        self.failing_since = None;
    }

    fn record_failure(&mut self, now: Millis) {
        self.failing_since.get_or_insert(now);
    }
}

impl Controller {
    /// Takes note of whether the state service answered a request.
    pub(super) fn state_answered(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        match result {
            Ok(reply) if reply.status != SERVICE_UNAVAILABLE => {
                if reply.status == TOO_MANY_REQUESTS {
                    self.budgets.reads.refused(now);
                    // The budgets keep below the current limits, so a refusal
                    // shows that they were lowered.
                    self.lower_limits();
                }
                self.state_health.record_answer(now);
            }
            Ok(_) | Err(_) => self.state_health.record_failure(now),
        }
    }

    /// Whom workers are redirected to.
    ///
    /// Guard: never this controller itself, and no leader that may be gone. Either
    /// the peer said a moment ago that it leads, or the state service answered
    /// lately, so that the watch of the leader's key is up to date.
    pub(super) fn leader_hint(&self, now: Millis) -> Option<&str> {
        let label = self.election.leader().filter(|label| *label != self.settings.label)?;
        let peer = self.peers.find(label)?;
        let peer_confirms = peer.leading && peer.heard_within(now, LEADER_HINT_PEER_MS);
        let health = &self.state_health;
        let key_is_current = health.failing_since.is_none() && now < health.last_answer + LEADER_HINT_STATE_MS;
        (peer_confirms || key_is_current).then_some(label)
    }

    /// Whether this controller is able to serve users.
    ///
    /// In an outage of the state service that affects all controllers, they stay
    /// ready, so that no connection is lost. A controller becomes unready when it
    /// alone is refused, or when it is in contact with no peer.
    pub(super) fn is_ready(&self, now: Millis) -> bool {
        if !self.job_cache.loaded() || self.types.is_empty() {
            return false;
        }
        let Some(failing_since) = self.state_health.failing_since else { return true };
        if now < failing_since + UNREADY_AFTER_MS {
            return true;
        }
        let mut in_contact = self.peers.list.iter().filter(|peer| peer.heard_within(now, PEER_CONTACT_MS)).peekable();
        if in_contact.peek().is_none() {
            return self.peers.list.is_empty();
        }
        let failing_ms = now.saturating_sub(failing_since);
        !in_contact.any(|peer| peer.state_age + SERVED_LATER_MS < failing_ms)
    }
}
