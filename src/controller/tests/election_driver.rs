use super::*;
use crate::{
    controller::test_support::{
        identity, new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls,
    },
    protocol::{
        ids::GrantId,
        store::{AppliedTransaction, GrantResponse},
    },
};

const TTL_MS: u64 = 9_000;

/// A controller leads from the write of its key under its grant until it steps down.
#[test]
fn a_controller_leads_under_its_grant() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut sent = SentCalls::default();
    let mut driver = ElectionDriver::new(&identity(), TTL_MS);
    driver.tick(&mut net, 0, &mut client);
    assert_eq!(sent.next_debug(&mut client), None, "the key was not read yet");

    driver.observe_key(0, None, Revision(3));
    driver.tick(&mut net, 0, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(CreateGrant)"));
    driver.handle_reply(10, &ElectionCall::CreateGrant, &successful_reply(&GrantResponse { grant: GrantId(4) }));
    driver.tick(&mut net, 10, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(ClaimKey)"));
    assert_eq!(driver.leading(10), None, "the claim is pending");
    let applied = successful_reply(&AppliedTransaction { store_revision: Revision(5) });
    driver.handle_reply(20, &ElectionCall::ClaimKey, &applied);
    assert_eq!((driver.leading(20), driver.leader()), (Some(Term(Revision(5))), Some("n-0")));
    assert_eq!(
        (driver.leading(TTL_MS), driver.held_term()),
        (None, Some(Term(Revision(5)))),
        "the grant may have ended"
    );

    driver.step_down(&mut net, 30, &mut client);
    assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(DeleteGrant)"));
    assert_eq!((driver.leading(30), driver.held_term(), driver.leader()), (None, None, None));
}

/// A claim that the store refuses as under no grant begins with a new grant.
#[test]
fn a_claim_without_a_grant_asks_for_a_new_one() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut sent = SentCalls::default();
    let mut driver = ElectionDriver::new(&identity(), TTL_MS);
    driver.observe_key(0, None, Revision(3));
    let mut now = 0;
    for grant in [4, 5] {
        driver.tick(&mut net, now, &mut client);
        assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(CreateGrant)"));
        driver.handle_reply(
            now,
            &ElectionCall::CreateGrant,
            &successful_reply(&GrantResponse { grant: GrantId(grant) }),
        );
        driver.tick(&mut net, now, &mut client);
        assert_eq!(sent.next_debug(&mut client).as_deref(), Some("Election(ClaimKey)"));
        driver.handle_reply(now, &ElectionCall::ClaimKey, &reply_with_status(400));
        assert_eq!(driver.leading(now), None);
        now += 1_000;
    }
}
