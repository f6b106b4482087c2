//! Commands sent straight to workers, and probes of silent ones.

use super::commands::{CommandScope, RESEND_MS};
use crate::{
    coordination::{
        effects::{DirectCallOutcome, Effect},
        leader::Leader,
        model::{CallId, DirectCall, LaunchId, MachineIndex, MachineLifecycle, Millis, Slot},
    },
    protocol::{
        names::Tables,
        workers::{split_task, DirectCommandRequest, Heartbeat, WorkerCommand},
    },
    storage::job_cache::JobCache,
};

/// Added to [`RESEND_MS`] before a machine is looked at again, so that what is
/// to be sent again is due by then.
const RESEND_SLACK_MS: Millis = 100;
/// Report intervals after which a silent worker is sent no more commands.
const SILENT_HEARTBEATS: Millis = 3;
/// Pause after a call that could not be sent.
const NOT_SENT_PAUSE_MS: Millis = 700;
/// Pause after a call that went unanswered.
const UNANSWERED_PAUSE_MS: Millis = 1_000;
/// How late a heartbeat must be, besides a quarter of the interval, for a probe.
const PROBE_SLACK_MS: Millis = 400;
/// Probes in a row after which a worker that doesn't answer is not asked again.
const PROBE_LIMIT: u32 = 3;

impl Leader {
    /// Sends what is new straight to the workers that may have to be told something.
    pub fn dispatch_commands(&mut self, now: Millis) {
        while let Some(index) = self.cluster.dispatch_queue.pop_due(now) {
            self.dispatch_commands_to(now, index);
        }
    }

    fn dispatch_commands_to(&mut self, now: Millis, index: MachineIndex) {
        let machine = &self.cluster.machines[index.at()];
        if machine.load.assignments.is_empty()
            || machine.commands.direct_call.is_some()
            || machine.lifecycle != MachineLifecycle::Up
        {
            return;
        }
        if now < machine.commands.direct_call_after {
            self.cluster.dispatch_queue.schedule(machine.commands.direct_call_after, index);
            return;
        }
        // A token that the worker has not shown yet is told by the answer to its
        // report first; a silent worker is sent nothing.
        let Some(addr) = machine.addr else { return };
        let silent_ms = SILENT_HEARTBEATS * self.cluster.config.heartbeat_interval_ms;
        if !machine.fenced() || machine.heartbeats.last_contact.is_none_or(|heard| now > heard + silent_ms) {
            return;
        }
        let commands = self.commands(now, index, CommandScope::Unsent);
        if commands.is_empty() {
            return;
        }
        let launches = commands.iter().filter_map(|order| self.launch_of(index, order)).collect();
        let call = self.outbox.next_call();
        let machine = &mut self.cluster.machines[index.at()];
        machine.commands.direct_call = Some(DirectCall { id: call, launches });
        let req =
            DirectCommandRequest { token: machine.fence.token, incarnation: machine.heartbeats.incarnation, commands };
        self.outbox.send(Effect::Do { machine: index, call, addr, req });
        self.cluster.dispatch_queue.schedule(now + RESEND_MS + RESEND_SLACK_MS, index);
    }

    /// The launch that an order to this machine carries, if it is one.
    fn launch_of(&self, index: MachineIndex, order: &WorkerCommand) -> Option<LaunchId> {
        let WorkerCommand::Launch { task, attempt } = order else { return None };
        let (_, task) = split_task(task)?;
        self.cluster
            .machine(index)
            .load
            .assignments
            .iter()
            .filter_map(|&assignment_index| self.cluster.assignment(assignment_index))
            .find(|assignment| assignment.task == task && assignment.attempt == *attempt)
            .map(|assignment| assignment.launch_id())
    }

    /// How a direct call ended. False: a worker showed a higher token than ours;
    /// another controller leads.
    pub fn direct_call_result(
        &mut self,
        now: Millis,
        index: MachineIndex,
        call: CallId,
        outcome: DirectCallOutcome,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> bool {
        let machine = &mut self.cluster.machines[index.at()];
        let Some(finished) = machine.commands.direct_call.take_if(|pending| pending.id == call) else { return true };
        self.cluster.dispatch_queue.schedule(now, index);
        match outcome {
            DirectCallOutcome::Executed(heartbeat) => self.call_answered(now, index, &heartbeat, job_cache, tables),
            DirectCallOutcome::Refused(heartbeat) => {
                let still_leads = self.call_answered(now, index, &heartbeat, job_cache, tables);
                if still_leads {
                    // Not executed: its launches may be sent again at once.
                    self.unmark_sent(&finished.launches);
                }
                still_leads
            }
            DirectCallOutcome::NotSent => {
                machine.commands.direct_call_after = now + NOT_SENT_PAUSE_MS;
                true
            }
            DirectCallOutcome::Unknown => {
                machine.commands.direct_call_after = now + UNANSWERED_PAUSE_MS;
                if !finished.launches.is_empty() {
                    self.raise_fence(now, index);
                }
                true
            }
        }
    }

    /// Takes in the heartbeat with which a call was answered.
    fn call_answered(
        &mut self,
        now: Millis,
        index: MachineIndex,
        heartbeat: &Heartbeat,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) -> bool {
        let machine = &self.cluster.machines[index.at()];
        if heartbeat.token > machine.fence.token {
            return false;
        }
        if heartbeat.incarnation > machine.heartbeats.expired_incarnation && machine.lifecycle != MachineLifecycle::Gone
        {
            self.apply_heartbeat(now, index, heartbeat, job_cache, tables);
        }
        true
    }

    fn unmark_sent(&mut self, launches: &[LaunchId]) {
        for launch in launches {
            let slot = self.cluster.job(launch.job).and_then(|job| job.tasks.slots.get(launch.task as usize).copied());
            let Some(Slot::At(assignment_index)) = slot else { continue };
            let assignment = self.cluster.assignments.get_mut(assignment_index);
            if let Some(assignment) = assignment.filter(|assignment| assignment.attempt == launch.attempt) {
                assignment.sent = None;
            }
        }
    }

    /// Guard: launches that went unanswered may arrive at any later time. The
    /// raised token fences them, once the worker has shown it.
    fn raise_fence(&mut self, now: Millis, index: MachineIndex) {
        let machine = &mut self.cluster.machines[index.at()];
        machine.raise_token();
        machine.fence.fence_token = machine.fence.token;
        machine.fence.answered_since_fence = false;
        tracing::debug!(machine = &*machine.id, token = %machine.fence.token, "command unanswered, token raised");
        self.cluster.refresh(now, index);
    }

    /// Asks a worker whose report is overdue. That it doesn't answer proves
    /// nothing, but lets its machine be handed back sooner, which does.
    pub fn probe_if_overdue(&mut self, now: Millis, index: MachineIndex) {
        let overdue_ms = self.cluster.config.heartbeat_interval_ms * 5 / 4 + PROBE_SLACK_MS;
        let machine = &mut self.cluster.machines[index.at()];
        let is_overdue = machine.heartbeats.last_contact.is_some_and(|heard| now > heard + overdue_ms);
        let may_probe = machine.lifecycle == MachineLifecycle::Up
            && !machine.heartbeats.probing
            && !machine.load.assignments.is_empty()
            && machine.heartbeats.failed_probes < PROBE_LIMIT;
        if !is_overdue || !may_probe {
            return;
        }
        if let Some(addr) = machine.addr {
            machine.heartbeats.probing = true;
            self.outbox.send(Effect::Probe { machine: index, addr });
        }
    }

    /// How a probe ended. `None`: it went unanswered.
    pub fn probed(
        &mut self,
        now: Millis,
        index: MachineIndex,
        heartbeat: Option<&Heartbeat>,
        job_cache: &JobCache,
        tables: &mut Tables,
    ) {
        let machine = &mut self.cluster.machines[index.at()];
        machine.heartbeats.probing = false;
        match heartbeat {
            Some(heartbeat)
                if heartbeat.incarnation > machine.heartbeats.expired_incarnation
                    && machine.lifecycle == MachineLifecycle::Up =>
            {
                self.apply_heartbeat(now, index, heartbeat, job_cache, tables);
            }
            Some(_) => {}
            None => machine.heartbeats.failed_probes += 1,
        }
    }
}
