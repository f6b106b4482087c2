//! Pipelines of dependent jobs: when they start, how they are cancelled, which
//! priority and deadline they inherit, and the cost of keeping them in the job cache.

mod cancellations;
mod cancelled_shapes;
mod helpers;
mod job_cache;
mod random_faults;
#[path = "../simulation/mod.rs"]
mod simulation;
mod starts;
mod urgency;

use simulation::cases::{case, run_table};

#[test]
fn dependent_jobs_start_once_their_prerequisites_are_done() {
    run_table(&[
        case("chain of jobs, all complete", starts::chain_of_jobs_completes),
        case("diamond of jobs, the last waits for both sides", starts::diamond_waits_for_both_sides),
        case("fan-out and join, all complete", starts::fan_out_and_join_complete),
        case(
            "dependents are read before their prerequisites, all complete",
            starts::dependents_are_read_before_prerequisites,
        ),
        case("completion cannot be committed, dependent does not start", starts::completion_cannot_be_committed),
        case(
            "leader crashes before the completion is committed, dependent completes",
            starts::leader_crashes_before_the_completion_is_committed,
        ),
        case(
            "leader crashes after the completion is committed, dependent completes",
            starts::leader_crashes_after_the_completion_is_committed,
        ),
        case("completion is committed late, dependent completes", starts::completion_is_committed_late),
        case(
            "prerequisite is done at submission, dependent starts at once",
            starts::prerequisite_is_done_at_submission,
        ),
        case("job waits for a prerequisite, it uses no quota", starts::waiting_job_uses_no_quota),
    ]);
}

#[test]
fn cancelled_prerequisites_cancel_their_dependents() {
    run_table(&[
        case(
            "cancelled while the completion is written, dependent is cancelled",
            cancellations::cancelled_while_the_completion_is_written,
        ),
        case(
            "completion of a cancelled job is committed late, either cancelled or done",
            cancellations::late_completion_of_a_cancelled_job,
        ),
        case(
            "cancelled while the store is unavailable, dependents are cancelled",
            cancellations::cancelled_while_the_store_is_unavailable,
        ),
        case(
            "submitted after its prerequisite was cancelled, job is cancelled",
            cancellations::submitted_after_its_prerequisite_was_cancelled,
        ),
    ]);
}

#[test]
fn urgency_is_inherited_from_dependents_and_counted_from_readiness() {
    run_table(&[
        case(
            "job waited long for a prerequisite, scheduling order counts from its completion",
            urgency::scheduling_order_counts_from_the_last_prerequisite,
        ),
        case(
            "job waited long for a prerequisite, scale-out urgency counts from its completion",
            urgency::scale_out_urgency_counts_from_the_last_prerequisite,
        ),
        case(
            "job waits for a prerequisite, no scale-out and no preemption for it",
            urgency::waiting_job_causes_no_scale_out_and_no_preemption,
        ),
        case(
            "urgent dependent of a queued job arrives, queued job inherits its priority",
            urgency::late_urgent_dependent_raises_the_priority_of_a_queued_job,
        ),
        case(
            "urgent dependent of a running job arrives, running job is not preempted",
            urgency::late_urgent_dependent_protects_a_running_job,
        ),
        case(
            "dependent of another team, quotas apply to each job's own team",
            urgency::quotas_apply_to_each_jobs_own_team,
        ),
    ]);
}

#[test]
fn cancellation_reaches_all_dependents_in_fan_outs_chains_and_diamonds() {
    run_table(&[
        case(
            "root of a fan-out of 200 is cancelled, all dependents are cancelled",
            cancelled_shapes::wide_fan_out_cancelled_at_its_root,
        ),
        case(
            "root of a chain of 60 is cancelled, all dependents are cancelled",
            cancelled_shapes::deep_chain_cancelled_at_its_root,
        ),
        case(
            "one side of a diamond is cancelled, the other side completes",
            cancelled_shapes::diamond_cancelled_at_one_side,
        ),
        case(
            "one prerequisite is done and one is cancelled later, dependent is cancelled",
            cancelled_shapes::one_prerequisite_done_before_and_one_cancelled_after,
        ),
    ]);
}
