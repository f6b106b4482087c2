use super::*;
use crate::{
    controller::test_support::{new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls},
    protocol::{ids::Revision, store::KeyValue},
};

fn page(key: Option<&str>, truncated: bool) -> Page {
    let pair = |key: &str| KeyValue {
        key: key.to_owned(),
        value: ciborium::Value::Null,
        revision: Revision(2),
        store_lease: None,
    };
    Page { pairs: key.map(pair).into_iter().collect(), truncated, store_revision: Revision(7) }
}

/// All pages are read before the first watch, and again once the store responds that a
/// watch's revision is too old.
#[test]
fn all_pages_are_read_before_watching_and_after_gone() {
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
    assert_eq!(refresh(&mut jobs, 0), None, "a second request while one is in flight");
    jobs.page_received(10, true, &successful_reply(&page(Some("jobs/j-1"), true)), &mut names);
    assert!(!jobs.cache().is_loaded());
    assert_eq!(jobs.next_page_from.as_deref(), Some("jobs/j-1"));
    assert_eq!(refresh(&mut jobs, 10).as_deref(), Some("Jobs(Page { is_first: false })"));
    jobs.page_received(20, false, &reply_with_status(503), &mut names);
    assert_eq!(refresh(&mut jobs, 20 + RETRY_MS - 1), None, "a request before the retry pause is over");
    assert_eq!(refresh(&mut jobs, 20 + RETRY_MS).as_deref(), Some("Jobs(Page { is_first: false })"));
    jobs.page_received(300, false, &successful_reply(&page(None, false)), &mut names);
    assert!(jobs.cache().is_loaded());

    assert_eq!(refresh(&mut jobs, 300).as_deref(), Some("Jobs(Watch { sent_at: 300 })"));
    assert!(!jobs.apply_changes(&reply_with_status(GONE), &mut names) && !jobs.cache().is_loaded());
    jobs.watch_ended(400, false, Role::Follower);
    assert_eq!(refresh(&mut jobs, 400).as_deref(), Some("Jobs(Page { is_first: true })"));
}

/// The pause after a watch depends on the controller's role and on whether the changes were
/// applied.
#[test]
fn pause_after_watch_depends_on_role_and_result() {
    // (whether the changes were applied, role, pause in ms)
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
        jobs.end_watch_pause(1_000);
        assert!(jobs.watch.is_due(1_000));
    }
}
