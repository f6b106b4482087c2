use ciborium::{cbor, Value};

use super::*;
use crate::controller::test_support::{new_net, reply_with_status, settings_with_peers, successful_reply, SentCalls};

fn machine_type(name: &str, price: f64) -> Value {
    cbor!({
        "name" => name,
        "cpus" => 8.0,
        "memoryGb" => 32.0,
        "price" => price,
        "spotPrice" => 0.5,
        "readyS" => 60.0,
        "yards" => ["a"],
    })
    .unwrap()
}

/// Types with an amount that is not finite or is negative are left out, and a failed read
/// leaves the types as they were.
#[test]
fn implausible_types_and_failed_reads_are_ignored() {
    let mut net = new_net();
    let mut client = ServiceClient::new(&settings_with_peers());
    let mut names = Interners::default();
    let mut catalog = MachineTypeCatalog::default();
    catalog.refresh(&mut net, 0, &mut client);
    assert_eq!(SentCalls::default().next_debug(&mut client).as_deref(), Some("MachineTypes"));
    assert!(!catalog.update(10, &reply_with_status(503), &mut names) && catalog.is_empty());
    assert!(!catalog.schedule.is_due(10 + RETRY_MS - 1) && catalog.schedule.is_due(10 + RETRY_MS));

    let types = vec![
        machine_type("small", 1.0),
        machine_type("nan", f64::NAN),
        machine_type("negative", -1.0),
        machine_type("large", 4.0),
    ];
    assert!(catalog.update(1_000, &successful_reply(&cbor!({ "breeds" => types }).unwrap()), &mut names));
    let prices = |catalog: &MachineTypeCatalog| catalog.types().iter().map(|spec| spec.price).collect::<Vec<f64>>();
    assert_eq!(prices(&catalog), [1.0, 4.0]);
    assert!(catalog.types().iter().all(|spec| spec.zones == [names.zones.find("a").unwrap()]));
    assert!(!catalog.schedule.is_due(1_000 + REFRESH_MS - 1) && catalog.schedule.is_due(1_000 + REFRESH_MS));

    assert!(!catalog.update(40_000, &reply_with_status(503), &mut names));
    assert_eq!(prices(&catalog), [1.0, 4.0], "types changed by a failed read");
}
