//! The safety rules of PROTOCOL, one table of cases: each delays, loses or
//! crashes something, and the invariants of `simulation` are checked at every step.

mod autoscaling;
mod best_effort;
mod cancellations;
mod failing_jobs;
mod heartbeats;
mod large_jobs;
mod launches;
mod placement;
mod random_faults;
mod scale;
#[path = "../simulation/mod.rs"]
mod simulation;
mod transactions;
mod unreachable_machines;
mod worker_leases;

use simulation::cases::{case, run_table};

#[test]
fn rules_table() {
    run_table(&[
        case("crash before the write", launches::leader_crashes_before_the_commit),
        case("crash after the write", launches::leader_crashes_after_the_commit),
        case("late command, worker moved on", launches::late_command_after_a_leader_change),
        case("late command, hung worker", launches::late_command_to_a_hung_worker),
        case("gang lost, launch in flight", launches::gang_fails_with_a_launch_in_flight),
        case("records can't be written", launches::no_launch_before_its_record_is_committed),
        case("repeated command", launches::repeated_command_after_the_reap),
        case("session seen by a probe", worker_leases::new_incarnation_seen_by_a_probe),
        case("cut worker", worker_leases::partitioned_worker_keeps_its_lease),
        case("late report", heartbeats::late_heartbeat_from_before_the_launch),
        case("late transaction", transactions::late_transaction_of_the_previous_leader),
        case("late copy of a transaction", transactions::late_copy_of_the_leaders_own_transaction),
        case("lost answers to transactions", transactions::every_second_transaction_is_unanswered),
        case("cancelled, launch in flight", cancellations::cancelled_with_a_launch_in_flight),
        case("cancelled, no leader", cancellations::cancelled_without_a_leader),
        case("quota, silent machine", placement::quota_counts_tasks_of_a_silent_machine),
        case("same place, old attempt", placement::one_zone_holds_while_an_old_attempt_may_run),
        case("scatter", placement::spread_limits_tasks_per_zone),
        case("gang stops in order", placement::gang_is_preempted_as_a_whole),
        case("rentals", autoscaling::rental_requests_are_idempotent),
        case("dead machine", unreachable_machines::dead_machine_is_released),
        case("machines behind a cut", unreachable_machines::partitioned_machines_are_kept),
        case("large job", large_jobs::large_job_does_not_block_others),
        case("old reports", heartbeats::stale_heartbeats_are_ignored),
        case("unrecorded tasks are adopted", heartbeats::unrecorded_tasks_are_adopted),
        case("report of a returned machine", heartbeats::heartbeat_copy_of_a_released_machine),
        case("old copy first", heartbeats::stale_heartbeat_is_the_first_of_a_leader),
        case("machine receives nothing", unreachable_machines::machine_that_receives_nothing),
        case(
            "machines that reach no controller",
            unreachable_machines::machines_that_reach_no_controller_get_no_new_work,
        ),
        case("worker back at once", worker_leases::worker_restarts_at_once),
        case("leaders in a row", transactions::leaders_in_quick_succession),
        case("the largest", large_jobs::largest_gang_starts_in_time),
        case("the largest, in a backlog", large_jobs::largest_gangs_start_in_time_in_a_backlog),
        case("long list", autoscaling::long_machine_list_is_read_to_its_end),
        case("machines that all come late", autoscaling::all_machines_boot_late),
        case("zones of rentals", autoscaling::machines_are_rented_in_the_zones_that_need_them),
        case("leases kept", worker_leases::leases_renewed_behind_a_partition),
        case("many hang", unreachable_machines::many_machines_hang),
        case("room in one zone", placement::gang_goes_to_the_zone_with_enough_capacity),
        case("answers", large_jobs::heartbeat_responses_stay_under_their_limit),
        case("jobs that fail everywhere", failing_jobs::jobs_that_fail_everywhere),
        case("faulty machine", failing_jobs::faulty_machine_is_released),
        case("team without a guarantee", best_effort::best_effort_team_gets_what_others_leave),
        case("room left for others", best_effort::best_effort_work_leaves_capacity),
        case("expensive machines, unguaranteed work", best_effort::expensive_machines_are_not_kept_for_best_effort),
    ]);
}
