//! Reads of records after a transaction whose outcome is unknown: a record that the
//! transaction wrote shows whether the transaction was applied.

use super::context::LeaderContext;
use crate::{
    controller::{
        poll_schedule::PollSchedule,
        service_client::{body, status, CallResult, LeaderCall, StoreRequest, STORE_TIMEOUT_MS},
    },
    coordination::{
        leader::Leader,
        model::{Millis, Term},
    },
    protocol::store::KeyValue,
    storage::rate_limit::Urgency,
    transport::http::status::{NOT_FOUND, OK},
};

/// Pause, in ms, after a failed request.
const RETRY_MS: Millis = 200;

/// Schedule of the reads that settle a transaction whose outcome is unknown.
#[derive(Debug, Default)]
pub(super) struct RecordResync {
    schedule: PollSchedule,
}

impl RecordResync {
    /// Resets the schedule for a new leadership, which has no read pending.
    pub(super) fn restart(&mut self) {
        self.schedule.end();
    }

    /// Reads a record again, if no such read is pending and the budget allows it.
    pub(super) fn refresh(&mut self, context: &mut LeaderContext, now: Millis, term: Term, key: String) {
        if self.schedule.is_due(now) && context.client.budgets().take_read(now, Urgency::Cancel) {
            self.schedule.begin();
            let request = StoreRequest::read_key(&key, STORE_TIMEOUT_MS);
            context.send_to_store(term, LeaderCall::Resync { key }, request);
        }
    }

    /// Processes the result of a read. `leader`: the leader that requested it; None: its
    /// leadership has ended.
    pub(super) fn received(&mut self, now: Millis, leader: Option<&mut Leader>, key: &str, result: &CallResult) {
        self.schedule.end();
        let Some(leader) = leader else { return };
        match status(result) {
            OK => {
                if let Some(pair) = body::<KeyValue>(result) {
                    leader.resynced(now, key, Some((pair.value, pair.revision)));
                }
            }
            NOT_FOUND => leader.resynced(now, key, None),
            _ => self.schedule.set_not_before(now + RETRY_MS),
        }
    }
}
