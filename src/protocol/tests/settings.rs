use super::{LimitPhase, ObjectiveKind, Settings, StoreRates};

/// A settings file with an unknown field.
pub const SAMPLE: &str = r#"
label = "n-0"
domain = "a"
client_listen = "127.0.0.1:0"
cluster_listen = "127.0.0.1:0"
novelty = 3
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 3
zones = ["a", "b"]
skew_ms = 25.0
[[cluster.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 16.0
[cluster.workers]
report_s = 3.0
lease_s = 30
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 50.0
[cluster.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 4.0
list_lag_s = 6.0
[cluster.limits]
cpu = 0.12
ram_mb = 200.0
sockets = 3500
"#;

#[test]
fn invalid_settings_are_rejected_with_the_field_in_the_error() {
    let cases = [
        ("sample", "", "", None),
        ("unknown fields", "novelty = 3", "novelty = { a = 1 }", None),
        ("missing label", "label = \"n-0\"", "", Some("label")),
        ("wrong type", "txn_ops = 24", "txn_ops = \"many\"", Some("txn_ops")),
        ("zero lease", "lease_s = 30", "lease_s = 0", Some("lease_s")),
        ("cancel_s too close to lease_s", "cancel_s = 50.0", "cancel_s = 33.0", Some("cancel_s")),
        ("lease is NaN", "lease_s = 30", "lease_s = nan", Some("lease_s")),
        ("invalid address", "cloud = \"127.0.0.1:1\"", "cloud = \"here\"", Some("cloud")),
        ("valid next limits", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = 2", None),
        ("next limit of no writes", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\ntxn_ops = 0", Some("next")),
        ("next value size is NaN", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = nan", Some("next")),
        ("negative team quota", "gpus = 8.0", "gpus = -8.0", Some("teams")),
    ];
    for (name, from, to, expected) in cases {
        let text = if from.is_empty() { SAMPLE.to_owned() } else { SAMPLE.replacen(from, to, 1) };
        match (Settings::parse(&text, "x.toml"), expected) {
            (Ok(_), None) => {}
            (Err(error), Some(field)) => {
                let line = error.to_string();
                assert!(line.contains(field) && !line.contains('\n'), "{name}: {line}");
            }
            (got, expected) => panic!("{name}: {:?}, expected {expected:?}", got.err()),
        }
    }
}

/// If an unknown kind of objective, which a later platform may add, were an error,
/// the controller could not start.
#[test]
fn unknown_objective_kind_parses_as_other() {
    let cases = [
        ("wait", ObjectiveKind::Wait),
        ("finished", ObjectiveKind::Finished),
        ("deadline", ObjectiveKind::Other),
        ("Wait", ObjectiveKind::Other),
        ("", ObjectiveKind::Other),
    ];
    for (kind, expected) in cases {
        let objective = format!("[[cluster.objectives]]\nkind = \"{kind}\"\n[cluster.workers]");
        let text = SAMPLE.replacen("[cluster.workers]", &objective, 1);
        let settings = Settings::parse(&text, "x.toml").unwrap();
        assert_eq!(settings.cluster.objectives[0].kind, expected, "{kind}");
    }
}

#[test]
fn the_smaller_of_current_and_next_limits_applies() {
    let rates = |requests, writes| StoreRates { requests, writes };
    // (next limits, value in KiB, writes per transaction, lowered rates)
    let cases = [
        ("", 16.0, 24, rates(100.0, 30.0)),
        ("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 21.0", 2.0, 4, rates(100.0, 21.0)),
        ("value_kb = 64.0\ntxn_ops = 99\nrps = 500.0\nwrite_rps = 500", 16.0, 24, rates(100.0, 30.0)),
        ("rps = 10.0\nwrite_rps = 3.5", 16.0, 3, rates(10.0, 3.5)),
        ("write_rps = 0.5", 16.0, 1, rates(100.0, 0.5)),
    ];
    for (next, value, ops, lowered) in cases {
        let text = SAMPLE.replacen("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]"), 1);
        let store = Settings::parse(&text, "x.toml").unwrap().cluster.store;
        let got = (store.fitting_value_kb(), store.fitting_txn_ops(), store.rates(LimitPhase::Lowered));
        assert_eq!(got, (value, ops, lowered), "{next}");
        assert_eq!(store.rates(LimitPhase::Current), rates(100.0, 30.0), "{next}");
    }
}
