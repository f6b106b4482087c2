use super::Controller;
use crate::{
    controller::{
        leadership::leader_config,
        role::Role,
        service_client::{LeaderCall, PendingCall, VersionCall},
        store_health::StoreHealth,
        test_support::{answered, new_net},
    },
    coordination::model::{CallId, MachineIndex, Millis, Term},
    protocol::{
        cbor,
        ids::Revision,
        operator::OperatorSettings,
        peers::Gossip,
        settings::{tests::SAMPLE, Settings},
        store::{Changes, Page},
    },
    storage::records::LeaderRecord,
    transport::{CallError, Net, Reply},
};

const SEED: &str = "[[seeds]]\nlabel = \"n-1\"\nendpoint = \"127.0.0.1:3\"\n[outside]";

fn new_controller(settings: &str, net: &mut Net) -> Controller {
    Controller::new(&Settings::parse(settings, "x.toml").unwrap(), OperatorSettings::default(), net)
}

/// The rates follow the first refusal, and stay; sizes fit from the start.
#[test]
fn limits_are_lowered_once_they_show() {
    const NEXT: &str = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0\n[cluster.cloud]";
    // (next limits, answer, bursts of the leader's writes before and after)
    let cases = [(true, 429, 15.0, 10.0), (true, 503, 15.0, 15.0), (true, 200, 15.0, 15.0), (false, 429, 15.0, 15.0)];
    for (has_next, status, before, after) in cases {
        let mut net = new_net();
        let text = if has_next { SAMPLE.replacen("[cluster.cloud]", NEXT, 1) } else { SAMPLE.to_owned() };
        let mut controller = new_controller(&text, &mut net);
        let config = leader_config(&controller.cluster, &controller.operator, &mut controller.names);
        assert_eq!(
            (config.max_transaction_writes, config.reduced_max_value_bytes),
            if has_next { (4, 2_048) } else { (24, 16_384) }
        );
        controller.set_budget_shares(1_000, Role::Leader);
        assert_eq!(controller.client.budgets().commit_burst(), before);
        for _ in 0..2 {
            controller.record_store_reply(1_000, &answered(status));
            controller.set_budget_shares(1_000, Role::Leader);
            assert_eq!(controller.client.budgets().commit_burst(), after, "{has_next} {status}");
        }
    }
}

/// Guard: a worker's answer to a probe, or its absence, counted as the key-value store's.
/// In an outage a leader that probes then seemed to be served, and its peers, who
/// weren't, took themselves for cut off alone and became unready.
#[test]
fn only_the_key_value_store_tells_of_its_health() {
    let mut net = new_net();
    let mut controller = new_controller(SAMPLE, &mut net);
    let leader = |call| PendingCall::Leader { term: Term(Revision(1)), call };
    let probe = || leader(LeaderCall::Probe { machine: MachineIndex(0) });
    let list = || leader(LeaderCall::ListHosts { call: CallId(1) });
    let version = || PendingCall::Version(VersionCall::Listing);
    // (what the reply is for, the reply, whether it tells of the key-value store)
    let cases = [
        (probe(), answered(200), false),
        (probe(), answered(503), false),
        (probe(), Err(CallError::Unknown), false),
        (leader(LeaderCall::Commands { machine: MachineIndex(0), call: CallId(1) }), Err(CallError::Unknown), false),
        (list(), answered(200), false),
        (list(), answered(503), false),
        (version(), answered(200), true),
        (version(), answered(503), true),
        (version(), Err(CallError::Unknown), true),
    ];
    for (i, (pending, result, tells)) in cases.into_iter().enumerate() {
        let is_failure = result.as_ref().map_or(true, |reply: &Reply| reply.status == 503);
        // As it was before: failing where the reply would clear that, and the reverse.
        controller.store_health = StoreHealth::default();
        if !is_failure {
            controller.store_health.record(0, &answered(503));
        }
        assert_eq!(controller.store_health.failing_since(), (!is_failure).then_some(0), "case {i}");
        controller.handle_reply(&mut net, pending, &result);
        let changed = controller.store_health.failing_since().is_some() == is_failure;
        assert_eq!(changed, tells, "case {i}");
    }
}

/// Gossip of the peer `n-1`.
fn gossip_of_peer(leading: bool) -> Gossip {
    Gossip {
        from: "n-1".to_owned(),
        nonce: 5,
        count: 1,
        state_age_ms: 0,
        rejected_heartbeats: 0,
        leading,
        reads_used: 0.0,
        writes_used: 0.0,
        commits_used: 0.0,
        clock_ms: 0,
        echoes: Vec::new(),
        since_leaderless_renewal_ms: 0,
        counts: Vec::new(),
    }
}

/// Guard: a controller that had lost the key-value store and its peers sent its
/// workers to a leader that was long gone.
#[test]
fn workers_are_sent_only_to_a_leader_that_is_there() {
    let mut net = new_net();
    let settings = SAMPLE.replacen("[outside]", SEED, 1);
    const NOW: Millis = 100_000;
    // (who holds the key, peer last heard, says it leads, key-value store
    // last answered, has been failing, whom workers are sent to)
    let cases = [
        (Some("n-1"), Some(300), true, 300, false, Some("n-1")),
        (Some("n-1"), None, false, 300, false, Some("n-1")),
        (Some("n-1"), Some(300), true, 60_000, true, Some("n-1")),
        (Some("n-1"), Some(5_000), true, 60_000, true, None),
        (Some("n-1"), Some(300), false, 300, true, None),
        (Some("n-1"), None, false, 10_000, false, None),
        (Some("n-0"), Some(300), true, 300, false, None),
        (Some("gone"), Some(300), true, 300, false, None),
        (None, Some(300), true, 300, false, None),
    ];
    for (i, (key, heard, leads, answered_ms, failing, want)) in cases.into_iter().enumerate() {
        let mut controller = new_controller(&settings, &mut net);
        let record = key.map(|label| LeaderRecord { label: label.to_owned(), nonce: 9 });
        controller.election.observe_key(NOW, record, Revision(10 + i as u64));
        assert!(heard.is_some() || !leads, "case {i}: only a peer that was heard says that it leads");
        if let Some(ms) = heard {
            controller.peers.receive_gossip(NOW - ms, gossip_of_peer(leads));
        }
        controller.store_health.record(NOW - answered_ms, &answered(200));
        if failing {
            controller.store_health.record(NOW - 200, &answered(503));
        }
        assert_eq!(controller.leader_hint(NOW), want, "case {i}");
    }
}

/// Guard: while all records are read again, changes since the first page don't
/// show what later pages hold: they are neither knowledge of cancellations nor
/// a read for users.
#[test]
fn a_read_in_the_middle_of_reading_all_proves_nothing() {
    let mut net = new_net();
    let mut controller = new_controller(SAMPLE, &mut net);
    let page = |truncated| Page { pairs: Vec::new(), truncated, store_revision: Revision(7) };
    let changes = |status| {
        let body = cbor::encode(&Changes { store_revision: Revision(9), events: Vec::new() });
        Ok(Reply { status, body, close: false })
    };
    const NOW: Millis = 20_000;
    // (what happens before, the answer to the read, whether it counts)
    let cases = [("nothing", 200, false), ("one page", 200, false), ("all", 200, true), ("all", 503, false)];
    for (i, (before, status, counts)) in cases.into_iter().enumerate() {
        controller = new_controller(SAMPLE, &mut net);
        match before {
            "one page" => controller.jobs.cache_mut().apply_page(&page(true), true, &mut controller.names),
            "all" => controller.jobs.cache_mut().apply_page(&page(false), true, &mut controller.names),
            _ => {}
        }
        assert_eq!(controller.apply_job_changes(NOW, &changes(status)), counts, "case {i}");
        assert_eq!(controller.renewal_key.may_renew(NOW + 10), counts, "case {i}");
    }
    // Too old a revision to read on from: all is read again, and until then nothing counts.
    controller.jobs.cache_mut().apply_page(&page(false), true, &mut controller.names);
    assert!(!controller.apply_job_changes(NOW, &changes(410)) && !controller.jobs.cache().is_loaded());
    assert!(!controller.apply_job_changes(NOW, &changes(200)) && !controller.renewal_key.may_renew(NOW + 10));
}
