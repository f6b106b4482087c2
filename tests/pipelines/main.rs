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

use cancellations::*;
use cancelled_shapes::*;
use simulation::run_table;
use starts::*;
use urgency::*;

#[test]
fn starts_table() {
    run_table(&[
        ("chain", chain),
        ("diamond", diamond),
        ("fan", fan),
        ("order of ids", read_in_the_order_of_ids),
        ("the end can't be written", the_end_cannot_be_written),
        ("leader dies before", the_leader_dies_before_the_end_is_written),
        ("leader dies after", the_leader_dies_after_the_end_is_written),
        ("the end is written late", the_end_is_written_late),
        ("over before", named_when_it_is_over),
        ("waiting holds nothing", a_waiting_job_holds_no_limit),
    ]);
}

#[test]
fn cancellations_table() {
    run_table(&[
        ("while the end is written", cancelled_while_the_end_is_written),
        ("a late end", a_late_end_of_a_cancelled_job),
        ("state service away", cancelled_while_the_state_service_is_away),
        ("names a cancelled one", names_a_cancelled_one),
    ]);
}

#[test]
fn urgency_table() {
    run_table(&[
        ("order counts from the end of the last prerequisite", order_counts_from_the_last_prerequisite),
        ("renting counts from the end of the last prerequisite", renting_urgency_counts_from_the_last_prerequisite),
        ("a waiting job causes no rentals and no preemption", a_waiting_job_causes_no_rentals_and_no_preemption),
        ("a late urgent dependent raises a queued job", a_late_urgent_dependent_raises_a_queued_job),
        ("a late urgent dependent protects a running job", a_late_urgent_dependent_protects_a_running_job),
        ("team limits stay each job's own", team_limits_stay_each_jobs_own),
    ]);
}

#[test]
fn cancelled_shapes_table() {
    run_table(&[
        ("a fan-out of 200 cancelled at the first", a_wide_fan_out_cancelled_at_the_first),
        ("a chain of 60 cancelled at the first", a_deep_chain_cancelled_at_the_first),
        ("a diamond cancelled at one side", a_diamond_cancelled_at_one_side),
        ("one prerequisite done before, one cancelled after", one_prerequisite_done_before_and_one_cancelled_after),
    ]);
}
