//! A machine stops with all that is on it, and the cloud has no more. The lost task fits beside a replica of
//! a service on another machine, where nothing else comes.

use std::time::{Duration, Instant};

use crate::{
    cloud::Breed,
    nodes::Settings,
    users::{job, poll, with},
    wait, Cluster,
};

const FILLER: &str = "j-000301";
const SERVICE: &str = "j-000302";
const JOB: &str = "j-000303";
/// "no job is left waiting for 90 s while a machine that fits has room"
const LONGEST_WAIT: Duration = Duration::from_secs(90);

pub fn run(dir: &str) -> Result<Vec<String>, String> {
    let settings = Settings {
        zones: vec!["padova", "brescia"],
        nodes: vec!["padova", "brescia", "padova"],
        teams: vec![("sportello", 8.0, 0.0, 16.0), ("contabilita", 8.0, 0.0, 40.0)],
        report_s: 3.0,
        lease_s: 30.0,
        cancel_s: 50.0,
    };
    let breed =
        |name, cpus, memory| Breed { name, cpus, cards: 0.0, memory, boot_s: 30.0, yards: vec!["padova", "brescia"] };
    let mut cluster = Cluster::new(dir, &settings, vec![breed("merlo", 8.0, 16.0)]).ok_or("no deployment")?;
    let machines = [
        cluster.cloud.add("merlo", "padova", false),
        cluster.cloud.add("merlo", "brescia", false),
        cluster.cloud.add("merlo", "brescia", false),
    ];
    if !cluster.start() {
        return Err("the controllers did not become ready".into());
    }
    let long = Some(Duration::from_secs(600));
    let task = |id: &str| format!("{id}/0");
    let host_of = |id: &str| {
        let shared = cluster.world.shared.lock().unwrap();
        shared.on_machine.get(&task(id)).and_then(|places| places.first()).map(|place| place.host.clone())
    };
    // One machine in brescia is full.
    let filler = with(with(job(FILLER, "contabilita", "batch", 1, 8.0), "yard", "brescia"), "rank", "high");
    cluster.submit(&filler, long);
    // A replica of a service takes half of the machine in padova.
    let service = with(with(job(SERVICE, "sportello", "service", 1, 4.0), "yard", "padova"), "rank", "prod");
    cluster.submit(&with(with(service, "memoryGb", 6.6), "guessS", 0.0), None);
    if !cluster.wait_on_machine(&task(FILLER), 20.0) || !cluster.wait_on_machine(&task(SERVICE), 20.0) {
        return Err("the first jobs did not start".into());
    }
    // A job that may run anywhere.
    cluster.submit(&with(job(JOB, "contabilita", "batch", 1, 4.0), "memoryGb", 4.3), long);
    if !cluster.wait_on_machine(&task(JOB), 20.0) {
        return Err("the job did not start".into());
    }
    cluster.pause(2.0);
    let lost = host_of(JOB).ok_or("the job does not run")?;
    if host_of(SERVICE).as_ref() == Some(&lost) || host_of(FILLER).as_ref() == Some(&lost) {
        return Err("the job shares its machine".into());
    }
    if cluster.trouble {
        let machine = machines.iter().find(|machine| machine.spec.host == lost).ok_or("no such machine")?;
        cluster.cloud.die(machine);
        // The service has the machine returned: it knows that the task is gone.
        if !wait(30.0, || !cluster.cloud.is_listed(&lost)) {
            return Err("the machine was not returned".into());
        }
        cluster.world.note(format!("machine {lost} is no longer listed"));
    }
    let begin = Instant::now();
    while begin.elapsed() < LONGEST_WAIT + Duration::from_secs(1) {
        cluster.pause(0.2);
        if cluster.world.is_on_machine(&task(JOB)) {
            if begin.elapsed() > Duration::from_secs(20) {
                break;
            }
            continue;
        }
        // All the time, only the replica (4 of 8 CPUs, 6.6 of 16 GB) is on the machine in padova.
        let room = host_of(SERVICE).is_some_and(|host| host == machines[0].spec.host) && !machines[0].is_gone();
        if !room {
            return Err("the machine in padova has changed".into());
        }
        if begin.elapsed() > LONGEST_WAIT {
            let answers: Vec<_> = cluster.addrs.iter().map(|(_, to)| poll(*to, JOB)).collect();
            cluster.world.add_violation(format!(
                "waiting: {JOB} (4 CPUs, 4.3 GB) waited for {:.0} s while {} had 4 CPUs and 9.4 GB free; answers {answers:?}",
                begin.elapsed().as_secs_f64(),
                machines[0].spec.host
            ));
            break;
        }
    }
    Ok(cluster.world.violations())
}
