//! The machine of a service's only replica dies. Another machine has room for it, and for a job that is
//! submitted some seconds later.

use std::{thread, time::Duration};

use crate::{
    deployment::{machine, wait_for, Deployment},
    world::{Job, World},
};

const SERVICE: &str = "j-000003";
const LATER: &str = "j-000005";
const GPU_HOST: &str = "i-000003";
/// The longest time that a job may wait beside a machine with room, in seconds.
const BOUND_S: f64 = 90.0;
/// Time after which the later job is submitted at the latest, in seconds: the leader has noticed the
/// loss of the machine by then.
const NOTICED_S: f64 = 12.0;

fn job(id: &str, shape: &str, rank: &str, cpus: f64, cards: f64, memory_gb: f64, run_s: f64) -> Job {
    let mut job = Job::new(id, "imaging", shape, rank);
    (job.cpus, job.cards, job.memory_gb, job.run_s) = (cpus, cards, memory_gb, run_s);
    job
}

pub fn run(world: World, has_trouble: bool) -> Result<bool, String> {
    let machines = vec![
        machine("i-000001", "merlo", "brescia"),
        machine("i-000002", "merlo", "brescia"),
        machine(GPU_HOST, "falco", "brescia"),
    ];
    let deployment = Deployment::start(world.clone(), &[("imaging", 8.0, 12.0)], machines)?;
    let submit = |job: Job| match deployment.submit(&job) {
        true => Ok(()),
        false => Err(format!("{} was not accepted", job.id)),
    };
    let runs = |id: &str| world.stays().iter().any(|stay| stay.job() == id && stay.to.is_none());

    // A training job on all GPUs of one machine, which is soon over; a job that fills one of the other
    // machines, and the service on the third. Then a small training job, which runs on.
    submit(job("j-000001", "ensemble", "high", 21.0, 4.0, 150.0, 2.0))?;
    deployment.expect("j-000001 runs", 15.0, || runs("j-000001"))?;
    submit(job("j-000002", "batch", "prod", 8.0, 0.0, 8.0, 300.0))?;
    submit(job(SERVICE, "service", "prod", 4.0, 0.0, 6.6, 0.0))?;
    submit(job("j-000004", "ensemble", "high", 2.0, 1.0, 10.0, 300.0))?;
    deployment.expect("the others run", 15.0, || ["j-000002", SERVICE, "j-000004"].into_iter().all(runs))?;
    let host = world.stays().into_iter().find(|stay| stay.job() == SERVICE).ok_or("no replica")?.host;
    if host == GPU_HOST {
        return Err("the service is on the machine with GPUs".into());
    }

    if has_trouble {
        let worker = deployment.worker(&host).ok_or("no worker")?;
        worker.die();
        // The leader has the machine returned once it has noticed the loss.
        wait_for(Duration::from_secs_f64(NOTICED_S), || !worker.is_listed());
        thread::sleep(Duration::from_secs(1));
    }
    submit(job(LATER, "batch", "high", 12.0, 2.0, 50.0, 300.0))?;
    thread::sleep(Duration::from_secs_f64(BOUND_S + 1.0));

    let mut holds = true;
    for id in [SERVICE, LATER] {
        world.record(&format!("{id} runs: {}", runs(id)));
        holds &= runs(id);
    }
    if deployment.worker(GPU_HOST).is_none_or(|worker| worker.is_gone()) {
        return Err("the machine with room is gone".into());
    }
    Ok(holds)
}
