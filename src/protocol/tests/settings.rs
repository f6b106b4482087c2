use super::{LimitPhase, ObjectiveKind, Settings, StoreRates};

/// A settings file with a field that is unknown.
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
fn settings_table() {
    let cases = [
        ("as given", "", "", None),
        ("unknown fields", "novelty = 3", "novelty = { a = 1 }", None),
        ("no label", "label = \"n-0\"", "", Some("label")),
        ("wrong type", "txn_ops = 24", "txn_ops = \"many\"", Some("txn_ops")),
        ("zero lease", "lease_s = 30", "lease_s = 0", Some("lease_s")),
        ("no time to cancel", "cancel_s = 50.0", "cancel_s = 33.0", Some("cancel_s")),
        ("NaN", "lease_s = 30", "lease_s = nan", Some("lease_s")),
        ("bad address", "cloud = \"127.0.0.1:1\"", "cloud = \"here\"", Some("cloud")),
        ("next limits", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = 2", None),
        ("no writes later", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\ntxn_ops = 0", Some("next")),
        ("no value later", "txn_ops = 24", "txn_ops = 24\n[cluster.state.next]\nvalue_kb = nan", Some("next")),
        ("negative team", "gpus = 8.0", "gpus = -8.0", Some("teams")),
    ];
    for (name, from, to, want) in cases {
        let text = if from.is_empty() { SAMPLE.to_owned() } else { SAMPLE.replacen(from, to, 1) };
        match (Settings::parse(&text, "x.toml"), want) {
            (Ok(_), None) => {}
            (Err(e), Some(field)) => {
                let line = e.to_string();
                assert!(line.contains(field) && !line.contains('\n'), "{name}: {line}");
            }
            (got, want) => panic!("{name}: {:?}, wanted {want:?}", got.err()),
        }
    }
}

/// Guard: a kind of objective that a later platform adds must not keep the
/// controller from starting.
#[test]
fn kinds_of_objectives() {
    let cases = [
        ("wait", ObjectiveKind::Wait),
        ("finished", ObjectiveKind::Finished),
        ("deadline", ObjectiveKind::Other),
        ("Wait", ObjectiveKind::Other),
        ("", ObjectiveKind::Other),
    ];
    for (kind, want) in cases {
        let objective = format!("[[cluster.objectives]]\nkind = \"{kind}\"\n[cluster.workers]");
        let text = SAMPLE.replacen("[cluster.workers]", &objective, 1);
        let settings = Settings::parse(&text, "x.toml").unwrap();
        assert_eq!(settings.cluster.objectives[0].kind, want, "{kind}");
    }
}

#[test]
fn the_smaller_of_both_limits() {
    let rates = |requests, writes| StoreRates { requests, writes };
    // (next, value, operations, rates later)
    let cases = [
        ("", 16.0, 24, rates(100.0, 30.0)),
        ("value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 21.0", 2.0, 4, rates(100.0, 21.0)),
        ("value_kb = 64.0\ntxn_ops = 99\nrps = 500.0\nwrite_rps = 500", 16.0, 24, rates(100.0, 30.0)),
        ("rps = 10.0\nwrite_rps = 3.5", 16.0, 3, rates(10.0, 3.5)),
        ("write_rps = 0.5", 16.0, 1, rates(100.0, 0.5)),
    ];
    for (next, value, ops, lowered) in cases {
        let text = SAMPLE.replacen("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]"), 1);
        let state = Settings::parse(&text, "x.toml").unwrap().cluster.state;
        let got = (state.fitting_value_kb(), state.fitting_txn_ops(), state.rates(LimitPhase::Lowered));
        assert_eq!(got, (value, ops, lowered), "{next}");
        assert_eq!(state.rates(LimitPhase::Current), rates(100.0, 30.0), "{next}");
    }
}
