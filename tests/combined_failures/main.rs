//! Combined failures: two or three at once. One table of cases; the invariants
//! of `simulation` are checked at every step, and once a case's faults are over
//! nothing that was accepted may be left waiting.

mod cancellations;
mod heartbeats;
mod helpers;
mod leader_changes;
mod partitions;
mod random_faults;
#[path = "../simulation/mod.rs"]
mod simulation;
mod slow_links;

use cancellations::*;
use heartbeats::*;
use leader_changes::*;
use partitions::*;
use simulation::{Case, Simulation};
use slow_links::*;

#[test]
fn combined_failures_table() {
    let cases: &[Case] = &[
        ("leader ends, machines unreachable", the_leader_ends_while_machines_are_unreachable),
        ("old reports after newer ones", old_reports_after_newer_ones),
        ("cancelled as the leader alone is refused", cancelled_as_the_leader_alone_is_refused),
        ("command held up, machine goes on", a_command_is_held_up_and_the_machine_goes_on),
        ("ten leaders in two minutes", ten_leaders_in_two_minutes),
        ("workers reach nobody", workers_reach_nobody_but_commands_reach_them),
        ("handed over and back, all end", handed_over_and_back_and_all_end),
        ("slow service, refuses one, then all", a_slow_service_that_refuses_one_and_then_all),
        ("report held back until a leader has acted", a_report_is_held_back_until_a_new_leader_has_acted),
        ("cancelled at the very end", cancelled_at_the_very_end),
        ("zone-bound jobs lose machines", zone_bound_jobs_lose_their_machines),
        ("transactions carried out late", transactions_carried_out_late),
        ("cut leader whom workers reach", a_cut_leader_whom_workers_still_reach),
        ("zone with its controller cut off", a_zone_with_its_controller_is_cut_off),
        ("all controllers away", all_controllers_are_away_for_longer_than_a_lease),
        ("tasks end far apart across leaders", tasks_end_far_apart_across_leaders),
        ("more work than room, slow links", more_work_than_room_over_slow_links),
        ("team at its limit, leader changes", a_team_at_its_limit_when_the_leader_changes),
        ("cancelled unseen, commands queued", cancelled_unseen_with_commands_queued),
        ("end of an earlier attempt", an_end_of_an_earlier_attempt),
        ("leader that hardly any worker reaches", a_leader_that_hardly_any_worker_reaches),
    ];
    // All cases are played, and every one that fails is named.
    let mut failed = Vec::new();
    for (n, (name, case)) in cases.iter().enumerate() {
        for seed in 0..4 {
            let played = std::panic::catch_unwind(|| {
                let mut sim = Simulation::new(100 * seed + n as u64, 4);
                sim.gang_semantics = seed % 2 == 1;
                sim.elect();
                case(&mut sim);
                sim.check(name);
            });
            if played.is_err() {
                failed.push(format!("{name}, seed {}", 100 * seed + n as u64));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
