use super::*;
use crate::{
    controller::test_support::{
        identity, new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls,
    },
    protocol::{
        ids::StoreLeaseId,
        store::{AppliedTransaction, StoreLeaseResponse},
    },
};

const TTL_MS: u64 = 9_000;

/// A controller leads from the write of its key under its store lease until it steps down.
#[test]
fn a_controller_leads_from_its_claim_until_it_steps_down() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut sent = SentCalls::default();
    let mut driver = ElectionDriver::new(&identity(), TTL_MS);
    driver.tick(&mut net, 0, &mut client);
    assert_eq!(sent.next_debug(&mut client), None, "no request before the key was read");

    driver.observe_key(0, None, Revision(3));
    driver.tick(&mut net, 0, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(CreateStoreLease)"));
    driver.handle_reply(
        10,
        &ElectionCall::CreateStoreLease,
        &successful_reply(&StoreLeaseResponse { store_lease: StoreLeaseId(4) }),
    );
    driver.tick(&mut net, 10, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(ClaimKey)"));
    assert_eq!(driver.leading_term(10), None, "the claim is pending");
    let applied = successful_reply(&AppliedTransaction { store_revision: Revision(5) });
    driver.handle_reply(20, &ElectionCall::ClaimKey, &applied);
    assert_eq!((driver.leading_term(20), driver.leader()), (Some(Term(Revision(5))), Some("n-0")));
    assert_eq!(
        (driver.leading_term(TTL_MS), driver.held_term()),
        (None, Some(Term(Revision(5)))),
        "the store lease may have expired"
    );

    driver.step_down(&mut net, 30, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(DeleteStoreLease)"));
    assert_eq!((driver.leading_term(30), driver.held_term(), driver.leader()), (None, None, None));
}

/// If the store rejects a claim because the store lease doesn't exist, the next claim
/// begins with the request for a new one.
#[test]
fn claim_rejected_for_missing_store_lease_is_followed_by_lease_request() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut sent = SentCalls::default();
    let mut driver = ElectionDriver::new(&identity(), TTL_MS);
    driver.observe_key(0, None, Revision(3));
    let mut now = 0;
    for store_lease in [4, 5] {
        driver.tick(&mut net, now, &mut client);
        assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(CreateStoreLease)"));
        driver.handle_reply(
            now,
            &ElectionCall::CreateStoreLease,
            &successful_reply(&StoreLeaseResponse { store_lease: StoreLeaseId(store_lease) }),
        );
        driver.tick(&mut net, now, &mut client);
        assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(ClaimKey)"));
        driver.handle_reply(now, &ElectionCall::ClaimKey, &reply_with_status(400));
        assert_eq!(driver.leading_term(now), None);
        now += 1_000;
    }
}
