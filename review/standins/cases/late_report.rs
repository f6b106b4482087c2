//! A copy of an old report reaches every controller just as a new leader begins. The rule `quota`
//! is checked.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    deployment::{machine, Deployment},
    http,
    world::{Job, World},
};

const TEAM: &str = "imaging";
/// The limit of the team, in GPUs.
const LIMIT: f64 = 12.0;

fn gpu_job(id: &str, team: &str, rank: &str, yard: &str, run_s: f64) -> Job {
    let mut job = Job::new(id, team, "batch", rank);
    (job.cpus, job.cards, job.memory_gb, job.run_s, job.yard) = (21.0, 4.0, 150.0, run_s, Some(yard.into()));
    job
}

pub fn run(world: World, has_trouble: bool) -> Result<bool, String> {
    let mut machines = vec![machine("i-000001", "falco", "padova")];
    machines.extend(["i-000002", "i-000003", "i-000004"].map(|host| machine(host, "falco", "brescia")));
    let teams = [(TEAM, 8.0, LIMIT), ("sportello", 8.0, 16.0)];
    let deployment = Deployment::start(world.clone(), &teams, machines)?;
    let first = deployment.worker("i-000001").ok_or("no worker")?;

    // The team's job `j-000001` runs in padova; a more urgent job of another team gets its machine.
    if !deployment.submit(&gpu_job("j-000001", TEAM, "low", "padova", 300.0)) {
        return Err("j-000001 was not accepted".into());
    }
    deployment.expect("j-000001 runs", 15.0, || world.is_on("i-000001", "j-000001/0"))?;
    deployment.expect("a report that lists it", 5.0, || first.last_running_report().is_some())?;
    let old_report = first.last_running_report().ok_or("no report")?;
    if !deployment.submit(&gpu_job("j-000002", "sportello", "high", "padova", 8.0)) {
        return Err("j-000002 was not accepted".into());
    }
    deployment.expect("j-000002 runs in its place", 15.0, || world.is_on("i-000001", "j-000002/0"))?;

    // Other jobs of the team take all that the team's limit allows.
    let others = ["j-000003", "j-000004", "j-000005"];
    for id in others {
        if !deployment.submit(&gpu_job(id, TEAM, "high", "brescia", 300.0)) {
            return Err(format!("{id} was not accepted"));
        }
    }
    let runs = |id: &str| world.stays().iter().any(|stay| stay.job() == id && stay.to.is_none());
    deployment.expect("the other jobs of the team run", 15.0, || others.into_iter().all(runs))?;
    deployment.expect("j-000002 is over", 15.0, || !world.is_on("i-000001", "j-000002/0"))?;
    thread::sleep(Duration::from_secs(4));

    if has_trouble {
        change_leader(&deployment, old_report)?;
    }
    thread::sleep(Duration::from_secs(20));
    let (peak, at) = world.peak_gpus(TEAM);
    world.record(&format!("most GPUs of {TEAM} at once: {peak}, at {:.3} s; its limit: {LIMIT}", at.as_secs_f64()));
    Ok(peak <= LIMIT)
}

/// Kills the leader. When the next one has read its records, a copy of an old report arrives at
/// every controller, once.
fn change_leader(deployment: &Deployment, old_report: Vec<u8>) -> Result<(), String> {
    let world = &deployment.world;
    let leader = deployment.worker("i-000002").ok_or("no worker")?.served_by();
    let leader = deployment.index_of(&leader).ok_or("no leader")?;
    let addresses: Vec<_> = deployment.controllers.iter().map(|node| (node.label.clone(), node.address)).collect();
    let (was_sent, observed) = (Arc::new(AtomicBool::new(false)), world.clone());
    deployment.kill(leader);
    let sent = Arc::clone(&was_sent);
    *deployment.store.on_page.lock().unwrap() = Some(Box::new(move |_, prefix, is_last| {
        if !prefix.starts_with("t/") || !is_last || sent.swap(true, Ordering::SeqCst) {
            return;
        }
        let (addresses, report, world) = (addresses.clone(), old_report.clone(), observed.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(60));
            for (label, address) in addresses {
                let answer = http::call(address, "POST", "/checkin", &report, Duration::from_secs(4));
                let answer =
                    answer.map(|(status, body)| format!("{status} {}", body.map_or(String::new(), |b| b.json())));
                world.record(&format!("late copy of a report of i-000001 to {label}: {answer:?}"));
            }
        });
    }));
    deployment.expect("a new leader has read its records", 30.0, || was_sent.load(Ordering::SeqCst))?;
    thread::sleep(Duration::from_secs(5));
    deployment.restart(leader)
}
