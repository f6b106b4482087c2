//! An ephemeral key: a key of the key-value store that is attached to a store lease,
//! and is removed by the store when the lease expires.
//!
//! `EphemeralKey` decides which call to the store comes next: a request for a store
//! lease, a write of the key under this lease, or a renewal of the lease. At most one
//! call is in flight. The leader election and the renewal of worker leases without a leader
//! each hold one such key. They decide when to write it and what it permits.
//!
//! The expiry of the store lease is counted on the monotonic clock from when the
//! request was *sent*, less the clocks' drift: the store counts from a later
//! moment, so it doesn't expire the lease before the time computed here.

use super::model::Millis;
use crate::protocol::ids::{Revision, StoreLeaseId};

/// Two monotonic clocks may diverge by twice this share of the elapsed time; every
/// time that is compared across processes is shortened by at least this share.
pub(super) const CLOCK_DRIFT: f64 = 0.002;
/// Subtracted from a store lease's time to live in addition to the drift, for
/// rounding and scheduling delays, in ms.
const EXPIRY_MARGIN_MS: Millis = 40;
/// A key is written under a store lease only while the remaining time of the lease
/// exceeds its time to live divided by this.
const MIN_REMAINING_DIVISOR: u64 = 2;

/// A call to make to the key-value store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// `POST /grants`: request a new store lease.
    RequestStoreLease,
    /// `POST /grants/{id}/renew`: renew the store lease.
    RenewStoreLease(StoreLeaseId),
    /// Write the key under the store lease, if its revision is as expected.
    WriteKey {
        /// The store lease that the key is attached to.
        store_lease: StoreLeaseId,
        /// Revision that the key must have; [`Revision::ABSENT`]: it must not exist.
        expected_revision: Revision,
    },
}

/// The outcome of renewing a store lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The store renewed the lease.
    Renewed,
    /// The store knows no such lease: it has expired.
    Expired,
    /// There was no usable response: the lease may have been renewed or not.
    Unknown,
}

/// Delays after calls that failed or received no response.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryDelays {
    /// Delay after a renewal, in ms.
    pub after_renewal_ms: Millis,
    /// Delay after a request for a store lease or a write of the key, in ms.
    pub after_write_ms: Millis,
}

/// The call that is in flight, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    None,
    StoreLeaseRequest { sent_at: Millis },
    Renewal { sent_at: Millis },
    KeyWrite,
}

/// The store lease of one ephemeral key, and the calls that keep both in existence.
#[derive(Debug)]
pub(super) struct EphemeralKey {
    /// Time to live of the store lease, in ms.
    ttl_ms: Millis,
    retry_delays: RetryDelays,
    store_lease: Option<StoreLeaseId>,
    /// The store lease exists at least until this time.
    store_lease_valid_until: Millis,
    /// When the last renewal or, if there was none, the request for the store lease was
    /// sent; 0: the renewal has to be repeated.
    last_renewal: Millis,
    pending: PendingCall,
    /// No call is made before this time.
    retry_at: Millis,
}

impl EphemeralKey {
    /// Creates a key without a store lease. `ttl_ms` is the time to live of the
    /// leases to request.
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

    /// Returns the time to live of the store lease, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.ttl_ms
    }

    /// Returns the store lease that is held, even if it may have expired by now.
    pub fn store_lease(&self) -> Option<StoreLeaseId> {
        self.store_lease
    }

    /// Reports whether the store lease certainly exists at this moment.
    pub fn is_store_lease_valid(&self, now: Millis) -> bool {
        now < self.store_lease_valid_until
    }

    /// Reports whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending == PendingCall::None
    }

    /// Reports whether the next call must wait, because an earlier one failed recently.
    pub fn is_retry_delayed(&self, now: Millis) -> bool {
        now < self.retry_at
    }

    /// Ends the delay after a failed call, because the key may be claimable now.
    pub fn cancel_retry_delay(&mut self, now: Millis) {
        self.retry_at = self.retry_at.min(now);
    }

    /// Returns the call that renews the store lease, if a lease is held, `interval_ms`
    /// have passed since the last renewal, and no retry delay is running.
    pub fn renew_if_due(&mut self, now: Millis, interval_ms: Millis) -> Option<Action> {
        let store_lease = self.store_lease?;
        if now < self.last_renewal + interval_ms || self.is_retry_delayed(now) {
            return None;
        }
        self.last_renewal = now;
        self.pending = PendingCall::Renewal { sent_at: now };
        Some(Action::RenewStoreLease(store_lease))
    }

    /// Returns the call that writes the key, if the store lease that is held lasts long
    /// enough; otherwise the call that requests a new store lease.
    pub fn write(&mut self, now: Millis, expected_revision: Revision) -> Action {
        match self.store_lease {
            Some(store_lease) if now + self.ttl_ms / MIN_REMAINING_DIVISOR < self.store_lease_valid_until => {
                self.pending = PendingCall::KeyWrite;
                Action::WriteKey { store_lease, expected_revision }
            }
            _ => {
                self.store_lease = None;
                self.pending = PendingCall::StoreLeaseRequest { sent_at: now };
                Action::RequestStoreLease
            }
        }
    }

    /// Handles the response to the request for a store lease. `None`: it failed.
    pub fn handle_store_lease_response(&mut self, now: Millis, store_lease: Option<StoreLeaseId>) {
        let PendingCall::StoreLeaseRequest { sent_at } = self.pending else { return };
        self.pending = PendingCall::None;
        match store_lease {
            Some(store_lease) => {
                self.store_lease = Some(store_lease);
                self.store_lease_valid_until = self.earliest_expiry(sent_at);
                self.last_renewal = sent_at;
            }
            None => self.retry_at = now + self.retry_delays.after_write_ms,
        }
    }

    /// Handles the outcome of the renewal of the store lease. Returns when the renewal
    /// was sent; `None` if no renewal was in flight.
    pub fn handle_renewal_outcome(&mut self, now: Millis, outcome: RenewalOutcome) -> Option<Millis> {
        let PendingCall::Renewal { sent_at } = self.pending else { return None };
        self.pending = PendingCall::None;
        match outcome {
            RenewalOutcome::Renewed => {
                self.store_lease_valid_until = self.store_lease_valid_until.max(self.earliest_expiry(sent_at));
            }
            RenewalOutcome::Expired => self.clear_store_lease(),
            RenewalOutcome::Unknown => {
                self.last_renewal = 0;
                self.retry_at = now + self.retry_delays.after_renewal_ms;
            }
        }
        Some(sent_at)
    }

    /// Handles the result of writing the key: the revision that it has now. `None`:
    /// the write failed, or its outcome is unknown. Returns the revision, if a write
    /// was in flight and succeeded.
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

    /// Clears the store lease, e.g. when the store reported that it has expired.
    pub fn clear_store_lease(&mut self) {
        self.store_lease = None;
        self.store_lease_valid_until = 0;
    }

    /// Abandons the store lease and the call in flight, whose outcome is then ignored.
    /// Returns the lease, which the caller has to revoke.
    pub fn release(&mut self) -> Option<StoreLeaseId> {
        let store_lease = self.store_lease;
        self.clear_store_lease();
        self.pending = PendingCall::None;
        store_lease
    }

    /// Returns the earliest time at which a store lease may expire if the call that
    /// requested or renewed it was sent at `sent_at`.
    fn earliest_expiry(&self, sent_at: Millis) -> Millis {
        let shortest_ms = self.ttl_ms as f64 * (1.0 - CLOCK_DRIFT);
        (sent_at + shortest_ms as Millis).saturating_sub(EXPIRY_MARGIN_MS)
    }
}

#[cfg(test)]
#[path = "tests/ephemeral_key.rs"]
mod tests;
