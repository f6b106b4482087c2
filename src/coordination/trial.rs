//! Trial placement of one job's tree on a picture of the machines.
//!
//! Children are walked greedily in a fixed order, without backtracking; after
//! each child the node is judged by the four counts (PAPER, "GangScheduling
//! Plugin Changes" and "Recursive Scheduling Cycle Execution"). What a failed
//! subtree assumed is taken back in reverse order.

use std::rc::Rc;

use super::model::{MachineIx, Res};
use crate::protocol::{
    jobs::{JobSpec, Kind, Priority},
    names::{ImageIx, TypeIx, ZoneIx},
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Success,
    Wait,
    Unschedulable,
    Unresolvable,
}

/// The four results, from the counts of a node's children.
/// `m` needed, `s` placed, `r` untried, `u` freeable by eviction; those that
/// can't fit at all (UU) are in none of them.
pub fn judge(m: usize, s: usize, r: usize, u: usize) -> Verdict {
    if s >= m {
        Verdict::Success
    } else if s + r >= m {
        Verdict::Wait
    } else if s + r + u >= m {
        Verdict::Unschedulable
    } else {
        Verdict::Unresolvable
    }
}

/// One machine as a trial sees it.
#[derive(Debug, Clone)]
pub struct Host {
    pub ix: MachineIx,
    pub ty: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub cap: Res,
    pub free: Res,
    /// What tasks that are being stopped will leave.
    pub soon: Res,
    pub images: Rc<[ImageIx]>,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    /// Production tasks on it: a dead machine takes them all.
    pub services: u32,
    pub slowness: f64,
    /// May take new tasks at all.
    pub open: bool,
    /// What GPU work lately asked for that this machine could run: tasks that
    /// can't be stopped for it must leave that much.
    pub guard: Option<Res>,
    /// Takes GPU work only: it is to run empty.
    pub gpu_only: bool,
    /// Used by tasks that are not stopped for others.
    pub fixed: Res,
}

#[derive(Debug, Clone, Default)]
pub struct Picture {
    pub hosts: Vec<Host>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    pub task: u32,
    pub host: usize,
}

/// What a job asks of a trial.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    pub spec: &'a JobSpec,
    /// Tasks to place, in order.
    pub tasks: &'a [u32],
    /// How many of them must be placed.
    pub min: usize,
    /// The job's tasks that are somewhere, by zone.
    pub zone_used: &'a [u32],
    /// Machines on which its tasks failed.
    pub avoid: &'a [MachineIx],
}

#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub verdict: Verdict,
    pub picks: Vec<Pick>,
}

impl Picture {
    pub fn host_allows(host: &Host, spec: &JobSpec) -> bool {
        host.open
            && spec.allows_type(host.ty)
            && spec.zone.is_none_or(|z| z == host.zone)
            && (spec.spot || !host.spot)
            && Res::of(spec).fits_in(&host.cap)
            && !(host.gpu_only && spec.gpus <= 0.0)
            && !Picture::takes_guarded(host, spec)
    }

    /// Guard against greedy siblings: a replica that stays for hours on a few
    /// CPUs of a machine with GPUs would keep all GPU work off it, and tasks
    /// that can't save would be stopped for it at their full loss.
    fn takes_guarded(host: &Host, spec: &JobSpec) -> bool {
        let need = Res::of(spec);
        need.gpus <= 0.0
            && Picture::is_fixed(spec)
            && host.guard.is_some_and(|g| !(g + need + host.fixed).fits_in(&host.cap))
    }

    /// Not stopped for others, or only at the loss of all it did.
    pub fn is_fixed(spec: &JobSpec) -> bool {
        spec.priority == Priority::Production || spec.checkpoint_s <= 0.0
    }

    /// Seconds that a start here is worth against a start elsewhere.
    fn score(host: &Host, spec: &JobSpec, need: &Res) -> f64 {
        let mut s = 0.0;
        if host.images.contains(&spec.image) {
            s += (spec.image_gb / host.fetch_gb_per_s.max(0.01)).min(60.0) + 1.0;
        } else {
            s -= (spec.image_gb / host.fetch_gb_per_s.max(0.01)).min(60.0);
        }
        if need.gpus <= 0.0 && host.cap.gpus > 0.0 {
            s -= 90.0;
        }
        // Best fit: leave whole machines whole.
        if host.cap.cpus > 0.0 {
            s += 3.0 * (1.0 - (host.free.cpus - need.cpus).max(0.0) / host.cap.cpus);
        }
        if spec.kind == Kind::Service {
            s -= 2.0 * f64::from(host.services);
        }
        if host.spot && spec.checkpoint_s <= 0.0 {
            s -= 2.0;
        }
        s - 20.0 * (host.slowness - 1.0).max(0.0)
    }

    fn best(&self, ask: &Ask<'_>, zone: Option<ZoneIx>) -> Option<usize> {
        let spec = ask.spec;
        let need = Res::of(spec);
        let mut best: Option<(f64, usize)> = None;
        for (i, h) in self.hosts.iter().enumerate() {
            if zone.is_some_and(|z| z != h.zone) || !Picture::host_allows(h, spec) || ask.avoid.contains(&h.ix) {
                continue;
            }
            if !need.fits_in(&h.free) {
                continue;
            }
            let s = Picture::score(h, spec, &need);
            if best.is_none_or(|(b, _)| s > b) {
                best = Some((s, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// A copy in which tasks that are being stopped are gone already.
    pub fn later(&self) -> Picture {
        let mut p = self.clone();
        for h in &mut p.hosts {
            h.free += h.soon;
            h.soon = Res::default();
        }
        p
    }

    /// Keeps room for picks made on [`Picture::later`]: first what is about to
    /// be free, then what is free now, so that nobody after takes it.
    pub fn reserve(&mut self, spec: &JobSpec, picks: &[Pick]) {
        let need = Res::of(spec);
        for p in picks {
            let h = &mut self.hosts[p.host];
            let from_soon = need.min(h.soon.max0());
            h.soon -= from_soon;
            h.free -= need - from_soon;
        }
    }

    fn assume(&mut self, spec: &JobSpec, pick: Pick) {
        let h = &mut self.hosts[pick.host];
        h.free -= Res::of(spec);
        if spec.kind == Kind::Service {
            h.services += 1;
        }
        if Picture::is_fixed(spec) {
            h.fixed += Res::of(spec);
        }
    }

    fn revert(&mut self, spec: &JobSpec, picks: &[Pick]) {
        for p in picks.iter().rev() {
            let h = &mut self.hosts[p.host];
            h.free += Res::of(spec);
            if spec.kind == Kind::Service {
                h.services -= 1;
            }
            if Picture::is_fixed(spec) {
                h.fixed -= Res::of(spec);
            }
        }
    }

    /// A leaf: its children are tasks, alike, so that the first that finds no
    /// room speaks for the rest. UU is 0 at a leaf.
    fn leaf(&mut self, ask: &Ask<'_>, tasks: &[u32], min: usize, zone: Option<ZoneIx>) -> Outcome {
        let mut picks = Vec::new();
        let mut u = 0;
        for (n, &task) in tasks.iter().enumerate() {
            match self.best(ask, zone) {
                Some(host) => {
                    let pick = Pick { task, host };
                    self.assume(ask.spec, pick);
                    picks.push(pick);
                }
                None => {
                    u = tasks.len() - n;
                    break;
                }
            }
        }
        let verdict = judge(min, picks.len(), 0, u);
        if verdict != Verdict::Success {
            self.revert(ask.spec, &picks);
            picks.clear();
        }
        Outcome { verdict, picks }
    }

    /// Zones that have hosts the job may use, the roomiest first.
    fn zones(&self, ask: &Ask<'_>) -> Vec<ZoneIx> {
        let need = Res::of(ask.spec);
        let mut out: Vec<(ZoneIx, u32)> = Vec::new();
        for h in self.hosts.iter().filter(|h| Picture::host_allows(h, ask.spec)) {
            let n = need.times_in(&h.free).min(1_000_000);
            match out.iter_mut().find(|(z, _)| *z == h.zone) {
                Some((_, sum)) => *sum += n,
                None => out.push((h.zone, n)),
            }
        }
        out.sort_by_key(|&(z, n)| (std::cmp::Reverse(n), z));
        out.into_iter().map(|(z, _)| z).collect()
    }

    /// Tries the whole tree. On success the picture keeps what was assumed;
    /// otherwise it is as before.
    pub fn trial(&mut self, ask: &Ask<'_>) -> Outcome {
        let spec = ask.spec;
        if spec.one_zone {
            return self.trial_one_zone(ask);
        }
        if spec.spread {
            return self.trial_spread(ask);
        }
        self.leaf(ask, ask.tasks, ask.min, None)
    }

    /// One composite child per candidate zone; the feasible one with the
    /// highest score wins. Score: tasks placed, then quick starts and the room left.
    fn trial_one_zone(&mut self, ask: &Ask<'_>) -> Outcome {
        let held = ask.zone_used.iter().position(|&n| n > 0).map(|z| ZoneIx(z as u32));
        let candidates = match held {
            Some(z) => vec![z],
            None => self.zones(ask),
        };
        let mut best: Option<(f64, ZoneIx)> = None;
        let mut verdict = Verdict::Unschedulable;
        let cap = (ask.spec.zone_cap() as usize).saturating_sub(held.map_or(0, |z| ask.zone_used[z.at()] as usize));
        let tasks = &ask.tasks[..ask.tasks.len().min(cap)];
        for z in candidates {
            let out = self.leaf(ask, tasks, ask.min, Some(z));
            if out.verdict == Verdict::Success {
                let need = Res::of(ask.spec);
                let picks = &out.picks;
                let quick: f64 = picks.iter().map(|p| Picture::score(&self.hosts[p.host], ask.spec, &need)).sum();
                let score = picks.len() as f64 * 1e6 + quick / picks.len().max(1) as f64;
                self.revert(ask.spec, picks);
                if best.is_none_or(|(b, _)| score > b) {
                    best = Some((score, z));
                }
            } else {
                verdict = out.verdict;
            }
        }
        match best {
            Some((_, z)) => self.leaf(ask, tasks, ask.min, Some(z)),
            None => Outcome { verdict, picks: Vec::new() },
        }
    }

    /// One child per zone, the roomiest first; each takes at most its part of
    /// the cap that `scatter` sets for a zone.
    fn trial_spread(&mut self, ask: &Ask<'_>) -> Outcome {
        let cap = ask.spec.zone_cap();
        let zones = self.zones(ask);
        let left: Vec<usize> = zones
            .iter()
            .map(|z| cap.saturating_sub(ask.zone_used.get(z.at()).copied().unwrap_or(0)) as usize)
            .collect();
        let mut picks: Vec<Pick> = Vec::new();
        let mut rest = ask.tasks;
        let mut u = 0;
        for (i, z) in zones.iter().enumerate() {
            let part = &rest[..rest.len().min(left[i])];
            if part.is_empty() {
                continue;
            }
            // What later zones can't take must be placed here.
            let later: usize = left[i + 1..].iter().sum();
            let must = if ask.min == ask.tasks.len() { rest.len().saturating_sub(later).min(part.len()) } else { 1 };
            let out = self.leaf(ask, part, must, Some(*z));
            if out.verdict != Verdict::Success {
                u += part.len();
                continue;
            }
            // What found no room here moves on to the next zone.
            let took = out.picks.len();
            picks.extend(out.picks);
            rest = &rest[took..];
        }
        let verdict = judge(ask.min, picks.len(), 0, u.max(rest.len()));
        if verdict != Verdict::Success {
            self.revert(ask.spec, &picks);
            picks.clear();
        }
        Outcome { verdict, picks }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::coordination::model::tests::spec;

    pub fn host(n: u32, zone: u32, cpus: f64) -> Host {
        let cap = Res { cpus, gpus: 0.0, memory_gb: 100.0 };
        Host {
            ix: MachineIx(n),
            ty: TypeIx(0),
            zone: ZoneIx(zone),
            spot: false,
            cap,
            free: cap,
            soon: Res::default(),
            images: Rc::from([]),
            fetch_gb_per_s: 1.0,
            price: 1.0,
            services: 0,
            slowness: 1.0,
            open: true,
            guard: None,
            gpu_only: false,
            fixed: Res::default(),
        }
    }

    #[test]
    fn the_four_results() {
        use Verdict::*;
        // (M, S, R, U, result)
        let cases = [
            (2, 2, 0, 0, Success),
            (0, 0, 0, 0, Success),
            (2, 1, 1, 0, Wait),
            (2, 0, 2, 5, Wait),
            (2, 1, 0, 1, Unschedulable),
            (3, 1, 1, 1, Unschedulable),
            (2, 1, 0, 0, Unresolvable),
            (5, 1, 1, 2, Unresolvable),
        ];
        for (m, s, r, u, want) in cases {
            assert_eq!(judge(m, s, r, u), want, "M={m} S={s} R={r} U={u}");
        }
    }

    #[test]
    fn trees_table() {
        use Verdict::*;
        struct Case {
            name: &'static str,
            hosts: Vec<Host>,
            kind: Kind,
            tasks: u32,
            min: usize,
            change: fn(&mut JobSpec),
            zone_used: Vec<u32>,
            want: (Verdict, usize),
        }
        let two = || vec![host(0, 0, 8.0), host(1, 1, 4.0)];
        let mut closed = host(0, 0, 8.0);
        closed.open = false;
        let mut spot = host(0, 0, 8.0);
        spot.spot = true;
        let mut gpu = host(0, 0, 8.0);
        gpu.cap.gpus = 4.0;
        gpu.free.gpus = 4.0;
        gpu.guard = Some(Res { cpus: 5.0, gpus: 4.0, memory_gb: 1.0 });
        let prod: fn(&mut JobSpec) = |s| s.priority = Priority::Production;
        let cases = vec![
            Case {
                name: "array takes what fits",
                hosts: two(),
                kind: Kind::Array,
                tasks: 9,
                min: 1,
                change: |_| {},
                zone_used: vec![0, 0],
                want: (Success, 6),
            },
            Case {
                name: "gang all",
                hosts: two(),
                kind: Kind::Gang,
                tasks: 6,
                min: 6,
                change: |_| {},
                zone_used: vec![0, 0],
                want: (Success, 6),
            },
            Case {
                name: "gang or nothing",
                hosts: two(),
                kind: Kind::Gang,
                tasks: 7,
                min: 7,
                change: |_| {},
                zone_used: vec![0, 0],
                want: (Unschedulable, 0),
            },
            Case {
                name: "one zone",
                hosts: two(),
                kind: Kind::Gang,
                tasks: 5,
                min: 5,
                change: |s| s.one_zone = true,
                zone_used: vec![0, 0],
                want: (Unschedulable, 0),
            },
            Case {
                name: "one zone fits",
                hosts: two(),
                kind: Kind::Gang,
                tasks: 4,
                min: 4,
                change: |s| s.one_zone = true,
                zone_used: vec![0, 0],
                want: (Success, 4),
            },
            // Guard: an old attempt still in the other zone binds the job there.
            Case {
                name: "one zone held",
                hosts: two(),
                kind: Kind::Array,
                tasks: 4,
                min: 1,
                change: |s| s.one_zone = true,
                zone_used: vec![0, 1],
                want: (Success, 2),
            },
            Case {
                name: "spread",
                hosts: two(),
                kind: Kind::Service,
                tasks: 5,
                min: 1,
                change: |s| s.spread = true,
                zone_used: vec![0, 0],
                want: (Success, 5),
            },
            // Guard: tasks that are already somewhere count against the half.
            Case {
                name: "spread held",
                hosts: two(),
                kind: Kind::Service,
                tasks: 5,
                min: 1,
                change: |s| s.spread = true,
                zone_used: vec![3, 0],
                want: (Success, 2),
            },
            Case {
                name: "spread gang",
                hosts: two(),
                kind: Kind::Gang,
                tasks: 6,
                min: 6,
                change: |s| s.spread = true,
                zone_used: vec![0, 0],
                want: (Unschedulable, 0),
            },
            Case {
                name: "no such type",
                hosts: two(),
                kind: Kind::Array,
                tasks: 1,
                min: 1,
                change: |s| s.types = Some(vec![TypeIx(7)]),
                zone_used: vec![0, 0],
                want: (Unschedulable, 0),
            },
            Case {
                name: "only zone 1",
                hosts: two(),
                kind: Kind::Array,
                tasks: 9,
                min: 1,
                change: |s| s.zone = Some(ZoneIx(1)),
                zone_used: vec![0, 0],
                want: (Success, 2),
            },
            Case {
                name: "no spot",
                hosts: vec![spot],
                kind: Kind::Array,
                tasks: 1,
                min: 1,
                change: |s| s.spot = false,
                zone_used: vec![0],
                want: (Unschedulable, 0),
            },
            // Guard: replicas left no GPU machine to the work that needs one.
            Case {
                name: "guarded",
                hosts: vec![gpu.clone()],
                kind: Kind::Service,
                tasks: 2,
                min: 1,
                change: prod,
                zone_used: vec![0],
                want: (Success, 1),
            },
            Case {
                name: "guarded, saves",
                hosts: vec![gpu],
                kind: Kind::Array,
                tasks: 5,
                min: 1,
                change: |s| s.checkpoint_s = 5.0,
                zone_used: vec![0],
                want: (Success, 4),
            },
            Case {
                name: "closed",
                hosts: vec![closed],
                kind: Kind::Array,
                tasks: 1,
                min: 1,
                change: |_| {},
                zone_used: vec![0],
                want: (Unschedulable, 0),
            },
        ];
        for c in cases {
            let mut s = spec(c.kind, Priority::Normal, c.tasks, 2.0);
            (c.change)(&mut s);
            let mut p = Picture { hosts: c.hosts };
            let before: Vec<Res> = p.hosts.iter().map(|h| h.free).collect();
            let tasks: Vec<u32> = (0..c.tasks).collect();
            let ask = Ask { spec: &s, tasks: &tasks, min: c.min, zone_used: &c.zone_used, avoid: &[] };
            let out = p.trial(&ask);
            assert_eq!((out.verdict, out.picks.len()), c.want, "{}", c.name);
            if out.verdict != Success {
                let after: Vec<Res> = p.hosts.iter().map(|h| h.free).collect();
                assert_eq!(before, after, "{}: taken back", c.name);
            }
            let mut seen: Vec<u32> = out.picks.iter().map(|p| p.task).collect();
            seen.dedup();
            assert_eq!(seen.len(), out.picks.len(), "{}: each task once", c.name);
        }
    }
}
