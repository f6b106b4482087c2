use calloop::EventLoop;

use super::{super::health::StateHealth, Controller, Pending};
use crate::{
    coordination::model::{CallId, MachineIndex, Millis, Term},
    protocol::{
        cbor,
        ids::Revision,
        operator::Operator,
        settings::{tests::SAMPLE, Settings},
        store::{Changes, Page},
    },
    storage::records::LeaderRecord,
    transport::{CallError, Limits, Net, Reply},
};

const SEED: &str = "[[seeds]]\nlabel = \"n-1\"\nendpoint = \"127.0.0.1:3\"\n[outside]";

/// The rates follow the first refusal, and stay; sizes fit from the start.
#[test]
fn limits_are_lowered_once_they_show() {
    let event_loop = EventLoop::try_new().unwrap();
    let limits = Limits { sockets: 100, idle_ms: 1_000, head_ms: 1_000, stale_ms: 1_000 };
    const NEXT: &str = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0\n[cluster.cloud]";
    // (next limits, answer, bursts of the leader's writes before and after)
    let cases = [(true, 429, 15.0, 10.0), (true, 503, 15.0, 15.0), (true, 200, 15.0, 15.0), (false, 429, 15.0, 15.0)];
    for (has_next, status, before, after) in cases {
        let mut net = Net::new(&event_loop, Limits { ..limits });
        let text = if has_next { SAMPLE.replacen("[cluster.cloud]", NEXT, 1) } else { SAMPLE.to_owned() };
        let mut controller = Controller::new(Settings::parse(&text, "x.toml").unwrap(), Operator::default(), &mut net);
        let sizes = (controller.leader_config().txn_ops, controller.leader_config().value_fit);
        assert_eq!(sizes, if has_next { (4, 2_048) } else { (24, 16_384) });
        controller.set_budgets(1_000, true);
        assert_eq!(controller.budgets.commits.burst(), before);
        for _ in 0..2 {
            controller.state_answered(1_000, &Ok(Reply { status, body: Vec::new(), close: false }));
            controller.set_budgets(1_000, true);
            assert_eq!(controller.budgets.commits.burst(), after, "{has_next} {status}");
        }
    }
}

/// Guard: a worker that answered a probe, or didn't, counted as the state service.
/// In an outage a leader that probes then seemed to be served, and its peers, who
/// weren't, took themselves for cut off alone and became unready.
#[test]
fn only_the_state_service_tells_of_its_health() {
    let event_loop = EventLoop::try_new().unwrap();
    let limits = Limits { sockets: 100, idle_ms: 1_000, head_ms: 1_000, stale_ms: 1_000 };
    let mut net = Net::new(&event_loop, limits);
    let mut controller = Controller::new(Settings::parse(SAMPLE, "x.toml").unwrap(), Operator::default(), &mut net);
    let answered = |status| Ok(Reply { status, body: Vec::new(), close: false });
    let probe = || Pending::Probe { term: Term(Revision(1)), machine: MachineIndex(0) };
    let list = || Pending::ListHosts { term: Term(Revision(1)), call: CallId(1) };
    // (what the reply is for, the reply, whether it tells of the state service)
    let cases = [
        (probe(), answered(200), false),
        (probe(), answered(503), false),
        (probe(), Err(CallError::Unknown), false),
        (
            Pending::Commands { term: Term(Revision(1)), machine: MachineIndex(0), call: CallId(1) },
            Err(CallError::Unknown),
            false,
        ),
        (list(), answered(200), false),
        (list(), answered(503), false),
        (Pending::VersionRead, answered(200), true),
        (Pending::VersionRead, answered(503), true),
        (Pending::VersionRead, Err(CallError::Unknown), true),
    ];
    for (i, (pending, result, tells)) in cases.into_iter().enumerate() {
        let is_failure = result.as_ref().map_or(true, |reply: &Reply| reply.status == 503);
        // As it was before: failing where the reply would clear that, and the reverse.
        controller.state_health = StateHealth { last_answer: 0, failing_since: (!is_failure).then_some(0) };
        controller.handle_reply(&mut net, pending, result);
        let changed = controller.state_health.failing_since.is_some() == is_failure;
        assert_eq!(changed, tells, "case {i}");
    }
}

/// Guard: a controller that had lost state service and peers sent its
/// workers to a leader that was long gone.
#[test]
fn workers_are_sent_only_to_a_leader_that_is_there() {
    let event_loop = EventLoop::try_new().unwrap();
    let limits = Limits { sockets: 100, idle_ms: 1_000, head_ms: 1_000, stale_ms: 1_000 };
    let mut net = Net::new(&event_loop, limits);
    let settings = Settings::parse(&SAMPLE.replacen("[outside]", SEED, 1), "x.toml").unwrap();
    let mut controller = Controller::new(settings, Operator::default(), &mut net);
    const NOW: Millis = 100_000;
    // (who holds the key, peer last heard, says it leads, state service
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
    for (i, (key, heard, leads, answered, failing, want)) in cases.into_iter().enumerate() {
        let rec = key.map(|l| LeaderRecord { label: l.to_owned(), nonce: 9 });
        controller.election.saw_key(NOW, rec, Revision(10 + i as u64));
        controller.peers.list[0].heard = heard.map(|ms| NOW - ms);
        controller.peers.list[0].leading = leads;
        controller.state_health.last_answer = NOW - answered;
        controller.state_health.failing_since = failing.then_some(NOW - 200);
        assert_eq!(controller.leader_hint(NOW), want, "case {i}");
    }
}

/// Guard: while all records are read anew, changes since the first page don't
/// show what later pages hold: they are neither knowledge of cancellations nor
/// a read for users.
#[test]
fn a_read_in_the_middle_of_reading_all_proves_nothing() {
    let event_loop = EventLoop::try_new().unwrap();
    let limits = Limits { sockets: 100, idle_ms: 1_000, head_ms: 1_000, stale_ms: 1_000 };
    let mut net = Net::new(&event_loop, limits);
    let mut controller = Controller::new(Settings::parse(SAMPLE, "x.toml").unwrap(), Operator::default(), &mut net);
    let page = |truncated| Page { pairs: Vec::new(), truncated, store_revision: Revision(7) };
    let changes = |status| {
        let body = cbor::encode(&Changes { store_revision: Revision(9), events: Vec::new() });
        Ok(Reply { status, body, close: false })
    };
    const NOW: Millis = 20_000;
    // (what happens before, the answer to the read, whether it counts)
    let cases = [("nothing", 200, false), ("one page", 200, false), ("all", 200, true), ("all", 503, false)];
    for (i, (before, status, counts)) in cases.into_iter().enumerate() {
        let mut fresh = Controller::new(controller.settings.clone(), Operator::default(), &mut net);
        std::mem::swap(&mut controller, &mut fresh);
        match before {
            "one page" => controller.job_cache.page(&page(true), true, &mut controller.tables),
            "all" => controller.job_cache.page(&page(false), true, &mut controller.tables),
            _ => {}
        }
        assert_eq!(controller.apply_changes(NOW, &changes(status)), counts, "case {i}");
        assert_eq!(controller.renewal_right.may_renew(NOW + 10), counts, "case {i}");
    }
    // Too old a place to read on from: all is read anew, and until then nothing counts.
    controller.job_cache.page(&page(false), true, &mut controller.tables);
    assert!(!controller.apply_changes(NOW, &changes(410)) && !controller.job_cache.loaded());
    assert!(!controller.apply_changes(NOW, &changes(200)) && !controller.renewal_right.may_renew(NOW + 10));
}
