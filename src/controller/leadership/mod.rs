//! What a controller does while it leads: it runs [`Leader`] and carries out what
//! that decides.

mod commits;
mod config;
mod context;
mod effects;
mod record_resync;
mod task_loading;

use std::collections::HashSet;

pub use self::{
    config::leader_config,
    context::{LeaderContext, PeerView},
};
use self::{record_resync::RecordResync, task_loading::TaskLoading};
use super::{
    clock::wall_clock_ms,
    job_watch::JobWatch,
    service_client::{CallResult, LeaderCall},
};
use crate::{
    coordination::{
        cluster::Config,
        effects::HeartbeatOutcome,
        leader::Leader,
        model::{MachineTypeSpec, Millis, Term},
    },
    protocol::{names::Interners, peers::TaskCounts, workers::Heartbeat},
};

/// Pause, in ms, between two scheduling cycles that are needed.
const CYCLE_GAP_MS: Millis = 40;
/// The same while writes are scarce: a scheduling cycle then places more at a
/// time, so that each write carries more.
const SCARCE_CYCLE_GAP_MS: Millis = 300;
/// Longest time, in ms, without a scheduling cycle.
const MAX_CYCLE_GAP_MS: Millis = 1_000;
/// A leader that hardly any worker has reached for this long, in ms, may step down.
const UNREACHED_MS: Millis = 8_000;
/// Interval, in ms, of the checks whether to step down: they look at all machines.
const STEP_DOWN_CHECK_MS: Millis = 500;

/// The leader, while this controller leads, and the loading of its records.
#[derive(Default)]
pub struct Leadership {
    leader: Option<Leader>,
    task_loading: TaskLoading,
    record_resync: RecordResync,
    /// Whether to step down is checked no earlier.
    next_step_down_check: Millis,
}

impl Leadership {
    /// The leader; None: this controller doesn't lead.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The leader, if it is the one of this term.
    pub fn leader_of(&mut self, term: Term) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.term() == term)
    }

    /// Ends the leadership unless this controller still holds the leader's key
    /// under the leadership's term.
    pub fn end_unless_held(&mut self, held: Option<Term>) {
        let Some(leader) = &self.leader else { return };
        if held != Some(leader.term()) {
            tracing::warn!(term = %leader.term(), "no longer leading");
            self.leader = None;
        }
    }

    /// Begins a leadership.
    pub fn begin(&mut self, now: Millis, term: Term, config: Config, types: Vec<MachineTypeSpec>) {
        tracing::info!(%term, "elected");
        // The nonce is of this leadership alone, so that names of rental requests
        // never repeat.
        let nonce = rand::random();
        self.leader = Some(Leader::new(config, term, nonce, now, types));
        self.task_loading.restart(now);
        self.record_resync.restart();
    }

    /// Does all that is due under a leadership that has begun.
    pub fn tick(&mut self, context: &mut LeaderContext, now: Millis, term: Term, peers: &PeerView) {
        self.sync_jobs(now, context.jobs);
        if self.leader.as_ref().is_some_and(|leader| !leader.is_loaded()) {
            return self.task_loading.refresh(context, now, term);
        }
        self.schedule(context, now, peers);
        self.commit(context, term);
        if let Some(leader) = &mut self.leader {
            leader.dispatch_commands(now);
        }
        self.carry_out_effects(context, term);
        self.step_down_if_unfit(context, now, peers);
    }

    /// Hands changed job records on to the leader.
    pub fn sync_jobs(&mut self, now: Millis, jobs: &mut JobWatch) {
        let changed = jobs.cache_mut().take_changed();
        let Some(leader) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for job in changed {
            if seen.insert(job) {
                leader.job_update(now, wall_clock_ms(), job, jobs.cache());
            }
        }
    }

    /// Advances leases, the autoscaler and the schedule.
    fn schedule(&mut self, context: &mut LeaderContext, now: Millis, peers: &PeerView) {
        let Some(leader) = &mut self.leader else { return };
        leader.set_may_reshard(peers.all_upgraded);
        leader.set_no_peer_renewals(peers.no_renewals);
        leader.sweep(now);
        leader.autoscale(now, context.names);

        let scarce = context.client.budgets().are_commits_scarce(now);
        let min_gap_ms = if scarce { SCARCE_CYCLE_GAP_MS } else { CYCLE_GAP_MS };
        if leader.is_cycle_due(now, min_gap_ms, MAX_CYCLE_GAP_MS) {
            leader.run_scheduling_cycle(now);
        }
    }

    /// Steps down if another controller, or another leadership, would serve better.
    fn step_down_if_unfit(&mut self, context: &mut LeaderContext, now: Millis, peers: &PeerView) {
        let Some(leader) = &self.leader else { return };
        if now < self.next_step_down_check {
            return;
        }
        self.next_step_down_check = now + STEP_DOWN_CHECK_MS;
        if leader.tokens_exhausted() {
            tracing::info!(term = %leader.term(), reason = "fencing tokens exhausted", "stepping down");
            return self.step_down(context, now);
        }
        let unreached = now > leader.started() + UNREACHED_MS && leader.is_unreached(now, UNREACHED_MS);
        if unreached && peers.reached_by_workers {
            tracing::warn!(term = %leader.term(), reason = "workers reach only peers", "stepping down");
            self.step_down(context, now);
        }
    }

    /// Gives up leading, so that another can be elected.
    fn step_down(&mut self, context: &mut LeaderContext, now: Millis) {
        context.election.step_down(context.net, now, context.client);
        self.leader = None;
    }

    /// The leader's answer to a worker's heartbeat; None: this controller doesn't lead.
    pub fn answer_heartbeat(
        &mut self,
        now: Millis,
        term: Option<Term>,
        heartbeat: &Heartbeat,
        jobs: &JobWatch,
        names: &mut Interners,
    ) -> Option<HeartbeatOutcome> {
        let leader = self.leader_of(term?)?;
        Some(leader.heartbeat(now, heartbeat, jobs.cache(), names))
    }

    /// As [`Leadership::leader`], to be changed.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// The machine types were read again.
    pub fn set_machine_types(&mut self, types: &[MachineTypeSpec]) {
        if let Some(leader) = &mut self.leader {
            leader.set_types(types);
        }
    }

    /// Task counts of up to `max` jobs that changed lately, to be told to peers.
    pub fn take_progress(&mut self, max: usize) -> Vec<TaskCounts> {
        self.leader.as_mut().map_or_else(Vec::new, |leader| leader.take_progress(max))
    }

    /// The read of the changes that the job cache may have missed, which precedes
    /// the loading of the task records, ended; `synced`: they were applied.
    pub fn jobs_synced(&mut self, now: Millis, synced: bool) {
        self.task_loading.jobs_synced(now, synced);
    }

    /// A request of the leader ended.
    pub fn handle_reply(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        call: LeaderCall,
        result: &CallResult,
    ) {
        match call {
            LeaderCall::TasksPage => {
                let leader = self.leader.as_mut().filter(|leader| leader.term() == term && !leader.is_loaded());
                if let Some(leader) = leader {
                    self.task_loading.page_received(context, now, leader, result);
                }
            }
            LeaderCall::Commit => self.committed(context, now, term, result),
            LeaderCall::Resync { key } => {
                let leader = self.leader.as_mut().filter(|leader| leader.term() == term);
                self.record_resync.received(now, leader, &key, result);
            }
            LeaderCall::Commands { machine, call } => {
                self.commands_answered(context, now, term, machine, call, result);
            }
            LeaderCall::Probe { machine } => self.probe_finished(context, now, term, machine, result),
            LeaderCall::ProvisionHosts { call } => self.scale_out_finished(now, term, call, result),
            LeaderCall::ReleaseHosts { call } => self.scale_in_finished(now, term, call, result),
            LeaderCall::ListHosts { call } => self.hosts_listed(context, now, term, call, result),
        }
    }
}
