//! Expensive machines with little on them are vacated and handed back.

use crate::{
    coordination::{
        cluster::UNCROWDED_MS,
        leader::Leader,
        model::{AssignmentIndex, Job, MachineIndex, MachineLifecycle, MachineTypeSpec, Millis, Resources},
        scheduler::{
            headroom,
            trial::{HostFilter, TrialRequest, Verdict},
        },
        snapshot::RoomKind,
        workers::SAVE_MARGIN_S,
    },
    protocol::jobs::Kind,
    storage::{job_cache::JobIndex, records::JobStatus},
};

/// A machine is vacated only if it costs more than this many times what its
/// replicas would cost on fitting ones: a move interrupts each of them.
const PRICE_FACTOR: f64 = 3.0;
/// A new leader vacates nothing for this many times [`UNCROWDED_MS`].
const START_DELAY_FACTOR: Millis = 4;
/// Machines tried in one step, the most expensive first.
const CANDIDATES_PER_STEP: usize = 4;

/// Machines drained of best-effort work in one step: their ends have to be written.
const DRAINS_PER_STEP: usize = 8;

/// A machine that may be vacated.
struct Candidate {
    price: f64,
    machine: MachineIndex,
}

impl Leader {
    /// When nothing waits, replicas on the most expensive machine that holds nothing
    /// else move to where there is room among others, and it goes back. A move
    /// costs a replica the moment between its stop and its start.
    pub fn consolidate(&mut self, now: Millis) {
        self.drain_best_effort_work(now);
        let is_crowded = self.cluster.backlog.is_recent(now);
        if is_crowded || now < self.cluster.started + START_DELAY_FACTOR * UNCROWDED_MS {
            return;
        }
        if self.cluster.machines.iter().any(|machine| machine.cordoned && !machine.load.assignments.is_empty()) {
            return;
        }
        let candidates = self.consolidation_candidates(now);
        headroom::reserve_all_headroom(&mut self.cluster, now);
        let kept = self.cluster.snapshot.reservations();
        for candidate in candidates.into_iter().take(CANDIDATES_PER_STEP) {
            let is_movable = self.find_room_for_all(candidate.machine);
            self.cluster.snapshot.release(kept);
            if is_movable {
                self.vacate(now, &candidate);
                break;
            }
        }
        self.cluster.snapshot.release(0);
    }

    /// Expensive machines on which nothing runs but tasks of teams without a
    /// guarantee, which can save what they did, are drained and handed back.
    ///
    /// Guard: such tasks may run for minutes, one after another: what they hold
    /// is as good as rented for them.
    fn drain_best_effort_work(&mut self, now: Millis) {
        let drained: Vec<MachineIndex> = (0..self.cluster.machines.len() as u32)
            .map(MachineIndex)
            .filter(|&index| self.holds_only_best_effort_work(index))
            .take(DRAINS_PER_STEP)
            .collect();
        for index in drained {
            let machine = &mut self.cluster.machines[index.at()];
            tracing::info!(
                machine = &*machine.id,
                tasks = machine.load.assignments.len(),
                "drained of unguaranteed work"
            );
            machine.cordoned = true;
            for assignment_index in machine.load.assignments.clone() {
                let save_s = self.save_time_s(assignment_index);
                self.cluster.halt(now, assignment_index, save_s);
            }
            self.cluster.refresh(now, index);
            self.cluster.cycle_needed = true;
        }
    }

    fn holds_only_best_effort_work(&self, index: MachineIndex) -> bool {
        let machine = self.cluster.machine(index);
        let takes_gpu_work_only = self.cluster.snapshot.hosts.get(index.at()).is_some_and(|host| host.gpu_only);
        let may_be_drained = machine.lifecycle == MachineLifecycle::Up && !machine.cordoned && machine.fenced();
        if !takes_gpu_work_only || !may_be_drained || machine.load.assignments.is_empty() {
            return false;
        }
        let jobs = machine.load.assignments.iter().map(|&assignment_index| {
            let assignment = self.cluster.assignment(assignment_index)?;
            self.cluster.job(assignment.job)
        });
        let is_drainable = |job: &Job| {
            job.spec.checkpoint_s > 0.0 && job.spec.kind == Kind::Array && self.cluster.is_best_effort(job.spec.team)
        };
        jobs.into_iter().all(|job| job.is_some_and(is_drainable))
    }

    /// The grace in which a task saves what it did.
    fn save_time_s(&self, index: AssignmentIndex) -> f64 {
        let job = self.cluster.assignment(index).and_then(|assignment| self.cluster.job(assignment.job));
        job.map_or(0.0, |job| job.spec.save_s + SAVE_MARGIN_S)
    }

    /// Machines that may be vacated, the most expensive first.
    fn consolidation_candidates(&self, now: Millis) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = Vec::new();
        for (n, machine) in self.cluster.machines.iter().enumerate() {
            if machine.lifecycle != MachineLifecycle::Up
                || machine.cordoned
                || machine.load.assignments.is_empty()
                || !machine.fenced()
                || !self.is_settled(now, machine.up_at)
            {
                continue;
            }
            let all_movable = machine.load.assignments.iter().all(|&index| self.is_movable_replica(now, index));
            let price = self.cluster.type_of(machine).map_or(0.0, |machine_type| machine_type.price_of(machine.spot));
            let fair_price: f64 = machine
                .load
                .assignments
                .iter()
                .filter_map(|&index| self.cluster.assignment(index))
                .map(|assignment| self.fair_price(assignment.job))
                .sum();
            if all_movable && price > PRICE_FACTOR * fair_price {
                candidates.push(Candidate { price, machine: MachineIndex(n as u32) });
            }
        }
        candidates.sort_by(|a, b| b.price.total_cmp(&a.price));
        candidates
    }

    /// Whether something has lasted long enough to be left alone no longer.
    fn is_settled(&self, now: Millis, since: Option<Millis>) -> bool {
        since.is_some_and(|since| now > since + self.cluster.config.idle_keep_ms)
    }

    /// A service replica without GPUs that has been running for a while.
    fn is_movable_replica(&self, now: Millis, index: AssignmentIndex) -> bool {
        let Some(assignment) = self.cluster.assignment(index) else { return false };
        let is_replica = self.cluster.job(assignment.job).is_some_and(|job| {
            job.spec.kind == Kind::Service && job.status == JobStatus::Pending && job.spec.gpus <= 0.0
        });
        is_replica && self.is_settled(now, assignment.running_since) && assignment.halt.is_none()
    }

    /// Whether everything on a machine finds room on machines that hold
    /// something; what is found stays reserved.
    fn find_room_for_all(&mut self, machine: MachineIndex) -> bool {
        let assignments = self.cluster.machine(machine).load.assignments.clone();
        assignments.into_iter().all(|assignment| self.find_room_elsewhere(machine, assignment))
    }

    fn vacate(&mut self, now: Millis, candidate: &Candidate) {
        let machine = &mut self.cluster.machines[candidate.machine.at()];
        tracing::info!(
            machine = &*machine.id,
            price = candidate.price,
            replicas = machine.load.assignments.len(),
            "its replicas move, it goes back"
        );
        machine.cordoned = true;
        for assignment in machine.load.assignments.clone() {
            self.cluster.halt(now, assignment, 0.0);
        }
        self.cluster.refresh(now, candidate.machine);
        self.cluster.cycle_needed = true;
    }

    /// Reserves room elsewhere for a replica on `from`, on a machine that has
    /// its image.
    fn find_room_elsewhere(&mut self, from: MachineIndex, index: AssignmentIndex) -> bool {
        let Some(assignment) = self.cluster.assignment(index) else { return false };
        let Some(job) = self.cluster.job(assignment.job) else { return false };
        let spec = job.spec.clone();
        let task = assignment.task;
        // Its other replicas keep their zones.
        let mut zone_used = job.tasks.zone_used.clone();
        if let Some(used) = zone_used.get_mut(assignment.zone.at()) {
            *used -= 1;
        }
        let outcome = self.cluster.snapshot.trial(&TrialRequest {
            spec: &spec,
            tasks: &[task],
            min: 1,
            zone_used: &zone_used,
            avoid: &[from],
            room: RoomKind::Free,
            hosts: HostFilter::BusyOnly,
        });
        for pick in &outcome.picks {
            self.cluster.snapshot.reserve(pick.host, Resources::of(&spec), Resources::default());
        }
        outcome.verdict == Verdict::Success
            && outcome.picks.iter().all(|pick| self.cluster.snapshot.hosts[pick.host].has_image(spec.image))
    }

    /// What a task of this job costs an hour on the machine type that suits it best.
    fn fair_price(&self, job: JobIndex) -> f64 {
        let Some(job) = self.cluster.job(job) else { return 0.0 };
        let need = Resources::of(&job.spec);
        let price_per_task = |machine_type: &MachineTypeSpec| {
            machine_type.price_of(job.spec.spot) / f64::from(need.times_in(&machine_type.capacity).max(1))
        };
        self.cluster
            .types
            .iter()
            .filter(|machine_type| need.fits_in(&machine_type.capacity) && job.spec.allows_type(machine_type.index))
            .map(price_per_task)
            .fold(f64::INFINITY, f64::min)
    }
}
