use super::OperatorSettings;

#[test]
fn text_format_is_parsed_and_invalid_values_are_rejected() {
    let default = OperatorSettings::default;
    let cases: Vec<(&str, Option<OperatorSettings>)> = vec![
        ("", Some(default())),
        ("# nothing\n", Some(default())),
        ("leader_ttl_ms: 6000", Some(OperatorSettings { leader_ttl_ms: 6_000, ..default() })),
        (
            "use_spot: false max_machines: 9",
            Some(OperatorSettings { use_spot: false, max_machines: Some(9), ..default() }),
        ),
        ("max_machines: 0", Some(default())),
        ("leader_ttl_ms: 5", None),
        ("idle_keep_s: \"long\"", None),
        ("no_such_field: 1", None),
    ];
    for (text, expected) in cases {
        assert_eq!(OperatorSettings::parse(text).ok(), expected, "{text}");
    }
}
