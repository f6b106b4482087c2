//! Renewal of workers' leases by controllers that don't lead.
//!
//! A zone that is partitioned off, or an outage of the key-value store, leaves
//! workers with no leader, and when their leases expire they kill all they run.
//! A controller that was in contact a moment ago may renew the leases meanwhile:
//! it answers workers' heartbeats with the token they hold and with no commands.
//! Nothing new starts by that, and nothing that runs is lost. Two rules must
//! hold:
//!
//! - What is cancelled is gone in time. Whoever answers a worker 200, the leader
//!   included, does so only for [`renewal_window_ms`] after it *sent* its last read of
//!   the jobs' records, and the answer stops what that read showed as cancelled.
//!   A task that is cancelled after that read is gone [`renewal_window_ms`] and a lease
//!   after it at the latest.
//! - A leader that takes a lease for expired must know of every such answer.
//!   [`RenewalAuthority`] renews only while its key exists in the key-value store,
//!   under a grant; [`PeerInactivity`] believes that a controller renewed nothing
//!   only for the time that the controller itself vouched for, or during which
//!   its key didn't exist.

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

/// How long a controller is out of contact, in ms, before it renews any lease
/// without a leader.
const STORE_UNREACHABLE_MS: Millis = 2_500;
/// Subtracted from the time for renewals besides both clocks' drift, in ms: for
/// answers and heartbeats on their way.
const MESSAGE_DELAY_MS: f64 = 2_000.0;
/// A grant outlives the time in which leases may be renewed by this much, in ms.
const STORE_LEASE_MARGIN_MS: Millis = 6_000;
/// Interval of the grant's renewals, in ms.
const STORE_LEASE_RENEWAL_INTERVAL_MS: Millis = 3_000;
/// Delays after calls that failed or went unanswered.
const RETRY_DELAYS: RetryDelays = RetryDelays { after_renewal_ms: 1_000, after_write_ms: 1_000 };

/// How long, in ms, after the sending of its last read of the jobs' records a
/// controller may answer a worker 200: a lease renewed then expires before a
/// cancellation that the read could not show has to be carried out.
pub fn renewal_window_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = (cancel_s * (1.0 - CLOCK_DRIFT) - lease_s * (1.0 + CLOCK_DRIFT)) * 1000.0 - MESSAGE_DELAY_MS;
    longest.max(0.0) as Millis
}

/// How long, in ms, after its last contact a controller that doesn't lead may
/// renew leases; 0: never.
pub fn leaderless_window_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = renewal_window_ms(cancel_s, lease_s);
    if longest >= 2 * STORE_UNREACHABLE_MS {
        longest
    } else {
        0
    }
}

/// This controller's renewal key as last seen.
#[derive(Debug, Clone, Copy)]
struct ObservedKey {
    /// Revision of the key's last write.
    key_revision: Revision,
    /// Revision of the store at which it was seen.
    store_revision: Revision,
}

/// This controller's own right to renew leases.
#[derive(Debug)]
pub struct RenewalAuthority {
    /// How long it may renew leases after a read of the jobs' records, in ms.
    renewal_window_ms: Millis,
    /// The same without leading; 0: never.
    leaderless_window_ms: Millis,
    /// This controller's grant, and the calls that write and keep the key.
    key: EphemeralKey,
    observed: Option<ObservedKey>,
    /// Whether the key exists, written by this start of the process.
    is_key_held: bool,
    /// When the last read of the jobs' records that came back was sent.
    last_job_read: Option<Millis>,
    /// When a lease was last renewed without leading; 0: never.
    last_leaderless_renewal: Millis,
}

impl RenewalAuthority {
    /// `renewal_window_ms`: for any answer, the leader's too; `leaderless_window_ms`: while not leading.
    pub fn new(renewal_window_ms: Millis, leaderless_window_ms: Millis) -> RenewalAuthority {
        // A grant outlives the right to renew leases by one renewal of it and more.
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

    /// The nonce in its key when that was written under the grant it has now, by
    /// the start of the process with `nonce`; `None` without a grant.
    ///
    /// Guard: as with the leader's key, one that was written late under an earlier
    /// grant is removed with that grant, so it doesn't count.
    pub fn key_nonce(&self, nonce: u64) -> Option<u64> {
        self.key.store_lease().map(|store_lease| nonce.wrapping_add(store_lease.0))
    }

    /// How long after the sending of its last read it may answer a worker 200, in ms.
    pub fn renewal_window_ms(&self) -> Millis {
        self.renewal_window_ms
    }

    /// Time to live of the grant, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.key.ttl_ms()
    }

    /// The next call to make, if one is due.
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

    /// The request for a grant ended. `None`: it failed.
    pub fn handle_store_lease_response(&mut self, now: Millis, store_lease: Option<StoreLeaseId>) {
        self.key.handle_store_lease_response(now, store_lease);
    }

    /// The renewal of the grant ended.
    pub fn handle_renewal_outcome(&mut self, now: Millis, outcome: RenewalOutcome) {
        let finished = self.key.handle_renewal_outcome(now, outcome);
        if finished.is_some() && outcome == RenewalOutcome::Expired {
            self.is_key_held = false;
        }
    }

    /// The write of the key ended: it has this revision. `None`: failed or
    /// unknown; the watch tells which.
    pub fn handle_write_result(&mut self, now: Millis, revision: Option<Revision>) {
        if let Some(revision) = self.key.handle_write_result(now, revision) {
            self.observe_key(revision, revision, true);
        }
    }

    /// The store says that the grant has expired, and the key with it.
    pub fn handle_store_lease_expiry(&mut self) {
        self.key.clear_store_lease();
        self.is_key_held = false;
    }

    /// The key was seen at a revision of the store: the revision of its last write
    /// ([`Revision::ABSENT`]: it doesn't exist), and whether this start of the
    /// process wrote it.
    pub fn observe_key(&mut self, key_revision: Revision, store_revision: Revision, is_own: bool) {
        if self.observed.is_some_and(|observed| observed.store_revision > store_revision) {
            return;
        }
        self.observed = Some(ObservedKey { key_revision, store_revision });
        self.is_key_held = is_own && !key_revision.is_absent();
    }

    /// A read of the jobs' records that was sent at `sent` has come back.
    pub fn record_job_read(&mut self, sent: Millis) {
        self.last_job_read = self.last_job_read.max(Some(sent));
    }

    /// When this controller was last in contact with the store; 0: never.
    pub fn last_store_contact(&self) -> Millis {
        self.last_job_read.unwrap_or(0)
    }

    /// A lease is being renewed without leading.
    pub fn record_leaderless_renewal(&mut self, now: Millis) {
        self.last_leaderless_renewal = now;
    }

    /// When a lease was last renewed without leading; 0: never.
    pub fn last_leaderless_renewal(&self) -> Millis {
        self.last_leaderless_renewal
    }

    /// Guard: a 200 sent now can't let a task outlive a cancellation that this
    /// controller doesn't know of, whether it leads or not.
    pub fn may_renew(&self, now: Millis) -> bool {
        self.last_job_read.is_some_and(|read| now < read + self.renewal_window_ms)
    }

    /// Whether a lease may be renewed without leading: only out of contact, only
    /// for a time, and only while the key exists.
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
