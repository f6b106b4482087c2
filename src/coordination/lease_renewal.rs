//! Workers' leases, kept by controllers that don't lead.
//!
//! A zone that is cut off, or an outage of the state service, leaves workers
//! with no leader, and at the end of their leases they kill all they run. A
//! controller that was in contact a moment ago may keep them meanwhile: it
//! answers their reports with the token they hold and with no orders. Nothing
//! new starts by that, and nothing that runs is lost. Two things must hold:
//!
//! - What is cancelled is gone in time. Whoever answers a worker 200, the leader
//!   included, does so only for `renewal_ms` after it *sent* its last read of the
//!   jobs' records, and the answer halts what that read showed as cancelled.
//!   Cancelled later than that read, a task is gone `renewal_ms` and a lease after
//!   it at the latest.
//! - A leader that counts a lease out must know of every such answer.
//!   [`RenewalRight`] keeps only while its key stands in the state service, under a
//!   grant; [`PeerInactivity`] believes that a controller kept nothing only for the
//!   time that the controller itself spoke for, or its key was away.

use super::model::Ms;

/// Two steady clocks may part by twice this share; times are cut by more.
const DRIFT: f64 = 0.002;
const MARGIN_MS: Ms = 40;
/// Out of contact for this long before any lease is kept.
const QUIET_MS: Ms = 2_500;
/// A controller heard within this time is there.
const HEARD_MS: Ms = 2_000;
/// Besides both clocks' drift: for answers and reports on their way.
const SLACK_MS: f64 = 2_000.0;

/// How long after the sending of its last read of the jobs' records a controller
/// may answer a worker 200: a lease renewed then ends before a cancellation that
/// the read could not show has to be carried out.
pub fn renewal_ms(cancel_s: f64, lease_s: f64) -> Ms {
    let most = (cancel_s * (1.0 - DRIFT) - lease_s * (1.0 + DRIFT)) * 1000.0 - SLACK_MS;
    most.max(0.0) as Ms
}

/// How long after its last contact a controller that doesn't lead may keep
/// leases; 0: never.
pub fn most_ms(cancel_s: f64, lease_s: f64) -> Ms {
    let most = renewal_ms(cancel_s, lease_s);
    if most >= 2 * QUIET_MS {
        most
    } else {
        0
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// POST /grants
    Grant,
    /// POST /grants/{}/renew
    Renew(u64),
    /// Write this controller's key under the grant, if its stamp is as expected.
    Register { permit: u64, expect: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flight {
    None,
    Grant { sent: Ms },
    Renew { sent: Ms },
    Register,
}

/// This controller's own right to keep leases.
#[derive(Debug)]
pub struct RenewalRight {
    renewal_ms: Ms,
    most_ms: Ms,
    permit: Option<u64>,
    valid_until: Ms,
    last_renewal: Ms,
    flight: Flight,
    retry_at: Ms,
    /// The key's stamp as last seen (0: it isn't there), and at which revision.
    key: Option<(u64, u64)>,
    registered: bool,
    /// When the last read of the jobs' records that was taken in was sent.
    synced: Option<Ms>,
    /// When a lease was last kept.
    pub last: Ms,
}

impl RenewalRight {
    /// `renewal_ms`: for any answer, the leader's too; `most_ms`: while not leading.
    pub fn new(renewal_ms: Ms, most_ms: Ms) -> RenewalRight {
        RenewalRight {
            renewal_ms,
            most_ms,
            permit: None,
            valid_until: 0,
            last_renewal: 0,
            flight: Flight::None,
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
        self.permit.map(|p| nonce.wrapping_add(p))
    }

    pub fn renewal_ms(&self) -> Ms {
        self.renewal_ms
    }

    /// Outlives the time in which leases may be kept by one renewal and more.
    pub fn ttl_ms(&self) -> Ms {
        self.most_ms + 6_000
    }

    pub fn tick(&mut self, now: Ms) -> Option<Action> {
        if self.most_ms == 0 || self.flight != Flight::None || now < self.retry_at {
            return None;
        }
        let (stamp, _) = self.key?;
        let act = match self.permit {
            Some(p) if self.registered && now >= self.last_renewal + 3_000 => {
                self.last_renewal = now;
                self.flight = Flight::Renew { sent: now };
                Action::Renew(p)
            }
            Some(_) if self.registered => return None,
            Some(p) if now + self.ttl_ms() / 2 < self.valid_until => {
                self.flight = Flight::Register;
                Action::Register { permit: p, expect: stamp }
            }
            _ => {
                self.permit = None;
                self.flight = Flight::Grant { sent: now };
                Action::Grant
            }
        };
        Some(act)
    }

    fn alive_until(&self, sent: Ms) -> Ms {
        (sent + (self.ttl_ms() as f64 * (1.0 - DRIFT)) as Ms).saturating_sub(MARGIN_MS)
    }

    pub fn granted(&mut self, now: Ms, permit: Option<u64>) {
        let Flight::Grant { sent } = self.flight else { return };
        self.flight = Flight::None;
        match permit {
            Some(p) => (self.permit, self.valid_until, self.last_renewal) = (Some(p), self.alive_until(sent), sent),
            None => self.retry_at = now + 1_000,
        }
    }

    /// `Some(true)`: renewed; `Some(false)`: the grant has ended; None: unknown.
    pub fn renewed(&mut self, now: Ms, result: Option<bool>) {
        let Flight::Renew { sent } = self.flight else { return };
        self.flight = Flight::None;
        match result {
            Some(true) => self.valid_until = self.valid_until.max(self.alive_until(sent)),
            Some(false) => self.lost(),
            None => (self.last_renewal, self.retry_at) = (0, now + 1_000),
        }
    }

    /// `Some(stamp)`: written. None: lost or unknown; the watch tells which.
    pub fn registered(&mut self, now: Ms, stamp: Option<u64>) {
        if self.flight != Flight::Register {
            return;
        }
        self.flight = Flight::None;
        match stamp {
            Some(s) => self.saw_key(s, s, true),
            None => self.retry_at = now + 1_000,
        }
    }

    /// The grant is gone, and the key with it.
    pub fn lost(&mut self) {
        (self.permit, self.valid_until, self.registered) = (None, 0, false);
    }

    /// The key was seen at revision `at`: its stamp (0: not there), and whether
    /// it is of this start of the process.
    pub fn saw_key(&mut self, stamp: u64, at: u64, mine: bool) {
        if self.key.is_some_and(|(_, seen)| seen > at) {
            return;
        }
        self.key = Some((stamp, at));
        self.registered = mine && stamp != 0;
    }

    pub fn synced(&mut self, sent: Ms) {
        self.synced = self.synced.max(Some(sent));
    }

    /// When contact was last had, as far as is known.
    pub fn contact(&self) -> Ms {
        self.synced.unwrap_or(0)
    }

    /// Guard: a 200 sent now can't let a task outlive a cancellation that this
    /// controller doesn't know of, whether it leads or not.
    pub fn may_renew(&self, now: Ms) -> bool {
        self.synced.is_some_and(|s| now < s + self.renewal_ms)
    }

    /// Only out of contact, only for a time, and only while the key stands.
    pub fn may_renew_without_leader(&self, now: Ms) -> bool {
        let contact = self.synced.is_some_and(|s| now >= s + QUIET_MS && now < s + self.most_ms);
        contact && self.may_renew(now) && self.registered && now < self.valid_until
    }
}

/// For how long each other controller is known to have kept no lease: from and
/// to, on this controller's clock.
#[derive(Debug)]
pub struct PeerInactivity {
    spans: Vec<Option<(i64, i64)>>,
}

impl PeerInactivity {
    pub fn new(peers: usize) -> PeerInactivity {
        PeerInactivity { spans: vec![None; peers] }
    }

    /// Between these moments `peer` kept nothing. What lies before is believed
    /// only as far as it is joined on.
    pub fn record_inactive(&mut self, peer: usize, from: i64, to: i64) {
        if to < from {
            return;
        }
        let Some(span) = self.spans.get_mut(peer) else { return };
        *span = match *span {
            Some((a, b)) if from <= b && to >= a => Some((a.min(from), b.max(to))),
            Some((a, b)) if to < a => Some((a, b)),
            _ => Some((from, to)),
        };
    }

    /// The time in which nobody else kept any lease.
    pub fn span(&self) -> (i64, i64) {
        self.spans.iter().fold((i64::MIN / 2, i64::MAX / 2), |(from, to), s| match s {
            Some((a, b)) => (from.max(*a), to.min(*b)),
            None => (i64::MAX / 2, i64::MIN / 2),
        })
    }
}

/// Another controller, as this one hears it.
#[derive(Debug, Clone, Copy)]
pub struct Other {
    /// In this controller's zone.
    pub near: bool,
    pub heard: Option<Ms>,
    /// How long it had been without the state service when it was heard.
    pub state_age: Ms,
}

/// Guard: a controller that is alone in being cut off must not hold workers
/// that would find the leader elsewhere. It keeps leases only when whoever it
/// hears is out of contact too; or when it hears nobody, has no other in its
/// zone, and no worker of another zone (`stranger`) since its last contact.
pub fn shares_the_cut(now: Ms, contact: Ms, others: &[Other], foreign_zone_report: Option<Ms>) -> bool {
    let heard = |o: &&Other| o.heard.is_some_and(|h| now < h + HEARD_MS);
    let mut heard = others.iter().filter(heard).peekable();
    if heard.peek().is_some() {
        return heard.all(|o| o.state_age >= QUIET_MS);
    }
    !others.iter().any(|o| o.near) && foreign_zone_report.is_none_or(|s| s < contact + 1_000)
}

#[cfg(test)]
#[path = "tests/lease_renewal.rs"]
mod tests;
