//! Runs three controller processes on loopback against stand-ins for the key-value
//! store, the cloud and one worker: responses to users, failure of the leader,
//! restart of all controllers.

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
    controllers::{Controller, SharedSettings},
    http::{call, status_code, Response},
    key_value_store::StoredValue,
    users::{decode_status, id_list, is_ready, job_body, job_with_prereqs, status, with_field},
    wait_for, wait_up_to,
    worker::Worker,
};
use shedhook::protocol::{
    cbor as body,
    ids::{Attempt, FencingToken, Incarnation, Revision, SequenceNumber},
    store::{Condition, Transaction, WriteOperation},
    workers::{Heartbeat, TaskState, TaskStatus},
};

const SHARED_SETTINGS: SharedSettings = SharedSettings { lease_s: 30, cancel_s: 50, next: None };

/// A leader whose store lease is renewed, but whose reads of the job records hang,
/// can't see a cancellation. It must reject heartbeats that report tasks as soon as
/// a worker lease renewed by it could outlast the time limit (`cancel_s`) of a
/// cancellation that it can't know of; heartbeats of a machine without tasks are still
/// accepted. A controller that receives the workers' heartbeats and learns of a
/// cancellation, from a peer or from its own read, must stop the cancelled tasks at
/// once, and no others.
#[test]
fn heartbeats_with_tasks_are_rejected_when_a_cancellation_may_be_unseen() {
    const LEASE_S: u32 = 4;
    const CANCEL_S: u32 = 14;
    let mut cluster =
        LoopbackCluster::start("cancelled", &SharedSettings { lease_s: LEASE_S, cancel_s: CANCEL_S, next: None });
    for id in ["j-100001", "j-100002", "j-100003", "j-100004"] {
        let accepted = || {
            call(cluster.controllers[0].client_addr, "POST", "/api/jobs", &job_body(id, "service", 2))
                .filter(|response| response.status == 201)
        };
        wait_for("job accepted", accepted);
    }
    let all_run = || ["j-100001", "j-100002", "j-100003", "j-100004"].iter().all(|job| cluster.running_tasks(job) == 2);
    wait_for("all tasks running", || all_run().then_some(()));

    // The store rejects only the leader's requests: the controller that confirms the
    // cancellation notifies the leader.
    let leader = cluster.leader();
    let other = cluster.controllers[(leader + 1) % 3].client_addr;
    cluster.store_access[leader].unavailable.store(true, Ordering::Relaxed);
    for controller in cluster.controllers.iter() {
        status(controller.client_addr, "j-100002"); // a poll makes the controller read the record
    }
    assert_eq!(status_code(call(other, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    let cancel_confirmed_at = Instant::now();
    cluster.store_access.iter().for_each(|access| access.unavailable.store(true, Ordering::Relaxed));
    wait_for("tasks stopped after a cancellation received from a peer", || {
        (cluster.running_tasks("j-100001") == 0).then_some(())
    });
    assert!(
        cancel_confirmed_at.elapsed() < Duration::from_secs(3),
        "tasks stopped after {:?}",
        cancel_confirmed_at.elapsed()
    );
    // During the outage the other tasks go on: their worker leases are renewed for a
    // time by any controller that may do so.
    thread::sleep(Duration::from_millis(4_500).saturating_sub(cancel_confirmed_at.elapsed()));
    assert_eq!((cluster.running_tasks("j-100002"), cluster.running_tasks("j-100003")), (2, 2));
    let last_renewal = || cluster.worker.lock().unwrap().last_renewal.unwrap();
    assert!(last_renewal().elapsed() < Duration::from_secs(2), "worker leases should be renewed early in the outage");
    thread::sleep(Duration::from_secs(u64::from(CANCEL_S - LEASE_S)).saturating_sub(cancel_confirmed_at.elapsed()));
    let last = last_renewal();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(last_renewal(), last, "a worker lease was renewed beyond the bound");
    cluster.store_access.iter().for_each(|access| access.unavailable.store(false, Ordering::Relaxed));
    wait_for("heartbeats accepted again", || (last_renewal() > last).then_some(()));

    // The leader's reads hang while its store lease is renewed, and no peer can
    // notify it of the cancellation.
    let leader = cluster.leader();
    cluster.store_access[leader].stalls_job_reads.store(true, Ordering::Relaxed);
    let key = "j/j-100002";
    let confirmed_at = {
        let mut store = cluster.store.lock().unwrap();
        let StoredValue { value: mut record, revision, .. } = store.keys[key].clone();
        for (field, value) in record.as_map_mut().unwrap() {
            if field.as_text() == Some("st") {
                *value = Value::Text("c".into());
            }
        }
        let txn = Transaction {
            conditions: vec![Condition { key: key.into(), revision: Revision(revision) }],
            writes: vec![WriteOperation::Put { key: key.into(), value: record, store_lease: None }],
        };
        assert_eq!(store.apply(txn).status, 200);
        Instant::now()
    };
    let bound = Duration::from_secs(u64::from(CANCEL_S - LEASE_S));
    thread::sleep(bound);
    let last = last_renewal();
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
    let send_heartbeat =
        |bytes: &[u8]| status_code(call(cluster.controllers[leader].client_addr, "POST", "/checkin", bytes));
    let running_task = TaskStatus {
        task: "j-100002/0".into(),
        attempt: Attempt(1),
        state: TaskState::Running,
        exit_reason: None,
        saved: None,
    };
    assert_eq!(
        send_heartbeat(&heartbeat(vec![running_task], "i-000002")),
        Some(503),
        "the machine may run cancelled tasks"
    );
    assert_eq!(
        send_heartbeat(&heartbeat(vec![], "i-000003")),
        Some(200),
        "the machine runs no tasks, and the controller still leads"
    );
    thread::sleep(Duration::from_secs(2));
    assert_eq!(last_renewal(), last, "renewed {:?} after the confirmation", last_renewal() - confirmed_at);
    assert!(last < confirmed_at + bound, "renewed {:?} after the confirmation", last - confirmed_at);
    cluster.store_access[leader].stalls_job_reads.store(false, Ordering::Relaxed);
    wait_for("tasks stopped after the cancellation was read from the store", || {
        (cluster.running_tasks("j-100002") == 0).then_some(())
    });
    assert_eq!(
        (cluster.running_tasks("j-100003"), cluster.running_tasks("j-100004")),
        (2, 2),
        "tasks of other jobs were stopped"
    );

    // The leader fails, a cancellation is confirmed, and the store becomes unavailable
    // before there is a new leader: the controller that renews the worker lease stops
    // the cancelled tasks.
    let leader = cluster.leader();
    let other = cluster.controllers[(leader + 1) % 3].client_addr;
    for controller in cluster.controllers.iter() {
        status(controller.client_addr, "j-100004");
    }
    cluster.controllers[leader].kill();
    assert_eq!(status_code(call(other, "POST", "/api/jobs/j-100003/abort", &[])), Some(200));
    cluster.store_access.iter().for_each(|access| access.unavailable.store(true, Ordering::Relaxed));
    let cancel_confirmed_at = Instant::now();
    wait_for("tasks halted by the controller that renews the worker lease", || {
        (cluster.running_tasks("j-100003") == 0).then_some(())
    });
    assert!(
        cancel_confirmed_at.elapsed() < Duration::from_secs(u64::from(CANCEL_S - LEASE_S)),
        "tasks stopped after {:?}",
        cancel_confirmed_at.elapsed()
    );
    assert_eq!(cluster.running_tasks("j-100004"), 2, "tasks of other jobs were stopped");
    cluster.store_access.iter().for_each(|access| access.unavailable.store(false, Ordering::Relaxed));
    wait_for("heartbeats accepted after the outage", || {
        (cluster.worker.lock().unwrap().last_renewal? > cancel_confirmed_at + Duration::from_secs(6)).then_some(())
    });
    assert_eq!((cluster.running_tasks("j-100003"), cluster.running_tasks("j-100004")), (0, 2));
}

#[test]
fn controllers_serve_through_failover_full_restart_and_isolation_of_the_leader() {
    let mut cluster = LoopbackCluster::start("loopback", &SHARED_SETTINGS);
    let (worker_state, store_access) = (cluster.worker.clone(), cluster.store_access.clone());
    let controllers = &mut cluster.controllers;
    let first = controllers[0].client_addr;

    // Requests that can't be accepted are rejected at once with the matching status code.
    let huge = vec![0u8; 70_000];
    let unknown_team = with_field(&job_body("j-000009", "batch", 1), "owner", Value::Text("nobody".into()));
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
        assert_eq!(status_code(call(first, method, path, bytes)), Some(*want), "{method} {path}");
    }

    // A job is accepted once, whichever controllers receive it, and all report it as done.
    assert_eq!(status_code(call(first, "POST", "/api/jobs", &job_body("j-000001", "batch", 3))), Some(201));
    for controller in controllers.iter() {
        assert_eq!(
            status_code(call(controller.client_addr, "POST", "/api/jobs", &job_body("j-000001", "batch", 3))),
            Some(200)
        );
    }
    for controller in controllers.iter() {
        wait_for("job done", || (status(controller.client_addr, "j-000001")? == "done").then_some(()));
    }

    // A service runs, goes on when the leader fails, and stops when it is cancelled.
    assert_eq!(status_code(call(first, "POST", "/api/jobs", &job_body("j-100001", "service", 2))), Some(201));
    wait_for("service running", || (status(first, "j-100001")? == "running").then_some(()));
    let leader = wait_for("a leader", || {
        let heartbeat = worker_state.lock().unwrap().heartbeat();
        controllers.iter().position(|controller| {
            call(controller.client_addr, "POST", "/checkin", &body::encode(&heartbeat))
                .is_some_and(|response| response.status == 200)
        })
    });
    controllers[leader].kill();
    let other = controllers[(leader + 1) % 3].client_addr;
    assert_eq!(
        wait_for("accepted", || status_code(call(other, "POST", "/api/jobs", &job_body("j-000002", "batch", 2)))),
        201
    );
    wait_for("job done under the next leader", || (status(other, "j-000002")? == "done").then_some(()));
    let running_count = |worker: &Worker| worker.tasks.iter().filter(|task| task.is_running()).count();
    assert_eq!(running_count(&worker_state.lock().unwrap()), 2, "replicas should go on after the leader failed");
    assert_eq!(status_code(call(other, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    wait_for("replicas stopped", || (running_count(&worker_state.lock().unwrap()) == 0).then_some(()));

    // After a restart of all controllers every job is still known.
    for controller in controllers.iter_mut() {
        controller.kill();
    }
    for controller in controllers.iter_mut() {
        controller.start();
    }
    for controller in controllers.iter() {
        wait_for("controller ready after the restart", || {
            (call(controller.client_addr, "GET", "/ready", &[])?.status == 200).then_some(())
        });
        assert_eq!(status(controller.client_addr, "j-000001").as_deref(), Some("done"));
        assert_eq!(status(controller.client_addr, "j-100001").as_deref(), Some("cancelled"));
        assert_eq!(
            status_code(call(controller.client_addr, "POST", "/api/jobs", &job_body("j-000002", "batch", 2))),
            Some(200)
        );
    }

    // The leader still receives heartbeats, but reaches neither the key-value store nor
    // peers: it must stop leading, report so at once, and name no leader to workers.
    let heartbeat = |worker: &Arc<Mutex<Worker>>| body::encode(&worker.lock().unwrap().heartbeat());
    let leads = |controller: &Controller| {
        call(controller.client_addr, "POST", "/checkin", &heartbeat(&worker_state))
            .is_some_and(|response| response.status == 200)
    };
    let leader = wait_for("heartbeats accepted after the outage", || controllers.iter().position(leads));
    store_access[leader].unavailable.store(true, Ordering::Relaxed);
    for n in (0..3).filter(|n| *n != leader) {
        controllers[n].kill();
    }
    let isolated = controllers[leader].client_addr;
    let isolated_at = Instant::now();
    wait_for("isolated leader rejects heartbeats", || (!leads(&controllers[leader])).then_some(()));
    assert!(isolated_at.elapsed() < Duration::from_secs(5), "led for {:?} after isolation", isolated_at.elapsed());
    wait_for("isolated controller not ready", || (call(isolated, "GET", "/ready", &[])?.status == 503).then_some(()));
    let response = call(isolated, "POST", "/checkin", &heartbeat(&worker_state)).unwrap();
    let leader_hint: Value = body::decode(&response.body).unwrap_or(Value::Null);
    assert_eq!(
        (response.status, leader_hint.as_map().map_or(0, Vec::len)),
        (421, 0),
        "unexpected leader hint: {leader_hint:?}"
    );
    let requests = [("GET", "/api/jobs/j-000777", 503), ("GET", "/api/jobs/j-000001", 200)];
    for (method, path, want) in requests {
        let requested_at = Instant::now();
        assert_eq!(status_code(call(isolated, method, path, &[])), Some(want), "{path}");
        assert!(requested_at.elapsed() < Duration::from_secs(2), "{path} took {:?}", requested_at.elapsed());
    }
    assert_eq!(status_code(call(isolated, "POST", "/api/jobs", &job_body("j-000003", "batch", 1))), Some(503));

    // After the outage all controllers, including the isolated one, respond to every
    // request.
    store_access[leader].unavailable.store(false, Ordering::Relaxed);
    for controller in controllers.iter_mut().filter(|controller| controller.child.is_none()) {
        controller.start();
    }
    for controller in controllers.iter() {
        wait_for("status of a known job after the outage", || {
            (status(controller.client_addr, "j-000002")? == "done").then_some(())
        });
        let accepted = || {
            call(controller.client_addr, "POST", "/api/jobs", &job_body("j-000004", "batch", 1))
                .filter(Response::is_success)
        };
        wait_for("job accepted after the outage", accepted);
        wait_for("new job done after the outage", || {
            (status(controller.client_addr, "j-000004")? == "done").then_some(())
        });
    }
}

/// No job with prerequisites is accepted until every controller has recorded its
/// version. `tests/upgrade.rs` checks the same with a running controller of a version
/// that doesn't support prerequisites.
#[test]
fn prerequisites_need_a_version_record_of_every_controller_and_propagate_cancellation() {
    let mut cluster = LoopbackCluster::prepare("pipelines", &SHARED_SETTINGS);
    let controllers = &mut cluster.controllers;
    controllers[0].start();
    controllers[1].start();
    let (first, second) = (controllers[0].client_addr, controllers[1].client_addr);
    cluster.start_heartbeats();
    let controllers = &mut cluster.controllers;
    for at in [first, second] {
        wait_for("controller ready", || (call(at, "GET", "/ready", &[])?.status == 200).then_some(()));
    }
    let submit = |to: SocketAddr, bytes: &[u8]| status_code(call(to, "POST", "/api/jobs", bytes));
    assert!(submit(first, &job_body("j-000001", "batch", 3)).is_some_and(|code| code < 300));
    for at in [first, second] {
        wait_for("job done", || (status(at, "j-000001")? == "done").then_some(()));
        thread::sleep(Duration::from_secs(2));
        assert_eq!(
            submit(at, &job_with_prereqs("j-000002", "batch", id_list(&["j-000001"]))),
            Some(503),
            "a controller may run an old version"
        );
        assert_eq!(submit(at, &job_with_prereqs("j-000002", "batch", Value::from(1))), Some(400));
        assert_eq!(status(at, "j-000002"), None);
    }
    controllers[2].start();
    for controller in controllers.iter() {
        let bytes = job_with_prereqs("j-000002", "batch", id_list(&["j-000001", "j-000001"]));
        wait_for("job with prerequisites accepted", || {
            submit(controller.client_addr, &bytes).filter(|code| *code < 300)
        });
    }
    wait_for("job with prerequisites done", || (status(first, "j-000002")? == "done").then_some(()));

    // j-100001 runs until it is cancelled; the jobs that name it as a prerequisite wait.
    assert_eq!(submit(first, &job_body("j-100001", "batch", 1)), Some(201));
    assert_eq!(submit(second, &job_body("j-100002", "service", 1)), Some(201));
    let many: Vec<String> = (0..3_000).map(|n| format!("j-{n}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    // (case, controller, id, prerequisites, status code)
    let cases = [
        ("just accepted by another controller", second, "j-000010", id_list(&["j-100001"]), 201),
        ("chain of prerequisites", first, "j-000011", id_list(&["j-000010", "j-000001"]), 201),
        ("same submission to another controller", second, "j-000011", id_list(&["j-000010", "j-000001"]), 200),
        ("resubmission with an unknown prerequisite", second, "j-000011", id_list(&["j-999999"]), 200),
        ("unknown prerequisite", first, "j-000012", id_list(&["j-100001", "j-999999"]), 422),
        ("service as a prerequisite", first, "j-000012", id_list(&["j-100002"]), 422),
        ("job that names itself before it is accepted", first, "j-000012", id_list(&["j-000012"]), 422),
        ("text instead of a list", first, "j-000012", Value::Text("j-100001".into()), 400),
        ("malformed id in the list", first, "j-000012", id_list(&["j-100001", "x"]), 400),
        ("list too long for a record", first, "j-000012", id_list(&many), 400),
        ("null instead of a list", first, "j-000013", Value::Null, 201),
        ("empty list", first, "j-000006", id_list(&[]), 201),
    ];
    for (case, at, id, prereqs, want) in cases {
        assert_eq!(submit(at, &job_with_prereqs(id, "batch", prereqs)), Some(want), "{case}");
    }
    assert_eq!(status(first, "j-000012"), None, "a rejected job must not exist");
    wait_for("prerequisite running", || (status(first, "j-100001")? == "running").then_some(()));
    assert_eq!(status(second, "j-000010").as_deref(), Some("pending"));
    // After one cancellation every controller must report all jobs that depend on the
    // job, directly or through other jobs, as cancelled.
    assert_eq!(status_code(call(second, "POST", "/api/jobs/j-100001/abort", &[])), Some(200));
    for controller in controllers.iter() {
        for id in ["j-000010", "j-000011"] {
            assert_eq!(status(controller.client_addr, id).as_deref(), Some("cancelled"), "{id}");
        }
    }
    let response = call(first, "POST", "/api/jobs/j-000011/abort", &[]).unwrap();
    assert_eq!((response.status, decode_status(&response.body).as_deref()), (200, Some("cancelled")));
    let late_submission = job_with_prereqs("j-000015", "batch", id_list(&["j-000011"]));
    let response = call(first, "POST", "/api/jobs", &late_submission).unwrap();
    assert_eq!(
        (response.status, decode_status(&response.body).as_deref()),
        (201, Some("cancelled")),
        "a job with a cancelled prerequisite is accepted as cancelled"
    );
    for controller in controllers.iter_mut() {
        controller.kill();
        controller.start();
    }
    for controller in controllers.iter() {
        wait_for("job still cancelled after the restart", || {
            (status(controller.client_addr, "j-000015")? == "cancelled").then_some(())
        });
        wait_for("job with an empty list done", || {
            (status(controller.client_addr, "j-000006")? == "done").then_some(())
        });
    }
}

/// If the leader sends task counts only once, when they change, a controller that is
/// unavailable at that moment, or doesn't know the job yet, reports a running job as
/// pending permanently.
#[test]
fn restarted_follower_reports_a_running_job_as_running() {
    let mut cluster = LoopbackCluster::start("what-runs", &SHARED_SETTINGS);
    let at = cluster.controllers[0].client_addr;
    wait_for("job accepted", || {
        call(at, "POST", "/api/jobs", &job_body("j-100001", "service", 1)).filter(Response::is_success)
    });
    wait_for("task running", || (cluster.running_tasks("j-100001") == 1).then_some(()));
    let leader = cluster.leader();
    let follower = (leader + 1) % cluster.controllers.len();
    for restart in 0..2 {
        cluster.controllers[follower].kill();
        cluster.controllers[follower].start();
        let at = cluster.controllers[follower].client_addr;
        wait_for("restarted controller ready", || is_ready(at).then_some(()));
        let condition = format!("status running after restart {restart}");
        wait_up_to(Duration::from_secs(8), &condition, || (status(at, "j-100001")? == "running").then_some(()));
    }
}
