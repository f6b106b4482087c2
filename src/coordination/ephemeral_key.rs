//! An ephemeral key: a key of the key-value store that is attached to a store lease,
//! and is removed by the store when the grant expires.
//!
//! `EphemeralKey` decides which call to the store comes next: it asks for the
//! grant, writes the key under it, and renews it. At most one call is in
//! flight. The election of a leader and the renewal of leases without a
//! leader each hold one such key, and add when to write it and what it permits.
//!
//! The expiry of the grant is counted on the steady clock from when the request
//! was *sent*, less the clocks' drift: the store counts from a later moment, so
//! it can't have expired the grant before.

use super::model::Millis;
use crate::protocol::ids::{Revision, StoreLeaseId};

/// Two steady clocks may diverge by twice this share of the elapsed time; every
/// time that is compared across processes is shortened by at least this share.
pub(super) const CLOCK_DRIFT: f64 = 0.002;
/// Subtracted from a grant's time to live besides the drift, for rounding and
/// scheduling delays, in ms.
const EXPIRY_MARGIN_MS: Millis = 40;
/// A key is written under a grant only while more than the time to live divided
/// by this remains of it.
const MIN_REMAINING_DIVISOR: u64 = 2;

/// A call to the key-value store that is to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// `POST /grants`: ask for a new grant.
    RequestStoreLease,
    /// `POST /grants/{id}/renew`.
    RenewStoreLease(StoreLeaseId),
    /// Write the key under the grant, if its revision is as expected.
    WriteKey {
        /// The grant that the key is attached to.
        store_lease: StoreLeaseId,
        /// Revision that the key must have; [`Revision::ABSENT`]: it must not exist.
        expected_revision: Revision,
    },
}

/// How the renewal of a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The store renewed the grant.
    Renewed,
    /// The store knows no such grant: it has expired.
    Expired,
    /// There was no usable answer: the grant may have been renewed or not.
    Unknown,
}

/// How long to wait after a call that failed or went unanswered, in ms.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryDelays {
    /// After a renewal.
    pub after_renewal_ms: Millis,
    /// After a request for a grant, or a write of the key.
    pub after_write_ms: Millis,
}

/// The call that is in flight, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    None,
    StoreLeaseRequest { sent: Millis },
    Renewal { sent: Millis },
    KeyWrite,
}

/// The grant of one ephemeral key, and the calls that keep both in existence.
#[derive(Debug)]
pub(super) struct EphemeralKey {
    /// Time to live of the grant.
    ttl_ms: Millis,
    retry_delays: RetryDelays,
    store_lease: Option<StoreLeaseId>,
    /// The grant exists at least until then.
    store_lease_valid_until: Millis,
    /// When the last renewal was sent; 0 if it has to be repeated.
    last_renewal: Millis,
    pending: PendingCall,
    /// No call is made before this time.
    retry_at: Millis,
}

impl EphemeralKey {
    /// A key without a grant.
    pub fn new(ttl_ms: Millis, retry_delays: RetryDelays) -> EphemeralKey {
        EphemeralKey {
            ttl_ms,
            retry_delays,
            store_lease: None,
            store_lease_valid_until: 0,
            last_renewal: 0,
            pending: PendingCall::None,
            retry_at: 0,
        }
    }

    /// Time to live of the grant, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.ttl_ms
    }

    /// The grant that is held, even if it may have expired by now.
    pub fn store_lease(&self) -> Option<StoreLeaseId> {
        self.store_lease
    }

    /// Whether the grant certainly exists at this moment.
    pub fn is_store_lease_valid(&self, now: Millis) -> bool {
        now < self.store_lease_valid_until
    }

    /// Whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending == PendingCall::None
    }

    /// Whether a call must wait, since an earlier one failed a moment ago.
    pub fn is_retry_delayed(&self, now: Millis) -> bool {
        now < self.retry_at
    }

    /// Ends the delay after a failed call: the key may be free now.
    pub fn cancel_retry_delay(&mut self, now: Millis) {
        self.retry_at = self.retry_at.min(now);
    }

    /// Renews the grant, if `interval_ms` have passed since the last renewal.
    pub fn renew_if_due(&mut self, now: Millis, interval_ms: Millis) -> Option<Action> {
        let store_lease = self.store_lease?;
        if now < self.last_renewal + interval_ms || self.is_retry_delayed(now) {
            return None;
        }
        self.last_renewal = now;
        self.pending = PendingCall::Renewal { sent: now };
        Some(Action::RenewStoreLease(store_lease))
    }

    /// Writes the key; first asks for a new grant, unless the one that is held
    /// lasts long enough.
    pub fn write(&mut self, now: Millis, expected_revision: Revision) -> Action {
        match self.store_lease {
            Some(store_lease) if now + self.ttl_ms / MIN_REMAINING_DIVISOR < self.store_lease_valid_until => {
                self.pending = PendingCall::KeyWrite;
                Action::WriteKey { store_lease, expected_revision }
            }
            _ => {
                self.store_lease = None;
                self.pending = PendingCall::StoreLeaseRequest { sent: now };
                Action::RequestStoreLease
            }
        }
    }

    /// The request for a grant ended. `None`: it failed.
    pub fn handle_store_lease_response(&mut self, now: Millis, store_lease: Option<StoreLeaseId>) {
        let PendingCall::StoreLeaseRequest { sent } = self.pending else { return };
        self.pending = PendingCall::None;
        match store_lease {
            Some(store_lease) => {
                self.store_lease = Some(store_lease);
                self.store_lease_valid_until = self.earliest_expiry(sent);
                self.last_renewal = sent;
            }
            None => self.retry_at = now + self.retry_delays.after_write_ms,
        }
    }

    /// The renewal of the grant ended. Returns when it was sent; `None` if no
    /// renewal was in flight.
    pub fn handle_renewal_outcome(&mut self, now: Millis, outcome: RenewalOutcome) -> Option<Millis> {
        let PendingCall::Renewal { sent } = self.pending else { return None };
        self.pending = PendingCall::None;
        match outcome {
            RenewalOutcome::Renewed => {
                self.store_lease_valid_until = self.store_lease_valid_until.max(self.earliest_expiry(sent));
            }
            RenewalOutcome::Expired => self.clear_store_lease(),
            RenewalOutcome::Unknown => {
                self.last_renewal = 0;
                self.retry_at = now + self.retry_delays.after_renewal_ms;
            }
        }
        Some(sent)
    }

    /// The write of the key ended, with the revision that it has now. `None`: it
    /// failed, or its outcome is unknown. Returns the revision, if the write was
    /// in flight and succeeded.
    pub fn handle_write_result(&mut self, now: Millis, revision: Option<Revision>) -> Option<Revision> {
        if self.pending != PendingCall::KeyWrite {
            return None;
        }
        self.pending = PendingCall::None;
        if revision.is_none() {
            self.retry_at = now + self.retry_delays.after_write_ms;
        }
        revision
    }

    /// The store says that the grant has expired.
    pub fn clear_store_lease(&mut self) {
        self.store_lease = None;
        self.store_lease_valid_until = 0;
    }

    /// Gives up the grant, and ignores the call in flight. Returns the grant,
    /// which the caller has to revoke.
    pub fn release(&mut self) -> Option<StoreLeaseId> {
        let store_lease = self.store_lease;
        self.clear_store_lease();
        self.pending = PendingCall::None;
        store_lease
    }

    /// The earliest time at which a grant may expire that was requested or
    /// renewed by a call sent at `sent`.
    fn earliest_expiry(&self, sent: Millis) -> Millis {
        let shortest_ms = self.ttl_ms as f64 * (1.0 - CLOCK_DRIFT);
        (sent + shortest_ms as Millis).saturating_sub(EXPIRY_MARGIN_MS)
    }
}

#[cfg(test)]
#[path = "tests/ephemeral_key.rs"]
mod tests;
