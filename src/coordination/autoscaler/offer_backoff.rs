//! Backoff from offers that the cloud could not fill.

use std::collections::HashMap;

use super::offer::Offer;
use crate::coordination::model::Millis;

/// First backoff after the cloud had too few machines of an offer.
const INITIAL_BACKOFF_MS: Millis = 6_000;
/// Longest backoff; each is half as long again as the one before.
const MAX_BACKOFF_MS: Millis = 25_000;

/// An offer that is not requested for some time.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    /// Length of this backoff, from which the next one grows.
    wait_ms: Millis,
}

/// The offers that are backed off from.
#[derive(Debug, Default)]
pub struct OfferBackoffs(HashMap<Offer, Backoff>);

impl OfferBackoffs {
    /// Whether the offer may be requested.
    pub fn is_available(&self, now: Millis, offer: &Offer) -> bool {
        self.0.get(offer).is_none_or(|backoff| now >= backoff.until)
    }

    /// All requested machines were provisioned.
    pub fn record_filled(&mut self, offer: Offer) {
        self.0.remove(&offer);
    }

    /// Fewer machines were provisioned than requested.
    pub fn record_partly_filled(&mut self, now: Millis, offer: Offer) {
        self.back_off(now, offer, INITIAL_BACKOFF_MS);
    }

    /// The cloud had no machine of this offer.
    pub fn record_no_capacity(&mut self, now: Millis, offer: Offer) {
        let last = self.0.get(&offer);
        let wait_ms = last.map_or(INITIAL_BACKOFF_MS, |backoff| (backoff.wait_ms * 3 / 2).min(MAX_BACKOFF_MS));
        self.back_off(now, offer, wait_ms);
    }

    /// The cloud rejected the request itself.
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
