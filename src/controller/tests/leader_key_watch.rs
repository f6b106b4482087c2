use super::*;
use crate::{
    controller::test_support::{
        identity, new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls, NONCE,
    },
    protocol::store::KeyValue,
};

struct ObserverFixture {
    election: ElectionDriver,
    renewal_key: RenewalKey,
    peers: Peers,
}

impl ObserverFixture {
    fn new(net: &mut Net) -> ObserverFixture {
        let settings = settings_with_peers();
        ObserverFixture {
            election: ElectionDriver::new(&identity(), 9_000),
            renewal_key: RenewalKey::new(identity(), &settings),
            peers: Peers::new(identity(), &settings.peer_settings, net),
        }
    }

    fn observers(&mut self) -> KeyObservers<'_> {
        KeyObservers { election: &mut self.election, renewal_key: &mut self.renewal_key, peers: &mut self.peers }
    }
}

fn record(label: &str) -> ciborium::Value {
    records::to_value(&LeaderRecord { label: label.to_owned(), nonce: NONCE })
}

fn written(key: &str, label: &str, revision: u64) -> Change {
    Change { write: Some(key.to_owned()), drop: None, value: Some(record(label)), revision: Revision(revision) }
}

fn removed(key: &str, revision: u64) -> Change {
    Change { write: None, drop: Some(key.to_owned()), value: None, revision: Revision(revision) }
}

/// After a listing, changes are watched from its revision on. The keys are listed again
/// when the store no longer knows the changes since then.
#[test]
fn changes_are_watched_after_a_listing() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut sent = SentCalls::default();
    let mut fixture = ObserverFixture::new(&mut net);
    let mut watch = LeaderKeyWatch::default();

    watch.refresh(&mut net, 0, &mut client);
    watch.refresh(&mut net, 0, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("LeaderKey(Listing)"));
    assert_eq!(sent.next_debug(&mut client), None, "one request at a time");
    let pair = KeyValue {
        key: records::LEADER_KEY.to_owned(),
        value: record("n-1"),
        revision: Revision(3),
        store_lease: None,
    };
    let page = Page { pairs: vec![pair], truncated: false, store_revision: Revision(7) };
    watch.handle_reply(10, &LeaderKeyCall::Listing, &successful_reply(&page), &mut fixture.observers());
    assert_eq!(fixture.election.leader(), Some("n-1"));

    watch.refresh(&mut net, 10, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("LeaderKey(Watch { sent_at: 10 })"));
    let events = vec![removed(records::LEADER_KEY, 8), written(records::LEADER_KEY, "n-2", 9)];
    let changes = Changes { store_revision: Revision(9), events };
    watch.handle_reply(
        20,
        &LeaderKeyCall::Watch { sent_at: 10 },
        &successful_reply(&changes),
        &mut fixture.observers(),
    );
    assert_eq!((fixture.election.leader(), watch.store_revision), (Some("n-2"), Revision(9)));

    watch.refresh(&mut net, 20, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("LeaderKey(Watch { sent_at: 20 })"));
    watch.handle_reply(30, &LeaderKeyCall::Watch { sent_at: 20 }, &reply_with_status(GONE), &mut fixture.observers());
    watch.refresh(&mut net, 30 + RETRY_MS - 1, &mut client);
    assert_eq!(sent.next_debug(&mut client), None, "no request during the pause after a failure");
    watch.refresh(&mut net, 30 + RETRY_MS, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("LeaderKey(Listing)"));
}

/// Peers are considered inactive only while their renewal keys are known not to exist,
/// and only up to the time when the last completed watch was sent.
#[test]
fn peers_without_keys_are_inactive_until_the_watch_was_sent() {
    let mut net = new_net();
    let mut fixture = ObserverFixture::new(&mut net);
    let mut watch = LeaderKeyWatch::default();
    let page = Page { pairs: Vec::new(), truncated: false, store_revision: Revision(7) };
    watch.handle_reply(100, &LeaderKeyCall::Listing, &successful_reply(&page), &mut fixture.observers());
    let mut end_watch = |fixture: &mut ObserverFixture, sent_at: Millis, now: Millis, events: Vec<Change>| {
        let changes = Changes { store_revision: Revision(now), events };
        watch.handle_reply(
            now,
            &LeaderKeyCall::Watch { sent_at },
            &successful_reply(&changes),
            &mut fixture.observers(),
        );
        let span = fixture.peers.inactive_span();
        (span.from, span.to)
    };
    assert_eq!(end_watch(&mut fixture, 200, 250, Vec::new()), (100, 200));
    let n2 = records::renewal_key("n-2");
    assert_eq!(
        end_watch(&mut fixture, 300, 350, vec![written(&n2, "n-2", 9)]),
        (100, 200),
        "n-2 has its key and may renew leases"
    );
    let own = records::renewal_key("n-0");
    assert_eq!(
        end_watch(&mut fixture, 400, 450, vec![written(&own, "n-0", 10)]),
        (100, 200),
        "the key of this controller is not a peer's"
    );
    assert_eq!(
        end_watch(&mut fixture, 500, 550, vec![removed(&n2, 11)]),
        (100, 200),
        "n-2 is known to have no key only since 550"
    );
    assert_eq!(end_watch(&mut fixture, 600, 650, Vec::new()), (550, 600));
}
