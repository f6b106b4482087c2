//! Faults of the network and of the state service: messages that are lost,
//! delayed or repeated, and their delivery.

use rand::RngExt;
use shedhook::{
    coordination::{
        effects::{CommitOutcome, DirectCallOutcome},
        model::{CallId, MachineIndex, Millis, Term},
    },
    protocol::{
        store::Txn,
        workers::{DirectCommandRequest, Heartbeat},
    },
};

use super::{submission, Simulation};

/// A command or report that arrives later than it was sent.
pub enum Held {
    Do {
        worker: usize,
        req: DirectCommandRequest,
    },
    SlowDo {
        worker: usize,
        req: DirectCommandRequest,
        machine: MachineIndex,
        call: CallId,
        term: Term,
    },
    Heartbeat(Heartbeat),
    Txn(Txn),
    /// Carried out when it comes, and answered later still.
    SlowTxn {
        txn: Txn,
        term: Term,
    },
    TxnAnswer {
        outcome: CommitOutcome,
        term: Term,
    },
    /// The command was carried out; this is what the leader hears of it.
    DoAnswer {
        out: DirectCallOutcome,
        machine: MachineIndex,
        call: CallId,
        term: Term,
    },
}

/// What happens to messages, decided anew for each.
#[derive(Clone, Copy, Default)]
pub struct FaultRates {
    /// In a hundred: the answer to a command is lost; the command is executed later.
    pub late_command: u32,
    /// A command never arrives.
    pub lost_command: u32,
    /// A command is executed and answered, and a copy of it comes again later.
    pub repeated_command: u32,
    /// A command takes a second or two to be executed and answered.
    pub slow_command: u32,
    /// The answer to a transaction is lost; half of those are applied at once,
    /// half later.
    pub lost_txn: u32,
    /// The answer to a heartbeat is lost.
    pub lost_report_answer: u32,
    /// A heartbeat also arrives a second time, late.
    pub late_report: u32,
    /// A rental's answer is lost.
    pub lost_rental_answer: u32,
    /// A command is executed at once, its answer takes a second or two.
    pub slow_command_answer: u32,
    /// A transaction gets no answer and is carried out 2 to 12 s later.
    pub late_txn: u32,
    /// A heartbeat arrives again from within a lease to four of them later.
    pub very_late_report: u32,
    /// A heartbeat does not arrive now, but some seconds later, unanswered.
    pub delayed_report: u32,
}

impl Simulation {
    pub(super) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub fn random_below(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| *at <= now);
        self.delayed = later;
        for (_, h) in due {
            match h {
                Held::Do { worker, req } => {
                    if self.workers[worker].hung {
                        self.delayed.push((now + 1_000, Held::Do { worker, req }));
                    } else {
                        self.execute_command(worker, &req);
                    }
                }
                Held::SlowDo { worker, req, machine, call, term } => {
                    let out = self.execute_command(worker, &req);
                    if let Some(l) = self.leader.as_mut().filter(|l| l.term() == term) {
                        l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                    }
                }
                Held::Heartbeat(r) => {
                    if let Some(l) = &mut self.leader {
                        // Whatever is answered, nobody listens any more.
                        l.heartbeat(now, &r, &self.job_cache, &mut self.tables);
                    }
                }
                Held::Txn(txn) => {
                    let _ = self.store.apply(&txn);
                }
                Held::SlowTxn { txn, term } => {
                    let outcome = match self.store.apply(&txn) {
                        Ok(store_revision) => CommitOutcome::Done(store_revision),
                        Err(failed) => CommitOutcome::Conflict(failed),
                    };
                    let at = now + self.rng.random_range(0..self.txn_ms.max(1));
                    self.delayed.push((at, Held::TxnAnswer { outcome, term }));
                }
                Held::TxnAnswer { outcome, term } => {
                    if self.leader.as_mut().is_some_and(|l| l.term() == term && !l.committed(now, outcome)) {
                        self.leader = None;
                    }
                }
                Held::DoAnswer { out, machine, call, term } => {
                    if let Some(l) = self.leader.as_mut().filter(|l| l.term() == term) {
                        l.direct_call_result(now, machine, call, out, &self.job_cache, &mut self.tables);
                    }
                }
            }
        }
    }

    /// Cuts a zone off or connects it again; behind the cut another controller
    /// may keep its workers' leases.
    pub fn partition_zone(&mut self, zone: &str, partitioned: bool, lease_kept_by_peer: bool) {
        for worker in self.workers.iter_mut().filter(|worker| worker.zone == zone) {
            (worker.partitioned, worker.lease_kept_by_peer) = (partitioned, lease_kept_by_peer);
        }
    }

    /// Submits "j-1", a gang of two tasks that each take a whole machine. Both
    /// launches go unanswered: the one to worker 0 arrives after `delay_ms`, the
    /// other one at once.
    pub fn submit_gang_with_launches_in_flight(&mut self, delay_ms: Millis) {
        self.faults = FaultRates { late_command: 100, ..FaultRates::default() };
        let mut gang = submission("j-1", "ensemble", 2);
        gang.cpus = Some(8.0);
        self.submit(gang, 0);
        self.run(200);
        assert_eq!(self.delayed.len(), 2, "both launches are on their way");
        let now = self.now;
        for (at, held) in &mut self.delayed {
            let is_delayed = matches!(held, Held::Do { worker: 0, .. });
            *at = now + if is_delayed { delay_ms } else { 100 };
        }
        self.faults = FaultRates::default();
    }

    /// All faults are over. Whatever is still on its way arrives all the same.
    pub fn heal_faults(&mut self) {
        self.faults = FaultRates::default();
        (self.refuse_leader, self.changes_ms, self.txn_ms, self.peers_silent_since) = (false, 0, 0, None);
        for x in &mut self.workers {
            (x.partitioned, x.hung, x.inbound_lost, x.answers_lost, x.outbound_lost, x.lease_kept_by_peer) =
                (false, false, false, false, false, false);
        }
        self.waiting_since.clear();
        if self.leader.is_none() {
            self.elect();
        }
    }
}
