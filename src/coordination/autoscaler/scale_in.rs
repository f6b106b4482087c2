//! Machines are handed back: those that are idle, and those that are dead.

use std::{collections::HashMap, fmt};

use super::Call;
use crate::{
    coordination::{
        effects::Effect,
        leader::Leader,
        model::{CallId, Machine, MachineIndex, MachineLifecycle, Millis, Resources},
        scheduler::trial::SLOWEST_FETCH_GB_PER_S,
    },
    protocol::names::ZoneIndex,
};

/// Machines handed back in one call.
const RETURNS_PER_CALL: usize = 50;
/// Probes in a row after which a machine that doesn't answer counts as silent.
const SILENT_PROBES: u32 = 2;
/// Silent machines are handed back only if the cloud answered within this time:
/// otherwise it may be this controller that is cut off.
const CLOUD_ANSWER_MS: Millis = 5_000;
/// Pause before a return that was requested is requested again.
const RETURN_RETRY_MS: Millis = 2_500;
/// Pause before a return that failed is requested again.
const RETURN_FAILED_PAUSE_MS: Millis = 1_000;
/// Slack, besides a quarter of the interval, after which a heartbeat was due.
const HEARTBEAT_DUE_SLACK_MS: Millis = 100;
/// Boot time assumed of a machine whose type is unknown.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// A machine that isn't up after this many times its boot time, and...
const BOOT_LIMIT_FACTOR: f64 = 3.0;
/// ...this many seconds never comes up, unless its type is late as a whole:
/// then one in so many machines is given...
const LATE_KEPT_DIVISOR: usize = 4;
/// ...this many times the boot time.
const LATE_BOOT_LIMIT_FACTOR: f64 = 9.0;
/// The seconds added to the boot limit.
const BOOT_LIMIT_SLACK_S: f64 = 15.0;
/// Idle machines are kept for this many times what getting them again takes.
const KEEP_FACTOR: f64 = 1.4;
/// GPU work that last came this long ago is not expected any more.
const GPU_WORK_EXPECTED_MS: i64 = 90_000;

/// Why a machine is handed back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReturnReason {
    AskedBefore,
    Silent,
    NeverCameUp,
    Unreachable,
    Cordoned,
    Idle,
}

impl ReturnReason {
    /// The reason's name in the logs.
    fn as_str(self) -> &'static str {
        match self {
            ReturnReason::AskedBefore => "asked before",
            ReturnReason::Silent => "silent",
            ReturnReason::NeverCameUp => "never came up",
            ReturnReason::Unreachable => "hears nothing",
            ReturnReason::Cordoned => "retired",
            ReturnReason::Idle => "idle",
        }
    }
}

impl fmt::Display for ReturnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A machine to be handed back.
struct MachineReturn {
    machine: MachineIndex,
    reason: ReturnReason,
}

/// When the machines of one zone, or of all, were last heard, in order of time.
#[derive(Default)]
struct HeardTimes(Vec<Millis>);

impl HeardTimes {
    fn heard_after(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|&heard| heard <= moment)
    }

    /// All of them but the one in question.
    fn others(&self) -> usize {
        self.0.len().saturating_sub(1)
    }
}

/// When machines were last heard, by zone; `None`: those of all zones.
#[derive(Default)]
struct HeardByZone(HashMap<Option<ZoneIndex>, HeardTimes>);

/// How many machines of a zone were heard lately.
#[derive(Default)]
struct ZoneHealth {
    heard: u32,
    all: u32,
}

/// How many machines report, and how many of them take our answers.
#[derive(Default)]
struct ResponseUptake {
    heard: usize,
    taking: usize,
}

impl ResponseUptake {
    /// Whether most machines other than one that takes none do; otherwise it is
    /// this controller whose answers are lost.
    fn others_take_them(&self) -> bool {
        self.taking * 2 > self.heard.saturating_sub(1)
    }
}

impl Leader {
    /// Releases the machines that are not needed, or are dead.
    pub fn return_machines(&mut self, now: Millis) {
        let returns = self.machines_to_return(now);
        if returns.is_empty() {
            return;
        }
        for MachineReturn { machine: index, reason } in &returns {
            let machine = &mut self.cluster.machines[index.at()];
            if machine.lifecycle != MachineLifecycle::Returning {
                tracing::info!(
                    machine = &*machine.id,
                    why = reason.as_str(),
                    tasks = machine.load.assignments.len(),
                    "handing back"
                );
            }
            machine.lifecycle = MachineLifecycle::Returning;
            machine.return_after = now + RETURN_RETRY_MS;
            self.cluster.refresh(now, *index);
        }
        let call = self.outbox.next_call();
        let machines: Vec<MachineIndex> = returns.into_iter().map(|returned| returned.machine).collect();
        let ids = machines.iter().map(|index| self.cluster.machine(*index).id.clone()).collect();
        self.autoscaler.calls.insert(call, Call::Return(machines));
        self.outbox.send(Effect::Return { call, ids });
    }

    fn machines_to_return(&self, now: Millis) -> Vec<MachineReturn> {
        let heard_by_zone = self.heard_by_zone(now);
        let answers = self.response_uptake(now);
        let mut returns = Vec::new();
        for index in (0..self.cluster.machines.len() as u32).map(MachineIndex) {
            if returns.len() >= RETURNS_PER_CALL {
                break;
            }
            if now < self.cluster.machine(index).return_after {
                continue;
            }
            if let Some(reason) = self.return_reason(now, index, &heard_by_zone, &answers) {
                returns.push(MachineReturn { machine: index, reason });
            }
        }
        returns
    }

    fn return_reason(
        &self,
        now: Millis,
        index: MachineIndex,
        heard_by_zone: &HeardByZone,
        answers: &ResponseUptake,
    ) -> Option<ReturnReason> {
        let machine = self.cluster.machine(index);
        let cloud_answers = self.autoscaler.cloud_ok + CLOUD_ANSWER_MS > now;
        let is_dead = || self.is_silent(now, machine) && cloud_answers && self.is_dead(now, machine, heard_by_zone);
        match machine.lifecycle {
            MachineLifecycle::Gone => None,
            MachineLifecycle::Returning => Some(ReturnReason::AskedBefore),
            MachineLifecycle::Booting if machine.is_inherited_unheard() => is_dead().then_some(ReturnReason::Silent),
            MachineLifecycle::Booting => self.is_past_boot_limit(now, index).then_some(ReturnReason::NeverCameUp),
            MachineLifecycle::Up if is_dead() => Some(ReturnReason::Silent),
            MachineLifecycle::Up if machine.is_unreachable() && cloud_answers && answers.others_take_them() => {
                Some(ReturnReason::Unreachable)
            }
            MachineLifecycle::Up if !machine.load.assignments.is_empty() => None,
            MachineLifecycle::Up if machine.cordoned => Some(ReturnReason::Cordoned),
            MachineLifecycle::Up => self.is_idle_long(now, machine).then_some(ReturnReason::Idle),
        }
    }

    /// Whether a machine's report is so late that it may be dead.
    fn is_silent(&self, now: Millis, machine: &Machine) -> bool {
        let is_overdue = now > self.heard_or_start(machine) + self.cluster.config.silent_ms
            || machine.heartbeats.failed_probes >= SILENT_PROBES;
        let expects_reports = match machine.lifecycle {
            MachineLifecycle::Gone => false,
            MachineLifecycle::Booting => machine.is_inherited_unheard(),
            MachineLifecycle::Up | MachineLifecycle::Returning => true,
        };
        is_overdue && expects_reports
    }

    /// When a machine was last heard; one that this leader never heard could
    /// have reported within an interval of its beginning.
    fn heard_or_start(&self, machine: &Machine) -> Millis {
        machine.heartbeats.last_contact.unwrap_or(self.cluster.started + self.cluster.config.heartbeat_interval_ms)
    }

    /// When machines were last heard; empty if none is silent.
    fn heard_by_zone(&self, now: Millis) -> HeardByZone {
        let mut heard_by_zone = HeardByZone::default();
        if !self.cluster.machines.iter().any(|machine| self.is_silent(now, machine)) {
            return heard_by_zone;
        }
        for machine in self.cluster.machines.iter().filter(|machine| expected_to_report(machine)) {
            for zone in [None, Some(machine.zone)] {
                heard_by_zone.0.entry(zone).or_default().0.push(machine.heartbeats.last_contact.unwrap_or(0));
            }
        }
        for times in heard_by_zone.0.values_mut() {
            times.0.sort_unstable();
        }
        heard_by_zone
    }

    /// Guard: a network partition silences the machines behind it, which may
    /// well be running. A machine is believed dead only if others of its zone
    /// were heard after the moment at which it should have been: a partition
    /// would have stopped those too. Where it has no others, those of all zones
    /// speak for it, after twice the time.
    fn is_dead(&self, now: Millis, suspect: &Machine, heard_by_zone: &HeardByZone) -> bool {
        let since = self.heard_or_start(suspect);
        let due = since + self.cluster.config.heartbeat_interval_ms * 5 / 4 + HEARTBEAT_DUE_SLACK_MS;
        let none = HeardTimes::default();
        let times_in = |zone: Option<ZoneIndex>| heard_by_zone.0.get(&zone).unwrap_or(&none);
        let in_zone = times_in(Some(suspect.zone));
        if in_zone.others() == 0 {
            let everywhere = times_in(None);
            return everywhere.heard_after(due) * 3 > everywhere.others()
                && now > since + 2 * self.cluster.config.silent_ms;
        }
        in_zone.heard_after(due) * 3 >= in_zone.others() && self.is_zone_sound(now, suspect.zone)
    }

    /// Notes since when most machines of each zone have been heard from.
    pub fn note_zones(&mut self, now: Millis) {
        let mut zones: HashMap<ZoneIndex, ZoneHealth> = HashMap::new();
        for machine in self.cluster.machines.iter().filter(|machine| expected_to_report(machine)) {
            let health = zones.entry(machine.zone).or_default();
            health.heard += u32::from(self.heard_lately(now, machine));
            health.all += 1;
        }
        for (zone, health) in zones {
            if health.heard * 2 >= health.all {
                self.autoscaler.zone_heard_since.entry(zone).or_insert(now);
            } else {
                self.autoscaler.zone_heard_since.remove(&zone);
            }
        }
    }

    fn heard_lately(&self, now: Millis, machine: &Machine) -> bool {
        machine.heartbeats.last_contact.is_some_and(|heard| now < heard + 2 * self.cluster.config.heartbeat_interval_ms)
    }

    /// Guard: when a partition ends, or a leader is new, machines come back one
    /// by one; the last of them are not dead.
    fn is_zone_sound(&self, now: Millis, zone: ZoneIndex) -> bool {
        self.autoscaler.zone_heard_since.get(&zone).is_some_and(|since| now > since + self.cluster.config.silent_ms)
    }

    /// How many of the machines that report take what they are told.
    ///
    /// Guard: counted once for all machines that may be handed back; counted for
    /// each of them, the work would grow with the square of their number.
    fn response_uptake(&self, now: Millis) -> ResponseUptake {
        let mut uptake = ResponseUptake::default();
        let is_heard =
            |machine: &&Machine| machine.lifecycle == MachineLifecycle::Up && self.heard_lately(now, machine);
        for machine in self.cluster.machines.iter().filter(is_heard) {
            uptake.heard += 1;
            uptake.taking += usize::from(machine.fence.unacknowledged_heartbeats == 0);
        }
        uptake
    }

    fn is_past_boot_limit(&self, now: Millis, index: MachineIndex) -> bool {
        let machine = self.cluster.machine(index);
        let boot_s = self.cluster.type_of(machine).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s);
        // Guard: when all machines were slow to come up, each was handed back
        // before it did, and none ever came. Some are waited for; the others go
        // back, since those ordered after the trouble come sooner.
        let is_late_type = machine.machine_type.is_some_and(|known| self.autoscaler.late_types.contains(&known));
        let is_waited_for = is_late_type && index.at().is_multiple_of(LATE_KEPT_DIVISOR);
        let factor = if is_waited_for { LATE_BOOT_LIMIT_FACTOR } else { BOOT_LIMIT_FACTOR };
        let limit_ms = (boot_s * factor + BOOT_LIMIT_SLACK_S) * 1000.0;
        let since = machine.rented_at.max(self.cluster.started);
        (now - since) as f64 > limit_ms
    }

    fn is_idle_long(&self, now: Millis, machine: &Machine) -> bool {
        machine.load.idle_since.is_some_and(|since| now > since + self.keep_ms(now, machine))
    }

    /// How long an idle machine is kept: longer if it takes long to get again.
    fn keep_ms(&self, now: Millis, machine: &Machine) -> Millis {
        let ready_s = self.cluster.type_of(machine).map_or(0.0, |machine_type| {
            if machine_type.capacity.gpus <= 0.0 {
                return machine_type.boot_s;
            }
            // With GPUs, the image counts too; but only while such work comes.
            let expected = self.scheduler.gpu_demand().shapes().iter().filter(|shape| {
                shape.spec.allows_type(machine_type.index)
                    && Resources::of(&shape.spec).fits_in(&machine_type.capacity)
                    && now as i64 - shape.latest_arrival < GPU_WORK_EXPECTED_MS
            });
            let fetch_rate = machine_type.fetch_gb_per_s.max(SLOWEST_FETCH_GB_PER_S);
            expected.map(|shape| machine_type.boot_s + shape.spec.image_gb / fetch_rate).fold(0.0, f64::max)
        });
        self.cluster.config.idle_keep_ms.max((ready_s * KEEP_FACTOR * 1000.0) as Millis)
    }

    /// How a return ended. After a 200, the machines and everything on them are gone.
    pub fn returned(&mut self, now: Millis, call: CallId, ok: bool) {
        let Some(Call::Return(machines)) = self.autoscaler.calls.remove(&call) else { return };
        for index in machines {
            if ok {
                self.cluster.free_machine(index, None);
                let machine = &mut self.cluster.machines[index.at()];
                machine.lifecycle = MachineLifecycle::Gone;
                machine.commands.direct_call = None;
                self.cluster.refresh(now, index);
            } else {
                self.cluster.machines[index.at()].return_after = now + RETURN_FAILED_PAUSE_MS;
            }
        }
        self.cluster.cycle_needed = true;
    }
}

/// Whether a machine's worker ought to report: it did, or it holds tasks that
/// an earlier leader assigned.
fn expected_to_report(machine: &Machine) -> bool {
    machine.lifecycle == MachineLifecycle::Up || machine.is_inherited_unheard()
}
