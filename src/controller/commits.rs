//! The leader's transactions.

use super::{
    calls::{Pending, StateCall, STATE_TIMEOUT_MS},
    replies::body,
    wiring::Controller,
};
use crate::{
    coordination::{
        effects::CommitOutcome,
        model::{Millis, Term},
    },
    protocol::{
        cbor,
        store::{AppliedTransaction, Conflict},
    },
    storage::budget::Urgency,
    transport::{
        http::status::{BAD_REQUEST, CONFLICT, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS},
        CallError, Net, Reply,
    },
};

/// Writes are to spare, so that optional ones are made too, while more than this
/// share of their burst is available.
const SPARE_WRITES: f64 = 0.6;

impl Controller {
    /// Sends the leader's next transaction, if there is one and the budget allows it.
    pub(super) fn commit(&mut self, net: &mut Net, term: Term) {
        let now = net.now();
        let Some(leader) = &mut self.leader else { return };
        if !leader.may_commit(now) {
            return;
        }
        if let Some(key) = leader.resync_key() {
            let key = key.to_owned();
            return self.resync_record(net, now, term, key);
        }
        let budgets = &mut self.budgets;
        let available = budgets.commits.available(now, Urgency::Commit);
        let spare = available > SPARE_WRITES * budgets.commits.burst();
        if !leader.has_writes(now, spare) {
            return;
        }
        if available < 1.0 || budgets.reads.available(now, Urgency::Commit) < 1.0 {
            return;
        }
        let Some(transaction) = leader.commit(now, available as usize, spare, &self.tables) else { return };
        let _ = budgets.commits.take(now, transaction.writes.len() as f64, Urgency::Lease);
        let _ = budgets.reads.take(now, 1.0, Urgency::Lease);
        let call = StateCall::transaction(&transaction, STATE_TIMEOUT_MS);
        // Guard: preparing took time, and the leadership may have ended meanwhile.
        if self.election.leading(net.now()) == Some(term) {
            self.ask_state(net, Pending::Commit { term }, call);
        } else {
            leader.committed(now, CommitOutcome::Refused);
        }
    }

    /// The result of the leader's transaction came.
    pub(super) fn committed(&mut self, net: &mut Net, now: Millis, term: Term, result: &Result<Reply, CallError>) {
        let outcome = self.commit_outcome(now, result);
        let is_conflict = matches!(outcome, CommitOutcome::Conflict(_));
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term) else { return };
        if !leader.committed(now, outcome) {
            tracing::warn!(%term, "another leader has written: leadership lost");
            self.step_down(net, now);
        } else if is_conflict {
            // Jobs' records changed; they are read before the next transaction.
            self.jobs.watch_now(now);
        }
    }

    fn commit_outcome(&mut self, now: Millis, result: &Result<Reply, CallError>) -> CommitOutcome {
        let reply = match result {
            Ok(reply) => reply,
            Err(CallError::NotSent) => return CommitOutcome::Refused,
            Err(CallError::Unknown) => return CommitOutcome::Unknown,
        };
        match reply.status {
            OK => body::<AppliedTransaction>(result)
                .map_or(CommitOutcome::Unknown, |applied| CommitOutcome::Done(applied.store_revision)),
            CONFLICT => match cbor::decode::<Conflict>(&reply.body) {
                Ok(conflict) => CommitOutcome::Conflict(conflict.failed),
                Err(_) => CommitOutcome::Unknown,
            },
            TOO_MANY_REQUESTS => {
                self.budgets.commits.refused(now);
                CommitOutcome::Refused
            }
            SERVICE_UNAVAILABLE => CommitOutcome::Refused,
            BAD_REQUEST => {
                tracing::warn!("the state service takes no transaction like this one (400)");
                self.lower_limits();
                CommitOutcome::TooLarge
            }
            status => {
                tracing::error!(status, "the state service refuses a transaction");
                CommitOutcome::Refused
            }
        }
    }
}
