//! Fencing token of a machine, and what its worker has acknowledged.

use crate::{coordination::model::Millis, protocol::ids::FencingToken};

/// Fencing token of a machine, the token that its worker must acknowledge, and the
/// token that it has acknowledged.
#[derive(Debug)]
pub struct TokenRequirement {
    /// The token that new commands to the machine carry.
    pub token: FencingToken,
    /// Consecutive heartbeats that do not acknowledge the required token, though a
    /// response that carried it was sent.
    pub unacknowledged_heartbeats: u32,
    /// Until the worker has acknowledged at least this token, the absence or the exit of
    /// a task is not final.
    required_token: FencingToken,
    /// The highest token that the worker has acknowledged.
    acknowledged_token: FencingToken,
    /// Whether a response was sent to a heartbeat since the required token was last
    /// raised.
    response_sent_since_raised: bool,
    /// When an unacknowledged heartbeat was last counted; 0: never.
    last_unacknowledged_at: Millis,
}

impl TokenRequirement {
    pub(super) fn new(token: FencingToken) -> TokenRequirement {
        TokenRequirement {
            token,
            unacknowledged_heartbeats: 0,
            required_token: token,
            acknowledged_token: FencingToken::NONE,
            response_sent_since_raised: false,
            last_unacknowledged_at: 0,
        }
    }

    /// Raises the token above that of any command sent so far.
    pub fn raise_token(&mut self) {
        self.token = self.token.next();
    }

    /// Raises the token and requires the worker to acknowledge it. Once it has, no
    /// command sent before can take effect.
    pub fn raise_and_require_token(&mut self) {
        self.raise_token();
        self.required_token = self.token;
        self.response_sent_since_raised = false;
    }

    /// Records that the worker acknowledged a token: in a heartbeat, or in its response
    /// to a command or a probe.
    pub fn record_acknowledged_token(&mut self, token: FencingToken) {
        self.acknowledged_token = self.acknowledged_token.max(token);
    }

    /// Records whether a heartbeat acknowledges earlier responses. Must be called before
    /// the response to that heartbeat is sent. A heartbeat without an acknowledgement is
    /// not counted within `min_gap_ms` after one that was counted.
    ///
    /// A worker that receives a response includes the response's token in its next
    /// heartbeat. If it never does, no command can be sent to it. Heartbeats that a
    /// network partition delayed arrive together and are counted once.
    pub fn count_acknowledgement(&mut self, now: Millis, token: FencingToken, min_gap_ms: Millis) {
        if token >= self.required_token {
            self.unacknowledged_heartbeats = 0;
        } else if self.response_sent_since_raised && now >= self.last_unacknowledged_at + min_gap_ms {
            self.unacknowledged_heartbeats += 1;
            self.last_unacknowledged_at = now;
        }
        self.response_sent_since_raised = true;
    }

    /// Records that no response to the last heartbeat is sent. So the next heartbeat is
    /// not counted if it lacks an acknowledgement.
    pub fn response_not_sent(&mut self) {
        self.response_sent_since_raised = false;
    }

    /// Reports whether the worker has acknowledged a higher token than this one, so that it
    /// refuses all commands with this one.
    pub fn refuses(&self, token: FencingToken) -> bool {
        self.acknowledged_token > token
    }

    pub(super) fn is_acknowledged(&self) -> bool {
        self.acknowledged_token >= self.required_token
    }
}
