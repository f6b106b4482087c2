use super::*;

#[test]
fn contact_times_count_later_contacts_and_other_machines_of_the_zone() {
    let mut by_zone = ContactTimesByZone::default();
    by_zone.0.insert(Some(ZoneIndex(1)), ContactTimes(vec![0, 100, 200, 200, 300]));
    let zone = Some(ZoneIndex(1));
    assert_eq!(by_zone.count_others(zone), 4);
    assert_eq!([0, 199, 200, 300].map(|moment| by_zone.count_after(zone, moment)), [4, 3, 1, 0]);
    assert_eq!(
        (by_zone.count_others(None), by_zone.count_after(None, 0)),
        (0, 0),
        "there is no entry for all zones together"
    );
}

#[test]
fn responses_are_considered_received_if_most_other_machines_acknowledge_them() {
    let cases = [(0, 0, false), (1, 0, false), (1, 1, true), (3, 1, false), (3, 2, true), (4, 2, true), (5, 2, false)];
    for (with_recent_contact, acknowledging, expected) in cases {
        let acknowledgements = Acknowledgements { with_recent_contact, acknowledging };
        assert_eq!(acknowledgements.most_others_acknowledge(), expected, "{acknowledging} of {with_recent_contact}");
    }
}
