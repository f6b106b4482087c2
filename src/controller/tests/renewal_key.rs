use super::*;
use crate::{
    controller::test_support::{identity, new_net, settings_with_peers, successful_reply, SentCalls, NONCE},
    protocol::{
        ids::StoreLeaseId,
        store::{AppliedTransaction, StoreLeaseResponse},
    },
};

const STORE_LEASE_ID: u64 = 4;

/// Returns a renewal key that was written under its store lease at `at`. The jobs' records
/// were read at the same time.
fn key_written(at: Millis) -> RenewalKey {
    let mut net = new_net();
    let settings = settings_with_peers();
    let mut client = ServiceClient::new(&settings);
    let mut sent = SentCalls::default();
    let mut key = RenewalKey::new(identity(), &settings);
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client), None, "no request before the key was read");
    key.observe_key(None, Revision::ABSENT, Revision(3));
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("RenewalKey(CreateStoreLease)"));
    key.handle_reply(
        at,
        &RenewalKeyCall::CreateStoreLease,
        &successful_reply(&StoreLeaseResponse { store_lease: StoreLeaseId(STORE_LEASE_ID) }),
    );
    key.tick(&mut net, at, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("RenewalKey(WriteKey)"));
    let applied = successful_reply(&AppliedTransaction { store_revision: Revision(5) });
    key.handle_reply(at, &RenewalKeyCall::WriteKey, &applied);
    key.record_job_read(at);
    key
}

fn peer_without_frames() -> PeerContact {
    PeerContact { same_zone: false, last_received: None, store_age_ms: 0 }
}

/// Leases are renewed without a leader only while the key exists, the store is
/// unreachable, and there is no evidence that another zone or a peer can reach the store.
#[test]
fn leases_are_renewed_without_leader_only_in_a_shared_partition() {
    const KEY_WRITTEN_AT: Millis = 10_000;
    const STORE_UNREACHABLE_AT: Millis = KEY_WRITTEN_AT + 5_000;
    let key = key_written(KEY_WRITTEN_AT);
    assert!(!key.may_renew_without_leader(KEY_WRITTEN_AT + 100, &[peer_without_frames()]), "the store is reachable");
    assert!(key.may_renew_without_leader(STORE_UNREACHABLE_AT, &[peer_without_frames()]));
    let peer_with_store_contact = PeerContact { last_received: Some(STORE_UNREACHABLE_AT), ..peer_without_frames() };
    assert!(
        !key.may_renew_without_leader(STORE_UNREACHABLE_AT, &[peer_with_store_contact]),
        "a peer can reach the store"
    );

    let mut key = key_written(KEY_WRITTEN_AT);
    key.record_other_zone_heartbeat(STORE_UNREACHABLE_AT);
    assert!(
        !key.may_renew_without_leader(STORE_UNREACHABLE_AT, &[peer_without_frames()]),
        "a worker of another zone sent a heartbeat"
    );

    let mut key = key_written(KEY_WRITTEN_AT);
    key.observe_key(None, Revision::ABSENT, Revision(9));
    assert!(!key.may_renew_without_leader(STORE_UNREACHABLE_AT, &[peer_without_frames()]), "the key was removed");
}

/// A key that was written by an earlier start of the process, or under an earlier store
/// lease, gives no authority to renew leases.
#[test]
fn only_a_key_of_this_start_and_store_lease_permits_renewals() {
    let record = |label: &str, nonce| records::to_value(&LeaderRecord { label: label.to_owned(), nonce });
    let cases = [
        (record("n-0", NONCE + STORE_LEASE_ID), true),
        (record("n-0", NONCE), false),
        (record("n-0", NONCE + STORE_LEASE_ID + 1), false),
        (record("n-1", NONCE + STORE_LEASE_ID), false),
    ];
    for (value, expected) in cases {
        let mut key = key_written(10_000);
        key.observe_key(Some(&value), Revision(9), Revision(9));
        assert_eq!(key.may_renew_without_leader(15_000, &[peer_without_frames()]), expected, "{value:?}");
    }
}

/// A single controller never renews leases without leading, and requests no store lease.
#[test]
fn a_single_controller_requests_no_store_lease() {
    let mut settings = settings_with_peers();
    settings.peer_settings.clear();
    let mut client = ServiceClient::new(&settings);
    let mut key = RenewalKey::new(identity(), &settings);
    key.observe_key(None, Revision::ABSENT, Revision(3));
    key.tick(&mut new_net(), 1_000, &mut client);
    assert_eq!(SentCalls::default().next_debug(&mut client), None);
    key.record_job_read(1_000);
    assert!(key.may_renew(1_100), "as the leader it may renew leases");
}
