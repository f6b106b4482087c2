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
mod slow_network;

use simulation::{
    cases::{case, run_table_variants, Case, VARIANT_SEEDS},
    Simulation,
};

/// How often each case is played, with other seeds.
const VARIANTS: u64 = 4;

#[test]
fn combined_failures_table() {
    let cases: &[Case] = &[
        case("leader ends, machines unreachable", leader_changes::failover_while_machines_are_unreachable),
        case("old reports after newer ones", heartbeats::stale_heartbeats_after_newer_ones),
        case("cancelled as the leader alone is refused", cancellations::cancelled_as_the_leader_alone_is_refused),
        case("command held up, machine goes on", slow_network::delayed_command_to_a_machine_that_resumes),
        case("ten leaders in two minutes", leader_changes::ten_leaders_in_two_minutes),
        case("workers reach nobody", cancellations::workers_reach_no_controller_but_commands_reach_them),
        case("handed over and back, all end", leader_changes::repeated_failover_with_launches_in_flight),
        case("slow service, refuses one, then all", slow_network::slow_store_refuses_the_leader_then_everybody),
        case("report held back until a leader has acted", heartbeats::heartbeat_delayed_until_a_new_leader_has_acted),
        case("cancelled at the very end", cancellations::cancelled_at_the_very_end),
        case("zone-bound jobs lose machines", partitions::zone_bound_jobs_lose_their_machines),
        case("transactions carried out late", slow_network::transactions_applied_late),
        case("cut leader whom workers reach", partitions::partitioned_leader_whom_workers_still_reach),
        case("zone with its controller cut off", partitions::zone_is_partitioned_with_its_controller),
        case("all controllers away", partitions::no_controller_for_longer_than_a_lease),
        case("tasks end far apart across leaders", leader_changes::tasks_end_far_apart_across_leaders),
        case("more work than room, slow links", slow_network::overload_on_a_slow_network),
        case("team at its limit, leader changes", leader_changes::team_at_its_quota_during_a_failover),
        case("cancelled unseen, commands queued", cancellations::cancelled_unseen_with_commands_queued),
        case("end of an earlier attempt", heartbeats::end_of_an_earlier_attempt),
        case("leader that hardly any worker reaches", leader_changes::leader_that_few_workers_reach),
    ];
    run_table_variants(cases, VARIANTS, prepare);
}

/// Every second variant of a case is played with the full behaviour of gangs.
fn prepare(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 4);
    sim.workers.settings.gang_semantics = (seed / VARIANT_SEEDS) % 2 == 1;
    sim.elect();
    sim
}
