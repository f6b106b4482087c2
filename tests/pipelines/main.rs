//! Pipelines of dependent jobs: when they start, how they are cancelled, what
//! they inherit, and what it costs to keep them.

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
fn starts_table() {
    run_table(&[
        case("chain", starts::chain),
        case("diamond", starts::diamond),
        case("fan", starts::fan),
        case("order of ids", starts::dependents_are_read_before_prerequisites),
        case("the end can't be written", starts::end_cannot_be_committed),
        case("leader dies before", starts::leader_crashes_before_the_end_is_committed),
        case("leader dies after", starts::leader_crashes_after_the_end_is_committed),
        case("the end is written late", starts::end_is_committed_late),
        case("over before", starts::prerequisite_is_done_at_submission),
        case("waiting holds nothing", starts::waiting_job_uses_no_quota),
    ]);
}

#[test]
fn cancellations_table() {
    run_table(&[
        case("while the end is written", cancellations::cancelled_while_the_end_is_written),
        case("a late end", cancellations::late_end_of_a_cancelled_job),
        case("state service away", cancellations::cancelled_while_the_store_is_unavailable),
        case("names a cancelled one", cancellations::submitted_after_its_prerequisite_was_cancelled),
    ]);
}

#[test]
fn urgency_table() {
    run_table(&[
        case("order counts from the end of the last prerequisite", urgency::order_counts_from_the_last_prerequisite),
        case(
            "renting counts from the end of the last prerequisite",
            urgency::renting_urgency_counts_from_the_last_prerequisite,
        ),
        case(
            "a waiting job causes no rentals and no preemption",
            urgency::waiting_job_causes_no_rentals_and_no_preemption,
        ),
        case("a late urgent dependent raises a queued job", urgency::late_urgent_dependent_raises_a_queued_job),
        case("a late urgent dependent protects a running job", urgency::late_urgent_dependent_protects_a_running_job),
        case("team limits stay each job's own", urgency::quotas_count_each_jobs_own_team),
    ]);
}

#[test]
fn cancelled_shapes_table() {
    run_table(&[
        case("a fan-out of 200 cancelled at the first", cancelled_shapes::wide_fan_out_cancelled_at_its_root),
        case("a chain of 60 cancelled at the first", cancelled_shapes::deep_chain_cancelled_at_its_root),
        case("a diamond cancelled at one side", cancelled_shapes::diamond_cancelled_at_one_side),
        case(
            "one prerequisite done before, one cancelled after",
            cancelled_shapes::one_prerequisite_done_before_and_one_cancelled_after,
        ),
    ]);
}
