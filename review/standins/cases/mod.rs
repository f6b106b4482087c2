//! The cases. Each returns whether the rule held, or why it could not run.

mod give_back;
mod late_report;
mod room;

use crate::world::World;

pub fn run(case: &str, world: World, has_trouble: bool) -> Result<bool, String> {
    match case {
        "late-report" => late_report::run(world, has_trouble),
        "room" => room::run(world, has_trouble),
        "give-back" => give_back::run(world, has_trouble),
        _ => Err(format!("unknown case: {case}")),
    }
}
