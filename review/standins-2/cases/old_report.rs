//! A report is held back until a new leader has acted, and then arrives there. It lists a task that was
//! stopped since, and whose place in the team's limit another task has taken.

use std::time::Duration;

use crate::{
    cbor::{decode, V},
    cloud::Breed,
    http::call,
    nodes::Settings,
    users::{job, with},
    wait, Cluster,
};

const OLD: &str = "j-000103";
const SECOND: &str = "j-000104";
const URGENT: &str = "j-000105";

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
    let falco = cluster.cloud.add("falco", "padova", false);
    for _ in 0..3 {
        cluster.cloud.add("falco", "brescia", false);
    }
    for n in 0..8 {
        cluster.cloud.add("passero", ["padova", "brescia"][n % 2], false);
    }
    if !cluster.start() {
        return Err("the controllers did not become ready".into());
    }
    let on_falco = |id: &str, owner: &str, rank: &str, yard: &str| {
        let body = with(with(job(id, owner, "ensemble", 1, 21.0), "cards", 4.0), "memoryGb", 150.0);
        with(with(with(with(body, "rank", rank), "samePlace", true), "loaners", false), "yard", yard)
    };
    let long = Some(Duration::from_secs(600));
    let task = |id: &str| format!("{id}/0");
    let fail = |what: &str| Err(what.to_owned());
    // The team may use 12 cards: three of its jobs at a time.
    for (id, yard) in [("j-000101", "brescia"), ("j-000102", "brescia"), (OLD, "padova")] {
        cluster.submit(&on_falco(id, "imaging", "high", yard), long);
        if !cluster.wait_on_machine(&task(id), 20.0) {
            return fail("a job of the team did not start");
        }
    }
    cluster.submit(&on_falco(SECOND, "imaging", "high", "brescia"), long);
    cluster.pause(7.0);
    if cluster.world.is_on_machine(&task(SECOND)) {
        return Ok(cluster.world.violations());
    }
    // The report that is held back: the last one before the task is stopped.
    let lists_old = |bytes: &[u8]| {
        let Some(report) = decode(bytes) else { return false };
        report
            .list("pieces")
            .iter()
            .any(|piece| piece.str("piece") == Some(task(OLD).as_str()) && piece.str("status") == Some("running"))
    };
    let reports = || falco.reports.lock().unwrap().clone();
    let old_report = reports().into_iter().rev().find(|(_, bytes)| lists_old(bytes)).map(|(_, bytes)| bytes);
    let Some(old_report) = old_report else { return fail("no report lists the running task") };
    // A job of another team, with the highest priority, needs the machine in padova for some seconds.
    cluster.submit(&on_falco(URGENT, "sportello", "prod", "padova"), Some(Duration::from_secs(4)));
    let has_happened = || cluster.world.is_done(&task(URGENT)) && cluster.world.is_on_machine(&task(SECOND));
    if !wait(30.0, has_happened) {
        return fail("the urgent job or the team's fourth job did not run");
    }
    // The exits are recorded and reaped: the machine reports no task.
    let reports_nothing = |bytes: &[u8]| decode(bytes).is_some_and(|report| report.list("pieces").is_empty());
    if !wait(25.0, || reports().last().is_some_and(|(_, bytes)| reports_nothing(bytes))) {
        return fail("the machine did not become empty");
    }
    cluster.pause(1.0);
    if cluster.world.violations().is_empty() && cluster.trouble {
        let Some(leader) = cluster.leader() else { return fail("no leader") };
        cluster.world.note(format!("{} is killed", cluster.nodes[leader].label));
        let listings = cluster.cloud.listings();
        cluster.nodes[leader].kill();
        // Only a leader asks the cloud for its list of machines.
        if !wait(20.0, || cluster.cloud.listings() > listings) {
            return fail("no new leader acted");
        }
        let text = decode(&old_report).as_ref().map_or(String::new(), V::json);
        for (label, addr) in cluster.addrs.iter().filter(|(label, _)| *label != cluster.nodes[leader].label) {
            let answer = call(*addr, "POST", "/checkin", &old_report, Duration::from_secs(4));
            cluster.world.note(format!("old report reaches {label}: {:?}: {text}", answer.map(|answer| answer.status)));
        }
        cluster.pause(6.0);
        cluster.nodes[leader].start();
        cluster.world.note(format!("{} is back", cluster.nodes[leader].label));
    }
    wait(22.0, || !cluster.world.violations().is_empty());
    Ok(cluster.world.violations())
}
