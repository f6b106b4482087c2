//! The leader's transactions: the rules on them, and how they reach the store.

use shedhook::{
    coordination::{effects::CommitOutcome, model::Term},
    protocol::{ids::Revision, store::Transaction},
    storage::records,
};

use super::{
    controller_settings::TRANSACTION_WRITES_MAX, network::Message, store::SimulatedStore,
    write_budget::CommitAllowance, Simulation,
};

/// Most conditions that a transaction may have.
const TRANSACTION_CONDITIONS_MAX: usize = 32;

/// Checks a transaction of the leader and returns the violated rules. `leadership` is the
/// present revision of the leader's key.
fn transaction_violations(now: u64, transaction: &Transaction, leadership: Revision) -> Vec<String> {
    let mut violations = Vec::new();
    let writes = transaction.writes.len();
    if writes > TRANSACTION_WRITES_MAX || transaction.conditions.len() > TRANSACTION_CONDITIONS_MAX {
        violations.push(format!("transaction too large: {writes} writes, {} conditions", transaction.conditions.len()));
    }
    let is_fenced = transaction
        .conditions
        .iter()
        .any(|condition| condition.key == records::LEADER_KEY && condition.revision == leadership);
    if !is_fenced {
        violations.push(format!(
            "transaction at {now} has no condition on the leader's key, so it could apply under a later leader"
        ));
    }
    violations
}

impl SimulatedStore {
    /// Applies a transaction and returns its outcome as the leader receives it.
    pub(super) fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        match self.apply(transaction) {
            Ok(store_revision) => CommitOutcome::Applied(store_revision),
            Err(failed) => CommitOutcome::Conflict(failed),
        }
    }
}

impl Simulation {
    /// Sends the leader's next transaction, if the leader has writes and may commit now.
    pub(super) fn commit(&mut self) {
        let now = self.now;
        self.controller.resync(now, &self.store);
        if !self.controller.may_commit(now) {
            return;
        }
        let allowance = self.commit_allowance();
        if allowance.writes == 0 {
            return;
        }
        let Some(transaction) = self.controller.next_transaction(now, &allowance) else { return };
        if let Some(budgets) = &mut self.write_budgets {
            budgets.take_for_commit(now, transaction.writes.len());
            budgets.count_writes(now, transaction.writes.len());
        }
        self.controller.count_transaction();
        let leadership = self.store.leadership_revision();
        self.invariants.record(transaction_violations(now, &transaction, leadership));
        if std::mem::take(&mut self.controller.settings.crash_before_transaction) {
            self.stop_leader();
            return;
        }
        self.send_transaction(transaction, Term(leadership));
    }

    /// Returns how much the leader may write now. Where writes are unlimited, there is
    /// spare budget during one second in four.
    fn commit_allowance(&mut self) -> CommitAllowance {
        match &mut self.write_budgets {
            Some(budgets) => {
                let allowance = budgets.commit_allowance(self.now);
                CommitAllowance { writes: allowance.writes.min(TRANSACTION_WRITES_MAX), ..allowance }
            }
            None => {
                let has_spare_budget = (self.now / 1_000).is_multiple_of(4);
                CommitAllowance { writes: TRANSACTION_WRITES_MAX, has_spare_budget }
            }
        }
    }

    /// Sends a transaction to the store, subject to faults in both directions.
    fn send_transaction(&mut self, transaction: Transaction, term: Term) {
        let now = self.now;
        let conditions = &mut self.store.conditions;
        if conditions.transactions_left == Some(0) || conditions.refuses_leader {
            self.controller.transaction_failed(now, CommitOutcome::Refused);
            return;
        }
        conditions.transactions_left = conditions.transactions_left.map(|left| left - 1);
        if conditions.is_too_large(&transaction) {
            self.controller.count_too_large_transaction();
            self.controller.transaction_failed(now, CommitOutcome::TooLarge);
            return;
        }
        if self.random.chance(self.network.rates.lost_transaction_response) {
            if self.random.coin() {
                let _ = self.store.apply(&transaction);
            } else {
                let due = now + self.random.delay(100..40_000);
                self.network.send_at(due, Message::Transaction(transaction));
            }
            self.controller.transaction_failed(now, CommitOutcome::Unknown);
            return;
        }
        if self.random.chance(self.network.rates.late_transaction) {
            let due = now + self.random.delay(2_000..12_000);
            self.network.send_at(due, Message::Transaction(transaction));
            self.controller.transaction_failed(now, CommitOutcome::Unknown);
            return;
        }
        let latency_max = self.store.conditions.transaction_latency_max_ms;
        if latency_max > 0 {
            let due = now + self.random.delay(0..latency_max);
            self.network.send_at(due, Message::SlowTransaction { transaction, term });
            return;
        }
        let outcome = self.store.commit(&transaction);
        if std::mem::take(&mut self.controller.settings.crash_after_transaction) {
            self.stop_leader();
            return;
        }
        self.controller.transaction_finished(now, outcome);
    }
}
