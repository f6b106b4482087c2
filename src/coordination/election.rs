//! Leadership: one key under a grant of the state service.
//!
//! This controller leads while the key names it (label, this start's nonce *and*
//! the grant it holds) and that grant is provably alive. The grant's end is
//! counted on the steady clock from when the renewal was *sent*, less drift: the
//! service counts from a later moment, so it can't have given the grant up before.

use crate::{coordination::model::Term, protocol::ids::Revision, storage::records::LeaderRecord};

/// Two steady clocks may part by twice this share; the lease is cut by more.
const DRIFT: f64 = 0.002;
/// Taken off a grant's time besides the drift, for rounding and scheduling.
const MARGIN_MS: u64 = 40;
/// How long a controller that resigned doesn't stand again.
const STEP_ASIDE_MS: u64 = 20_000;
/// How long a renewal's answer is waited for, where answers come quickly.
const RENEWAL_TIMEOUT_MS: u64 = 700;
/// A grant is renewed after this part of its time: three tries before it ends.
const RENEWALS_PER_TTL: u64 = 4;
/// Pause after a renewal that failed or went unanswered.
const RENEWAL_RETRY_MS: u64 = 250;
/// Pause after a grant or a claim that failed or went unanswered.
const CLAIM_RETRY_MS: u64 = 300;

/// A call to the state service that is to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// POST /grants
    Grant,
    /// POST /grants/{}/renew
    Renew(u64),
    /// Write the key under the grant, if its revision is as expected.
    Claim {
        /// Number of the grant.
        permit: u64,
        /// Revision that the key must have; 0: it must not exist.
        expect: Revision,
    },
    /// DELETE /grants/{}
    StepDown(u64),
}

/// The call that is unanswered, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    None,
    Grant { sent: u64 },
    Renew { sent: u64 },
    Claim,
}

/// The leader's key as last seen.
#[derive(Debug)]
struct SeenKey {
    /// `None`: the key isn't there.
    record: Option<LeaderRecord>,
    /// Revision of the record, or of its removal.
    revision: Revision,
}

/// This controller's part in the election of a leader.
#[derive(Debug)]
pub struct Election {
    label: String,
    /// A random number of this start of the process.
    nonce: u64,
    ttl_ms: u64,
    /// `None`: not read yet.
    key: Option<SeenKey>,
    permit: Option<u64>,
    /// The grant is alive at least until then.
    valid_until: u64,
    last_renewal: u64,
    pending: PendingCall,
    retry_at: u64,
    /// It doesn't stand for election before.
    aside_until: u64,
    renewal_timeout_ms: u64,
}

impl Election {
    /// A controller that has not read the key yet.
    pub fn new(label: &str, nonce: u64, ttl_ms: u64) -> Election {
        Election {
            label: label.to_owned(),
            nonce,
            ttl_ms,
            key: None,
            permit: None,
            valid_until: 0,
            last_renewal: 0,
            pending: PendingCall::None,
            retry_at: 0,
            aside_until: 0,
            renewal_timeout_ms: RENEWAL_TIMEOUT_MS,
        }
    }

    /// How long to wait for a renewal's answer: an answer that comes late is
    /// better than none, where the service is slow; where it isn't, one that
    /// was lost is asked for again in time.
    pub fn patience_ms(&self) -> u64 {
        self.renewal_timeout_ms
    }

    /// What the key says when it was written under this grant. Guard: a claim
    /// that is carried out late, under a grant that was given up meanwhile, is
    /// not taken for one under the grant that is renewed now: the key would go
    /// with the old grant, unnoticed.
    pub fn record(&self, permit: u64) -> LeaderRecord {
        LeaderRecord { label: self.label.clone(), nonce: self.nonce.wrapping_add(permit) }
    }

    /// How long a grant lasts.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// The key's revision, if the key names this start and this grant.
    fn own_key_revision(&self) -> Option<Revision> {
        let own = self.record(self.permit?);
        let key = self.key.as_ref()?;
        (key.record.as_ref() == Some(&own)).then_some(key.revision)
    }

    /// Term of this controller's leadership, if it may act at this moment.
    pub fn leading(&self, now: u64) -> Option<Term> {
        if now < self.valid_until {
            self.holds_key()
        } else {
            None
        }
    }

    /// Term of this controller's leadership, even if it may not act just now.
    pub fn holds_key(&self) -> Option<Term> {
        self.own_key_revision().map(Term)
    }

    /// The label of the controller that the key names.
    pub fn leader(&self) -> Option<&str> {
        let record = self.key.as_ref()?.record.as_ref()?;
        Some(&record.label)
    }

    /// The key was seen at `revision` (of its record, or of its removal).
    pub fn saw_key(&mut self, now: u64, record: Option<LeaderRecord>, revision: Revision) {
        if self.key.as_ref().is_some_and(|seen| seen.revision > revision) {
            return;
        }
        if record.is_none() {
            self.retry_at = self.retry_at.min(now);
        }
        self.key = Some(SeenKey { record, revision });
    }

    /// The next call to make, if one is due.
    pub fn tick(&mut self, now: u64) -> Option<Action> {
        if self.pending != PendingCall::None {
            return None;
        }
        if self.own_key_revision().is_some() {
            return self.renew_if_due(now);
        }
        if now < self.retry_at || now < self.aside_until {
            return None;
        }
        let expect = self.claimable_revision()?;
        match self.permit {
            Some(permit) if now + self.ttl_ms / 2 < self.valid_until => {
                self.pending = PendingCall::Claim;
                Some(Action::Claim { permit, expect })
            }
            _ => {
                self.permit = None;
                self.pending = PendingCall::Grant { sent: now };
                Some(Action::Grant)
            }
        }
    }

    fn renew_if_due(&mut self, now: u64) -> Option<Action> {
        let permit = self.permit?;
        if now < self.last_renewal + self.ttl_ms / RENEWALS_PER_TTL || now < self.retry_at {
            return None;
        }
        self.last_renewal = now;
        self.pending = PendingCall::Renew { sent: now };
        Some(Action::Renew(permit))
    }

    /// The revision that the key has if it may be claimed (0: it isn't there).
    fn claimable_revision(&self) -> Option<Revision> {
        let key = self.key.as_ref()?;
        match &key.record {
            None => Some(Revision::ABSENT),
            // The key of an earlier start of this controller may be replaced at once.
            Some(record) if record.label == self.label => Some(key.revision),
            Some(_) => None,
        }
    }

    /// Until when a grant that was asked for or renewed at `sent` lasts at least.
    fn alive_until(&self, sent: u64) -> u64 {
        let shortest_ms = self.ttl_ms as f64 * (1.0 - DRIFT);
        (sent + shortest_ms as u64).saturating_sub(MARGIN_MS)
    }

    /// How the request for a grant ended. `None`: it failed.
    pub fn granted(&mut self, now: u64, permit: Option<u64>) {
        let PendingCall::Grant { sent } = self.pending else { return };
        self.pending = PendingCall::None;
        match permit {
            Some(permit) => {
                self.permit = Some(permit);
                self.valid_until = self.alive_until(sent);
                self.last_renewal = sent;
            }
            None => self.retry_at = now + CLAIM_RETRY_MS,
        }
    }

    /// `Some(true)`: renewed; `Some(false)`: the grant has ended; `None`: unknown.
    pub fn renewed(&mut self, now: u64, result: Option<bool>) {
        let PendingCall::Renew { sent } = self.pending else { return };
        self.pending = PendingCall::None;
        match result {
            Some(true) => {
                self.valid_until = self.valid_until.max(self.alive_until(sent));
                let answer_ms = now.saturating_sub(sent);
                self.renewal_timeout_ms = (2 * answer_ms).clamp(RENEWAL_TIMEOUT_MS, self.renewal_timeout_max_ms());
            }
            Some(false) => {
                self.permit_lost();
                // The key goes with the grant; the watch will tell.
                self.forget_record();
            }
            None => {
                if now >= sent + self.renewal_timeout_ms {
                    self.renewal_timeout_ms = (2 * self.renewal_timeout_ms).min(self.renewal_timeout_max_ms());
                }
                self.last_renewal = 0;
                self.retry_at = now + RENEWAL_RETRY_MS;
            }
        }
    }

    fn renewal_timeout_max_ms(&self) -> u64 {
        (self.ttl_ms * 4 / 5).max(RENEWAL_TIMEOUT_MS)
    }

    /// `Some(revision)`: the key is ours at that revision. `None`: lost or unknown;
    /// the watch tells which.
    pub fn claimed(&mut self, now: u64, revision: Option<Revision>) {
        if self.pending != PendingCall::Claim {
            return;
        }
        self.pending = PendingCall::None;
        match revision {
            Some(revision) => {
                let record = self.permit.map(|permit| self.record(permit));
                self.saw_key(now, record, revision);
            }
            None => self.retry_at = now + CLAIM_RETRY_MS,
        }
    }

    /// The service says that the grant used for a write has ended.
    pub fn permit_lost(&mut self) {
        self.permit = None;
        self.valid_until = 0;
    }

    fn forget_record(&mut self) {
        if let Some(key) = &mut self.key {
            key.record = None;
        }
    }

    /// Gives up leadership, and doesn't stand again for a while: workers reach
    /// other controllers, but not this one.
    pub fn step_down(&mut self, now: u64) -> Option<Action> {
        self.aside_until = now + STEP_ASIDE_MS;
        self.valid_until = 0;
        self.forget_record();
        self.pending = PendingCall::None;
        self.permit.take().map(Action::StepDown)
    }
}

#[cfg(test)]
#[path = "tests/election.rs"]
mod tests;
