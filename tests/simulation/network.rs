//! The network between controllers, workers and the key-value store: what
//! happens to messages, and those that arrive later than they were sent.

use shedhook::{
    coordination::{
        effects::{CommitOutcome, DirectCallOutcome},
        model::{CallId, MachineIndex, Millis, Term},
    },
    protocol::{
        store::Transaction,
        workers::{DirectCommandRequest, Heartbeat},
    },
};

use super::{submission, worker::WorkerFaults, Simulation};

/// The direct call of a leader that waits for its answer.
#[derive(Clone, Copy)]
pub(super) struct DirectCall {
    pub(super) machine: MachineIndex,
    pub(super) call: CallId,
    pub(super) term: Term,
}

/// A message that arrives later than it was sent.
pub(super) enum Message {
    /// A command whose answer nobody waits for.
    Command {
        worker: usize,
        request: DirectCommandRequest,
    },
    /// A command that is executed and answered when it comes.
    SlowCommand {
        worker: usize,
        request: DirectCommandRequest,
        call: DirectCall,
    },
    /// The command was carried out; this is what the leader hears of it.
    CommandResponse {
        outcome: DirectCallOutcome,
        call: DirectCall,
    },
    Heartbeat(Heartbeat),
    /// A transaction whose answer nobody waits for.
    Transaction(Transaction),
    /// Carried out when it comes, and answered later still.
    SlowTransaction {
        transaction: Transaction,
        term: Term,
    },
    TransactionResponse {
        outcome: CommitOutcome,
        term: Term,
    },
}

struct DelayedMessage {
    due: Millis,
    message: Message,
}

/// What happens to messages, decided anew for each: percentages.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    /// The answer to a command is lost; the command is executed later.
    pub late_command: u32,
    /// A command never arrives.
    pub lost_command: u32,
    /// A command is executed and answered, and a copy of it comes again later.
    pub repeated_command: u32,
    /// A command takes a second or two to be executed and answered.
    pub slow_command: u32,
    /// A command is executed at once, its answer takes a second or two.
    pub slow_command_response: u32,
    /// The answer to a transaction is lost; half of those are applied at once,
    /// half later.
    pub lost_transaction_response: u32,
    /// A transaction gets no answer and is carried out 2 to 12 s later.
    pub late_transaction: u32,
    /// The answer to a heartbeat is lost.
    pub lost_heartbeat_response: u32,
    /// A heartbeat also arrives a second time, late.
    pub late_heartbeat: u32,
    /// A heartbeat arrives again from within a lease to four of them later.
    pub very_late_heartbeat: u32,
    /// A heartbeat does not arrive now, but some seconds later, unanswered.
    pub delayed_heartbeat: u32,
    /// The answer to a scale-out is lost.
    pub lost_scale_out_response: u32,
}

#[derive(Default)]
pub struct SimulatedNetwork {
    pub rates: FaultRates,
    delayed: Vec<DelayedMessage>,
}

impl SimulatedNetwork {
    pub(super) fn send_at(&mut self, due: Millis, message: Message) {
        self.delayed.push(DelayedMessage { due, message });
    }

    /// Removes and returns the messages that arrive by now.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Message> {
        let all = std::mem::take(&mut self.delayed);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|delayed| delayed.due <= now);
        self.delayed = later;
        due.into_iter().map(|delayed| delayed.message).collect()
    }

    /// How many messages are on their way.
    pub fn in_flight(&self) -> usize {
        self.delayed.len()
    }

    /// Delivers a copy of a heartbeat to whoever leads then.
    pub fn deliver_heartbeat_at(&mut self, due: Millis, heartbeat: Heartbeat) {
        self.send_at(due, Message::Heartbeat(heartbeat));
    }

    /// Everything on its way arrives at this time.
    pub fn delay_all_until(&mut self, due: Millis) {
        self.delayed.iter_mut().for_each(|delayed| delayed.due = due);
    }

    /// Whether commands to this worker are on their way, unanswered.
    pub fn has_commands_for(&self, worker: usize) -> bool {
        self.delayed.iter().any(|delayed| delayed.is_command_for(worker))
    }

    /// Commands to this worker that go unanswered arrive at this time.
    pub fn delay_commands_for(&mut self, worker: usize, due: Millis) {
        let commands = self.delayed.iter_mut().filter(|delayed| delayed.is_command_for(worker));
        commands.for_each(|delayed| delayed.due = due);
    }
}

impl DelayedMessage {
    fn is_command_for(&self, to: usize) -> bool {
        matches!(self.message, Message::Command { worker, .. } if worker == to)
    }
}

impl Simulation {
    /// Cuts a zone off or connects it again; behind the partition another
    /// controller may renew its workers' leases.
    pub fn partition_zone(&mut self, zone: &str, partitioned: bool, lease_renewed_by_peer: bool) {
        for worker in self.workers.iter_mut().filter(|worker| worker.spec.zone == zone) {
            worker.faults.partitioned = partitioned;
            worker.faults.lease_renewed_by_peer = lease_renewed_by_peer;
        }
    }

    /// Submits "j-1", a gang of two tasks that each take a whole machine. Both
    /// launches go unanswered: the one to worker 0 arrives after `delay_ms`, the
    /// other one at once.
    pub fn submit_gang_with_launches_in_flight(&mut self, delay_ms: Millis) {
        self.network.rates = FaultRates { late_command: 100, ..FaultRates::default() };
        let mut gang = submission("j-1", "ensemble", 2);
        gang.cpus = Some(8.0);
        self.submit(gang, 0);
        self.run(200);
        assert_eq!(self.network.in_flight(), 2, "both launches are on their way");
        self.network.delay_all_until(self.now + 100);
        self.network.delay_commands_for(0, self.now + delay_ms);
        self.network.rates = FaultRates::default();
    }

    /// All faults are over. Whatever is still on its way arrives all the same.
    pub fn heal_faults(&mut self) {
        self.network.rates = FaultRates::default();
        let conditions = &mut self.store.conditions;
        conditions.refuses_leader = false;
        conditions.read_latency_max_ms = 0;
        conditions.transaction_latency_max_ms = 0;
        self.controller.settings.peers_unreachable_since = None;
        for worker in self.workers.iter_mut() {
            worker.faults = WorkerFaults::default();
        }
        self.starvation.clear_waits();
        if !self.has_leader() {
            self.elect();
        }
    }
}
