//! Tables of cases: each case is played in a simulation of its own.

use super::Simulation;

/// Distance of the seeds of a case's variants; tables are shorter than this.
pub const VARIANT_SEEDS: u64 = 100;

/// A case of a table.
pub struct Case {
    /// What it shows.
    name: &'static str,
    play: fn(&mut Simulation),
}

pub const fn case(name: &'static str, play: fn(&mut Simulation)) -> Case {
    Case { name, play }
}

/// Plays each case with four workers and a leader, and names every one that fails.
pub fn run_table(cases: &[Case]) {
    run_table_variants(cases, 1, |seed| {
        let mut simulation = Simulation::new(seed, 4);
        simulation.elect();
        simulation
    });
}

/// Plays each case in so many variants, in what `prepare` makes of their seeds,
/// and names every one that fails. The seeds of a case are its number, and that
/// number with a multiple of a hundred added.
pub fn run_table_variants(cases: &[Case], variants: u64, prepare: fn(u64) -> Simulation) {
    assert!((cases.len() as u64) < VARIANT_SEEDS);
    let mut failed = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        for variant in 0..variants {
            let seed = VARIANT_SEEDS * variant + number as u64;
            eprintln!("case: {}, seed {seed}", case.name);
            let played = std::panic::catch_unwind(|| {
                let mut simulation = prepare(seed);
                (case.play)(&mut simulation);
                eprintln!("  transactions refused as too large: {}", simulation.controller.too_large_transactions());
                simulation.check(case.name);
            });
            if played.is_err() {
                failed.push(format!("{}, seed {seed}", case.name));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
