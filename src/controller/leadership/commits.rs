//! Sends the leader's transactions and handles their outcomes.

use super::{LeaderContext, Leadership};
use crate::{
    controller::service_client::{applied_revision, Budgets, CallResult, LeaderCall, StoreRequest, STORE_TIMEOUT_MS},
    coordination::{
        effects::CommitOutcome,
        model::{Millis, Term},
    },
    protocol::{cbor, store::Conflict},
    transport::{
        http::status::{BAD_REQUEST, CONFLICT, OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS},
        CallError,
    },
};

impl Leadership {
    /// Sends the leader's next transaction, if there is one and the budget allows it.
    pub(super) fn commit(&mut self, context: &mut LeaderContext, term: Term) {
        let now = context.net.now();
        let Some(leader) = &mut self.leader else { return };
        if !leader.may_commit(now) {
            return;
        }
        if let Some(key) = leader.resync_key() {
            let key = key.to_owned();
            return self.record_resync.refresh(context, now, term, key);
        }
        let budgets = context.client.budgets();
        let available = budgets.available_commits(now);
        let has_spare_budget = budgets.has_spare_commits(now);
        if !leader.has_writes(now, has_spare_budget) {
            return;
        }
        if available < 1.0 || budgets.available_reads(now) < 1.0 {
            return;
        }
        let Some(transaction) = leader.next_transaction(now, available as usize, has_spare_budget, context.names)
        else {
            return;
        };
        budgets.charge_commits(now, transaction.writes.len());
        budgets.charge_read(now);
        let request = StoreRequest::transaction(&transaction, STORE_TIMEOUT_MS);
        // Preparing the transaction took time: the leadership may have ended in the
        // meantime.
        if context.election.leading_term(context.net.now()) == Some(term) {
            context.send_to_store(term, LeaderCall::Commit, request);
        } else {
            leader.transaction_finished(now, CommitOutcome::Refused);
        }
    }

    /// Processes the result of the leader's transaction.
    pub(super) fn transaction_finished(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        result: &CallResult,
    ) {
        let outcome = commit_outcome(now, result, context.client.budgets());
        let is_conflict = matches!(outcome, CommitOutcome::Conflict(_));
        let Some(leader) = self.leader_of(term) else { return };
        if !leader.transaction_finished(now, outcome) {
            tracing::warn!(%term, "leadership lost: another controller has written the leader's key");
            self.step_down(context, now);
        } else if is_conflict {
            // The conflict may mean that job records have changed in the store. The next
            // watch on the job records starts at once, so that the changes are read before
            // the next transaction.
            context.jobs.end_watch_pause(now);
        }
    }
}

fn commit_outcome(now: Millis, result: &CallResult, budgets: &mut Budgets) -> CommitOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(CallError::NotSent) => return CommitOutcome::Refused,
        Err(CallError::Unknown) => return CommitOutcome::Unknown,
    };
    match reply.status {
        OK => applied_revision(result).map_or(CommitOutcome::Unknown, CommitOutcome::Applied),
        CONFLICT => match cbor::decode::<Conflict>(&reply.body) {
            Ok(conflict) => CommitOutcome::Conflict(conflict.failed),
            Err(_) => CommitOutcome::Unknown,
        },
        TOO_MANY_REQUESTS => {
            budgets.record_refused_commit(now);
            CommitOutcome::Refused
        }
        SERVICE_UNAVAILABLE => CommitOutcome::Refused,
        BAD_REQUEST => {
            tracing::warn!(status = BAD_REQUEST, "transaction rejected as too large");
            budgets.lower_limits();
            CommitOutcome::TooLarge
        }
        status => {
            tracing::error!(status, "transaction refused");
            CommitOutcome::Refused
        }
    }
}
