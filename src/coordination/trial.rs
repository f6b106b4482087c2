//! Trial placement of one job's tree on a snapshot of the machines.
//!
//! Children are walked greedily in a fixed order, without backtracking; after
//! each child the node is judged by the four counts (PAPER, "GangScheduling
//! Plugin Changes" and "Recursive Scheduling Cycle Execution"). What a failed
//! subtree assumed is taken back in reverse order.

use super::{
    model::{MachineIx, Res},
    snapshot::{ClusterSnapshot, Host, Pool},
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
pub struct TrialRequest<'a> {
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

impl ClusterSnapshot {
    fn best(&mut self, ask: &TrialRequest<'_>, zone: Option<ZoneIx>) -> Option<usize> {
        let need = Res::of(ask.spec);
        let mut best: Option<(f64, usize)> = None;
        let looked = self.candidates(ask.spec, zone, ask.later, |n, h, p| {
            if ask.avoid.contains(&MachineIx(n as u32)) || (ask.busy_only && (h.assignments == 0 || h.gpu_only)) {
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
    fn again(&self, ask: &TrialRequest<'_>, host: usize) -> bool {
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
    fn leaf(&mut self, ask: &TrialRequest<'_>, tasks: &[u32], min: usize, zone: Option<ZoneIx>) -> Outcome {
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
    fn zones(&self, ask: &TrialRequest<'_>) -> Vec<ZoneIx> {
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

    /// Tries the whole tree, and leaves the snapshot as it was: whoever wants
    /// what was found makes places of it, or reserves them.
    pub fn trial(&mut self, ask: &TrialRequest<'_>) -> Outcome {
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
    fn trial_one_zone(&mut self, ask: &TrialRequest<'_>) -> Outcome {
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
    fn trial_spread(&mut self, ask: &TrialRequest<'_>) -> Outcome {
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
#[path = "tests/trial.rs"]
mod tests;
