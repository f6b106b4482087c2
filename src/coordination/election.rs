//! Leader election: the leader is the controller named by one ephemeral key of
//! the key-value store.
//!
//! This controller leads while two conditions hold: the key's record identifies this
//! controller (its label, this start of its process *and* its current store lease), and
//! that lease certainly still exists.

use super::{
    ephemeral_key::{Action, EphemeralKey, RenewalOutcome, RetryDelays},
    model::{Millis, Term},
};
use crate::{
    protocol::ids::{Revision, StoreLeaseId},
    storage::records::LeaderRecord,
};

/// Time after stepping down in which a controller doesn't claim the leader's key, in ms.
const STEP_DOWN_PAUSE_MS: Millis = 20_000;
/// Shortest timeout of a renewal, in ms.
const MIN_RENEWAL_TIMEOUT_MS: Millis = 700;
/// The interval between renewals is the store lease's time to live divided by this, so
/// that three attempts fit before the lease expires.
const RENEWALS_PER_TTL: u64 = 4;
/// Delays after calls that failed or received no response.
const RETRY_DELAYS: RetryDelays = RetryDelays { after_renewal_ms: 250, after_write_ms: 300 };

/// The last observed state of the leader's key.
#[derive(Debug)]
struct ObservedKey {
    /// `None`: the key doesn't exist.
    record: Option<LeaderRecord>,
    /// Revision of the record's last write, or of its removal.
    revision: Revision,
}

/// The timeout of renewals, which adapts to the store's response times. If the
/// store is slow, a longer timeout lets a late response still be used; if it is
/// fast, a shorter timeout lets a renewal whose response was lost be repeated in time.
#[derive(Debug)]
struct AdaptiveTimeout {
    current_ms: Millis,
    max_ms: Millis,
}

impl AdaptiveTimeout {
    fn new(ttl_ms: Millis) -> AdaptiveTimeout {
        let max_ms = (ttl_ms * 4 / 5).max(MIN_RENEWAL_TIMEOUT_MS);
        AdaptiveTimeout { current_ms: MIN_RENEWAL_TIMEOUT_MS, max_ms }
    }

    fn record_response(&mut self, response_ms: Millis) {
        self.current_ms = (2 * response_ms).clamp(MIN_RENEWAL_TIMEOUT_MS, self.max_ms);
    }

    /// Records a call that had no usable response after `elapsed_ms`, because it
    /// timed out or failed.
    fn record_failure(&mut self, elapsed_ms: Millis) {
        if elapsed_ms >= self.current_ms {
            self.current_ms = (2 * self.current_ms).min(self.max_ms);
        }
    }
}

/// The state of this controller in the leader election.
#[derive(Debug)]
pub struct Election {
    label: String,
    /// Identifies this start of the process.
    nonce: u64,
    /// The last observed state of the leader's key, written by any controller;
    /// `None`: not read yet.
    observed: Option<ObservedKey>,
    /// This controller's store lease, and the calls that claim and keep the key.
    key: EphemeralKey,
    renewal_timeout: AdaptiveTimeout,
    /// This controller doesn't claim the key before this time, in ms.
    paused_until: Millis,
}

impl Election {
    /// Creates the state of a controller that has not read the key yet. `nonce`
    /// identifies this start of the process; `ttl_ms` is the time to live of the
    /// leader's store lease.
    pub fn new(label: &str, nonce: u64, ttl_ms: Millis) -> Election {
        Election {
            label: label.to_owned(),
            nonce,
            observed: None,
            key: EphemeralKey::new(ttl_ms, RETRY_DELAYS),
            renewal_timeout: AdaptiveTimeout::new(ttl_ms),
            paused_until: 0,
        }
    }

    /// Returns the timeout of the next renewal, in ms.
    pub fn renewal_timeout_ms(&self) -> Millis {
        self.renewal_timeout.current_ms
    }

    /// Returns the record to write to the leader's key under `store_lease`.
    ///
    /// The record identifies the store lease, because the store may apply a claim late,
    /// when this controller has abandoned the lease of that claim and renews another one.
    /// If such a claim were mistaken for one under the current lease, the key would be
    /// removed unnoticed when the old lease expires.
    pub fn record(&self, store_lease: StoreLeaseId) -> LeaderRecord {
        LeaderRecord { label: self.label.clone(), nonce: self.nonce.wrapping_add(store_lease.0) }
    }

    /// Returns the time to live of the leader's store lease, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.key.ttl_ms()
    }

    /// Returns the term of this controller's leadership, if it has the authority to
    /// act at this moment.
    pub fn leading_term(&self, now: Millis) -> Option<Term> {
        if self.key.is_store_lease_valid(now) {
            self.held_term()
        } else {
            None
        }
    }

    /// Returns the term of this controller's leadership, whether or not it has the
    /// authority to act at this moment: its store lease may have expired.
    pub fn held_term(&self) -> Option<Term> {
        self.own_key_revision().map(Term)
    }

    /// Returns the label of the controller that the key names.
    pub fn leader(&self) -> Option<&str> {
        let record = self.observed.as_ref()?.record.as_ref()?;
        Some(&record.label)
    }

    /// Records the state of the key. `record` is `None` if the key doesn't exist;
    /// `revision` is that of the record's last write or of the key's removal. A revision
    /// older than the last observed one is ignored.
    pub fn observe_key(&mut self, now: Millis, record: Option<LeaderRecord>, revision: Revision) {
        if self.observed.as_ref().is_some_and(|observed| observed.revision > revision) {
            return;
        }
        if record.is_none() {
            self.key.cancel_retry_delay(now);
        }
        self.observed = Some(ObservedKey { record, revision });
    }

    /// Returns the next call to make, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<Action> {
        if !self.key.is_idle() {
            return None;
        }
        if self.own_key_revision().is_some() {
            return self.key.renew_if_due(now, self.ttl_ms() / RENEWALS_PER_TTL);
        }
        if self.key.is_retry_delayed(now) || now < self.paused_until {
            return None;
        }
        let expected_revision = self.claimable_revision()?;
        Some(self.key.write(now, expected_revision))
    }

    /// Handles the response to the request for a store lease. `None`: it failed.
    pub fn handle_store_lease_response(&mut self, now: Millis, store_lease: Option<StoreLeaseId>) {
        self.key.handle_store_lease_response(now, store_lease);
    }

    /// Handles the outcome of the renewal of the store lease.
    pub fn handle_renewal_outcome(&mut self, now: Millis, outcome: RenewalOutcome) {
        let Some(sent_at) = self.key.handle_renewal_outcome(now, outcome) else { return };
        let elapsed_ms = now.saturating_sub(sent_at);
        match outcome {
            RenewalOutcome::Renewed => self.renewal_timeout.record_response(elapsed_ms),
            // The key is removed with the store lease; the watch will confirm it.
            RenewalOutcome::Expired => self.clear_observed_record(),
            RenewalOutcome::Unknown => self.renewal_timeout.record_failure(elapsed_ms),
        }
    }

    /// Handles the result of claiming the key. `revision` is the key's revision after a
    /// successful claim. `None`: the claim failed, or its outcome is unknown; the watch
    /// then shows whether this controller holds the key.
    pub fn handle_claim_result(&mut self, now: Millis, revision: Option<Revision>) {
        if let Some(revision) = self.key.handle_write_result(now, revision) {
            let record = self.key.store_lease().map(|store_lease| self.record(store_lease));
            self.observe_key(now, record, revision);
        }
    }

    /// Clears the store lease, after the store rejected a write because the lease has
    /// expired.
    pub fn handle_store_lease_expiry(&mut self) {
        self.key.clear_store_lease();
    }

    /// Resigns from leadership, and doesn't claim the key again for a while. This is
    /// needed, for example, if workers reach other controllers, but not this one. Returns
    /// the store lease, which the caller has to revoke.
    pub fn step_down(&mut self, now: Millis) -> Option<StoreLeaseId> {
        self.paused_until = now + STEP_DOWN_PAUSE_MS;
        self.clear_observed_record();
        self.key.release()
    }

    /// Returns the key's revision, if the key's record identifies this start of the process
    /// and its current store lease.
    fn own_key_revision(&self) -> Option<Revision> {
        let own = self.record(self.key.store_lease()?);
        let observed = self.observed.as_ref()?;
        (observed.record.as_ref() == Some(&own)).then_some(observed.revision)
    }

    /// Returns the key's revision, if this controller may claim the key.
    fn claimable_revision(&self) -> Option<Revision> {
        let observed = self.observed.as_ref()?;
        match &observed.record {
            None => Some(Revision::ABSENT),
            // The key of an earlier start of this controller may be replaced at once.
            Some(record) if record.label == self.label => Some(observed.revision),
            Some(_) => None,
        }
    }

    fn clear_observed_record(&mut self) {
        if let Some(observed) = &mut self.observed {
            observed.record = None;
        }
    }
}

#[cfg(test)]
#[path = "tests/election.rs"]
mod tests;
