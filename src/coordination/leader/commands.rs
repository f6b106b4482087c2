//! What workers are told to launch, halt and reap.

use super::Leader;
use crate::{
    bookkeeping::{job_cache::JobCache, records::Status},
    coordination::model::{Assignment, AssignmentIx, AssignmentState, ExitRecord, Job, Machine, MachineIx, Ms},
    protocol::workers::{split_task, Order, Report, TaskReport, TaskState},
};

/// Orders in one message: it must stay well below the 64 KiB that workers take.
const ORDERS_PER_MESSAGE: usize = 400;
/// Unreaped exits handled in one message, so that launches and halts fit too.
const EXITS_PER_MESSAGE: usize = ORDERS_PER_MESSAGE / 4;
/// An order is sent again after this long without effect.
pub(super) const RESEND_MS: Ms = 2_500;

/// Which orders a message carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderScope {
    /// Everything that isn't in effect yet: in the answer to a report.
    All,
    /// Only what was not sent lately: in a direct call.
    Unsent,
}

/// What an assignment's worker has to be told.
enum AssignmentOrder {
    Launch,
    Halt { grace_s: f64 },
}

/// Halts for tasks that run though their jobs are known as cancelled.
///
/// Guard: every 200 to a report renews a lease, so each carries these halts,
/// whoever answers, and whether the report is new or the records are read yet.
/// Otherwise a cancelled task could run on under a renewed lease.
pub fn halts_of_cancelled(report: &Report, job_cache: &JobCache) -> Vec<Order> {
    let is_cancelled = |task: &&TaskReport| {
        let job = split_task(&task.task).and_then(|(id, _)| job_cache.find(id));
        task.state != TaskState::Exited && job.is_some_and(|ix| job_cache.get(ix).status == Status::Cancelled)
    };
    let halt = |task: &TaskReport| Order::Halt { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 };
    report.tasks.iter().filter(is_cancelled).map(halt).take(ORDERS_PER_MESSAGE).collect()
}

impl Leader {
    /// Whether a task may be on the machine, or on its way there: listed by its
    /// report, assigned by a record, or launched by a command that is under way.
    pub fn may_hold_tasks(&self, report: &Report) -> bool {
        let is_listed = report.tasks.iter().any(|task| task.state != TaskState::Exited);
        if is_listed || !self.loaded {
            return true;
        }
        let Some(&ix) = self.machine_ix.get(&report.machine) else { return false };
        let machine = self.machine(ix);
        !machine.assignments.is_empty() || !machine.has_no_command_in_flight()
    }

    /// What the worker should be told; what is returned counts as sent.
    pub(super) fn orders(&mut self, now: Ms, ix: MachineIx, scope: OrderScope) -> Vec<Order> {
        let machine = &self.machines[ix.at()];
        let mut orders = match scope {
            OrderScope::All => self.exit_orders(machine),
            // Strays and exits wait for the report's answer.
            OrderScope::Unsent => Vec::new(),
        };
        let mut sent: Vec<AssignmentIx> = Vec::new();
        for &assignment_ix in &machine.assignments {
            let Some(assignment) = self.assignment(assignment_ix) else { continue };
            let Some(job) = self.job(assignment.job) else { continue };
            if assignment.session != machine.session || matches!(assignment.state, AssignmentState::Ended(_)) {
                continue;
            }
            if orders.len() >= ORDERS_PER_MESSAGE {
                break; // the rest comes with the next answer
            }
            if let Some(order) = self.assignment_order(now, assignment, scope) {
                orders.push(order_for(job, assignment, &order));
                sent.push(assignment_ix);
            }
        }
        for assignment_ix in sent {
            self.note_sent(now, assignment_ix);
        }
        orders
    }

    /// Orders for tasks that the worker lists without an assignment.
    fn exit_orders(&self, machine: &Machine) -> Vec<Order> {
        let mut orders = Vec::new();
        if !machine.fenced() {
            return orders;
        }
        for exit in machine.unreaped_exits.iter().take(EXITS_PER_MESSAGE) {
            let (task, attempt) = (&exit.task, exit.attempt);
            if exit.record == ExitRecord::Stray {
                // Halt and reap together: whichever applies takes effect.
                orders.push(Order::Halt { task: task.clone(), attempt, grace_s: 0.0 });
                orders.push(Order::Reap { task: task.clone(), attempt });
            } else if self.is_exit_recorded(exit) {
                orders.push(Order::Reap { task: task.clone(), attempt });
            }
        }
        orders
    }

    fn assignment_order(&self, now: Ms, assignment: &Assignment, scope: OrderScope) -> Option<AssignmentOrder> {
        let is_due = |sent: Option<Ms>| scope == OrderScope::All || sent.is_none_or(|sent| now >= sent + RESEND_MS);
        if let Some(halt) = assignment.halt {
            return is_due(halt.sent).then_some(AssignmentOrder::Halt { grace_s: halt.grace_s });
        }
        let is_launch_due = assignment.state == AssignmentState::Wanted && is_due(assignment.sent);
        (is_launch_due && self.may_launch(assignment)).then_some(AssignmentOrder::Launch)
    }

    fn note_sent(&mut self, now: Ms, ix: AssignmentIx) {
        let Some(assignment) = self.assignments.get_mut(ix) else { return };
        match &mut assignment.halt {
            Some(halt) => halt.sent = Some(now),
            None => assignment.sent = Some(now),
        }
    }
}

fn order_for(job: &Job, assignment: &Assignment, order: &AssignmentOrder) -> Order {
    let task = format!("{}/{}", job.id, assignment.task);
    let attempt = assignment.attempt;
    match order {
        AssignmentOrder::Launch => Order::Launch { task, attempt },
        AssignmentOrder::Halt { grace_s } => Order::Halt { task, attempt, grace_s: *grace_s },
    }
}
