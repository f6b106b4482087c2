//! While connections between the controllers are refused, the only task of a job is stopped for a job of a
//! higher priority. Afterwards the job waits for a long time.

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

const JOB: &str = "j-000401";
const URGENT: &str = "j-000402";
const REFUSED: Duration = Duration::from_secs(12);
/// "The state may lag by up to 3 s"; 5 s more for the controllers' links to come back.
const LAG: Duration = Duration::from_secs(3 + 5);

pub fn run(dir: &str) -> Result<Vec<String>, String> {
    let settings = Settings {
        zones: vec!["padova", "brescia"],
        nodes: vec!["padova", "brescia", "padova"],
        teams: vec![("sportello", 8.0, 0.0, 16.0), ("imaging", 8.0, 0.0, 12.0)],
        report_s: 3.0,
        lease_s: 30.0,
        cancel_s: 50.0,
    };
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
    cluster.cloud.capacity.store(2, Relaxed);
    cluster.cloud.add("falco", "padova", false);
    for n in 0..6 {
        cluster.cloud.add("passero", ["padova", "brescia"][n % 2], false);
    }
    if !cluster.start() {
        return Err("the controllers did not become ready".into());
    }
    let on_falco = |id: &str, owner: &str, rank: &str| {
        let body = with(with(job(id, owner, "ensemble", 1, 21.0), "cards", 4.0), "memoryGb", 150.0);
        with(with(with(body, "rank", rank), "samePlace", true), "loaners", false)
    };
    let long = Some(Duration::from_secs(600));
    let (task, urgent) = (format!("{JOB}/0"), format!("{URGENT}/0"));
    cluster.submit(&on_falco(JOB, "imaging", "low"), long);
    if !cluster.wait_on_machine(&task, 20.0) {
        return Err("the job did not start".into());
    }
    let ask = || -> Vec<Option<String>> {
        let word = |to| poll(to, JOB).and_then(|(status, state)| state.filter(|_| status == 200));
        cluster.addrs.iter().map(|(_, to)| word(*to)).collect()
    };
    let says_running = |word: &Option<String>| word.as_deref() == Some("running");
    if !wait(15.0, || ask().iter().all(says_running)) {
        return Err("not all controllers say running".into());
    }
    cluster.world.note("all controllers say that the job is running");
    let refuse = |refused: bool| {
        if cluster.trouble {
            cluster
                .nodes
                .iter()
                .flat_map(|node| &node.links)
                .for_each(|(_, link)| link.refused.store(refused, Relaxed));
            cluster.world.note(format!("connections between controllers are refused: {refused}"));
        }
    };
    refuse(true);
    let refused_at = Instant::now();
    cluster.pause(1.0);
    cluster.submit(&on_falco(URGENT, "sportello", "prod"), long);
    if !cluster.wait_on_machine(&urgent, 20.0) {
        return Err("the urgent job did not start".into());
    }
    while refused_at.elapsed() < REFUSED {
        cluster.pause(0.1);
    }
    refuse(false);
    let healed = Instant::now();
    let mut last_note = String::new();
    while healed.elapsed() < Duration::from_secs(35) {
        cluster.pause(0.5);
        let asked = Instant::now();
        let words = ask();
        let runs = cluster.world.is_on_machine(&task);
        let note = format!("on a machine: {runs}; answers: {words:?}");
        if note != last_note {
            cluster.world.note(&note);
            last_note = note;
        }
        if runs {
            return Err("the job started again too early".into());
        }
        if asked.duration_since(healed) > LAG + Duration::from_secs(20) && words.iter().any(says_running) {
            cluster.world.add_violation(format!(
                "status: {JOB} is called running {:.0} s after its only task was stopped, {:.0} s after the controllers reach each other again: {words:?}",
                refused_at.elapsed().as_secs_f64() - 1.0,
                healed.elapsed().as_secs_f64()
            ));
            break;
        }
    }
    Ok(cluster.world.violations())
}
