//! After a transaction whose result is unknown, the leader reads a record again
//! that the transaction wrote: it shows whether the transaction was applied.

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

/// Pause, in ms, after a request that failed.
const RETRY_MS: Millis = 200;

/// When a record is read again.
#[derive(Debug, Default)]
pub(super) struct RecordResync {
    schedule: PollSchedule,
}

impl RecordResync {
    /// Starts anew, for a new leadership: no read of it is pending.
    pub(super) fn restart(&mut self) {
        self.schedule.end();
    }

    /// Reads a record again, if no such read is pending.
    pub(super) fn refresh(&mut self, context: &mut LeaderContext, now: Millis, term: Term, key: String) {
        if self.schedule.is_due(now) && context.client.budgets().take_read(now, Urgency::Cancel) {
            self.schedule.begin();
            let request = StoreRequest::read_key(&key, STORE_TIMEOUT_MS);
            context.send_to_store(term, LeaderCall::Resync { key }, request);
        }
    }

    /// The read ended. `leader`: the one that asked for it, if it still leads.
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
