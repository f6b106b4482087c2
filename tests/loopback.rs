//! Three real controllers on loopback, against stand-ins for the key-value
//! store, the cloud and one worker: answers, a leader's death, a restart of all.

mod loopback_cluster;

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use ciborium::Value;
use loopback_cluster::{
    cluster::LoopbackCluster,
    controllers::{Controller, Shared},
    http::{call, code, Response},
    key_value_store::StoredValue,
    users::{ids, is_ready, job, job_after, status, status_word, with},
    wait_for, wait_up_to,
    worker::Worker,
};
use shedhook::protocol::{
    cbor as body,
    ids::{Attempt, FencingToken, Incarnation, Revision, SequenceNumber},
    store::{Condition, Transaction, WriteOperation},
    workers::{Heartbeat, TaskState, TaskStatus},
};

const SHARED: Shared = Shared { lease_s: 30, cancel_s: 50, next: None };

/// Guard: a leader whose lease is renewed, but whose reads of the jobs' records
/// hang, answers no worker with tasks beyond the time at which a cancellation
/// that it can't know of would be outlived; a machine with nothing on it is
/// answered all the same. And: told by a peer, or by its own read, whoever hears
/// the workers stops what is cancelled at once, and that alone.
#[test]
fn nobody_renews_what_may_be_cancelled() {
    const LEASE_S: u32 = 4;
    const CANCEL_S: u32 = 14;
    let mut cluster = LoopbackCluster::start("cancelled", &Shared { lease_s: LEASE_S, cancel_s: CANCEL_S, next: None });
    for id in ["j-100001", "j-100002", "j-100003", "j-100004"] {
        let accepted = || {
            call(cluster.nodes[0].client, "POST", "/api/jobs", &job(id, "service", 2))
                .filter(|response| response.status == 201)
        };
        wait_for("accepted", accepted);
    }
    let all = || ["j-100001", "j-100002", "j-100003", "j-100004"].iter().all(|job| cluster.runs(job) == 2);
    wait_for("all run", || all().then_some(()));

    // Refused alone, it is told by the controller that confirmed.
    let leader = cluster.leader();
    let other = cluster.nodes[(leader + 1) % 3].client;
    cluster.gates[leader].shut.store(true, Ordering::Relaxed);
    for node in cluster.nodes.iter() {
        status(node.client, "j-100002"); // a question makes a controller read
    }
    assert_eq!(code(call(other, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    let user_responses = Instant::now();
    cluster.gates.iter().for_each(|gate| gate.shut.store(true, Ordering::Relaxed));
    wait_for("what a peer told of is gone", || (cluster.runs("j-100001") == 0).then_some(()));
    assert!(user_responses.elapsed() < Duration::from_secs(3), "gone after {:?}", user_responses.elapsed());
    // In the outage the rest goes on, answered by whoever may, for a time.
    thread::sleep(Duration::from_millis(4_500).saturating_sub(user_responses.elapsed()));
    assert_eq!((cluster.runs("j-100002"), cluster.runs("j-100003")), (2, 2));
    let renewed = || cluster.worker.lock().unwrap().renewed.unwrap();
    assert!(renewed().elapsed() < Duration::from_secs(2), "leases are kept for a while");
    thread::sleep(Duration::from_secs(u64::from(CANCEL_S - LEASE_S)).saturating_sub(user_responses.elapsed()));
    let last = renewed();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(renewed(), last, "nobody renews beyond the bound");
    cluster.gates.iter().for_each(|gate| gate.shut.store(false, Ordering::Relaxed));
    wait_for("answered again", || (renewed() > last).then_some(()));

    // Its reads hang while its lease goes on; nobody can tell it.
    let leader = cluster.leader();
    cluster.gates[leader].blind.store(true, Ordering::Relaxed);
    let key = "j/j-100002";
    let confirmed = {
        let mut store = cluster.store.lock().unwrap();
        let StoredValue { value: mut record, revision, .. } = store.keys[key].clone();
        for (field, value) in record.as_map_mut().unwrap() {
            if field.as_text() == Some("st") {
                *value = Value::Text("c".into());
            }
        }
        let txn = Transaction {
            conditions: vec![Condition { key: key.into(), revision: Revision(revision) }],
            writes: vec![WriteOperation::Put { key: key.into(), value: record, grant: None }],
        };
        assert_eq!(store.apply(txn).status, 200);
        Instant::now()
    };
    let bound = Duration::from_secs(u64::from(CANCEL_S - LEASE_S));
    thread::sleep(bound);
    let last = renewed();
    let heartbeat = |tasks: Vec<TaskStatus>, machine: &str| {
        let worker = cluster.worker.lock().unwrap();
        let (addr, token) = (worker.addr.to_string(), worker.token);
        let (machine, machine_type, zone) = (machine.to_owned(), "m".into(), "a".into());
        let heartbeat = Heartbeat {
            machine,
            addr,
            machine_type,
            zone,
            spot: false,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(1),
            token: FencingToken(token),
            reclaim_notice_s: None,
            tasks,
        };
        body::encode(&heartbeat)
    };
    let asks = |bytes: &[u8]| code(call(cluster.nodes[leader].client, "POST", "/checkin", bytes));
    let runs = TaskStatus {
        task: "j-100002/0".into(),
        attempt: Attempt(1),
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    };
    assert_eq!(asks(&heartbeat(vec![runs], "i-000002")), Some(503), "it may hold what is cancelled");
    assert_eq!(asks(&heartbeat(vec![], "i-000003")), Some(200), "nothing runs there, and it still leads");
    thread::sleep(Duration::from_secs(2));
    assert_eq!(renewed(), last, "renewed {:?} after the confirmation", renewed() - confirmed);
    assert!(last < confirmed + bound, "renewed {:?} after the confirmation", last - confirmed);
    cluster.gates[leader].blind.store(false, Ordering::Relaxed);
    wait_for("what it reads of is gone", || (cluster.runs("j-100002") == 0).then_some(()));
    assert_eq!((cluster.runs("j-100003"), cluster.runs("j-100004")), (2, 2), "nothing else is");

    // The leader dies, a cancellation is confirmed, and the store is away before
    // there is a next one: whoever keeps the lease ends what is cancelled.
    let leader = cluster.leader();
    let other = cluster.nodes[(leader + 1) % 3].client;
    for node in cluster.nodes.iter() {
        status(node.client, "j-100004");
    }
    cluster.nodes[leader].kill();
    assert_eq!(code(call(other, "POST", "/api/jobs/j-100003/abort", &[])), Some(200));
    cluster.gates.iter().for_each(|gate| gate.shut.store(true, Ordering::Relaxed));
    let user_responses = Instant::now();
    wait_for("halted by who keeps the lease", || (cluster.runs("j-100003") == 0).then_some(()));
    assert!(
        user_responses.elapsed() < Duration::from_secs(u64::from(CANCEL_S - LEASE_S)),
        "gone after {:?}",
        user_responses.elapsed()
    );
    assert_eq!(cluster.runs("j-100004"), 2, "the rest goes on");
    cluster.gates.iter().for_each(|gate| gate.shut.store(false, Ordering::Relaxed));
    wait_for("a leader again", || {
        (cluster.worker.lock().unwrap().renewed? > user_responses + Duration::from_secs(6)).then_some(())
    });
    assert_eq!((cluster.runs("j-100003"), cluster.runs("j-100004")), (0, 2));
}

#[test]
fn three_controllers_serve_fail_and_return() {
    let mut cluster = LoopbackCluster::start("loopback", &SHARED);
    let (worker_state, shut) = (cluster.worker.clone(), cluster.gates.clone());
    let nodes = &mut cluster.nodes;
    let first = nodes[0].client;

    // What can't be taken is told at once, and how.
    let huge = vec![0u8; 70_000];
    let unknown_team = with(&job("j-000009", "batch", 1), "owner", Value::Text("nobody".into()));
    let cases: &[(&str, &str, &[u8], u16)] = &[
        ("POST", "/api/jobs", b"nonsense", 400),
        ("POST", "/api/jobs", &huge, 413),
        ("POST", "/api/jobs", &unknown_team, 422),
        ("PUT", "/api/jobs", b"", 405),
        ("GET", "/api/jobs/j-999999", b"", 404),
        ("POST", "/api/jobs/j-999999/abort", b"", 404),
        ("GET", "/nowhere", b"", 404),
    ];
    for (method, path, bytes, want) in cases {
        assert_eq!(code(call(first, method, path, bytes)), Some(*want), "{method} {path}");
    }

    // A job is taken once, whoever is asked, and done for everybody.
    assert_eq!(code(call(first, "POST", "/api/jobs", &job("j-000001", "batch", 3))), Some(201));
    for node in nodes.iter() {
        assert_eq!(code(call(node.client, "POST", "/api/jobs", &job("j-000001", "batch", 3))), Some(200));
    }
    for node in nodes.iter() {
        wait_for("done", || (status(node.client, "j-000001")? == "done").then_some(()));
    }

    // A service runs, survives its leader, and ends when it is told to.
    assert_eq!(code(call(first, "POST", "/api/jobs", &job("j-100001", "service", 2))), Some(201));
    wait_for("running", || (status(first, "j-100001")? == "running").then_some(()));
    let leader = wait_for("a leader", || {
        let heartbeat = worker_state.lock().unwrap().heartbeat();
        nodes.iter().position(|node| {
            call(node.client, "POST", "/checkin", &body::encode(&heartbeat))
                .is_some_and(|response| response.status == 200)
        })
    });
    nodes[leader].kill();
    let other = nodes[(leader + 1) % 3].client;
    assert_eq!(wait_for("accepted", || code(call(other, "POST", "/api/jobs", &job("j-000002", "batch", 2)))), 201);
    wait_for("done under the next leader", || (status(other, "j-000002")? == "done").then_some(()));
    let running = |worker: &Worker| worker.tasks.iter().filter(|task| task.is_running()).count();
    assert_eq!(running(&worker_state.lock().unwrap()), 2, "replicas went on");
    assert_eq!(code(call(other, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    wait_for("replicas gone", || (running(&worker_state.lock().unwrap()) == 0).then_some(()));

    // All gone and back: nothing is forgotten.
    for node in nodes.iter_mut() {
        node.kill();
    }
    for node in nodes.iter_mut() {
        node.start();
    }
    for node in nodes.iter() {
        wait_for("ready again", || (call(node.client, "GET", "/ready", &[])?.status == 200).then_some(()));
        assert_eq!(status(node.client, "j-000001").as_deref(), Some("done"));
        assert_eq!(status(node.client, "j-100001").as_deref(), Some("cancelled"));
        assert_eq!(code(call(node.client, "POST", "/api/jobs", &job("j-000002", "batch", 2))), Some(200));
    }

    // The leader keeps its workers, but has neither the key-value store nor peers:
    // it acts for nobody, says so at once, and sends workers to nobody.
    let heartbeat = |worker: &Arc<Mutex<Worker>>| body::encode(&worker.lock().unwrap().heartbeat());
    let leads = |node: &Controller| {
        call(node.client, "POST", "/checkin", &heartbeat(&worker_state)).is_some_and(|response| response.status == 200)
    };
    let leader = wait_for("a leader again", || nodes.iter().position(leads));
    shut[leader].shut.store(true, Ordering::Relaxed);
    for n in (0..3).filter(|n| *n != leader) {
        nodes[n].kill();
    }
    let alone = nodes[leader].client;
    let since = Instant::now();
    wait_for("it no longer leads", || (!leads(&nodes[leader])).then_some(()));
    assert!(since.elapsed() < Duration::from_secs(5), "led on for {:?}", since.elapsed());
    wait_for("not ready", || (call(alone, "GET", "/ready", &[])?.status == 503).then_some(()));
    let answer = call(alone, "POST", "/checkin", &heartbeat(&worker_state)).unwrap();
    let leader_hint: Value = body::decode(&answer.body).unwrap_or(Value::Null);
    assert_eq!((answer.status, leader_hint.as_map().map_or(0, Vec::len)), (421, 0), "names somebody: {leader_hint:?}");
    let unknown = [("GET", "/api/jobs/j-000777", 503), ("GET", "/api/jobs/j-000001", 200)];
    for (method, path, want) in unknown {
        let asked = Instant::now();
        assert_eq!(code(call(alone, method, path, &[])), Some(want), "{path}");
        assert!(asked.elapsed() < Duration::from_secs(2), "{path} took {:?}", asked.elapsed());
    }
    assert_eq!(code(call(alone, "POST", "/api/jobs", &job("j-000003", "batch", 1))), Some(503));

    // Once that is over, every question is answered, there and elsewhere.
    shut[leader].shut.store(false, Ordering::Relaxed);
    for node in nodes.iter_mut().filter(|node| node.child.is_none()) {
        node.start();
    }
    for node in nodes.iter() {
        wait_for("answers again", || (status(node.client, "j-000002")? == "done").then_some(()));
        let taken =
            || call(node.client, "POST", "/api/jobs", &job("j-000004", "batch", 1)).filter(Response::is_success);
        wait_for("takes jobs again", taken);
        wait_for("runs them", || (status(node.client, "j-000004")? == "done").then_some(()));
    }
}

/// While a controller hasn't shown its version, nothing with prerequisites is
/// accepted; `tests/upgrade.rs` does the same with one that is there, and old.
#[test]
fn pipelines_over_the_wire() {
    let mut cluster = LoopbackCluster::prepare("pipelines", &SHARED);
    let nodes = &mut cluster.nodes;
    nodes[0].start();
    nodes[1].start();
    let (a, b) = (nodes[0].client, nodes[1].client);
    cluster.receive_heartbeats();
    let nodes = &mut cluster.nodes;
    for at in [a, b] {
        wait_for("ready", || (call(at, "GET", "/ready", &[])?.status == 200).then_some(()));
    }
    let submit = |to: SocketAddr, bytes: &[u8]| code(call(to, "POST", "/api/jobs", bytes));
    assert!(submit(a, &job("j-000001", "batch", 3)).is_some_and(|s| s < 300));
    for at in [a, b] {
        wait_for("done", || (status(at, "j-000001")? == "done").then_some(()));
        thread::sleep(Duration::from_secs(2));
        assert_eq!(submit(at, &job_after("j-000002", "batch", ids(&["j-000001"]))), Some(503), "one may be old");
        assert_eq!(submit(at, &job_after("j-000002", "batch", Value::from(1))), Some(400));
        assert_eq!(status(at, "j-000002"), None);
    }
    nodes[2].start();
    for node in nodes.iter() {
        let bytes = job_after("j-000002", "batch", ids(&["j-000001", "j-000001"]));
        wait_for("accepted", || submit(node.client, &bytes).filter(|s| *s < 300));
    }
    wait_for("done", || (status(a, "j-000002")? == "done").then_some(()));

    // Runs until it is cancelled; what needs it waits.
    assert_eq!(submit(a, &job("j-100001", "batch", 1)), Some(201));
    assert_eq!(submit(b, &job("j-100002", "service", 1)), Some(201));
    let many: Vec<String> = (0..3_000).map(|n| format!("j-{n}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    // (what, where, id, prerequisites, answer)
    let cases = [
        ("accepted elsewhere a moment ago", b, "j-000010", ids(&["j-100001"]), 201),
        ("through another", a, "j-000011", ids(&["j-000010", "j-000001"]), 201),
        ("again, elsewhere", b, "j-000011", ids(&["j-000010", "j-000001"]), 200),
        ("again, naming what was never accepted", b, "j-000011", ids(&["j-999999"]), 200),
        ("never accepted", a, "j-000012", ids(&["j-100001", "j-999999"]), 422),
        ("a service", a, "j-000012", ids(&["j-100002"]), 422),
        ("itself, which isn't accepted yet", a, "j-000012", ids(&["j-000012"]), 422),
        ("no list", a, "j-000012", Value::Text("j-100001".into()), 400),
        ("no ids", a, "j-000012", ids(&["j-100001", "x"]), 400),
        ("too long for a record", a, "j-000012", ids(&many), 400),
        ("null", a, "j-000013", Value::Null, 201),
        ("nobody", a, "j-000006", ids(&[]), 201),
    ];
    for (what, at, id, prereqs, want) in cases {
        assert_eq!(submit(at, &job_after(id, "batch", prereqs)), Some(want), "{what}");
    }
    assert_eq!(status(a, "j-000012"), None, "refused for good");
    wait_for("runs", || (status(a, "j-100001")? == "running").then_some(()));
    assert_eq!(status(b, "j-000010").as_deref(), Some("pending"));
    // Guard: one cancellation, and nobody calls what needs the job anything else.
    assert_eq!(code(call(b, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    for node in nodes.iter() {
        for id in ["j-000010", "j-000011"] {
            assert_eq!(status(node.client, id).as_deref(), Some("cancelled"), "{id}");
        }
    }
    let answer = call(a, "POST", "/api/jobs/j-000011/abort", &[]).unwrap();
    assert_eq!((answer.status, status_word(&answer.body).as_deref()), (200, Some("cancelled")));
    let late = job_after("j-000015", "batch", ids(&["j-000011"]));
    let answer = call(a, "POST", "/api/jobs", &late).unwrap();
    assert_eq!(
        (answer.status, status_word(&answer.body).as_deref()),
        (201, Some("cancelled")),
        "names a cancelled one"
    );
    for node in nodes.iter_mut() {
        node.kill();
        node.start();
    }
    for node in nodes.iter() {
        wait_for("still", || (status(node.client, "j-000015")? == "cancelled").then_some(()));
        wait_for("done", || (status(node.client, "j-000006")? == "done").then_some(()));
    }
}

/// Guard: counts were told once, when they changed. A controller that was away
/// then, or didn't know the job yet, called a running job pending for ever.
#[test]
fn a_restarted_controller_learns_what_runs() {
    let mut cluster = LoopbackCluster::start("what-runs", &SHARED);
    let at = cluster.nodes[0].client;
    wait_for("accepted", || call(at, "POST", "/api/jobs", &job("j-100001", "service", 1)).filter(Response::is_success));
    wait_for("its task runs", || (cluster.runs("j-100001") == 1).then_some(()));
    let leader = cluster.leader();
    let follower = (leader + 1) % cluster.nodes.len();
    for restart in 0..2 {
        cluster.nodes[follower].kill();
        cluster.nodes[follower].start();
        let at = cluster.nodes[follower].client;
        wait_for("ready", || is_ready(at).then_some(()));
        let what = format!("running, after restart {restart}");
        wait_up_to(Duration::from_secs(8), &what, || (status(at, "j-100001")? == "running").then_some(()));
    }
}
