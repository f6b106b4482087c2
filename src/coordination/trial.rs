//! Trial placement of one job's tree on a picture of the machines.
//!
//! Children are walked greedily in a fixed order, without backtracking; after
//! each child the node is judged by the four counts (PAPER, "GangScheduling
//! Plugin Changes" and "Recursive Scheduling Cycle Execution"). What a failed
//! subtree assumed is taken back in reverse order.

use super::{
    model::{MachineIx, Res},
    picture::{Host, Picture, Pool},
};
use crate::protocol::{
    jobs::{JobSpec, Kind},
    names::ZoneIx,
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
    /// As if tasks that are being stopped were gone already.
    pub later: bool,
    /// Only on machines that hold something.
    pub busy_only: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub verdict: Verdict,
    pub picks: Vec<Pick>,
}

/// Seconds that a start here is worth against a start elsewhere.
pub fn score(pool: &Pool, host: &Host, spec: &JobSpec, need: &Res) -> f64 {
    let mut s = 0.0;
    let fetch_s = (spec.image_gb / pool.fetch_gb_per_s.max(0.01)).min(60.0);
    s += if host.has_image(spec.image) { fetch_s + 1.0 } else { -fetch_s };
    if need.gpus <= 0.0 && pool.cap.gpus > 0.0 {
        s -= 90.0;
    }
    // Best fit: leave whole machines whole.
    if pool.cap.cpus > 0.0 {
        s += 3.0 * (1.0 - (host.free.cpus - need.cpus).max(0.0) / pool.cap.cpus);
    }
    if spec.kind == Kind::Service {
        s -= 2.0 * f64::from(host.services);
    }
    if pool.spot && spec.checkpoint_s <= 0.0 {
        s -= 2.0;
    }
    s
}

impl Picture {
    fn best(&mut self, ask: &Ask<'_>, zone: Option<ZoneIx>) -> Option<usize> {
        let need = Res::of(ask.spec);
        let mut best: Option<(f64, usize)> = None;
        let looked = self.candidates(ask.spec, zone, ask.later, |n, h, p| {
            if ask.avoid.contains(&MachineIx(n as u32)) || (ask.busy_only && (h.places == 0 || h.gpu_only)) {
                return;
            }
            let s = score(p, h, ask.spec, &need);
            if best.is_none_or(|(b, _)| s > b) {
                best = Some((s, n));
            }
        });
        self.looked += looked;
        best.map(|(_, n)| n)
    }

    /// One more task of the same job on the machine that its last one took?
    fn again(&self, ask: &Ask<'_>, host: usize) -> bool {
        let h = &self.hosts[host];
        let room = if ask.later { h.free + h.soon } else { h.free };
        ask.spec.kind != Kind::Service
            && Res::of(ask.spec).fits_in(&room)
            && h.pool.is_some_and(|p| self.pools[p].host_allows(h, ask.spec))
    }

    fn revert_all(&mut self, spec: &JobSpec, picks: &[Pick]) {
        for p in picks.iter().rev() {
            self.revert(p.host, spec);
        }
    }

    /// A leaf: its children are tasks, alike, so that the first that finds no
    /// room speaks for the rest, and a machine that was best for one takes as
    /// many as fit. UU is 0 at a leaf. On success the picks stay assumed.
    fn leaf(&mut self, ask: &Ask<'_>, tasks: &[u32], min: usize, zone: Option<ZoneIx>) -> Outcome {
        let mut picks: Vec<Pick> = Vec::new();
        let mut u = 0;
        for (n, &task) in tasks.iter().enumerate() {
            let same = picks.last().map(|p| p.host).filter(|&h| self.again(ask, h));
            match same.or_else(|| self.best(ask, zone)) {
                Some(host) => {
                    self.assume(host, ask.spec);
                    picks.push(Pick { task, host });
                }
                None => {
                    u = tasks.len() - n;
                    break;
                }
            }
        }
        let verdict = judge(min, picks.len(), 0, u);
        if verdict != Verdict::Success {
            self.revert_all(ask.spec, &picks);
            picks.clear();
        }
        Outcome { verdict, picks }
    }

    /// Zones with machines that the job may use, the roomiest first.
    fn zones(&self, ask: &Ask<'_>) -> Vec<ZoneIx> {
        let need = Res::of(ask.spec);
        let mut out: Vec<(ZoneIx, u32)> = Vec::new();
        for p in self.pools.iter().filter(|p| !p.members.is_empty() && p.allows(ask.spec)) {
            let n = need.times_in(&p.room).min(1_000_000);
            match out.iter_mut().find(|(z, _)| *z == p.zone) {
                Some((_, sum)) => *sum += n,
                None => out.push((p.zone, n)),
            }
        }
        out.sort_by_key(|&(z, n)| (std::cmp::Reverse(n), z));
        out.into_iter().map(|(z, _)| z).collect()
    }

    /// Tries the whole tree, and leaves the picture as it was: whoever wants
    /// what was found makes places of it, or reserves them.
    pub fn trial(&mut self, ask: &Ask<'_>) -> Outcome {
        let out = if ask.spec.one_zone {
            self.trial_one_zone(ask)
        } else if ask.spec.spread {
            self.trial_spread(ask)
        } else {
            self.leaf(ask, ask.tasks, ask.min, None)
        };
        self.revert_all(ask.spec, &out.picks);
        out
    }

    /// One composite child per candidate zone; the feasible one with the
    /// highest score wins. Score: tasks placed, then quick starts and the room left.
    fn trial_one_zone(&mut self, ask: &Ask<'_>) -> Outcome {
        let held = ask.zone_used.iter().position(|&n| n > 0).map(|z| ZoneIx(z as u32));
        let candidates = match held {
            Some(z) => vec![z],
            None => self.zones(ask),
        };
        let mut best: Option<(f64, Outcome)> = None;
        let mut verdict = Verdict::Unschedulable;
        let cap = (ask.spec.zone_cap() as usize).saturating_sub(held.map_or(0, |z| ask.zone_used[z.at()] as usize));
        let tasks = &ask.tasks[..ask.tasks.len().min(cap)];
        for z in candidates {
            let out = self.leaf(ask, tasks, ask.min, Some(z));
            if out.verdict != Verdict::Success {
                verdict = out.verdict;
                continue;
            }
            let need = Res::of(ask.spec);
            let quick = |p: &Pick| {
                let h = &self.hosts[p.host];
                h.pool.map_or(0.0, |n| score(&self.pools[n], h, ask.spec, &need))
            };
            let quick: f64 = out.picks.iter().map(quick).sum();
            let s = out.picks.len() as f64 * 1e6 + quick / out.picks.len().max(1) as f64;
            self.revert_all(ask.spec, &out.picks);
            if best.as_ref().is_none_or(|(b, _)| s > *b) {
                best = Some((s, out));
            }
        }
        match best {
            Some((_, out)) => {
                for p in &out.picks {
                    self.assume(p.host, ask.spec);
                }
                out
            }
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
            self.revert_all(ask.spec, &picks);
            picks.clear();
        }
        Outcome { verdict, picks }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        coordination::model::{tests::spec, TypeInfo},
        protocol::{jobs::Priority, names::TypeIx},
    };

    /// A machine of a case: zone, CPUs, GPUs, spot, what GPU work needs there.
    type Machine = (u32, f64, f64, bool, Option<Res>);

    fn picture(machines: &[Machine]) -> Picture {
        let mut p = Picture::default();
        for (n, &(zone, cpus, gpus, spot, guard)) in machines.iter().enumerate() {
            let t = TypeInfo {
                // One type for each size; those of a case without GPUs are type 0.
                ix: TypeIx(0),
                cap: Res { cpus, gpus, memory_gb: 100.0 },
                cache_gb: 50.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.5,
                boot_s: 5.0,
                zones: vec![ZoneIx(zone)],
            };
            let pool = p.pool_of(&t, ZoneIx(zone), spot);
            p.pools[pool].guard = guard;
            p.move_to(n, Some(pool));
            p.set_open(n, true, false);
        }
        p
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
            hosts: Vec<Machine>,
            kind: Kind,
            tasks: u32,
            min: usize,
            change: fn(&mut JobSpec),
            zone_used: Vec<u32>,
            want: (Verdict, usize),
        }
        let two = || vec![(0, 8.0, 0.0, false, None), (1, 4.0, 0.0, false, None)];
        let spot = (0, 8.0, 0.0, true, None);
        let gpu = (0, 8.0, 4.0, false, Some(Res { cpus: 5.0, gpus: 4.0, memory_gb: 1.0 }));
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
                hosts: vec![gpu],
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
                name: "more than a machine has",
                hosts: two(),
                kind: Kind::Array,
                tasks: 1,
                min: 1,
                change: |s| s.cpus = 9.0,
                zone_used: vec![0],
                want: (Unschedulable, 0),
            },
        ];
        for c in cases {
            let mut s = spec(c.kind, Priority::Normal, c.tasks, 2.0);
            (c.change)(&mut s);
            let mut p = picture(&c.hosts);
            let room = |p: &Picture| p.hosts.iter().map(|h| (h.free, h.soon)).collect::<Vec<_>>();
            let before = room(&p);
            let tasks: Vec<u32> = (0..c.tasks).collect();
            let mut ask = Ask {
                spec: &s,
                tasks: &tasks,
                min: c.min,
                zone_used: &c.zone_used,
                avoid: &[],
                later: false,
                busy_only: false,
            };
            let out = p.trial(&ask);
            assert_eq!((out.verdict, out.picks.len()), c.want, "{}", c.name);
            assert_eq!(before, room(&p), "{}: taken back", c.name);
            let mut seen: Vec<u32> = out.picks.iter().map(|p| p.task).collect();
            seen.dedup();
            assert_eq!(seen.len(), out.picks.len(), "{}: each task once", c.name);
            // What is reserved is nobody else's until it is released.
            for pick in &out.picks {
                p.reserve(pick.host, Res::of(&s), Res::default());
            }
            let full = p.trial(&ask);
            assert!(c.want.0 != Success || full.picks.len() < c.tasks as usize, "{}", c.name);
            p.release(0);
            assert_eq!(before, room(&p), "{}: released", c.name);
            // Machines that take nothing, and those where everything stops.
            for n in 0..c.hosts.len() {
                p.set_open(n, false, false);
            }
            assert_eq!(p.trial(&ask).picks.len(), 0, "{}: closed", c.name);
            for n in 0..c.hosts.len() {
                p.set_open(n, true, false);
                for _ in 0..9 {
                    p.take(n, &s);
                    p.stop(n, &s);
                }
            }
            assert_eq!(p.trial(&ask).picks.len(), 0, "{}: full", c.name);
            ask.later = true;
            let after = p.trial(&ask);
            if c.hosts.iter().all(|h| h.4.is_none()) {
                assert_eq!((after.verdict, after.picks.len()), c.want, "{}: later", c.name);
            }
            for n in 0..c.hosts.len() {
                for _ in 0..9 {
                    p.give(n, &s, true);
                }
            }
            assert_eq!(before, room(&p), "{}: all gone", c.name);
        }
    }
}
