//! Back-off for offers that the cloud could not fill.

use std::collections::HashMap;

use super::offer::Offer;
use crate::coordination::model::Millis;

/// First back-off after the cloud had too few machines of an offer.
const INITIAL_BACKOFF_MS: Millis = 6_000;
/// Longest back-off. While the cloud repeatedly has no machine of an offer, each back-off
/// is 1.5 times as long as the previous one, up to this limit.
const MAX_BACKOFF_MS: Millis = 25_000;

/// Back-off of one offer, during which the offer is not requested.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    /// Length of this back-off; the next one is computed from it.
    wait_ms: Millis,
}

/// Offers with a back-off.
#[derive(Debug, Default)]
pub struct OfferBackoffs(HashMap<Offer, Backoff>);

impl OfferBackoffs {
    /// Reports whether the offer may be requested, because it has no back-off or its
    /// back-off has ended.
    pub fn is_available(&self, now: Millis, offer: &Offer) -> bool {
        self.0.get(offer).is_none_or(|backoff| now >= backoff.until)
    }

    /// Records that all requested machines were provisioned, and removes the back-off.
    pub fn record_filled(&mut self, offer: Offer) {
        self.0.remove(&offer);
    }

    /// Records that fewer machines were provisioned than requested, and starts the
    /// initial back-off.
    pub fn record_partly_filled(&mut self, now: Millis, offer: Offer) {
        self.back_off(now, offer, INITIAL_BACKOFF_MS);
    }

    /// Records that the cloud had no machine of this offer, and starts a back-off that
    /// is longer than the previous one, up to the maximum.
    pub fn record_no_capacity(&mut self, now: Millis, offer: Offer) {
        let last = self.0.get(&offer);
        let wait_ms = last.map_or(INITIAL_BACKOFF_MS, |backoff| (backoff.wait_ms * 3 / 2).min(MAX_BACKOFF_MS));
        self.back_off(now, offer, wait_ms);
    }

    /// Records that the cloud rejected the request as invalid, and starts the longest
    /// back-off.
    pub fn record_rejected(&mut self, now: Millis, offer: Offer) {
        self.back_off(now, offer, MAX_BACKOFF_MS);
    }

    fn back_off(&mut self, now: Millis, offer: Offer, wait_ms: Millis) {
        self.0.insert(offer, Backoff { until: now + wait_ms, wait_ms });
    }
}

#[cfg(test)]
#[path = "tests/offer_backoff.rs"]
mod tests;
