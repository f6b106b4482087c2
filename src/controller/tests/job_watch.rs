use super::*;
use crate::{
    controller::test_support::{answered, answered_with, new_net, settings_with_peers, SentCalls},
    protocol::{ids::Revision, store::KeyValue},
};

fn page(key: Option<&str>, truncated: bool) -> Page {
    let pair =
        |key: &str| KeyValue { key: key.to_owned(), value: ciborium::Value::Null, revision: Revision(2), grant: None };
    Page { pairs: key.map(pair).into_iter().collect(), truncated, store_revision: Revision(7) }
}

/// All pages are read before the first watch, and again once a watch begins too early.
#[test]
fn pages_come_before_watches() {
    const VALIDITY_MS: Millis = 8_000;
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let (mut sent, mut names) = (SentCalls::default(), Interners::default());
    let mut jobs = JobWatch::default();
    let mut refresh = |jobs: &mut JobWatch, now: Millis| {
        jobs.refresh(&mut net, now, &mut client, VALIDITY_MS);
        sent.next_debug(&mut client)
    };
    assert_eq!(refresh(&mut jobs, 0).as_deref(), Some("Jobs(Page { is_first: true })"));
    assert_eq!(refresh(&mut jobs, 0), None, "one request at a time");
    jobs.page_received(10, true, &answered_with(&page(Some("jobs/j-1"), true)), &mut names);
    assert!(!jobs.cache().is_loaded());
    assert_eq!(jobs.next_page_from.as_deref(), Some("jobs/j-1"));
    assert_eq!(refresh(&mut jobs, 10).as_deref(), Some("Jobs(Page { is_first: false })"));
    jobs.page_received(20, false, &answered(503), &mut names);
    assert_eq!(refresh(&mut jobs, 20 + RETRY_MS - 1), None, "after a failure comes a pause");
    assert_eq!(refresh(&mut jobs, 20 + RETRY_MS).as_deref(), Some("Jobs(Page { is_first: false })"));
    jobs.page_received(300, false, &answered_with(&page(None, false)), &mut names);
    assert!(jobs.cache().is_loaded());

    assert_eq!(refresh(&mut jobs, 300).as_deref(), Some("Jobs(Watch { sent: 300 })"));
    assert!(!jobs.apply_changes(&answered(GONE), &mut names) && !jobs.cache().is_loaded());
    jobs.watch_ended(400, false, Role::Follower);
    assert_eq!(refresh(&mut jobs, 400).as_deref(), Some("Jobs(Page { is_first: true })"));
}

/// The pause after a watch depends on who watches and on its success.
#[test]
fn leaders_watch_again_at_once() {
    // (applied, role, pause)
    let cases = [
        (true, Role::Leader, LEADER_WATCH_GAP_MS),
        (true, Role::Follower, FOLLOWER_WATCH_GAP_MS),
        (false, Role::Leader, RETRY_MS),
        (false, Role::Follower, RETRY_MS),
    ];
    for (applied, role, pause_ms) in cases {
        let mut jobs = JobWatch::default();
        jobs.watch.begin();
        jobs.watch_ended(1_000, applied, role);
        assert!(!jobs.watch.is_due(1_000 + pause_ms - 1) && jobs.watch.is_due(1_000 + pause_ms), "{applied} {role:?}");
        jobs.watch_now(1_000);
        assert!(jobs.watch.is_due(1_000));
    }
}
