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
fn evidence_table() {
    let new = || to_value(&VersionRecord { version: VERSION, nonce: 7 });
    let old = || to_value(&VersionRecord { version: 1, nonce: 7 });
    // Pages as they are read, and whether all are known to be new after the last.
    type Keys = Vec<(&'static str, Value)>;
    let cases: Vec<(Vec<Keys>, bool)> = vec![
        (vec![], false),
        (vec![vec![]], false),
        (vec![vec![("version/a", new())]], false),
        (vec![vec![("version/a", new()), ("version/b", new())]], true),
        (vec![vec![("version/a", new())], vec![("version/a", new()), ("version/b", new())]], true),
        // A key was removed: a controller is being rolled back.
        (vec![vec![("version/a", new()), ("version/b", new())], vec![("version/b", new())]], false),
        (vec![vec![("version/a", new()), ("version/b", old())]], false),
        (vec![vec![("version/a", new()), ("version/b", Value::Null)]], false),
        (vec![vec![("version/a", new()), ("version/c", new())]], false),
        (vec![vec![("version/a", new()), ("leader/b", new())]], false),
        (vec![vec![("version/a", new()), ("version/b/x", new())]], false),
    ];
    for (number, (pages, want)) in cases.into_iter().enumerate() {
        let mut evidence = VersionEvidence::new(["a", "b"].into_iter());
        for keys in pages {
            let pair =
                |(k, v): (&str, Value)| KeyValue { key: k.into(), value: v, revision: Revision(3), store_lease: None };
            evidence.record_listing(&Page {
                pairs: keys.into_iter().map(pair).collect(),
                truncated: false,
                store_revision: Revision(9),
            });
        }
        assert_eq!(evidence.is_complete(), want, "case {number}");
    }
}
