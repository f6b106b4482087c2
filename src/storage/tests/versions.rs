use ciborium::Value;

use super::{VersionEvidence, VersionRecord, VERSION};
use crate::{
    protocol::{
        ids::Revision,
        store::{KeyValue, Page},
    },
    storage::records::to_value,
};

#[test]
fn evidence_is_complete_only_if_every_controller_has_a_current_key() {
    let current = || to_value(&VersionRecord { version: VERSION, nonce: 7 });
    let older = || to_value(&VersionRecord { version: 1, nonce: 7 });
    // (listings in the order in which they were read, whether the evidence is complete
    // after the last listing)
    type Keys = Vec<(&'static str, Value)>;
    let cases: Vec<(Vec<Keys>, bool)> = vec![
        (vec![], false),
        (vec![vec![]], false),
        (vec![vec![("version/a", current())]], false),
        (vec![vec![("version/a", current()), ("version/b", current())]], true),
        (vec![vec![("version/a", current())], vec![("version/a", current()), ("version/b", current())]], true),
        // A key was removed: a controller is being rolled back.
        (vec![vec![("version/a", current()), ("version/b", current())], vec![("version/b", current())]], false),
        (vec![vec![("version/a", current()), ("version/b", older())]], false),
        (vec![vec![("version/a", current()), ("version/b", Value::Null)]], false),
        (vec![vec![("version/a", current()), ("version/c", current())]], false),
        (vec![vec![("version/a", current()), ("leader/b", current())]], false),
        (vec![vec![("version/a", current()), ("version/b/x", current())]], false),
    ];
    for (number, (pages, expected)) in cases.into_iter().enumerate() {
        let mut evidence = VersionEvidence::new(["a", "b"].into_iter());
        for keys in pages {
            let pair = |(key, value): (&str, Value)| KeyValue {
                key: key.into(),
                value,
                revision: Revision(3),
                store_lease: None,
            };
            evidence.record_listing(&Page {
                pairs: keys.into_iter().map(pair).collect(),
                truncated: false,
                store_revision: Revision(9),
            });
        }
        assert_eq!(evidence.is_complete(), expected, "case {number}");
    }
}
