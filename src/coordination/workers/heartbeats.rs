//! Workers' reports: taken in and answered.

use super::{
    commands::CommandScope,
    halts_of_cancelled,
    task_statuses::{ListedTasks, TaskAttempt},
};
use crate::{
    coordination::{
        cluster::TaskFate,
        effects::HeartbeatOutcome,
        leader::Leader,
        model::{AssignmentIndex, AssignmentState, MachineIndex, MachineLifecycle, Millis},
    },
    protocol::{
        ids::{FencingToken, Incarnation},
        jobs::Kind,
        names::Tables,
        workers::{Heartbeat, HeartbeatResponse, WorkerCommand},
    },
    storage::job_cache::JobCache,
};

/// Longest notice of a spot machine's end that is believed.
const NOTICE_MAX_S: f64 = 3600.0;
/// Share of a task's saving time that a notice must leave for it: notices come
/// at half their nominal time too, so saving begins while it lasts.
const SAVE_SHARE: f64 = 0.8;
/// Grace given to a task beyond the time it needs to save.
pub const SAVE_MARGIN_S: f64 = 2.0;

impl Leader {
    /// A heartbeat that a worker sent by itself.
    pub fn heartbeat(
        &mut self,
        now: Millis,
        heartbeat: &Heartbeat,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> HeartbeatOutcome {
        let zone = tables.zones.intern(&heartbeat.zone);
        let index = self.cluster.machine_named(now, &heartbeat.machine, zone);
        let machine = &mut self.cluster.machines[index.at()];
        if heartbeat.token > machine.fence.token {
            return HeartbeatOutcome::Superseded;
        }
        // Guard: a heartbeat held up on its way, from a incarnation whose lease is
        // known to have ended, or from a machine that was handed back, says
        // nothing about what runs now.
        if machine.lifecycle == MachineLifecycle::Gone
            || heartbeat.incarnation <= machine.heartbeats.expired_incarnation
        {
            return HeartbeatOutcome::Stale;
        }
        self.cluster.last_heartbeat_from_any = now;
        self.cluster.last_event_at = now;
        machine.heartbeats.lease_renewed = now;
        let is_newer =
            (heartbeat.incarnation, heartbeat.sequence) > (machine.heartbeats.incarnation, machine.heartbeats.sequence);
        if !self.cluster.loaded || !is_newer {
            // Answering keeps the worker's lease. Until the records are read,
            // what it says is left to its next heartbeat.
            let commands = halts_of_cancelled(heartbeat, job_cache);
            return HeartbeatOutcome::Ok(HeartbeatResponse { token: machine.fence.token, commands });
        }
        self.note_acknowledgement(now, index, heartbeat.token);
        self.apply_heartbeat(now, index, heartbeat, job_cache, tables);
        let mut commands = halts_of_cancelled(heartbeat, job_cache);
        self.add_commands(now, index, &mut commands);
        let machine = &mut self.cluster.machines[index.at()];
        machine.commands.launch_in_answer = commands.iter().any(|order| matches!(order, WorkerCommand::Launch { .. }));
        if commands.iter().any(|order| matches!(order, WorkerCommand::Reap { .. })) {
            // Guard: once reaped, an attempt is unknown to the worker, and a
            // repeat of the command that launched it would start it again. The
            // reap comes with a higher token than any such command.
            machine.raise_token();
        }
        HeartbeatOutcome::Ok(HeartbeatResponse { token: machine.fence.token, commands })
    }

    /// Notes what a heartbeat shows of our earlier answers.
    fn note_acknowledgement(&mut self, now: Millis, index: MachineIndex, shown_token: FencingToken) {
        let machine = &mut self.cluster.machines[index.at()];
        machine.heartbeats.last_heartbeat = Some(now);
        // The worker took or dropped our last answer before it sent this.
        machine.commands.launch_in_answer = false;
        // Guard: a worker that takes an answer shows its token in the next
        // report. One that never does can't be told anything. Heartbeats that a
        // network partition held back come together and count once.
        if shown_token >= machine.fence.fence_token {
            machine.fence.unacknowledged_heartbeats = 0;
        } else if machine.fence.answered_since_fence
            && now >= machine.fence.last_unacknowledged_at + self.cluster.config.heartbeat_interval_ms / 2
        {
            machine.fence.unacknowledged_heartbeats += 1;
            machine.fence.last_unacknowledged_at = now;
        }
        machine.fence.answered_since_fence = true;
    }

    /// Adds all that isn't in effect yet, except for halts that are there already.
    fn add_commands(&mut self, now: Millis, index: MachineIndex, commands: &mut Vec<WorkerCommand>) {
        let halts_of_cancelled = commands.len();
        for order in self.commands(now, index, CommandScope::All) {
            let is_repeated = commands[..halts_of_cancelled].iter().any(|halt| halt.same_halt(&order));
            if !is_repeated {
                commands.push(order);
            }
        }
    }

    /// The answer that was made for a heartbeat is not sent after all: that the
    /// worker never shows what was in it means nothing.
    pub fn response_not_sent(&mut self, machine: &str) {
        if let Some(index) = self.cluster.machines.find(machine) {
            self.cluster.machines[index.at()].fence.answered_since_fence = false;
        }
    }

    /// A newer report, from a worker itself or as the answer to a command.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        index: MachineIndex,
        heartbeat: &Heartbeat,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let machine = &self.cluster.machines[index.at()];
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.heartbeats.incarnation, machine.heartbeats.sequence)
        {
            return;
        }
        self.update_machine(now, index, heartbeat, tables);
        if heartbeat.incarnation > self.cluster.machines[index.at()].heartbeats.incarnation {
            self.begin_incarnation(now, index, heartbeat.incarnation);
        }
        let mut listed = ListedTasks::default();
        for task in &heartbeat.tasks {
            self.reconcile_task(now, index, task, job_cache, &mut listed);
        }
        self.cluster.machines[index.at()]
            .commands
            .unreaped_exits
            .retain(|exit| listed.exits.contains(&TaskAttempt { task: exit.task.clone(), attempt: exit.attempt }));
        self.reconcile_missing_tasks(index, &listed.assignments);
        if self.cluster.machines[index.at()].spot_notice_until.is_some() {
            self.drain(now, index);
        }
        self.cluster.refresh(now, index);
    }

    /// Takes in what a heartbeat says of the machine itself.
    fn update_machine(&mut self, now: Millis, index: MachineIndex, heartbeat: &Heartbeat, tables: &mut Tables) {
        let machine_type = tables.types.intern(&heartbeat.machine_type);
        let machine = &mut self.cluster.machines[index.at()];
        machine.addr = heartbeat.addr.parse().ok().or(machine.addr);
        machine.machine_type = Some(machine_type);
        machine.spot = heartbeat.spot;
        machine.heartbeats.sequence = heartbeat.sequence;
        machine.heartbeats.last_contact = Some(now);
        machine.heartbeats.failed_probes = 0;
        machine.fence.seen_token = machine.fence.seen_token.max(heartbeat.token);
        if machine.lifecycle == MachineLifecycle::Booting {
            machine.lifecycle = MachineLifecycle::Up;
            machine.up_at = Some(now);
            self.cluster.cycle_needed = true;
            let boot_s = (now - machine.rented_at) / 1000;
            tracing::info!(
                machine = &*machine.id,
                machine_type = &*heartbeat.machine_type,
                spot = heartbeat.spot,
                boot_s,
                "up"
            );
        }
        if let Some(notice_s) = heartbeat.notice_s.filter(|_| machine.spot_notice_until.is_none()) {
            tracing::info!(machine = &*machine.id, notice_s, "spot notice");
            machine.spot_notice_until = Some(now + (notice_s.clamp(0.0, NOTICE_MAX_S) * 1000.0) as Millis);
            self.cluster.cycle_needed = true;
        }
    }

    /// A new incarnation: the worker killed and forgot all of the former one.
    fn begin_incarnation(&mut self, now: Millis, index: MachineIndex, incarnation: Incarnation) {
        let machine = &mut self.cluster.machines[index.at()];
        let previous = machine.heartbeats.incarnation;
        machine.heartbeats.incarnation = incarnation;
        // Guard: the new incarnation has a lease of its own, from its beginning on,
        // also where only a probe or a command's answer tells of it.
        machine.heartbeats.lease_renewed = machine.heartbeats.lease_renewed.max(now);
        if previous != Incarnation::NONE {
            tracing::info!(machine = &*machine.id, %incarnation, "new session");
        }
        self.cluster.free_machine(index, Some(incarnation));
        self.cluster.cycle_needed = true;
    }

    /// Handles tasks that are assigned to the machine but aren't listed.
    fn reconcile_missing_tasks(&mut self, index: MachineIndex, listed: &[AssignmentIndex]) {
        let machine = &self.cluster.machines[index.at()];
        // Guard: absence proves nothing while an earlier command may still
        // arrive; only a raised token that came back rules that out. An answer
        // to a heartbeat that carries launches is under way as well, until the
        // next heartbeat: the body of a command's answer may be older.
        if !machine.has_no_command_in_flight() {
            return;
        }
        let gone: Vec<AssignmentIndex> = machine
            .load
            .assignments
            .iter()
            .copied()
            .filter(|assignment_index| !listed.contains(assignment_index))
            .filter(|&assignment_index| {
                self.cluster.assignment(assignment_index).is_some_and(|assignment| {
                    assignment.incarnation == machine.heartbeats.incarnation && assignment.halt.is_some()
                })
            })
            .collect();
        for assignment_index in gone {
            self.cluster.release_assignment(assignment_index, TaskFate::Unfinished);
        }
        // Those still wanted are launched again under the same attempt.
        for &assignment_index in
            self.cluster.machines[index.at()].load.assignments.iter().filter(|other| !listed.contains(other))
        {
            let Some(assignment) = self.cluster.assignments.get_mut(assignment_index) else { continue };
            if matches!(assignment.state, AssignmentState::Seen(_)) {
                assignment.state = AssignmentState::Wanted;
            }
        }
    }

    /// Empties a machine that will be taken away: tasks that can save are
    /// stopped in time to do so.
    fn drain(&mut self, now: Millis, index: MachineIndex) {
        let Some(until) = self.cluster.machine(index).spot_notice_until else { return };
        let left_s = until.saturating_sub(now) as f64 / 1000.0;
        for assignment_index in self.cluster.machine(index).load.assignments.clone() {
            let Some(assignment) = self.cluster.assignment(assignment_index) else { continue };
            let Some(job) = self.cluster.job(assignment.job) else { continue };
            let save_s = job.spec.save_s;
            let can_save = job.spec.checkpoint_s > 0.0 && left_s > save_s * SAVE_SHARE;
            if !can_save || assignment.halt.is_some() {
                continue;
            }
            let grace_s = save_s + SAVE_MARGIN_S;
            if job.spec.kind == Kind::Gang {
                let job_index = assignment.job;
                self.cluster.stop_job(now, job_index, grace_s);
            } else {
                self.cluster.halt(now, assignment_index, grace_s);
            }
        }
    }
}
