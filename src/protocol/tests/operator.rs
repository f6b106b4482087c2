use super::OperatorSettings;

#[test]
fn text_format_table() {
    let d = OperatorSettings::default;
    let cases: Vec<(&str, Option<OperatorSettings>)> = vec![
        ("", Some(d())),
        ("# nothing\n", Some(d())),
        ("leader_ttl_ms: 6000", Some(OperatorSettings { leader_ttl_ms: 6_000, ..d() })),
        ("use_spot: false max_machines: 9", Some(OperatorSettings { use_spot: false, max_machines: Some(9), ..d() })),
        ("max_machines: 0", Some(d())),
        ("leader_ttl_ms: 5", None),
        ("idle_keep_s: \"long\"", None),
        ("no_such_field: 1", None),
    ];
    for (text, want) in cases {
        assert_eq!(OperatorSettings::parse(text).ok(), want, "{text}");
    }
}
