//! Leadership: one key under a grant of the state service.
//!
//! This controller leads while the key names it (label, this start's nonce *and*
//! the grant it holds) and that grant is provably alive. The grant's end is counted on the
//! steady clock from when the renewal was *sent*, less drift: the service
//! counts from a later moment, so it can't have given the grant up before.

use crate::bookkeeping::records::LeaderRecord;

/// Two steady clocks may part by twice this share; the lease is cut by more.
const DRIFT: f64 = 0.002;
const MARGIN_MS: u64 = 40;
const STEP_ASIDE_MS: u64 = 20_000;
/// How long a renewal's answer is waited for, where answers come quickly.
const PATIENCE_MS: u64 = 700;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// POST /grants
    Grant,
    /// POST /grants/{}/renew
    Renew(u64),
    /// Write the key under the grant, if its stamp is as expected.
    Claim { permit: u64, expect: u64 },
    /// DELETE /grants/{}
    Resign(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flight {
    None,
    Grant { sent: u64 },
    Renew { sent: u64 },
    Claim,
}

#[derive(Debug)]
pub struct Election {
    label: String,
    nonce: u64,
    ttl_ms: u64,
    /// The key as last seen: who and its stamp. None: not read yet.
    key: Option<(Option<LeaderRecord>, u64)>,
    permit: Option<u64>,
    /// The grant is alive at least until then.
    valid_until: u64,
    last_renewal: u64,
    flight: Flight,
    retry_at: u64,
    aside_until: u64,
    patience_ms: u64,
}

impl Election {
    pub fn new(label: &str, nonce: u64, ttl_ms: u64) -> Election {
        Election {
            label: label.to_owned(),
            nonce,
            ttl_ms,
            key: None,
            permit: None,
            valid_until: 0,
            last_renewal: 0,
            flight: Flight::None,
            retry_at: 0,
            aside_until: 0,
            patience_ms: PATIENCE_MS,
        }
    }

    /// How long to wait for a renewal's answer: an answer that comes late is
    /// better than none, where the service is slow; where it isn't, one that
    /// was lost is asked for again in time.
    pub fn patience_ms(&self) -> u64 {
        self.patience_ms
    }

    /// What the key says when it was written under this grant. Guard: a claim
    /// that is carried out late, under a grant that was given up meanwhile, is
    /// not taken for one under the grant that is renewed now: the key would go
    /// with the old grant, unnoticed.
    pub fn record(&self, permit: u64) -> LeaderRecord {
        LeaderRecord { label: self.label.clone(), nonce: self.nonce.wrapping_add(permit) }
    }

    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    fn mine(&self) -> Option<u64> {
        let permit = self.permit?;
        match &self.key {
            Some((Some(r), stamp)) if *r == self.record(permit) => Some(*stamp),
            _ => None,
        }
    }

    /// Stamp of this controller's leadership, if it may act at this moment.
    pub fn leading(&self, now: u64) -> Option<u64> {
        if now < self.valid_until && self.permit.is_some() {
            self.mine()
        } else {
            None
        }
    }

    /// Stamp of this controller's leadership, even if it may not act just now.
    pub fn holds_key(&self) -> Option<u64> {
        self.mine()
    }

    pub fn leader(&self) -> Option<&str> {
        match &self.key {
            Some((Some(r), _)) => Some(&r.label),
            _ => None,
        }
    }

    /// The key was seen at `stamp` (of its record, or of its removal).
    pub fn saw_key(&mut self, now: u64, record: Option<LeaderRecord>, stamp: u64) {
        if self.key.as_ref().is_some_and(|(_, old)| *old > stamp) {
            return;
        }
        let gone = record.is_none();
        self.key = Some((record, stamp));
        if gone {
            self.retry_at = self.retry_at.min(now);
        }
    }

    pub fn tick(&mut self, now: u64) -> Option<Action> {
        if self.flight != Flight::None {
            return None;
        }
        if self.mine().is_some() {
            if let Some(p) = self.permit {
                // A quarter of the time: three tries before it runs out.
                if now >= self.last_renewal + self.ttl_ms / 4 && now >= self.retry_at {
                    self.last_renewal = now;
                    self.flight = Flight::Renew { sent: now };
                    return Some(Action::Renew(p));
                }
            }
            return None;
        }
        if now < self.retry_at || now < self.aside_until {
            return None;
        }
        let expect = match &self.key {
            None => return None,
            Some((None, _)) => 0,
            // One's own dead start may be replaced at once.
            Some((Some(r), stamp)) if r.label == self.label => *stamp,
            Some(_) => return None,
        };
        match self.permit {
            Some(p) if now + self.ttl_ms / 2 < self.valid_until => {
                self.flight = Flight::Claim;
                Some(Action::Claim { permit: p, expect })
            }
            _ => {
                self.permit = None;
                self.flight = Flight::Grant { sent: now };
                Some(Action::Grant)
            }
        }
    }

    fn alive_until(&self, sent: u64) -> u64 {
        let ms = self.ttl_ms as f64 * (1.0 - DRIFT);
        (sent + ms as u64).saturating_sub(MARGIN_MS)
    }

    pub fn granted(&mut self, now: u64, permit: Option<u64>) {
        if let Flight::Grant { sent } = self.flight {
            self.flight = Flight::None;
            match permit {
                Some(p) => {
                    self.permit = Some(p);
                    self.valid_until = self.alive_until(sent);
                    self.last_renewal = sent;
                }
                None => self.retry_at = now + 300,
            }
        }
    }

    /// `Some(true)`: renewed; `Some(false)`: the grant has ended; None: unknown.
    pub fn renewed(&mut self, now: u64, result: Option<bool>) {
        let Flight::Renew { sent } = self.flight else { return };
        self.flight = Flight::None;
        match result {
            Some(true) => {
                self.valid_until = self.valid_until.max(self.alive_until(sent));
                self.patience_ms = (2 * now.saturating_sub(sent)).clamp(PATIENCE_MS, self.most_patience());
            }
            Some(false) => {
                self.permit = None;
                self.valid_until = 0;
                // The key goes with the grant; the watch will tell.
                self.key = self.key.take().map(|(_, stamp)| (None, stamp));
            }
            None => {
                if now >= sent + self.patience_ms {
                    self.patience_ms = (2 * self.patience_ms).min(self.most_patience());
                }
                self.last_renewal = 0;
                self.retry_at = now + 250;
            }
        }
    }

    fn most_patience(&self) -> u64 {
        (self.ttl_ms * 4 / 5).max(PATIENCE_MS)
    }

    /// `Some(stamp)`: the key is ours at that stamp. None: lost or unknown;
    /// the watch tells which.
    pub fn claimed(&mut self, now: u64, stamp: Option<u64>) {
        if self.flight != Flight::Claim {
            return;
        }
        self.flight = Flight::None;
        match stamp {
            Some(s) => {
                let r = self.permit.map(|p| self.record(p));
                self.saw_key(now, r, s);
            }
            None => self.retry_at = now + 300,
        }
    }

    /// The service says that the grant used for a write has ended.
    pub fn permit_lost(&mut self) {
        self.permit = None;
        self.valid_until = 0;
    }

    /// Gives way: no worker reaches this controller, others they do.
    pub fn resign(&mut self, now: u64) -> Option<Action> {
        self.aside_until = now + STEP_ASIDE_MS;
        self.valid_until = 0;
        self.key = self.key.take().map(|(_, stamp)| (None, stamp));
        self.flight = Flight::None;
        self.permit.take().map(Action::Resign)
    }
}

#[cfg(test)]
#[path = "tests/election.rs"]
mod tests;
