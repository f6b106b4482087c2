//! The fleet: what is rented for work that waits, and what is handed back.

use std::collections::HashMap;

use super::{
    leader::{Effect, Leader},
    model::*,
    trial::{TrialRequest, Verdict},
};
use crate::{
    bookkeeping::{job_cache::JobIx, records::Status},
    protocol::{
        cloud::{HostList, HostState, RentRequest},
        jobs::Kind,
        names::{Tables, TypeIx, ZoneIx},
    },
};

const THINK_MS: Ms = 250;
const LIST_MS: Ms = 2_500;
const RETURN_MS: Ms = 400;
/// Nothing waited for room for this long.
const QUIET_MS: Ms = 12_000;
/// Idle machines are kept for this many times what getting them again takes.
const KEEP: f64 = 1.4;
/// GPU work that last came this long ago is not expected any more.
const STILL_COMES_MS: i64 = 90_000;
/// Paid for a machine, against what its replicas would cost on fitting ones.
const DEAR: f64 = 3.0;
const CONSOLIDATE_MS: Ms = 2_000;

/// A type, a zone, and whether spot.
pub(super) type Offer = (TypeIx, ZoneIx, bool);

#[derive(Debug)]
pub(super) enum Call {
    Rent { offer: Offer, req: RentRequest },
    Return(Vec<MachineIx>),
    List,
}

#[derive(Debug)]
pub struct Fleet {
    nonce: u64,
    asks: u64,
    pub(super) calls: HashMap<u64, Call>,
    /// Rent requests that went unanswered: the same again until it is known.
    pub(super) again: Vec<(Offer, RentRequest, Ms)>,
    pub(super) refused: HashMap<Offer, (Ms, Ms)>,
    pub unmet: Vec<(JobIx, u32)>,
    next_list: Ms,
    next_think: Ms,
    next_return: Ms,
    pub listed_once: bool,
    /// Since when most machines of a zone have been heard from.
    sound: HashMap<ZoneIx, Ms>,
    /// When the cloud last answered.
    pub cloud_ok: Ms,
    /// When work last waited for room.
    pub crowded: Ms,
    next_consolidation: Ms,
}

#[derive(Debug)]
pub enum RentOutcome {
    Rented(Vec<String>),
    NoCapacity,
    /// Not executed, or not known: the same request again.
    Again,
    Malformed,
}

impl Fleet {
    pub fn new(nonce: u64, now: Ms) -> Fleet {
        Fleet {
            nonce,
            asks: 0,
            calls: HashMap::new(),
            again: Vec::new(),
            refused: HashMap::new(),
            unmet: Vec::new(),
            next_list: now,
            next_think: now,
            next_return: now,
            listed_once: false,
            sound: HashMap::new(),
            cloud_ok: now,
            crowded: now,
            next_consolidation: now,
        }
    }

    /// Request names carry this leadership's random number: never used twice,
    /// by no controller.
    pub(super) fn ask(&mut self) -> String {
        self.asks += 1;
        format!("r-{:016x}-{}", self.nonce, self.asks)
    }
}

impl Leader {
    pub fn fleet_step(&mut self, now: Ms, tables: &Tables) {
        if now >= self.fleet.next_list && !self.fleet.calls.values().any(|c| matches!(c, Call::List)) {
            self.fleet.next_list = now + LIST_MS;
            self.list(None);
        }
        if now >= self.fleet.next_return {
            self.fleet.next_return = now + RETURN_MS;
            self.note_zones(now);
            self.hand_back(now);
        }
        if !self.fleet.unmet.is_empty() {
            self.fleet.crowded = now;
        }
        if now >= self.fleet.next_consolidation {
            self.fleet.next_consolidation = now + CONSOLIDATE_MS;
            self.consolidate(now);
        }
        if now >= self.fleet.next_think {
            self.fleet.next_think = now + THINK_MS;
            self.rent(now, tables);
        }
    }

    fn list(&mut self, from: Option<String>) {
        let call = self.call_id();
        self.fleet.calls.insert(call, Call::List);
        self.effects.push(Effect::List { call, from });
    }

    // ---- handing back --------------------------------------------------

    fn hand_back(&mut self, now: Ms) {
        // Taken over with tasks on it, and not heard since this leader began.
        let inherited = |m: &Machine| m.life == MachineLifecycle::Booting && !m.assignments.is_empty();
        let silent = |m: &Machine| {
            let since = m.heard.unwrap_or(self.started + self.cfg.report_ms);
            let overdue = now > since + self.cfg.silent_ms || m.probe_fails >= 2;
            overdue && m.life != MachineLifecycle::Gone && (m.life != MachineLifecycle::Booting || inherited(m))
        };
        // Guard: a cut silences the machines behind it, which may well be
        // running. A machine is believed dead only if others of its zone were
        // heard after the moment it should have been: a cut would have stopped
        // those too. Where it has no others, those of all zones speak for it,
        // after twice the time.
        let report_ms = self.cfg.report_ms;
        // When each zone's machines were last heard, the latest last.
        let mut heard_in: HashMap<Option<ZoneIx>, Vec<Ms>> = HashMap::new();
        if self.machines.iter().any(silent) {
            for m in self.machines.iter().filter(|m| m.life == MachineLifecycle::Up || inherited(m)) {
                for z in [None, Some(m.zone)] {
                    heard_in.entry(z).or_default().push(m.heard.unwrap_or(0));
                }
            }
            heard_in.values_mut().for_each(|l| l.sort_unstable());
        }
        let alone = |suspect: &Machine| {
            let since = suspect.heard.unwrap_or(self.started + report_ms);
            let due = since + report_ms * 5 / 4 + 100;
            // It is one of them itself, and was not heard.
            let others = |zone: Option<ZoneIx>| {
                let l = heard_in.get(&zone).map_or(&[][..], Vec::as_slice);
                (l.len() - l.partition_point(|&h| h <= due), l.len().saturating_sub(1))
            };
            match others(Some(suspect.zone)) {
                (_, 0) => {
                    let (heard, n) = others(None);
                    heard * 3 > n && now > since + 2 * self.cfg.silent_ms
                }
                (heard, n) => heard * 3 >= n && self.zone_sound(now, suspect.zone),
            }
        };
        let cloud_there = self.fleet.cloud_ok + 5_000 > now;
        let mut ids = Vec::new();
        for (n, m) in self.machines.iter().enumerate() {
            if ids.len() >= 50 || now < m.return_after {
                continue;
            }
            let why = match m.life {
                MachineLifecycle::Gone => continue,
                MachineLifecycle::Returning => "asked before",
                MachineLifecycle::Booting if inherited(m) => {
                    if silent(m) && cloud_there && alone(m) {
                        "silent"
                    } else {
                        continue;
                    }
                }
                MachineLifecycle::Booting => {
                    let boot = self.type_of(m).map_or(60.0, |t| t.boot_s);
                    let most = (boot * 3.0 + 15.0) * 1000.0;
                    let after = m.rented.max(self.started);
                    if (now - after) as f64 > most {
                        "never came up"
                    } else {
                        continue;
                    }
                }
                MachineLifecycle::Up if silent(m) && cloud_there && alone(m) => "silent",
                MachineLifecycle::Up if m.is_deaf() && cloud_there && self.others_heed(now, m) => "hears nothing",
                MachineLifecycle::Up if m.assignments.is_empty() && m.retire => "retired",
                MachineLifecycle::Up if m.assignments.is_empty() && self.idle_long(now, m) => "idle",
                MachineLifecycle::Up => continue,
            };
            ids.push((MachineIx(n as u32), why));
        }
        if ids.is_empty() {
            return;
        }
        for &(ix, why) in &ids {
            let m = &mut self.machines[ix.at()];
            if m.life != MachineLifecycle::Returning {
                tracing::info!(machine = &*m.id, why, tasks = m.assignments.len(), "handing back");
            }
            m.life = MachineLifecycle::Returning;
            m.return_after = now + 2_500;
            self.refresh(now, ix);
        }
        let call = self.call_id();
        let names = ids.iter().map(|(ix, _)| self.machine(*ix).id.clone()).collect();
        self.fleet.calls.insert(call, Call::Return(ids.into_iter().map(|(ix, _)| ix).collect()));
        self.effects.push(Effect::Return { call, ids: names });
    }

    /// Notes since when most machines of each zone have been heard from.
    pub fn note_zones(&mut self, now: Ms) {
        let mut zones: HashMap<ZoneIx, (u32, u32)> = HashMap::new();
        for m in &self.machines {
            if m.life == MachineLifecycle::Up || (m.life == MachineLifecycle::Booting && !m.assignments.is_empty()) {
                let z = zones.entry(m.zone).or_default();
                z.0 += u32::from(m.heard.is_some_and(|h| now < h + 2 * self.cfg.report_ms));
                z.1 += 1;
            }
        }
        for (z, (heard, all)) in zones {
            if heard * 2 >= all {
                self.fleet.sound.entry(z).or_insert(now);
            } else {
                self.fleet.sound.remove(&z);
            }
        }
    }

    /// Guard: when a cut ends, or a leader is new, machines come back one by
    /// one; the last of them are not dead.
    fn zone_sound(&self, now: Ms, zone: ZoneIx) -> bool {
        self.fleet.sound.get(&zone).is_some_and(|since| now > since + self.cfg.silent_ms)
    }

    /// Most machines that speak take what they are told; otherwise it is we
    /// who don't get through.
    fn others_heed(&self, now: Ms, deaf: &Machine) -> bool {
        let lately = |m: &&Machine| {
            m.life == MachineLifecycle::Up
                && m.id != deaf.id
                && m.heard.is_some_and(|h| now < h + 2 * self.cfg.report_ms)
        };
        let (mut heed, mut all) = (0, 0);
        for m in self.machines.iter().filter(lately) {
            all += 1;
            heed += usize::from(m.unheeded == 0);
        }
        heed * 2 > all
    }

    fn idle_long(&self, now: Ms, m: &Machine) -> bool {
        m.idle_since.is_some_and(|s| now > s + self.keep_ms(now, m))
    }

    /// A machine that takes long to get again is kept longer.
    fn keep_ms(&self, now: Ms, m: &Machine) -> Ms {
        let again = self.type_of(m).map_or(0.0, |t| {
            if t.cap.gpus <= 0.0 {
                return t.boot_s;
            }
            // With GPUs, the image counts too; but only while such work comes.
            let users = self.gpu_shapes.iter().filter(|(s, _, came)| {
                s.allows_type(t.ix) && Res::of(s).fits_in(&t.cap) && now as i64 - came < STILL_COMES_MS
            });
            users.map(|(s, _, _)| t.boot_s + s.image_gb / t.fetch_gb_per_s.max(0.01)).fold(0.0, f64::max)
        });
        self.cfg.idle_keep_ms.max((again * KEEP * 1000.0) as Ms)
    }

    /// An expensive machine whose GPUs have no use takes no other work once
    /// nothing waits: it runs empty and goes back.
    pub fn runs_empty(&self, now: Ms, m: &Machine, t: &TypeInfo) -> bool {
        if t.cap.gpus <= 0.0 || t.cap.cpus <= 0.0 || now < self.fleet.crowded + QUIET_MS {
            return false;
        }
        let per_cpu = |t: &TypeInfo| t.price_of(m.spot) / t.cap.cpus;
        let cheapest = self.types.iter().filter(|t| t.cap.cpus > 0.0).map(per_cpu).fold(f64::INFINITY, f64::min);
        m.gpu_idle_since.is_some_and(|s| now > s + QUIET_MS) && per_cpu(t) > 2.0 * cheapest
    }

    /// When nothing waits, replicas on the dearest machine that holds nothing
    /// else move to where there is room among others, and it goes back. A move
    /// costs a replica the moment between its stop and its start.
    fn consolidate(&mut self, now: Ms) {
        if now < self.fleet.crowded + QUIET_MS || now < self.started + 4 * QUIET_MS {
            return;
        }
        if self.machines.iter().any(|m| m.retire && !m.assignments.is_empty()) {
            return;
        }
        let mut candidates: Vec<(f64, MachineIx)> = Vec::new();
        for (n, m) in self.machines.iter().enumerate() {
            let settled = m.up_at.is_some_and(|u| now > u + self.cfg.idle_keep_ms);
            if m.life != MachineLifecycle::Up || m.retire || m.assignments.is_empty() || !settled || !m.fenced() {
                continue;
            }
            let movable = m.assignments.iter().all(|&p| {
                self.assignment(p).is_some_and(|p| {
                    let service = self.job(p.job).is_some_and(|j| {
                        j.spec.kind == Kind::Service && j.status == Status::Pending && j.spec.gpus <= 0.0
                    });
                    let steady = p.running_since.is_some_and(|s| now > s + self.cfg.idle_keep_ms);
                    service && steady && p.halt.is_none()
                })
            });
            let price = self.type_of(m).map_or(0.0, |t| t.price_of(m.spot));
            // Worth the moment without them only where much is paid for little.
            let fair: f64 =
                m.assignments.iter().filter_map(|&p| self.assignment(p)).map(|p| self.fair_price(p.job)).sum();
            if movable && price > DEAR * fair {
                candidates.push((price, MachineIx(n as u32)));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.keep_all_headroom(now);
        let kept = self.snapshot.reservations();
        for (price, ix) in candidates.into_iter().take(4) {
            // Not to empty machines, nor to any that hold the machine's like.
            let all = self.machine(ix).assignments.clone().iter().all(|&p| self.has_another_assignment(ix, p));
            self.snapshot.release(kept);
            if !all {
                continue;
            }
            let m = &mut self.machines[ix.at()];
            tracing::info!(machine = &*m.id, price, replicas = m.assignments.len(), "its replicas move, it goes back");
            m.retire = true;
            for p in m.assignments.clone() {
                self.halt(now, p, 0.0);
            }
            self.refresh(now, ix);
            self.pass_needed = true;
            break;
        }
        self.snapshot.release(0);
    }

    /// Room elsewhere for a replica on `from`, where its image is; kept for it.
    fn has_another_assignment(&mut self, from: MachineIx, p: AssignmentIx) -> bool {
        let Some(assignment) = self.assignment(p) else { return false };
        let Some(job) = self.job(assignment.job) else { return false };
        let (spec, task) = (job.spec.clone(), assignment.task);
        // Its other replicas keep their zones.
        let mut zone_used = job.zone_used.clone();
        if let Some(n) = zone_used.get_mut(assignment.zone.at()) {
            *n -= 1;
        }
        let ask = TrialRequest {
            spec: &spec,
            tasks: &[task],
            min: 1,
            zone_used: &zone_used,
            avoid: &[from],
            later: false,
            busy_only: true,
        };
        let out = self.snapshot.trial(&ask);
        for p in &out.picks {
            self.snapshot.reserve(p.host, Res::of(&spec), Res::default());
        }
        out.verdict == Verdict::Success && out.picks.iter().all(|p| self.snapshot.hosts[p.host].has_image(spec.image))
    }

    /// What a task of this job costs an hour on the machine type that suits it best.
    fn fair_price(&self, job: JobIx) -> f64 {
        let Some(job) = self.job(job) else { return 0.0 };
        let need = Res::of(&job.spec);
        let slot = |t: &TypeInfo| t.price_of(job.spec.spot) / f64::from(need.times_in(&t.cap).max(1));
        self.types
            .iter()
            .filter(|t| need.fits_in(&t.cap) && job.spec.allows_type(t.ix))
            .map(slot)
            .fold(f64::INFINITY, f64::min)
    }

    /// A 200 to a return: the machines and everything on them are gone.
    pub fn returned(&mut self, now: Ms, call: u64, ok: bool) {
        let Some(Call::Return(list)) = self.fleet.calls.remove(&call) else { return };
        for ix in list {
            if ok {
                self.free_machine(ix, None);
                let m = &mut self.machines[ix.at()];
                m.life = MachineLifecycle::Gone;
                m.call = None;
                self.refresh(now, ix);
            } else {
                self.machines[ix.at()].return_after = now + 1_000;
            }
        }
        self.pass_needed = true;
    }

    // ---- the list ------------------------------------------------------

    pub fn listed(&mut self, now: Ms, call: u64, list: Option<&HostList>, tables: &mut Tables) {
        self.fleet.calls.remove(&call);
        let Some(list) = list else { return };
        self.fleet.listed_once = true;
        self.fleet.cloud_ok = now;
        for h in &list.hosts {
            let zone = tables.zones.intern(&h.zone);
            let known = self.machine_ix.contains_key(&h.id);
            let ix = self.machine_named(now, &h.id, zone);
            let age = (h.age_s.clamp(0.0, 1e9) * 1000.0) as Ms;
            let m = &mut self.machines[ix.at()];
            if m.life == MachineLifecycle::Gone {
                continue; // lists lag
            }
            m.zone = zone;
            m.listed = true;
            m.ty = m.ty.or(Some(tables.types.intern(&h.machine_type)));
            m.spot = h.spot;
            if let Some(a) = &h.addr {
                m.addr = m.addr.or(a.parse().ok());
            }
            if !known {
                m.rented = now.saturating_sub(age);
                tracing::info!(machine = &*m.id, state = ?h.state, "adopted from the list");
            }
            if h.state == HostState::Failed && m.life != MachineLifecycle::Returning {
                tracing::info!(machine = &*m.id, "failed");
                m.life = MachineLifecycle::Returning;
                m.return_after = now;
            }
        }
        if list.truncated {
            if let Some(last) = list.hosts.last() {
                self.list(Some(last.id.clone()));
            }
        }
    }
}
