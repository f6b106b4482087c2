use ciborium::{cbor, Value};

use super::*;
use crate::protocol::{cbor, names::Interners};

/// A valid submission of a gang that needs GPUs.
pub fn sample() -> Value {
    cbor!({"nameId" => "j-000412", "lane" => "train", "owner" => "vision", "shape" => "ensemble",
        "rank" => "high", "pieces" => 16, "cpus" => 8, "cards" => 1.0, "memoryGb" => 64.0,
        "bundle" => "img-07", "imageGb" => 6.2, "breeds" => ["g8"], "yard" => null,
        "samePlace" => true, "scatter" => false, "loaners" => true, "guessS" => 240.0,
        "bookmarkS" => 30.0, "stashS" => 4.0, "dueS" => 900.0, "later" => [1, 2]})
    .unwrap()
}

/// Encodes the sample with another value of one field; `None` removes the field.
fn sample_with(field: &str, value: Option<Value>) -> Vec<u8> {
    let Value::Map(mut entries) = sample() else { unreachable!() };
    entries.retain(|(key, _)| key.as_text() != Some(field));
    if let Some(value) = value {
        entries.push((Value::Text(field.into()), value));
    }
    cbor::encode(&Value::Map(entries))
}

#[test]
fn malformed_and_infeasible_submissions_are_rejected() {
    #[derive(Debug, PartialEq)]
    enum Expected {
        Valid,
        Malformed,
        Infeasible,
    }
    let float = Value::Float;
    let ids = |ids: &[&str]| Value::Array(ids.iter().map(|id| Value::Text((*id).into())).collect());
    let cases: Vec<(&str, Option<Value>, Expected)> = vec![
        ("later", None, Expected::Valid),
        ("yard", None, Expected::Valid),
        ("breeds", Some(Value::Null), Expected::Valid),
        ("dueS", Some(Value::Null), Expected::Valid),
        ("pieces", Some(Value::from(100_000)), Expected::Valid),
        ("guessS", Some(Value::from(0)), Expected::Valid),
        ("pieces", Some(Value::from(0)), Expected::Malformed),
        ("pieces", Some(Value::from(100_001)), Expected::Malformed),
        ("pieces", Some(float(1.5)), Expected::Malformed),
        ("pieces", Some(Value::from(-1)), Expected::Malformed),
        ("cpus", Some(float(f64::NAN)), Expected::Malformed),
        ("cpus", Some(float(-0.5)), Expected::Malformed),
        ("cpus", Some(float(f64::INFINITY)), Expected::Malformed),
        ("cpus", Some(Value::Null), Expected::Malformed),
        ("cpus", Some(Value::Text("4".into())), Expected::Malformed),
        ("memoryGb", None, Expected::Malformed),
        ("samePlace", None, Expected::Malformed),
        ("loaners", Some(Value::from(1)), Expected::Malformed),
        ("shape", Some(Value::Text("gang".into())), Expected::Malformed),
        ("rank", Some(Value::Text("urgent".into())), Expected::Malformed),
        ("breeds", Some(Value::Array(vec![])), Expected::Malformed),
        ("nameId", Some(Value::Text("job 1".into())), Expected::Malformed),
        ("nameId", Some(Value::Text("j-".into())), Expected::Malformed),
        ("dueS", Some(float(-3.0)), Expected::Malformed),
        ("owner", Some(Value::Text("nobody".into())), Expected::Infeasible),
        ("prereqs", Some(Value::Null), Expected::Valid),
        ("prereqs", Some(Value::Array(vec![])), Expected::Valid),
        ("prereqs", Some(ids(&["j-000398", "j-000405"])), Expected::Valid),
        ("prereqs", Some(ids(&["j-000398", "j-000398"])), Expected::Valid),
        // A job that is being submitted is not accepted yet: 422, as for any
        // prerequisite that is not accepted.
        ("prereqs", Some(ids(&["j-000398", "j-000412"])), Expected::Infeasible),
        ("prereqs", Some(ids(&["j-000412", "job 1"])), Expected::Malformed),
        ("prereqs", Some(ids(&["j-000398", "job 1"])), Expected::Malformed),
        ("prereqs", Some(ids(&[""])), Expected::Malformed),
        ("prereqs", Some(Value::Text("j-000398".into())), Expected::Malformed),
        ("prereqs", Some(Value::from(398)), Expected::Malformed),
        ("prereqs", Some(Value::Array(vec![Value::from(398)])), Expected::Malformed),
        ("prereqs", Some(Value::Map(vec![])), Expected::Malformed),
    ];
    for (field, value, expected) in cases {
        let shown = format!("{field} = {value:?}");
        let mut interners = Interners::default();
        interners.teams.intern("vision");
        interners.types.intern("g8");
        let got = match cbor::decode::<Submission>(&sample_with(field, value)) {
            Err(_) => Expected::Malformed,
            Ok(submission) => match submission.validate(&mut interners, SubmissionSource::User) {
                Ok(_) => Expected::Valid,
                Err(SubmissionError::Malformed(_)) => Expected::Malformed,
                Err(SubmissionError::Infeasible(_)) => Expected::Infeasible,
            },
        };
        assert_eq!(got, expected, "{shown}");
    }
    for bytes in [&b""[..], b"\xff\xff", b"\x01", b"\x80"] {
        let submission = cbor::decode::<Submission>(bytes);
        assert!(
            !submission
                .is_ok_and(|submission| submission.validate(&mut Interners::default(), SubmissionSource::User).is_ok()),
            "{bytes:?}"
        );
    }
}
