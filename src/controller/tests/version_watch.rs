use super::*;
use crate::{
    controller::test_support::{
        identity, new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls,
    },
    protocol::{ids::Revision, store::KeyValue},
};

fn listing(labels: &[&str], truncated: bool) -> CallResult {
    let pair = |label: &&str| KeyValue {
        key: version_key(label),
        value: records::to_value(&VersionRecord { version: VERSION, nonce: 1 }),
        revision: Revision(2),
        store_lease: None,
    };
    successful_reply(&Page { pairs: labels.iter().map(pair).collect(), truncated, store_revision: Revision(7) })
}

/// The controller's own key is written before the keys of all controllers are read, and only
/// a complete listing is taken into account.
#[test]
fn upgrade_is_complete_once_a_whole_listing_has_all_keys() {
    let mut net = new_net();
    let settings = settings_with_peers();
    let mut client = ServiceClient::new(&settings);
    let mut sent = SentCalls::default();
    let mut versions = VersionWatch::new(identity(), &settings.peer_settings);
    let mut refresh = |versions: &mut VersionWatch, now: Millis| {
        versions.refresh(&mut net, now, &mut client);
        sent.next_debug(&mut client)
    };
    assert_eq!(refresh(&mut versions, 0).as_deref(), Some("Version(Write)"));
    versions.handle_reply(10, &VersionCall::Write, &reply_with_status(503));
    assert_eq!(refresh(&mut versions, 10 + POLL_MS - 1), None);
    assert_eq!(refresh(&mut versions, 10 + POLL_MS).as_deref(), Some("Version(Write)"));
    versions.handle_reply(2_000, &VersionCall::Write, &reply_with_status(200));

    // (result of the listing, whether all controllers run this version, pause in ms)
    let cases = [
        (listing(&["n-0", "n-1"], false), false, POLL_MS),
        (listing(&["n-0", "n-1", "n-2"], true), false, POLL_MS),
        (reply_with_status(503), false, POLL_MS),
        (listing(&["n-0", "n-1", "n-2", "n-9"], false), true, COMPLETE_POLL_MS),
        // An operator who rolls a controller back removes its key.
        (listing(&["n-0", "n-2"], false), false, POLL_MS),
    ];
    let mut now = 2_000;
    for (i, (result, complete, pause_ms)) in cases.into_iter().enumerate() {
        assert_eq!(refresh(&mut versions, now).as_deref(), Some("Version(Listing)"), "case {i}");
        versions.handle_reply(now, &VersionCall::Listing, &result);
        assert_eq!(versions.is_complete(), complete, "case {i}");
        assert_eq!(refresh(&mut versions, now + pause_ms - 1), None, "case {i}");
        now += pause_ms;
    }
}
