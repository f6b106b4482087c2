//! Renting: machines for work that waits, the cheapest that will do.

use std::collections::HashMap;

use super::{
    fleet::{Call, Offer, RentOutcome},
    leader::{Effect, Leader},
    model::*,
};
use crate::protocol::{
    cloud::RentRequest,
    jobs::{JobSpec, Kind, Priority},
    names::{ClassIx, Tables, ZoneIx},
};

const REFUSED_MS: Ms = 6_000;
const REFUSED_MAX_MS: Ms = 25_000;
/// Kinds of machines asked for in one step, rental calls under way at a time,
/// and machines the cloud gives in one call.
const RENTS_A_STEP: usize = 4;
const RENTS_AT_ONCE: usize = 4;
const RENT_MOST: u32 = 50;
/// Jobs looked at in one step.
const JOBS_A_STEP: usize = 200;

/// Machines of one kind that are not up yet: whole ones, and what is left of
/// those that work is counted on.
struct Coming {
    offer: Offer,
    cap: Res,
    whole: u32,
    parts: Vec<Res>,
}

/// Machines on their way, by kind.
#[derive(Default)]
struct Arrivals(Vec<Coming>);

impl Arrivals {
    fn add(&mut self, offer: Offer, cap: Res, count: u32) {
        match self.0.iter_mut().find(|c| c.offer == offer) {
            Some(c) => c.whole += count,
            None => self.0.push(Coming { offer, cap, whole: count, parts: Vec::new() }),
        }
    }

    /// Room on them for tasks of this shape, up to `most`.
    fn room(&self, need: &Res, most: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut n = 0;
        for c in self.0.iter().filter(|c| allows(&c.offer)) {
            n += c.parts.iter().map(|p| need.times_in(p)).sum::<u32>();
            n = n.saturating_add(need.times_in(&c.cap).saturating_mul(c.whole)).min(most);
            if n == most {
                break;
            }
        }
        n
    }

    /// Counts up to `n` tasks on them; how many found room.
    fn take(&mut self, need: &Res, n: u32, allows: impl Fn(&Offer) -> bool) -> u32 {
        let mut left = n;
        for c in self.0.iter_mut().filter(|c| allows(&c.offer)) {
            for p in &mut c.parts {
                let k = need.times_in(p).min(left);
                *p -= *need * f64::from(k);
                left -= k;
            }
            let per = need.times_in(&c.cap);
            while left > 0 && c.whole > 0 && per > 0 {
                let k = per.min(left);
                c.whole -= 1;
                left -= k;
                let rest = c.cap - *need * f64::from(k);
                if rest.cpus > EPS {
                    c.parts.push(rest);
                }
            }
            if left == 0 {
                break;
            }
        }
        n - left
    }
}

impl Leader {
    pub(super) fn rent(&mut self, now: Ms, tables: &Tables) {
        let again: Vec<_> = std::mem::take(&mut self.fleet.again);
        for (offer, req, at) in again {
            if now >= at {
                self.send_rent(offer, req);
            } else {
                self.fleet.again.push((offer, req, at));
            }
        }
        // Without a list, what is already there isn't known; and where there
        // are machines, they get time to report first.
        let settle = if self.machines.is_empty() { 0 } else { 1_500 };
        let busy = self.fleet.calls.values().filter(|c| matches!(c, Call::Rent { .. })).count();
        if !self.fleet.listed_once || now < self.started + settle || busy >= RENTS_AT_ONCE {
            return;
        }
        let mut coming = self.coming(now);
        let mut total = self
            .machines
            .iter()
            .filter(|m| !matches!(m.life, MachineLifecycle::Gone | MachineLifecycle::Returning))
            .count()
            + self.pending_rents();
        let mut wanted: Vec<(Offer, u32)> = Vec::new();
        // A large machine is cheap for many small jobs together, though not
        // for one of them: what waits of a class is counted as a whole.
        let mut of_class: HashMap<ClassIx, u32> = HashMap::new();
        for (ix, n) in &self.fleet.unmet {
            if let Some(job) = self.job(*ix) {
                *of_class.entry(job.spec.class).or_default() += n;
            }
        }
        'jobs: for (ix, n) in self.fleet.unmet.iter().copied().take(JOBS_A_STEP).collect::<Vec<_>>() {
            let Some(job) = self.job(ix) else { continue };
            let (spec, held) = (job.spec.clone(), job.zone_used.clone());
            let waited_s = (now as i64 - job.waiting_since as i64) as f64 / 1000.0;
            let need = Res::of(&spec);
            let alike = of_class.get(&spec.class).copied().unwrap_or(0);
            for (zone, n) in self.by_zone(&spec, &held, n, &coming) {
                let allows = |o: &Offer| zone.is_none_or(|z| z == o.1) && Leader::offer_allows(o, &spec, &held);
                let mut left = n - coming.take(&need, n, allows);
                let mut tries = 0;
                while left > 0 && tries < 6 && total < self.cfg.max_machines {
                    tries += 1;
                    let Some((offer, per)) = self.choose(now, &spec, zone, &held, alike.max(left), waited_s) else {
                        break;
                    };
                    let count = left.div_ceil(per).min(RENT_MOST).min((self.cfg.max_machines - total) as u32);
                    let Some(cap) = self.types.iter().find(|t| t.ix == offer.0).map(|t| t.cap) else { break };
                    coming.add(offer, cap, count);
                    left -= coming.take(&need, left, |o| *o == offer);
                    total += count as usize;
                    match wanted.iter_mut().find(|(o, _)| *o == offer) {
                        Some((_, c)) => *c += count,
                        None => wanted.push((offer, count)),
                    }
                    if wanted.len() >= RENTS_A_STEP {
                        break 'jobs;
                    }
                }
            }
        }
        for (offer, count) in wanted.into_iter().take(RENTS_A_STEP) {
            let req = RentRequest {
                request: self.fleet.ask(),
                machine_type: tables.types.name(offer.0 .0).to_owned(),
                zone: tables.zones.name(offer.1 .0).to_owned(),
                spot: offer.2,
                count: count.min(RENT_MOST),
            };
            self.send_rent(offer, req);
        }
    }

    /// How many tasks machines are wanted for, zone by zone where it matters.
    /// Boot times vary widely: for replicas more room is ordered than they
    /// need, so that those that come up first hold them all. Others' work takes
    /// what is left over.
    ///
    /// Guard: a gang that must be spread over two zones, or that must be in
    /// one, is not served by room in any zone: it waited for ever, and more
    /// machines came where there was room already.
    fn by_zone(&self, spec: &JobSpec, held: &[u32], n: u32, coming: &Arrivals) -> Vec<(Option<ZoneIx>, u32)> {
        let ordered = if spec.kind == Kind::Service { 2 * n } else { n };
        let gang = spec.kind == Kind::Gang;
        let one_zone_gang = spec.one_zone && gang && n > 1;
        if !(spec.spread || one_zone_gang) {
            return vec![(None, ordered)];
        }
        let need = Res::of(spec);
        let mut zones: Vec<ZoneIx> = Vec::new();
        for z in self.types.iter().filter(|t| spec.allows_type(t.ix)).flat_map(|t| t.zones.iter().copied()) {
            if !zones.contains(&z) && spec.zone.is_none_or(|only| only == z) {
                zones.push(z);
            }
        }
        // Room of a zone, now or soon; what a started array or service could
        // place now, it has placed.
        let room = |z: ZoneIx, most: u32| {
            let mut have = 0;
            if gang {
                self.snapshot.candidates(spec, Some(z), true, |_, h, _| {
                    have = (have + need.times_in(&(h.free + h.soon))).min(most);
                });
            }
            (have, coming.room(&need, most - have, |o| o.1 == z && Leader::offer_allows(o, spec, held)))
        };
        if spec.one_zone {
            let best = zones.into_iter().map(|z| (z, room(z, n))).max_by_key(|(_, (have, soon))| have + soon);
            return match best {
                Some((z, (have, soon))) if have + soon > 0 => vec![(Some(z), n - have)],
                _ => vec![(None, n)],
            };
        }
        // Each zone takes its part of the cap; the emptier one gets more.
        let cap = |z: &ZoneIx| spec.zone_cap().saturating_sub(held.get(z.at()).copied().unwrap_or(0));
        let mut parts: Vec<(ZoneIx, u32, u32)> = zones.into_iter().map(|z| (z, cap(&z), room(z, n).0)).collect();
        parts.sort_by_key(|&(z, cap, have)| (std::cmp::Reverse(have.min(cap)), z));
        let mut left = n;
        let mut out = Vec::new();
        for (k, &(z, cap, have)) in parts.iter().enumerate() {
            // As even as the caps of the zones after it allow.
            let after: u32 = parts[k + 1..].iter().map(|p| p.1).sum();
            let even = left.div_ceil((parts.len() - k) as u32);
            let part = even.max(left.saturating_sub(after)).max(have.min(left)).min(cap);
            left -= part.min(left);
            let more = part.saturating_sub(have) * if spec.kind == Kind::Service { 2 } else { 1 };
            if more > 0 {
                out.push((Some(z), more));
            }
        }
        out
    }

    fn pending_rents(&self) -> usize {
        let calls = self.fleet.calls.values().map(|c| match c {
            Call::Rent { req, .. } => req.count as usize,
            _ => 0,
        });
        calls.sum::<usize>() + self.fleet.again.iter().map(|(_, r, _)| r.count as usize).sum::<usize>()
    }

    fn send_rent(&mut self, offer: Offer, req: RentRequest) {
        let call = self.call_id();
        tracing::info!(
            ask = &*req.request,
            machine_type = &*req.machine_type,
            zone = &*req.zone,
            spot = req.spot,
            count = req.count,
            "renting"
        );
        self.fleet.calls.insert(call, Call::Rent { offer, req: req.clone() });
        self.effects.push(Effect::Rent { call, req });
    }

    fn coming(&self, now: Ms) -> Arrivals {
        let mut out = Arrivals::default();
        for m in &self.machines {
            if m.life != MachineLifecycle::Booting || !m.assignments.is_empty() {
                continue;
            }
            let Some(t) = self.type_of(m) else { continue };
            // Far past its boot time, a machine is no longer counted on.
            let late = (now.saturating_sub(m.rented)) as f64 > t.boot_s * 2_000.0 + 5_000.0;
            if !late {
                out.add((t.ix, m.zone, m.spot), t.cap, 1);
            }
        }
        let asked = self.fleet.calls.values().filter_map(|c| match c {
            Call::Rent { offer, req } => Some((*offer, req.count)),
            _ => None,
        });
        for (offer, count) in asked.chain(self.fleet.again.iter().map(|(o, r, _)| (*o, r.count))) {
            if let Some(t) = self.types.iter().find(|t| t.ix == offer.0) {
                out.add(offer, t.cap, count);
            }
        }
        out
    }

    /// `held`: the job's places by zone, if it restricts zones.
    fn offer_allows(offer: &Offer, spec: &JobSpec, held: &[u32]) -> bool {
        if !spec.allows_type(offer.0) || spec.zone.is_some_and(|z| z != offer.1) || (offer.2 && !spec.spot) {
            return false;
        }
        let here = held.get(offer.1.at()).copied().unwrap_or(0);
        let elsewhere = held.iter().sum::<u32>() - here;
        (!spec.spread || here < spec.zone_cap()) && (!spec.one_zone || elsewhere == 0)
    }

    /// The cheapest offer for what is left, and how many tasks one machine of it takes.
    fn choose(
        &self,
        now: Ms,
        spec: &JobSpec,
        zone: Option<ZoneIx>,
        held: &[u32],
        left: u32,
        waited_s: f64,
    ) -> Option<(Offer, u32)> {
        let need = Res::of(spec);
        let mut cheapest = f64::INFINITY;
        let mut best: Option<(f64, Offer, u32)> = None;
        for t in &self.types {
            let per = need.times_in(&t.cap);
            if per == 0 || !spec.allows_type(t.ix) {
                continue;
            }
            for &z in t.zones.iter().filter(|z| zone.is_none_or(|only| only == **z)) {
                for spot in [false, true] {
                    if spot && !(spec.spot && self.cfg.use_spot) {
                        continue;
                    }
                    let offer = (t.ix, z, spot);
                    if !Leader::offer_allows(&offer, spec, held) {
                        continue;
                    }
                    let slots = f64::from(per.min(left.max(1)));
                    let ready = t.boot_s + spec.image_gb / t.fetch_gb_per_s.max(0.01);
                    let cost = t.price_of(spot) / slots * (1.0 + ready / 120.0);
                    cheapest = cheapest.min(cost);
                    let open = self.fleet.refused.get(&offer).is_none_or(|(until, _)| now >= *until);
                    if open && best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, offer, per));
                    }
                }
            }
        }
        let (cost, offer, per) = best?;
        // Much dearer than the cheapest kind: only for urgent work, or work
        // that has waited.
        let urgency = match spec.priority {
            Priority::Production => 5.0,
            Priority::High => 3.0,
            Priority::Normal => 1.8,
            Priority::Low => 1.5,
        };
        (cost <= cheapest * (urgency + waited_s)).then_some((offer, per))
    }

    pub fn rented(&mut self, now: Ms, call: u64, outcome: RentOutcome) {
        let Some(Call::Rent { offer, req }) = self.fleet.calls.remove(&call) else { return };
        match outcome {
            RentOutcome::Rented(ids) => {
                if (ids.len() as u32) < req.count {
                    self.fleet.refused.insert(offer, (now + REFUSED_MS, REFUSED_MS));
                } else {
                    self.fleet.refused.remove(&offer);
                }
                for id in ids {
                    let ix = self.machine_named(now, &id, offer.1);
                    let m = &mut self.machines[ix.at()];
                    m.ty = m.ty.or(Some(offer.0));
                    m.spot = offer.2;
                    m.zone = offer.1;
                    if m.life == MachineLifecycle::Booting {
                        m.rented = now;
                    }
                }
            }
            RentOutcome::NoCapacity => {
                let wait = self.fleet.refused.get(&offer).map_or(REFUSED_MS, |(_, w)| (w * 3 / 2).min(REFUSED_MAX_MS));
                self.fleet.refused.insert(offer, (now + wait, wait));
            }
            // Guard: the same name again, so that it can't be rented twice.
            RentOutcome::Again => self.fleet.again.push((offer, req, now + 1_500)),
            RentOutcome::Malformed => {
                tracing::error!(ask = &*req.request, "the cloud calls a rental malformed");
                self.fleet.refused.insert(offer, (now + REFUSED_MAX_MS, REFUSED_MAX_MS));
            }
        }
    }
}
