//! The cases.

mod headroom;
mod sick_machines;
mod still_running;

/// Runs a case. Returns the broken rules, or why the case couldn't run.
pub fn run(case: &str, dir: &str) -> Result<Vec<String>, String> {
    match case {
        "headroom" => headroom::run(dir),
        "sick_machines" => sick_machines::run(dir),
        "still_running" => still_running::run(dir),
        _ => Err("no such case".into()),
    }
}
