//! A machine stops with all that is on it while the leader crashes. The task that ran there is started again
//! only when a new machine is up; until then no task of the job runs.

use std::time::{Duration, Instant};

use crate::{
    cloud::Breed,
    nodes::Settings,
    users::{job, poll, with},
    wait, Cluster,
};

const JOB: &str = "j-000401";

pub fn run(dir: &str) -> Result<Vec<String>, String> {
    let settings = Settings {
        zones: vec!["padova", "brescia"],
        nodes: vec!["padova", "brescia", "padova"],
        teams: vec![("sportello", 8.0, 0.0, 16.0), ("imaging", 8.0, 0.0, 12.0)],
        report_s: 3.0,
        lease_s: 30.0,
        cancel_s: 50.0,
    };
    // The lease of the machine is over, and the 3 s are over by which the state may lag.
    let grace = Duration::from_secs_f64(settings.lease_s + 3.0 + 5.0);
    let breed = |name, cpus, cards, memory, boot_s| Breed {
        name,
        cpus,
        cards,
        memory,
        boot_s,
        yards: vec!["padova", "brescia"],
    };
    let breeds = vec![breed("passero", 4.0, 0.0, 16.0, 30.0), breed("falco", 24.0, 4.0, 192.0, 60.0)];
    let mut cluster = Cluster::new(dir, &settings, breeds).ok_or("no deployment")?;
    cluster.cloud.capacity.store(4, std::sync::atomic::Ordering::Relaxed);
    let falco = cluster.cloud.add("falco", "padova", false);
    for n in 0..6 {
        cluster.cloud.add("passero", ["padova", "brescia"][n % 2], false);
    }
    if !cluster.start() {
        return Err("the controllers did not become ready".into());
    }
    let body = with(with(job(JOB, "imaging", "ensemble", 1, 21.0), "cards", 4.0), "memoryGb", 150.0);
    let body = with(with(with(body, "rank", "high"), "samePlace", true), "loaners", false);
    cluster.submit(&body, Some(Duration::from_secs(600)));
    let task = format!("{JOB}/0");
    if !cluster.wait_on_machine(&task, 20.0) {
        return Err("the job did not start".into());
    }
    let word = |to| poll(to, JOB).and_then(|(status, state)| state.filter(|_| status == 200));
    let all_say_running = || cluster.addrs.iter().all(|(_, to)| word(*to).as_deref() == Some("running"));
    if !wait(15.0, all_say_running) {
        return Err("not all controllers say running".into());
    }
    cluster.world.note("all controllers say that the job is running");
    let begin = Instant::now();
    let leader = cluster.leader().ok_or("no leader")?;
    if cluster.trouble {
        cluster.world.note(format!("{} is killed, machine {} stops", cluster.nodes[leader].label, falco.spec.host));
        cluster.cloud.die(&falco);
        cluster.nodes[leader].kill();
    }
    let mut gone_since: Option<Instant> = None;
    let mut last_note = String::new();
    while begin.elapsed() < Duration::from_secs(70) {
        cluster.pause(0.5);
        if cluster.trouble && begin.elapsed() > Duration::from_secs(8) && !cluster.nodes[leader].is_started() {
            cluster.nodes[leader].start();
            cluster.world.note(format!("{} is back", cluster.nodes[leader].label));
        }
        if cluster.world.is_on_machine(&task) {
            gone_since = None;
        } else {
            gone_since.get_or_insert_with(Instant::now);
        }
        let asked = Instant::now();
        let words: Vec<Option<String>> = cluster.addrs.iter().map(|(_, to)| word(*to)).collect();
        let note = format!("on a machine: {}; answers: {words:?}", gone_since.is_none());
        if note != last_note {
            cluster.world.note(&note);
            last_note = note;
        }
        let Some(since) = gone_since.filter(|_| !cluster.world.is_on_machine(&task)) else { continue };
        if asked.duration_since(since) > grace && words.iter().any(|word| word.as_deref() == Some("running")) {
            cluster.world.add_violation(format!(
                "status: {JOB} is called running {:.0} s after its only task was lost with its machine: {words:?}",
                since.elapsed().as_secs_f64()
            ));
            break;
        }
    }
    Ok(cluster.world.violations())
}
