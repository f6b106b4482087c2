//! Programs of earlier versions, built from the repository's history.

use std::{
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::OnceLock,
};

/// Returns the program of the version in production, which `deploy/service.toml` names.
pub fn production() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| build("production"))
}

/// Returns the program of the last version that doesn't support prerequisites.
pub fn without_pipelines() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| build("without-pipelines"))
}

/// Builds a version, unless it was built before, and returns its program. A failure fails
/// the test, since no upgrade can be checked without the earlier version.
fn build(version: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let script = root.join(".ci/build-version");
    let out = Command::new(&script).arg(version).current_dir(root).stderr(Stdio::inherit()).output();
    let out = out.unwrap_or_else(|error| panic!("{} can't be run: {error}", script.display()));
    assert!(out.status.success(), "version {version} can't be built from the git history, see above");
    let program = PathBuf::from(String::from_utf8(out.stdout).unwrap().trim_end());
    assert!(program.is_file(), "no program of version {version} at {}", program.display());
    program
}
