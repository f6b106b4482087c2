use super::*;
use crate::{
    controller::test_support::{identity, new_net, settings_with_peers, successful_reply, SentCalls, NONCE},
    protocol::{
        ids::GrantId,
        store::{AppliedTransaction, GrantResponse},
    },
};

const GRANT: u64 = 4;

/// A key that was written under its grant, and read with the jobs' records at `at`.
fn registered(at: Millis) -> RenewalKey {
    let mut net = new_net();
    let settings = settings_with_peers();
    let mut client = ServiceClient::new(&settings);
    let mut sent = SentCalls::default();
    let mut key = RenewalKey::new(identity(), &settings);
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client), None, "the key was not read yet");
    key.observe_key(None, Revision::ABSENT, Revision(3));
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("RenewalKey(CreateGrant)"));
    key.handle_reply(at, &RenewalKeyCall::CreateGrant, &successful_reply(&GrantResponse { grant: GrantId(GRANT) }));
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("RenewalKey(WriteKey)"));
    let applied = successful_reply(&AppliedTransaction { store_revision: Revision(5) });
    key.handle_reply(at, &RenewalKeyCall::WriteKey, &applied);
    key.record_job_read(at);
    key
}

fn silent_peer() -> PeerContact {
    PeerContact { same_zone: false, last_heard: None, store_age_ms: 0 }
}

/// Leases are renewed without a leader only while the key is there, out of contact,
/// and with no sign of another zone.
#[test]
fn leases_are_renewed_only_out_of_contact() {
    const READ: Millis = 10_000;
    const LATER: Millis = READ + 5_000;
    let key = registered(READ);
    assert!(!key.may_renew_without_leader(READ + 100, &[silent_peer()]), "in contact");
    assert!(key.may_renew_without_leader(LATER, &[silent_peer()]));
    let served = PeerContact { last_heard: Some(LATER), ..silent_peer() };
    assert!(!key.may_renew_without_leader(LATER, &[served]), "a peer is served");

    let mut key = registered(READ);
    key.record_foreign_heartbeat(LATER);
    assert!(!key.may_renew_without_leader(LATER, &[silent_peer()]), "another zone is reached");

    let mut key = registered(READ);
    key.observe_key(None, Revision::ABSENT, Revision(9));
    assert!(!key.may_renew_without_leader(LATER, &[silent_peer()]), "the key is gone");
}

/// Guard: a key of an earlier start, or under an earlier grant, gives no right.
#[test]
fn only_a_key_of_this_start_and_grant_counts() {
    let record = |label: &str, nonce| records::to_value(&LeaderRecord { label: label.to_owned(), nonce });
    let cases = [
        (record("n-0", NONCE + GRANT), true),
        (record("n-0", NONCE), false),
        (record("n-0", NONCE + GRANT + 1), false),
        (record("n-1", NONCE + GRANT), false),
    ];
    for (value, counts) in cases {
        let mut key = registered(10_000);
        key.observe_key(Some(&value), Revision(9), Revision(9));
        assert_eq!(key.may_renew_without_leader(15_000, &[silent_peer()]), counts, "{value:?}");
    }
}

/// A single controller never renews leases without leading, and asks for no grant.
#[test]
fn a_single_controller_needs_no_key() {
    let mut settings = settings_with_peers();
    settings.peer_settings.clear();
    let mut client = ServiceClient::new(&settings);
    let mut key = RenewalKey::new(identity(), &settings);
    key.observe_key(None, Revision::ABSENT, Revision(3));
    key.tick(&mut new_net(), 1_000, &mut client);
    assert_eq!(SentCalls::default().next_debug(&mut client), None);
    key.record_job_read(1_000);
    assert!(key.may_renew(1_100), "as the leader it may");
}
