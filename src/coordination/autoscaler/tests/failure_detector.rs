use super::*;

#[test]
fn counts_contacts_after_a_moment_among_the_others() {
    let mut by_zone = ContactTimesByZone::default();
    by_zone.0.insert(Some(ZoneIndex(1)), ContactTimes(vec![0, 100, 200, 200, 300]));
    let zone = Some(ZoneIndex(1));
    assert_eq!(by_zone.others(zone), 4);
    assert_eq!([0, 199, 200, 300].map(|moment| by_zone.count_after(zone, moment)), [4, 3, 1, 0]);
    assert_eq!((by_zone.others(None), by_zone.count_after(None, 0)), (0, 0), "nothing known of the others");
}

#[test]
fn answers_arrive_if_most_others_acknowledge_them() {
    let cases = [(0, 0, false), (1, 0, false), (1, 1, true), (3, 1, false), (3, 2, true), (4, 2, true), (5, 2, false)];
    for (in_contact, acknowledging, expected) in cases {
        let acknowledgements = Acknowledgements { in_contact, acknowledging };
        assert_eq!(acknowledgements.most_others_acknowledge(), expected, "{acknowledging} of {in_contact}");
    }
}
