//! The snapshot of the machines that trials are made on. It is kept up to date
//! as places come and go, and indexed by type, zone and room, so that a search
//! looks at a few machines and not at all of them.

use std::collections::BTreeSet;

use super::model::{Res, TypeInfo, EPS};
use crate::protocol::{
    jobs::{JobSpec, Kind, Priority},
    names::{ImageIx, TypeIx, ZoneIx},
};

/// Machines of one pool looked at for one task, at most.
pub const LOOK: usize = 192;

/// One machine as a trial sees it, at the index of the machine.
#[derive(Debug, Clone, Default)]
pub struct Host {
    /// None: not up, or of a type that nobody knows.
    pub pool: Option<usize>,
    /// May take new tasks at all.
    pub open: bool,
    /// Takes GPU work only: it is to run empty.
    pub gpu_only: bool,
    pub assignments: u32,
    pub free: Res,
    /// What tasks that are being stopped will leave.
    pub soon: Res,
    /// In use by tasks that are not being stopped, by priority.
    pub low: [Res; 4],
    /// Images it holds or fetches, most recent last.
    pub images: Vec<(ImageIx, f64)>,
    /// Replicas on it: a dead machine takes them all.
    pub services: u32,
    /// Used by tasks that are not stopped for others.
    pub fixed: Res,
}

impl Host {
    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }

    /// Notes that an image was fetched or used, and forgets what fell out of the cache.
    pub fn note_image(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
        if self.images.last().is_some_and(|(i, _)| *i == image) {
            return;
        }
        self.images.retain(|(i, _)| *i != image);
        self.images.push((image, gb));
        let mut sum: f64 = self.images.iter().map(|(_, g)| g).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
    }
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
pub struct Pool {
    pub ty: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub cap: Res,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    /// What GPU work lately asked for that these machines could run: tasks
    /// that can't be stopped for it must leave that much.
    pub guard: Option<Res>,
    pub members: BTreeSet<u32>,
    /// Open machines with room, by how much of the scarcer of CPUs and memory
    /// is free; and those with free GPUs, by their number.
    by_room: BTreeSet<(u32, u32)>,
    by_gpus: BTreeSet<(u32, u32)>,
    /// Room on all open machines together.
    pub room: Res,
}

impl Pool {
    fn room_key(&self, r: &Res) -> u32 {
        let part = |have: f64, cap: f64| if cap > 0.0 { (have / cap).clamp(0.0, 1.0) } else { 1.0 };
        (part(r.cpus, self.cap.cpus).min(part(r.memory_gb, self.cap.memory_gb)) * 1e4 + 0.01) as u32
    }

    fn gpu_key(r: &Res) -> u32 {
        (r.gpus.max(0.0) * 100.0 + 0.01) as u32
    }

    pub fn allows(&self, spec: &JobSpec) -> bool {
        spec.allows_type(self.ty)
            && spec.zone.is_none_or(|z| z == self.zone)
            && (spec.spot || !self.spot)
            && Res::of(spec).fits_in(&self.cap)
    }

    /// Guard against greedy siblings: a replica that stays for hours on a few
    /// CPUs of a machine with GPUs would keep all GPU work off it, and tasks
    /// that can't save would be stopped for it at their full loss.
    fn takes_guarded(&self, host: &Host, spec: &JobSpec) -> bool {
        let need = Res::of(spec);
        need.gpus <= 0.0 && is_fixed(spec) && self.guard.is_some_and(|g| !(g + need + host.fixed).fits_in(&self.cap))
    }

    pub fn host_allows(&self, host: &Host, spec: &JobSpec) -> bool {
        host.open && !(host.gpu_only && spec.gpus <= 0.0) && !self.takes_guarded(host, spec)
    }
}

/// Not stopped for others, or only at the loss of all it did.
pub fn is_fixed(spec: &JobSpec) -> bool {
    spec.priority == Priority::Production || spec.checkpoint_s <= 0.0
}

/// What a task takes of its machine, as far as the snapshot goes.
fn bear(h: &mut Host, spec: &JobSpec, sign: f64) {
    let need = Res::of(spec) * sign;
    h.free -= need;
    if spec.kind == Kind::Service {
        h.services = if sign > 0.0 { h.services + 1 } else { h.services.saturating_sub(1) };
    }
    if is_fixed(spec) && spec.gpus <= 0.0 {
        h.fixed += need;
    }
}

/// Room kept for a pick until the pass is over: taken of what is free, and of what will be.
#[derive(Debug, Clone, Copy)]
struct Held {
    host: usize,
    free: Res,
    soon: Res,
}

#[derive(Debug, Default)]
pub struct ClusterSnapshot {
    pub hosts: Vec<Host>,
    pub pools: Vec<Pool>,
    /// Machines on which something is being stopped.
    stopping: BTreeSet<u32>,
    held: Vec<Held>,
    /// Machines looked at so far: work is counted in these.
    pub looked: u64,
}

impl ClusterSnapshot {
    pub fn find_pool(&self, ty: TypeIx, zone: ZoneIx, spot: bool) -> Option<usize> {
        self.pools.iter().position(|p| p.ty == ty && p.zone == zone && p.spot == spot)
    }

    /// Zones in which there are machines.
    pub fn zone_count(&self) -> usize {
        let mut zones: Vec<ZoneIx> = self.pools.iter().filter(|p| !p.members.is_empty()).map(|p| p.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    pub fn pool_of(&mut self, t: &TypeInfo, zone: ZoneIx, spot: bool) -> usize {
        if let Some(n) = self.find_pool(t.ix, zone, spot) {
            return n;
        }
        self.pools.push(Pool {
            ty: t.ix,
            zone,
            spot,
            cap: t.cap,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s,
            price: t.price_of(spot),
            guard: None,
            members: BTreeSet::new(),
            by_room: BTreeSet::new(),
            by_gpus: BTreeSet::new(),
            room: Res::default(),
        });
        self.pools.len() - 1
    }

    /// Prices change; capacities may, in principle.
    pub fn types_changed(&mut self, types: &[TypeInfo]) {
        for n in 0..self.pools.len() {
            let p = &self.pools[n];
            let Some(t) = types.iter().find(|t| t.ix == p.ty) else { continue };
            let grown = t.cap - p.cap;
            let p = &mut self.pools[n];
            p.price = t.price_of(p.spot);
            p.fetch_gb_per_s = t.fetch_gb_per_s;
            p.cache_gb = t.cache_gb;
            if grown != Res::default() {
                let members: Vec<u32> = p.members.iter().copied().collect();
                for &h in &members {
                    self.unindex(h as usize);
                }
                self.pools[n].cap = t.cap;
                for h in members {
                    self.hosts[h as usize].free += grown;
                    self.index(h as usize);
                }
            }
        }
    }

    fn unindex(&mut self, n: usize) {
        let h = &self.hosts[n];
        let Some(p) = h.pool else { return };
        let p = &mut self.pools[p];
        if h.open {
            p.by_room.remove(&(p.room_key(&h.free), n as u32));
            p.by_gpus.remove(&(Pool::gpu_key(&h.free), n as u32));
            p.room -= h.free.max0();
        }
        self.stopping.remove(&(n as u32));
    }

    fn index(&mut self, n: usize) {
        let h = &self.hosts[n];
        let Some(p) = h.pool else { return };
        let p = &mut self.pools[p];
        if h.open {
            let (room, gpus) = (p.room_key(&h.free), Pool::gpu_key(&h.free));
            if room > 0 {
                p.by_room.insert((room, n as u32));
            }
            if gpus > 0 {
                p.by_gpus.insert((gpus, n as u32));
            }
            p.room += h.free.max0();
            if h.soon.any() {
                self.stopping.insert(n as u32);
            }
        }
    }

    pub fn change(&mut self, n: usize, f: impl FnOnce(&mut Host)) {
        if self.hosts.len() <= n {
            self.hosts.resize_with(n + 1, Host::default);
        }
        self.unindex(n);
        f(&mut self.hosts[n]);
        self.index(n);
    }

    /// The machine is now of this pool, or of none. What is on it stays on it.
    pub fn move_to(&mut self, n: usize, pool: Option<usize>) {
        if self.hosts.get(n).map_or(pool.is_none(), |h| h.pool == pool) {
            return;
        }
        self.change(n, |_| {});
        self.unindex(n);
        let cap = |p: Option<usize>, pools: &[Pool]| p.map_or(Res::default(), |p| pools[p].cap);
        let was = self.hosts[n].pool;
        if let Some(p) = was {
            self.pools[p].members.remove(&(n as u32));
        }
        let grown = cap(pool, &self.pools) - cap(was, &self.pools);
        let h = &mut self.hosts[n];
        h.pool = pool;
        h.free += grown;
        if let Some(p) = pool {
            self.pools[p].members.insert(n as u32);
        }
        self.index(n);
    }

    pub fn set_open(&mut self, n: usize, open: bool, gpu_only: bool) {
        if self.hosts.get(n).is_none_or(|h| (h.open, h.gpu_only) != (open, gpu_only)) {
            self.change(n, |h| (h.open, h.gpu_only) = (open, gpu_only));
        }
    }

    /// A place was made there.
    pub fn take(&mut self, n: usize, spec: &JobSpec) {
        self.change(n, |h| {
            h.assignments += 1;
            bear(h, spec, 1.0);
            h.low[spec.priority as usize] += Res::of(spec);
        });
    }

    /// A place there was given up; `halted`: it was being stopped.
    pub fn give(&mut self, n: usize, spec: &JobSpec, halted: bool) {
        self.change(n, |h| {
            h.assignments -= 1;
            bear(h, spec, -1.0);
            if halted {
                h.soon -= Res::of(spec);
            } else {
                h.low[spec.priority as usize] -= Res::of(spec);
            }
        });
    }

    /// A task there is being stopped.
    pub fn stop(&mut self, n: usize, spec: &JobSpec) {
        self.change(n, |h| {
            h.soon += Res::of(spec);
            h.low[spec.priority as usize] -= Res::of(spec);
        });
    }

    /// For a trial: as if a task were there.
    pub fn assume(&mut self, n: usize, spec: &JobSpec) {
        self.change(n, |h| bear(h, spec, 1.0));
    }

    pub fn revert(&mut self, n: usize, spec: &JobSpec) {
        self.change(n, |h| bear(h, spec, -1.0));
    }

    /// Keeps room until the end of the pass: first what is about to be free,
    /// then what is free now, so that nobody after takes it. `more`: what else
    /// is about to be free there.
    pub fn reserve(&mut self, n: usize, need: Res, more: Res) {
        let mut held = Held { host: n, free: Res::default(), soon: Res::default() };
        self.change(n, |h| {
            let from_soon = need.min((h.soon + more).max0());
            held.soon = from_soon - more;
            held.free = need - from_soon;
            h.soon -= held.soon;
            h.free -= held.free;
        });
        self.held.push(held);
    }

    /// Gives up what was kept since there were `from` reservations.
    pub fn release(&mut self, from: usize) {
        while self.held.len() > from {
            let Some(k) = self.held.pop() else { return };
            self.change(k.host, |h| {
                h.soon += k.soon;
                h.free += k.free;
            });
        }
    }

    pub fn reservations(&self) -> usize {
        self.held.len()
    }

    pub fn anything_stops(&self) -> bool {
        !self.stopping.is_empty()
    }

    /// Shows machines that a task may fit on, those with the least room first,
    /// at most [`LOOK`] of each pool. `later`: what is being stopped counts as gone.
    pub fn candidates(
        &self,
        spec: &JobSpec,
        zone: Option<ZoneIx>,
        later: bool,
        mut see: impl FnMut(usize, &Host, &Pool),
    ) -> u64 {
        let need = Res::of(spec);
        let mut looked = 0;
        for p in &self.pools {
            if zone.is_some_and(|z| z != p.zone) || !p.allows(spec) {
                continue;
            }
            let (set, least) = if need.gpus > EPS {
                (&p.by_gpus, Pool::gpu_key(&need).saturating_sub(1))
            } else {
                // Whatever fits has at least the smaller of the two shares free.
                let part = |need: f64, cap: f64| if cap > 0.0 { need / cap } else { 1.0 };
                let share = part(need.cpus, p.cap.cpus).min(part(need.memory_gb, p.cap.memory_gb));
                (&p.by_room, (share * 1e4) as u32)
            };
            for &(_, n) in set.range((least, 0)..).take(LOOK) {
                looked += 1;
                let h = &self.hosts[n as usize];
                if p.host_allows(h, spec) && need.fits_in(&h.free) {
                    see(n as usize, h, p);
                }
            }
        }
        if later {
            for &n in self.stopping.iter().take(2 * LOOK) {
                looked += 1;
                let h = &self.hosts[n as usize];
                let Some(p) = h.pool.map(|p| &self.pools[p]) else { continue };
                if zone.is_none_or(|z| z == p.zone)
                    && p.allows(spec)
                    && p.host_allows(h, spec)
                    && need.fits_in(&(h.free + h.soon))
                {
                    see(n as usize, h, p);
                }
            }
        }
        looked
    }

    /// A sample of the machines this job may use, whatever is on them: at most
    /// `most` of each pool, beginning somewhere else each time.
    pub fn sample(&self, spec: &JobSpec, zone: Option<ZoneIx>, from: u32, most: usize) -> Vec<usize> {
        let mut out = Vec::new();
        for p in self.pools.iter().filter(|p| zone.is_none_or(|z| z == p.zone) && p.allows(spec)) {
            let all = p.members.range(from..).chain(p.members.range(..from));
            out.extend(all.take(most).map(|&n| n as usize).filter(|&n| p.host_allows(&self.hosts[n], spec)));
        }
        out
    }
}

#[cfg(test)]
#[path = "tests/snapshot.rs"]
mod tests;
