//! The leadership of a controller: it runs [`Leader`] and carries out the effects that
//! the leader decides on.

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

/// Minimum pause, in ms, between two scheduling cycles.
const CYCLE_GAP_MS: Millis = 40;
/// The same pause, in ms, while the write budget is scarce: each scheduling cycle then
/// places more tasks at once, so that each write carries more of them.
const SCARCE_CYCLE_GAP_MS: Millis = 300;
/// Longest time, in ms, without a scheduling cycle.
const MAX_CYCLE_GAP_MS: Millis = 1_000;
/// Time, in ms, after which a leader that hardly any worker has reached may step down.
const WORKER_ISOLATION_MS: Millis = 8_000;
/// Interval, in ms, of the checks whether to step down; each visits all machines.
const STEP_DOWN_CHECK_MS: Millis = 500;

/// The leader, while this controller leads, and the progress of the leader's reads from
/// the key-value store.
#[derive(Default)]
pub struct Leadership {
    leader: Option<Leader>,
    task_loading: TaskLoading,
    record_resync: RecordResync,
    /// Earliest time of the next check whether to step down, in ms.
    next_step_down_check: Millis,
}

impl Leadership {
    /// Returns the leader; None: this controller doesn't lead.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the leader if its term is `term`.
    pub fn leader_of(&mut self, term: Term) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.term() == term)
    }

    /// Ends the leadership unless this controller still holds the leader's key under the
    /// leadership's term. `held`: the term under which it holds the key, if it does.
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
        // The nonce is unique to this leadership, so that names of scale-out requests
        // never repeat.
        let nonce = rand::random();
        self.leader = Some(Leader::new(config, term, nonce, now, types));
        self.task_loading.restart(now);
        self.record_resync.restart();
    }

    /// Performs all work that is due under a leadership that has begun.
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

    /// Passes changed job records to the leader.
    pub fn sync_jobs(&mut self, now: Millis, jobs: &mut JobWatch) {
        let changed = jobs.cache_mut().take_changed();
        let Some(leader) = &mut self.leader else { return };
        let mut seen = HashSet::new();
        for job in changed {
            if seen.insert(job) {
                leader.update_job(now, wall_clock_ms(), job, jobs.cache());
            }
        }
    }

    /// Runs the periodic checks, the autoscaler and the scheduler, as they are due.
    fn schedule(&mut self, context: &mut LeaderContext, now: Millis, peers: &PeerView) {
        let Some(leader) = &mut self.leader else { return };
        leader.set_may_reshard(peers.all_upgraded);
        leader.set_no_peer_renewals(peers.no_renewals);
        leader.run_periodic_checks(now);
        leader.autoscale(now, context.names);

        let scarce = context.client.budgets().are_commits_scarce(now);
        let min_gap_ms = if scarce { SCARCE_CYCLE_GAP_MS } else { CYCLE_GAP_MS };
        if leader.is_cycle_due(now, min_gap_ms, MAX_CYCLE_GAP_MS) {
            leader.run_scheduling_cycle(now);
        }
    }

    /// Steps down if the raise count in a worker's fencing token is nearly exhausted, or if
    /// workers reach other controllers but hardly any of them reaches this one. Checks this
    /// at most once per [`STEP_DOWN_CHECK_MS`].
    fn step_down_if_unfit(&mut self, context: &mut LeaderContext, now: Millis, peers: &PeerView) {
        let Some(leader) = &self.leader else { return };
        if now < self.next_step_down_check {
            return;
        }
        self.next_step_down_check = now + STEP_DOWN_CHECK_MS;
        if leader.are_tokens_exhausted() {
            tracing::info!(term = %leader.term(), reason = "fencing tokens exhausted", "stepping down");
            return self.step_down(context, now);
        }
        let is_isolated = now > leader.started_at() + WORKER_ISOLATION_MS
            && leader.is_isolated_from_workers(now, WORKER_ISOLATION_MS);
        if is_isolated && peers.have_worker_contact {
            tracing::warn!(term = %leader.term(), reason = "workers reach other controllers but not this one", "stepping down");
            self.step_down(context, now);
        }
    }

    /// Ends the leadership, so that another controller can be elected.
    fn step_down(&mut self, context: &mut LeaderContext, now: Millis) {
        context.election.step_down(context.net, now, context.client);
        self.leader = None;
    }

    /// Processes a worker's heartbeat and returns the leader's decision on it; None: this
    /// controller doesn't lead in `term`.
    pub fn process_heartbeat(
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

    /// Returns mutable access to the leader; None: this controller doesn't lead.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.leader.as_mut()
    }

    /// Passes the machine types, which were read again, to the leader.
    pub fn set_machine_types(&mut self, types: &[MachineTypeSpec]) {
        if let Some(leader) = &mut self.leader {
            leader.set_machine_types(types);
        }
    }

    /// Returns the task counts of up to `max` jobs, to be sent to peers and set in the job
    /// cache.
    pub fn take_progress(&mut self, max: usize, jobs: &JobWatch) -> Vec<TaskCounts> {
        self.leader.as_mut().map_or_else(Vec::new, |leader| leader.take_progress(max, jobs.cache()))
    }

    /// Records that the read of changes to the job records has ended; it precedes the
    /// loading of the task records. If `synced` is true, the changes that the job cache may
    /// have missed were applied; otherwise the read is repeated after a pause.
    pub fn jobs_synced(&mut self, now: Millis, synced: bool) {
        self.task_loading.jobs_synced(now, synced);
    }

    /// Processes the result of a request of the leader.
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
            LeaderCall::Commit => self.transaction_finished(context, now, term, result),
            LeaderCall::Resync { key } => {
                let leader = self.leader.as_mut().filter(|leader| leader.term() == term);
                self.record_resync.received(now, leader, &key, result);
            }
            LeaderCall::Commands { machine, call } => {
                self.commands_finished(context, now, term, machine, call, result);
            }
            LeaderCall::Probe { machine } => self.probe_finished(context, now, term, machine, result),
            LeaderCall::ProvisionHosts { call } => self.scale_out_finished(now, term, call, result),
            LeaderCall::ReleaseHosts { call } => self.scale_in_finished(now, term, call, result),
            LeaderCall::ListHosts { call } => self.hosts_listed(context, now, term, call, result),
        }
    }
}
