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
use crate::protocol::ids::{GrantId, Revision};

/// How long a controller is out of contact, in ms, before it renews any lease
/// without a leader.
const OUT_OF_CONTACT_MS: Millis = 2_500;
/// Subtracted from the time for renewals besides both clocks' drift, in ms: for
/// answers and heartbeats on their way.
const MESSAGE_DELAY_MS: f64 = 2_000.0;
/// A grant outlives the time in which leases may be renewed by this much, in ms.
const GRANT_MARGIN_MS: Millis = 6_000;
/// Interval of the grant's renewals, in ms.
const GRANT_RENEWAL_INTERVAL_MS: Millis = 3_000;
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
    if longest >= 2 * OUT_OF_CONTACT_MS {
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
    registration: EphemeralKey,
    observed: Option<ObservedKey>,
    /// Whether the key exists, written by this start of the process.
    registered: bool,
    /// When the last read of the jobs' records that came back was sent.
    last_sync: Option<Millis>,
    /// When a lease was last renewed without leading; 0: never.
    last_leaderless_renewal: Millis,
}

impl RenewalAuthority {
    /// `renewal_window_ms`: for any answer, the leader's too; `leaderless_window_ms`: while not leading.
    pub fn new(renewal_window_ms: Millis, leaderless_window_ms: Millis) -> RenewalAuthority {
        // A grant outlives the right to renew leases by one renewal of it and more.
        let grant_ttl_ms = leaderless_window_ms + GRANT_MARGIN_MS;
        RenewalAuthority {
            renewal_window_ms,
            leaderless_window_ms,
            registration: EphemeralKey::new(grant_ttl_ms, RETRY_DELAYS),
            observed: None,
            registered: false,
            last_sync: None,
            last_leaderless_renewal: 0,
        }
    }

    /// The nonce in its key when that was written under the grant it has now, by
    /// the start of the process with `nonce`; `None` without a grant.
    ///
    /// Guard: as with the leader's key, one that was written late under an earlier
    /// grant is removed with that grant, so it doesn't count.
    pub fn key_nonce(&self, nonce: u64) -> Option<u64> {
        self.registration.grant().map(|grant| nonce.wrapping_add(grant.0))
    }

    /// How long after the sending of its last read it may answer a worker 200, in ms.
    pub fn renewal_window_ms(&self) -> Millis {
        self.renewal_window_ms
    }

    /// Time to live of the grant, in ms.
    pub fn ttl_ms(&self) -> Millis {
        self.registration.ttl_ms()
    }

    /// The next call to make, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<Action> {
        if self.leaderless_window_ms == 0 || !self.registration.is_idle() || self.registration.is_retry_delayed(now) {
            return None;
        }
        let expected_revision = self.observed?.key_revision;
        if self.registered && self.registration.grant().is_some() {
            return self.registration.renew_if_due(now, GRANT_RENEWAL_INTERVAL_MS);
        }
        Some(self.registration.write(now, expected_revision))
    }

    /// The request for a grant ended. `None`: it failed.
    pub fn granted(&mut self, now: Millis, grant: Option<GrantId>) {
        self.registration.granted(now, grant);
    }

    /// The renewal of the grant ended.
    pub fn renewed(&mut self, now: Millis, outcome: RenewalOutcome) {
        let finished = self.registration.renewed(now, outcome);
        if finished.is_some() && outcome == RenewalOutcome::Expired {
            self.registered = false;
        }
    }

    /// The write of the key ended: it has this revision. `None`: failed or
    /// unknown; the watch tells which.
    pub fn registered(&mut self, now: Millis, revision: Option<Revision>) {
        if let Some(revision) = self.registration.written(now, revision) {
            self.observe_key(revision, revision, true);
        }
    }

    /// The store says that the grant has expired, and the key with it.
    pub fn grant_lost(&mut self) {
        self.registration.forget_grant();
        self.registered = false;
    }

    /// The key was seen at a revision of the store: the revision of its last write
    /// ([`Revision::ABSENT`]: it doesn't exist), and whether this start of the
    /// process wrote it.
    pub fn observe_key(&mut self, key_revision: Revision, store_revision: Revision, is_own: bool) {
        if self.observed.is_some_and(|observed| observed.store_revision > store_revision) {
            return;
        }
        self.observed = Some(ObservedKey { key_revision, store_revision });
        self.registered = is_own && !key_revision.is_absent();
    }

    /// A read of the jobs' records that was sent at `sent` has come back.
    pub fn record_sync(&mut self, sent: Millis) {
        self.last_sync = self.last_sync.max(Some(sent));
    }

    /// When this controller was last in contact with the store; 0: never.
    pub fn last_contact(&self) -> Millis {
        self.last_sync.unwrap_or(0)
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
        self.last_sync.is_some_and(|sync| now < sync + self.renewal_window_ms)
    }

    /// Whether a lease may be renewed without leading: only out of contact, only
    /// for a time, and only while the key exists.
    pub fn may_renew_without_leader(&self, now: Millis) -> bool {
        let is_out_of_contact = self
            .last_sync
            .is_some_and(|sync| now >= sync + OUT_OF_CONTACT_MS && now < sync + self.leaderless_window_ms);
        let key_exists = self.registered && self.registration.is_grant_valid(now);
        is_out_of_contact && self.may_renew(now) && key_exists
    }
}

#[cfg(test)]
#[path = "tests/lease_renewal.rs"]
mod tests;
