//! Runs one case of the review: `standins CASE FOLDER`, from the root of the repository.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod cbor;
mod deployment;
mod http;
mod store;
mod worker;
mod world;

use std::{env, fs, path::PathBuf, process::ExitCode};

use world::World;

fn run(case: &str, folder: PathBuf, has_trouble: bool) -> Result<bool, String> {
    let temporary = env::temp_dir().join(format!("shedhook-review-{}", std::process::id()));
    fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let world = World::new(&folder, temporary.clone()).map_err(|error| error.to_string())?;
    let result = cases::run(case, world.clone(), has_trouble);
    match &result {
        Ok(true) => world.record("RESULT: the rule held"),
        Ok(false) => world.record("RESULT: the rule was broken"),
        Err(error) => world.record(&format!("RESULT: the case could not run: {error}")),
    }
    let _ = fs::remove_dir_all(temporary);
    result
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    match run(case, PathBuf::from(folder), has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
