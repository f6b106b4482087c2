//! Renewal of worker leases by controllers that don't lead.
//!
//! If a zone is partitioned, or the key-value store has an outage, workers have no
//! leader, and when their leases expire they kill all their tasks. A controller that
//! could reach the store until recently may renew the leases meanwhile: it responds
//! to workers' heartbeats with the token that they hold and with no commands, except
//! to stop cancelled tasks. This starts no task, and no running task is lost. Two
//! rules must hold:
//!
//! - A cancelled task is stopped in time. A controller, including the leader, responds
//!   200 to a worker only for [`renewal_window_ms`] after it *sent* its last read of
//!   the jobs' records, and the response stops the tasks that this read showed as
//!   cancelled. A task that is cancelled after that read is stopped no later than
//!   [`renewal_window_ms`] plus the duration of a worker lease after the read.
//! - Before a leader considers a worker lease expired, it must take into account every
//!   200 response that may have renewed the lease. [`RenewalAuthority`] allows renewals
//!   without a leader only while this controller's key exists in the key-value store,
//!   under a store lease. In [`PeerInactivity`], a controller is recorded as having
//!   renewed no lease during a span of time only if the controller itself confirmed this
//!   or its key didn't exist during that time.

mod partition;
mod peer_inactivity;

pub use self::{
    partition::{is_shared_partition, PeerContact},
    peer_inactivity::{PeerInactivity, TimeSpan},
};
use super::{
    ephemeral_key::{Action, EphemeralKey, RenewalOutcome, RetryDelays, CLOCK_DRIFT},
    model::Millis,
};
use crate::protocol::ids::{Revision, StoreLeaseId};

/// How long, in ms, a controller must have had no contact with the key-value store before
/// it renews any worker lease without a leader.
const STORE_UNREACHABLE_MS: Millis = 2_500;
/// Subtracted from the time for renewals in addition to both clocks' drift, in ms, for
/// responses and heartbeats in flight.
const MESSAGE_DELAY_MS: f64 = 2_000.0;
/// How much longer a store lease lasts than the time in which worker leases may be
/// renewed, in ms.
const STORE_LEASE_MARGIN_MS: Millis = 6_000;
/// Interval of the store lease's renewals, in ms.
const STORE_LEASE_RENEWAL_INTERVAL_MS: Millis = 3_000;
/// Delays after calls that failed or received no response.
const RETRY_DELAYS: RetryDelays = RetryDelays { after_renewal_ms: 1_000, after_write_ms: 1_000 };

/// Returns how long, in ms, a controller may respond 200 to a worker after it sent its
/// last read of the jobs' records. A worker lease renewed within this time expires
/// before the deadline of any cancellation that the read could not show.
pub fn renewal_window_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = (cancel_s * (1.0 - CLOCK_DRIFT) - lease_s * (1.0 + CLOCK_DRIFT)) * 1000.0 - MESSAGE_DELAY_MS;
    longest.max(0.0) as Millis
}

/// Returns how long, in ms, a controller that doesn't lead may renew worker leases
/// after its last contact with the key-value store; 0: never, because the time would be
/// shorter than twice `STORE_UNREACHABLE_MS`.
pub fn leaderless_window_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = renewal_window_ms(cancel_s, lease_s);
    if longest >= 2 * STORE_UNREACHABLE_MS {
        longest
    } else {
        0
    }
}

/// The last observed state of this controller's renewal key.
#[derive(Debug, Clone, Copy)]
struct ObservedKey {
    /// Revision of the key's last write.
    key_revision: Revision,
    /// Revision of the store at which the key was observed.
    store_revision: Revision,
}

/// This controller's authority to renew worker leases.
#[derive(Debug)]
pub struct RenewalAuthority {
    /// How long worker leases may be renewed after a read of the jobs' records, in ms.
    renewal_window_ms: Millis,
    /// How long worker leases may be renewed after a read of the jobs' records while this
    /// controller doesn't lead, in ms; 0: never.
    leaderless_window_ms: Millis,
    /// This controller's store lease, and the calls that write and keep the key.
    key: EphemeralKey,
    observed: Option<ObservedKey>,
    /// Whether the key exists and was written by this start of the process.
    is_key_held: bool,
    /// When the last completed read of the jobs' records was sent.
    last_job_read: Option<Millis>,
    /// When a worker lease was last renewed without leading; 0: never.
    last_leaderless_renewal: Millis,
}

impl RenewalAuthority {
    /// Creates the authority of a controller that holds no key. `renewal_window_ms`
    /// applies to all responses, including the leader's; `leaderless_window_ms` applies
    /// while not leading.
    pub fn new(renewal_window_ms: Millis, leaderless_window_ms: Millis) -> RenewalAuthority {
        // The store lease lasts longer than the authority to renew worker leases, by
        // more than one interval of its own renewals.
        let store_lease_ttl_ms = leaderless_window_ms + STORE_LEASE_MARGIN_MS;
        RenewalAuthority {
            renewal_window_ms,
            leaderless_window_ms,
            key: EphemeralKey::new(store_lease_ttl_ms, RETRY_DELAYS),
            observed: None,
            is_key_held: false,
            last_job_read: None,
            last_leaderless_renewal: 0,
        }
    }

    /// Returns the value that identifies a key written under the current store lease by the
    /// start of the process that `nonce` identifies; `None` without a store lease.
    ///
    /// As with the leader's key, a key that was written late under an earlier store
    /// lease is removed with that lease, so it is not valid.
    pub fn key_nonce(&self, nonce: u64) -> Option<u64> {
        self.key.store_lease().map(|store_lease| nonce.wrapping_add(store_lease.0))
    }

    /// Returns how long this controller may respond 200 to a worker after it sent its
    /// last read of the jobs' records, in ms.
    pub fn renewal_window_ms(&self) -> Millis {
        self.renewal_window_ms
    }

    /// Returns the time to live of the store lease, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.key.ttl_ms()
    }

    /// Returns the next call to make, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<Action> {
        if self.leaderless_window_ms == 0 || !self.key.is_idle() || self.key.is_retry_delayed(now) {
            return None;
        }
        let expected_revision = self.observed?.key_revision;
        if self.is_key_held && self.key.store_lease().is_some() {
            return self.key.renew_if_due(now, STORE_LEASE_RENEWAL_INTERVAL_MS);
        }
        Some(self.key.write(now, expected_revision))
    }

    /// Handles the response to the request for a store lease. `None`: it failed.
    pub fn handle_store_lease_response(&mut self, now: Millis, store_lease: Option<StoreLeaseId>) {
        self.key.handle_store_lease_response(now, store_lease);
    }

    /// Handles the outcome of the renewal of the store lease.
    pub fn handle_renewal_outcome(&mut self, now: Millis, outcome: RenewalOutcome) {
        let sent_at = self.key.handle_renewal_outcome(now, outcome);
        if sent_at.is_some() && outcome == RenewalOutcome::Expired {
            self.is_key_held = false;
        }
    }

    /// Handles the result of writing the key: the revision that it has now. `None`: the
    /// write failed, or its outcome is unknown; the watch shows which.
    pub fn handle_write_result(&mut self, now: Millis, revision: Option<Revision>) {
        if let Some(revision) = self.key.handle_write_result(now, revision) {
            self.observe_key(revision, revision, true);
        }
    }

    /// Clears the store lease, after the store reported that the lease has expired. The key
    /// was removed with the lease.
    pub fn handle_store_lease_expiry(&mut self) {
        self.key.clear_store_lease();
        self.is_key_held = false;
    }

    /// Records the state of the key at `store_revision`. `key_revision` is the revision of
    /// its last write, or [`Revision::ABSENT`] if it doesn't exist; `is_own` is whether this
    /// start of the process wrote it under its current store lease. A state older than the
    /// last observed one is ignored.
    pub fn observe_key(&mut self, key_revision: Revision, store_revision: Revision, is_own: bool) {
        if self.observed.is_some_and(|observed| observed.store_revision > store_revision) {
            return;
        }
        self.observed = Some(ObservedKey { key_revision, store_revision });
        self.is_key_held = is_own && !key_revision.is_absent();
    }

    /// Records that a read of the jobs' records that was sent at `sent_at` has completed.
    pub fn record_job_read(&mut self, sent_at: Millis) {
        self.last_job_read = self.last_job_read.max(Some(sent_at));
    }

    /// Returns when this controller was last in contact with the store: when its last
    /// completed read of the jobs' records was sent; 0: never.
    pub fn last_store_contact(&self) -> Millis {
        self.last_job_read.unwrap_or(0)
    }

    /// Records that a worker lease is being renewed without leading.
    pub fn record_leaderless_renewal(&mut self, now: Millis) {
        self.last_leaderless_renewal = now;
    }

    /// Returns when a worker lease was last renewed without leading; 0: never.
    pub fn last_leaderless_renewal(&self) -> Millis {
        self.last_leaderless_renewal
    }

    /// Reports whether a worker lease may be renewed now, by the leader or by another
    /// controller. Without this limit a 200 response could keep a task running past the
    /// deadline of a cancellation that this controller doesn't know of.
    pub fn may_renew(&self, now: Millis) -> bool {
        self.last_job_read.is_some_and(|read| now < read + self.renewal_window_ms)
    }

    /// Reports whether a worker lease may be renewed without leading: only while the
    /// store is unreachable, only for a limited time, and only while the key exists.
    pub fn may_renew_without_leader(&self, now: Millis) -> bool {
        let is_store_unreachable = self
            .last_job_read
            .is_some_and(|read| now >= read + STORE_UNREACHABLE_MS && now < read + self.leaderless_window_ms);
        let key_exists = self.is_key_held && self.key.is_store_lease_valid(now);
        is_store_unreachable && self.may_renew(now) && key_exists
    }
}

#[cfg(test)]
#[path = "tests/lease_renewal.rs"]
mod tests;
