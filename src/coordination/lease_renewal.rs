//! Renewal of workers' leases by controllers that don't lead.
//!
//! A zone that is cut off, or an outage of the state service, leaves workers
//! with no leader, and at the end of their leases they kill all they run. A
//! controller that was in contact a moment ago may renew the leases meanwhile:
//! it answers workers' heartbeats with the token they hold and with no orders.
//! Nothing new starts by that, and nothing that runs is lost. Two things must
//! hold:
//!
//! - What is cancelled is gone in time. Whoever answers a worker 200, the leader
//!   included, does so only for `renewal_ms` after it *sent* its last read of the
//!   jobs' records, and the answer halts what that read showed as cancelled.
//!   Cancelled later than that read, a task is gone `renewal_ms` and a lease after
//!   it at the latest.
//! - A leader that takes a lease for ended must know of every such answer.
//!   [`RenewalRight`] renews only while its key stands in the state service, under
//!   a grant; [`PeerInactivity`] believes that a controller renewed nothing only
//!   for the time that the controller itself vouched for, or its key was away.

use super::model::Millis;
use crate::protocol::ids::Revision;

/// Two steady clocks may part by twice this share; times are cut by more.
const DRIFT: f64 = 0.002;
/// Taken off a grant's time besides the drift, for rounding and scheduling.
const MARGIN_MS: Millis = 40;
/// Out of contact for this long before any lease is renewed without a leader.
const OUT_OF_CONTACT_MS: Millis = 2_500;
/// A controller heard within this time is there.
const HEARD_MS: Millis = 2_000;
/// Besides both clocks' drift: for answers and reports on their way.
const SLACK_MS: f64 = 2_000.0;
/// A grant outlives the time in which leases may be renewed by this much.
const GRANT_SLACK_MS: Millis = 6_000;
/// Interval of the grant's renewals.
const GRANT_RENEWAL_MS: Millis = 3_000;
/// Pause after a call that failed or went unanswered.
const RETRY_MS: Millis = 1_000;
/// A heartbeat from another zone within this time after the last contact says
/// nothing: the partition may have begun after it.
const FOREIGN_HEARTBEAT_SLACK_MS: Millis = 1_000;

/// How long after the sending of its last read of the jobs' records a controller
/// may answer a worker 200: a lease renewed then ends before a cancellation that
/// the read could not show has to be carried out.
pub fn renewal_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = (cancel_s * (1.0 - DRIFT) - lease_s * (1.0 + DRIFT)) * 1000.0 - SLACK_MS;
    longest.max(0.0) as Millis
}

/// How long after its last contact a controller that doesn't lead may renew
/// leases; 0: never.
pub fn most_ms(cancel_s: f64, lease_s: f64) -> Millis {
    let longest = renewal_ms(cancel_s, lease_s);
    if longest >= 2 * OUT_OF_CONTACT_MS {
        longest
    } else {
        0
    }
}

/// A call to the state service that is to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// POST /grants
    Grant,
    /// POST /grants/{}/renew
    Renew(u64),
    /// Write this controller's key under the grant, if its revision is as expected.
    Register {
        /// Number of the grant.
        permit: u64,
        /// Revision that the key must have; 0: it must not exist.
        expect: Revision,
    },
}

/// The call that is unanswered, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    None,
    Grant { sent: Millis },
    Renew { sent: Millis },
    Register,
}

/// This controller's key as last seen.
#[derive(Debug, Clone, Copy)]
struct SeenKey {
    /// Revision of the key's last write; 0: the key isn't there.
    key_revision: Revision,
    /// Revision of the store at which it was seen.
    store_revision: Revision,
}

/// This controller's own right to renew leases.
#[derive(Debug)]
pub struct RenewalRight {
    renewal_ms: Millis,
    /// The same without leading.
    most_ms: Millis,
    permit: Option<u64>,
    /// The grant is alive at least until then.
    valid_until: Millis,
    last_renewal: Millis,
    pending: PendingCall,
    retry_at: Millis,
    key: Option<SeenKey>,
    /// The key stands, written by this start of the process.
    registered: bool,
    /// When the last read of the jobs' records that was taken in was sent.
    synced: Option<Millis>,
    /// When a lease was last renewed without leading.
    pub last: Millis,
}

impl RenewalRight {
    /// `renewal_ms`: for any answer, the leader's too; `most_ms`: while not leading.
    pub fn new(renewal_ms: Millis, most_ms: Millis) -> RenewalRight {
        RenewalRight {
            renewal_ms,
            most_ms,
            permit: None,
            valid_until: 0,
            last_renewal: 0,
            pending: PendingCall::None,
            retry_at: 0,
            key: None,
            registered: false,
            synced: None,
            last: 0,
        }
    }

    /// What its key holds when it was written under the grant it has now, by this
    /// start of the process. Guard: as with the leader's key, one that was written
    /// late under an earlier grant ends with that grant, so it doesn't count.
    pub fn mark(&self, nonce: u64) -> Option<u64> {
        self.permit.map(|permit| nonce.wrapping_add(permit))
    }

    /// How long after the sending of its last read it may answer a worker 200.
    pub fn renewal_ms(&self) -> Millis {
        self.renewal_ms
    }

    /// How long a grant lasts: longer than leases may be renewed by one renewal
    /// of it and more.
    pub fn ttl_ms(&self) -> Millis {
        self.most_ms + GRANT_SLACK_MS
    }

    /// The next call to make, if one is due.
    pub fn tick(&mut self, now: Millis) -> Option<Action> {
        if self.most_ms == 0 || self.pending != PendingCall::None || now < self.retry_at {
            return None;
        }
        let expect = self.key?.key_revision;
        match self.permit {
            Some(permit) if self.registered => {
                if now < self.last_renewal + GRANT_RENEWAL_MS {
                    return None;
                }
                self.last_renewal = now;
                self.pending = PendingCall::Renew { sent: now };
                Some(Action::Renew(permit))
            }
            Some(permit) if now + self.ttl_ms() / 2 < self.valid_until => {
                self.pending = PendingCall::Register;
                Some(Action::Register { permit, expect })
            }
            _ => {
                self.permit = None;
                self.pending = PendingCall::Grant { sent: now };
                Some(Action::Grant)
            }
        }
    }

    /// Until when a grant that was asked for or renewed at `sent` lasts at least.
    fn alive_until(&self, sent: Millis) -> Millis {
        let shortest_ms = (self.ttl_ms() as f64 * (1.0 - DRIFT)) as Millis;
        (sent + shortest_ms).saturating_sub(MARGIN_MS)
    }

    /// How the request for a grant ended. `None`: it failed.
    pub fn granted(&mut self, now: Millis, permit: Option<u64>) {
        let PendingCall::Grant { sent } = self.pending else { return };
        self.pending = PendingCall::None;
        match permit {
            Some(permit) => {
                self.permit = Some(permit);
                self.valid_until = self.alive_until(sent);
                self.last_renewal = sent;
            }
            None => self.retry_at = now + RETRY_MS,
        }
    }

    /// `Some(true)`: renewed; `Some(false)`: the grant has ended; `None`: unknown.
    pub fn renewed(&mut self, now: Millis, result: Option<bool>) {
        let PendingCall::Renew { sent } = self.pending else { return };
        self.pending = PendingCall::None;
        match result {
            Some(true) => self.valid_until = self.valid_until.max(self.alive_until(sent)),
            Some(false) => self.lost(),
            None => {
                self.last_renewal = 0;
                self.retry_at = now + RETRY_MS;
            }
        }
    }

    /// `Some(revision)`: written. `None`: lost or unknown; the watch tells which.
    pub fn registered(&mut self, now: Millis, revision: Option<Revision>) {
        if self.pending != PendingCall::Register {
            return;
        }
        self.pending = PendingCall::None;
        match revision {
            Some(revision) => self.saw_key(revision, revision, true),
            None => self.retry_at = now + RETRY_MS,
        }
    }

    /// The grant is gone, and the key with it.
    pub fn lost(&mut self) {
        self.permit = None;
        self.valid_until = 0;
        self.registered = false;
    }

    /// The key was seen at a revision of the store: the revision of its last write
    /// (0: not there), and whether it is of this start of the process.
    pub fn saw_key(&mut self, key_revision: Revision, store_revision: Revision, mine: bool) {
        if self.key.is_some_and(|seen| seen.store_revision > store_revision) {
            return;
        }
        self.key = Some(SeenKey { key_revision, store_revision });
        self.registered = mine && !key_revision.is_absent();
    }

    /// A read of the jobs' records that was sent then has come back.
    pub fn synced(&mut self, sent: Millis) {
        self.synced = self.synced.max(Some(sent));
    }

    /// When contact was last had, as far as is known.
    pub fn contact(&self) -> Millis {
        self.synced.unwrap_or(0)
    }

    /// Guard: a 200 sent now can't let a task outlive a cancellation that this
    /// controller doesn't know of, whether it leads or not.
    pub fn may_renew(&self, now: Millis) -> bool {
        self.synced.is_some_and(|synced| now < synced + self.renewal_ms)
    }

    /// Only out of contact, only for a time, and only while the key stands.
    pub fn may_renew_without_leader(&self, now: Millis) -> bool {
        let is_out_of_contact =
            self.synced.is_some_and(|synced| now >= synced + OUT_OF_CONTACT_MS && now < synced + self.most_ms);
        is_out_of_contact && self.may_renew(now) && self.registered && now < self.valid_until
    }
}

/// A span of time on this controller's clock; empty if it ends before it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// Start of the span, in ms.
    pub from: i64,
    /// End of the span, in ms.
    pub to: i64,
}

impl TimeSpan {
    /// All of time. The bounds leave room for what is added to them.
    pub const ALWAYS: TimeSpan = TimeSpan { from: i64::MIN / 2, to: i64::MAX / 2 };
    /// No time at all.
    pub const NEVER: TimeSpan = TimeSpan { from: i64::MAX / 2, to: i64::MIN / 2 };

    fn overlaps(&self, other: &TimeSpan) -> bool {
        other.from <= self.to && other.to >= self.from
    }

    fn intersection(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.max(other.from), to: self.to.min(other.to) }
    }

    /// The span that covers both.
    fn cover(&self, other: &TimeSpan) -> TimeSpan {
        TimeSpan { from: self.from.min(other.from), to: self.to.max(other.to) }
    }
}

/// For how long each other controller is known to have renewed no lease.
#[derive(Debug)]
pub struct PeerInactivity {
    spans: Vec<Option<TimeSpan>>,
}

impl PeerInactivity {
    /// Nothing is known of so many peers.
    pub fn new(peers: usize) -> PeerInactivity {
        PeerInactivity { spans: vec![None; peers] }
    }

    /// Between these moments `peer` renewed nothing. What lies before is believed
    /// only as far as it adjoins.
    pub fn record_inactive(&mut self, peer: usize, from: i64, to: i64) {
        if to < from {
            return;
        }
        let Some(known) = self.spans.get_mut(peer) else { return };
        let new = TimeSpan { from, to };
        *known = match *known {
            Some(span) if span.overlaps(&new) => Some(span.cover(&new)),
            Some(span) if to < span.from => Some(span),
            _ => Some(new),
        };
    }

    /// The time in which no other controller renewed any lease.
    pub fn span(&self) -> TimeSpan {
        let known = self.spans.iter().map(|span| span.unwrap_or(TimeSpan::NEVER));
        known.fold(TimeSpan::ALWAYS, |common, span| common.intersection(&span))
    }
}

/// Another controller, as this one hears it.
#[derive(Debug, Clone, Copy)]
pub struct Other {
    /// In this controller's zone.
    pub near: bool,
    /// When it was last heard; None: never.
    pub heard: Option<Millis>,
    /// How long it had been without the state service when it was heard.
    pub state_age: Millis,
}

/// Guard: a controller that is alone in being cut off must not hold workers
/// that would find the leader elsewhere. It renews leases only when every
/// controller that it hears is out of contact too; or when it hears none, has no
/// other in its zone, and no worker of another zone reported since its last
/// contact.
pub fn shares_the_cut(now: Millis, contact: Millis, others: &[Other], last_foreign_heartbeat: Option<Millis>) -> bool {
    let is_heard = |other: &&Other| other.heard.is_some_and(|heard| now < heard + HEARD_MS);
    let mut heard = others.iter().filter(is_heard).peekable();
    if heard.peek().is_some() {
        return heard.all(|other| other.state_age >= OUT_OF_CONTACT_MS);
    }
    let is_alone_in_zone = !others.iter().any(|other| other.near);
    is_alone_in_zone && last_foreign_heartbeat.is_none_or(|heartbeat| heartbeat < contact + FOREIGN_HEARTBEAT_SLACK_MS)
}

#[cfg(test)]
#[path = "tests/lease_renewal.rs"]
mod tests;
