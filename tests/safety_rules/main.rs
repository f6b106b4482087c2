//! The safety rules of PROTOCOL, one table of cases: each delays, loses or
//! crashes something, and the invariants of `simulation` are checked at every step.

mod best_effort_teams;
mod cancellations;
mod failing_jobs;
mod heartbeats;
mod large_jobs;
mod launches;
mod placement;
mod random_faults;
mod renting;
mod scale;
#[path = "../simulation/mod.rs"]
mod simulation;
mod transactions;
mod unreachable_machines;
mod worker_leases;

use best_effort_teams::*;
use cancellations::*;
use failing_jobs::*;
use heartbeats::*;
use large_jobs::*;
use launches::*;
use placement::*;
use renting::*;
use simulation::{run_table, Case};
use transactions::*;
use unreachable_machines::*;
use worker_leases::*;

#[test]
fn rules_table() {
    let cases: &[Case] = &[
        ("crash before the write", crash_before_the_write),
        ("crash after the write", crash_after_the_write),
        ("late command, worker moved on", a_late_command_to_a_worker_that_moved_on),
        ("late command, hung worker", a_late_command_to_a_hung_worker),
        ("gang lost, launch in flight", a_gang_is_lost_with_a_launch_in_flight),
        ("records can't be written", nothing_starts_while_records_cannot_be_written),
        ("repeated command", a_repeated_command_after_the_reap),
        ("session seen by a probe", a_new_session_seen_by_a_probe),
        ("cut worker", a_worker_that_is_cut_off_goes_on),
        ("late report", a_late_report_from_before_the_launch),
        ("late transaction", a_late_transaction_of_the_leader_before),
        ("late copy of a transaction", a_late_copy_of_our_own_transaction),
        ("lost answers to transactions", a_lost_answer_to_every_second_transaction),
        ("cancelled, launch in flight", cancelled_with_the_launch_in_flight),
        ("cancelled, no leader", cancelled_while_the_leader_is_away),
        ("quota, silent machine", quota_while_a_machine_is_silent),
        ("same place, old attempt", same_place_with_an_old_attempt_unheard),
        ("scatter", scatter_keeps_its_half),
        ("gang stops in order", a_gang_stops_in_order),
        ("rentals", rentals_are_never_doubled),
        ("dead machine", a_dead_machine_goes_back),
        ("machines behind a cut", machines_behind_a_cut_are_kept),
        ("large job", a_large_job_stalls_nobody),
        ("old reports", old_reports_change_nothing),
        ("unrecorded tasks are adopted", strays_are_adopted),
        ("report of a returned machine", a_copy_from_a_machine_that_went_back),
        ("old copy first", an_old_copy_is_the_first_that_a_leader_hears),
        ("machine receives nothing", a_machine_that_hears_nothing),
        ("machines that reach no controller", machines_that_reach_nobody_take_nothing_new),
        ("worker back at once", a_worker_that_is_back_at_once),
        ("leaders in a row", leaders_that_follow_one_another_quickly),
        ("the largest", the_largest_begin_in_time),
        ("the largest, in a backlog", the_largest_begin_in_time_in_a_backlog),
        ("long list", a_long_list_comes_to_its_end),
        ("machines that all come late", machines_that_all_come_late),
        ("zones of rentals", machines_come_in_the_zones_that_need_them),
        ("leases kept", leases_kept_behind_a_cut),
        ("many hang", many_machines_hang),
        ("room in one zone", room_for_a_gang_in_the_zone_that_has_enough),
        ("answers", answers_stay_under_their_limit),
        ("jobs that fail everywhere", jobs_that_fail_everywhere),
        ("faulty machine", a_machine_that_is_faulty),
        ("team without a guarantee", a_team_without_a_guarantee),
        ("room left for others", unguaranteed_work_leaves_room),
        ("expensive machines, unguaranteed work", expensive_machines_are_not_kept_for_it),
    ];
    run_table(cases);
}
