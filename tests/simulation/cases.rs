//! Tables of cases: each case runs in a simulation of its own.

use super::Simulation;

/// Difference between the seeds of a case's consecutive variants; a table has fewer
/// cases than this, so that all seeds differ.
pub const VARIANT_SEEDS: u64 = 100;

/// A case of a table.
pub struct Case {
    /// Condition and expected result; printed when the case starts and when it fails.
    name: &'static str,
    run: fn(&mut Simulation),
}

/// Creates a case.
pub const fn case(name: &'static str, run: fn(&mut Simulation)) -> Case {
    Case { name, run }
}

/// Runs each case with four workers and a leader. Fails with the names of all cases
/// that failed.
pub fn run_table(cases: &[Case]) {
    run_table_variants(cases, 1, |seed| {
        let mut simulation = Simulation::new(seed, 4);
        simulation.elect();
        simulation
    });
}

/// Runs each case in `variants` variants, each in the simulation that `prepare`
/// creates from the variant's seed. Fails with the names and seeds of all runs that
/// failed. Variant `v` of the case with index `n` in the table has the seed `100 * v + n`;
/// both start at 0.
pub fn run_table_variants(cases: &[Case], variants: u64, prepare: fn(u64) -> Simulation) {
    assert!((cases.len() as u64) < VARIANT_SEEDS);
    let mut failed = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        for variant in 0..variants {
            let seed = VARIANT_SEEDS * variant + number as u64;
            eprintln!("case: {}, seed {seed}", case.name);
            let result = std::panic::catch_unwind(|| {
                let mut simulation = prepare(seed);
                (case.run)(&mut simulation);
                eprintln!("  transactions refused as too large: {}", simulation.controller.too_large_transactions());
                simulation.check(case.name);
            });
            if result.is_err() {
                failed.push(format!("{}, seed {seed}", case.name));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
