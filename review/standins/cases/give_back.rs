//! A machine dies while a team runs work beyond its guarantee on borrowed GPUs. Another team's job,
//! which is within that team's guarantee, needs them back.

use std::{thread, time::Duration};

use crate::{
    deployment::{machine, Deployment},
    world::{Job, World},
};

const BORROWER: &str = "infrastruttura";
const CLAIMANT: &str = "imaging";
/// The guarantee of each team, in GPUs.
const GUARANTEE: f64 = 8.0;
const BORROWING: [&str; 3] = ["j-000001", "j-000002", "j-000003"];
const CLAIM: &str = "j-000004";
/// How long the claimant's job has for its restart, after the machine's end, in seconds.
const TIME_S: f64 = 75.0;

/// A job of one task that takes all GPUs of a `falco`, as `radiografia-train`, but without
/// checkpoints.
fn gpu_job(id: &str, team: &str, rank: &str) -> Job {
    let mut job = Job::new(id, team, "batch", rank);
    (job.cpus, job.cards, job.memory_gb, job.run_s) = (21.0, 4.0, 150.0, 300.0);
    job
}

/// Returns how many of these jobs have a task on a machine.
fn running(world: &World, ids: &[&str]) -> usize {
    world.stays().iter().filter(|stay| stay.to.is_none() && ids.contains(&stay.job())).count()
}

pub fn run(world: World, has_trouble: bool) -> Result<bool, String> {
    let hosts = ["i-000001", "i-000002", "i-000003", "i-000004"];
    let machines = hosts.map(|host| machine(host, "falco", "padova")).to_vec();
    let teams = [(BORROWER, GUARANTEE, 16.0), (CLAIMANT, GUARANTEE, 12.0)];
    let deployment = Deployment::start(world.clone(), &teams, machines)?;

    if !deployment.submit(&gpu_job(CLAIM, CLAIMANT, "high")) {
        return Err(format!("{CLAIM} was not accepted"));
    }
    for id in BORROWING {
        if !deployment.submit(&gpu_job(id, BORROWER, "prod")) {
            return Err(format!("{id} was not accepted"));
        }
    }
    let all_run = || running(&world, &BORROWING) == BORROWING.len() && running(&world, &[CLAIM]) == 1;
    deployment.expect("all jobs run", 20.0, all_run)?;
    thread::sleep(Duration::from_secs(3));

    if has_trouble {
        let stay = world.stays().into_iter().find(|stay| stay.job() == CLAIM).ok_or("no task")?;
        deployment.worker(&stay.host).ok_or("no worker")?.die();
    }
    thread::sleep(Duration::from_secs_f64(TIME_S));

    let stays = world.stays();
    let halted = |id: &&str| stays.iter().filter(|stay| stay.job() == *id && stay.to.is_some()).count();
    let stops: usize = BORROWING.iter().map(halted).sum();
    let claim_runs = running(&world, &[CLAIM]) == 1;
    world.record(&format!(
        "{CLAIM} of {CLAIMANT} runs: {claim_runs}; tasks of {BORROWER} on machines: {}; its tasks were stopped {stops} times",
        running(&world, &BORROWING)
    ));
    Ok(claim_runs)
}
