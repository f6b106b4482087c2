//! Two machines fail every task that they start, for some seconds. A job whose task failed there waits on
//! although the machines are sound again and have room.

use std::{
    sync::atomic::Ordering::Relaxed,
    time::{Duration, Instant},
};

use crate::{
    cloud::Breed,
    nodes::Settings,
    users::{job, poll, with},
    wait, Cluster,
};

const JOB: &str = "j-000203";
/// "no job is left waiting for 90 s while a machine that fits has room"
const LONGEST_WAIT: Duration = Duration::from_secs(90);

pub fn run(dir: &str) -> Result<Vec<String>, String> {
    let settings = Settings {
        zones: vec!["modena", "cremona"],
        nodes: vec!["modena", "cremona", "modena"],
        teams: vec![("laboratorio", 0.0, 0.0, 0.0)],
        report_s: 3.0,
        lease_s: 17.0,
        cancel_s: 47.0,
    };
    let breed =
        |name, cpus, memory, boot_s| Breed { name, cpus, cards: 0.0, memory, boot_s, yards: vec!["modena", "cremona"] };
    let breeds = vec![breed("cincia", 16.0, 32.0, 30.0), breed("cicogna", 64.0, 512.0, 25.0)];
    let mut cluster = Cluster::new(dir, &settings, breeds).ok_or("no deployment")?;
    // The cloud has more machines to give.
    cluster.cloud.capacity.store(4, Relaxed);
    let large = [cluster.cloud.add("cicogna", "modena", false), cluster.cloud.add("cicogna", "cremona", false)];
    for n in 0..16 {
        cluster.cloud.add("cincia", ["modena", "cremona"][n % 2], false);
    }
    if !cluster.start() {
        return Err("the controllers did not become ready".into());
    }
    // Replicas keep all machines in use; they leave room for the job on the large ones.
    let replicas = |id: &str, pieces, cpus, breed: &str| {
        let body = with(with(job(id, "laboratorio", "service", pieces, cpus), "guessS", 0.0), "scatter", true);
        with(body, "breeds", vec![breed.into()])
    };
    cluster.submit(&replicas("j-000201", 16, 16.0, "cincia"), None);
    cluster.submit(&replicas("j-000202", 2, 2.0, "cicogna"), None);
    let all_run = |id: &str, pieces: u32| (0..pieces).all(|n| cluster.world.is_on_machine(&format!("{id}/{n}")));
    if !wait(30.0, || all_run("j-000201", 16) && all_run("j-000202", 2)) {
        return Err("the replicas did not start".into());
    }
    let scan = |id: &str| {
        let body = with(with(job(id, "laboratorio", "ensemble", 1, 60.0), "memoryGb", 410.0), "samePlace", true);
        with(body, "bookmarkS", 45.0)
    };
    if cluster.trouble {
        large.iter().for_each(|machine| machine.faults.sick.store(true, Relaxed));
        cluster.world.note("the two large machines are sick");
    }
    cluster.submit(&scan(JOB), Some(Duration::from_secs(6)));
    let task = format!("{JOB}/0");
    if !cluster.wait_on_machine(&task, 20.0) {
        return Err("the job did not start".into());
    }
    let failed_on = |host: &str| {
        let shared = cluster.world.shared.lock().unwrap();
        shared.starts.iter().any(|(_, name, on)| *name == task && on == host)
    };
    if cluster.trouble {
        wait(20.0, || large.iter().all(|machine| failed_on(&machine.spec.host)));
        cluster.pause(1.5);
        large.iter().for_each(|machine| machine.faults.sick.store(false, Relaxed));
        cluster.world.note("no machine is sick any more");
    }
    // Later jobs of the same form, which show that the machines run them.
    let begin = Instant::now();
    let mut later = vec![(20.0, "j-000204"), (50.0, "j-000205")];
    let mut waits_since: Option<Instant> = None;
    while begin.elapsed() < Duration::from_secs(94) && !cluster.world.is_done(&task) {
        cluster.pause(0.1);
        if later.first().is_some_and(|(at, _)| begin.elapsed().as_secs_f64() > *at) {
            cluster.submit(&scan(later.remove(0).1), Some(Duration::from_secs(6)));
        }
        // A large machine has room unless one of these jobs is on it.
        let up: Vec<&String> =
            large.iter().filter(|machine| !machine.is_gone()).map(|machine| &machine.spec.host).collect();
        let has_room = {
            let shared = cluster.world.shared.lock().unwrap();
            let scans = shared
                .on_machine
                .iter()
                .filter(|(name, _)| shared.jobs.get(name.split('/').next().unwrap_or("")).is_some_and(|job| job.gang));
            let busy: Vec<&String> = scans.flat_map(|(_, places)| places.iter().map(|place| &place.host)).collect();
            up.iter().any(|host| !busy.contains(host))
        };
        if !has_room || cluster.world.is_on_machine(&task) {
            waits_since = None;
            continue;
        }
        let since = *waits_since.get_or_insert_with(Instant::now);
        if since.elapsed() > LONGEST_WAIT {
            let answers: Vec<_> = cluster.addrs.iter().map(|(_, to)| poll(*to, JOB)).collect();
            let ran = ["j-000204", "j-000205"].iter().filter(|id| cluster.world.is_done(&format!("{id}/0"))).count();
            cluster.world.add_violation(format!(
                "waiting: {JOB} waited for {:.0} s while a machine that fits had room; {ran} later jobs of its form ran; answers {answers:?}",
                since.elapsed().as_secs_f64(),
            ));
            break;
        }
    }
    Ok(cluster.world.violations())
}
