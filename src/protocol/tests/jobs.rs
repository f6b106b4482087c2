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

fn with(field: &str, v: Option<Value>) -> Vec<u8> {
    let Value::Map(mut m) = sample() else { unreachable!() };
    m.retain(|(k, _)| k.as_text() != Some(field));
    if let Some(v) = v {
        m.push((Value::Text(field.into()), v));
    }
    cbor::encode(&Value::Map(m))
}

#[test]
fn submissions_table() {
    #[derive(Debug, PartialEq)]
    enum Want {
        Fine,
        Bad,
        Never,
    }
    let f = Value::Float;
    let ids = |l: &[&str]| Value::Array(l.iter().map(|s| Value::Text((*s).into())).collect());
    let cases: Vec<(&str, Option<Value>, Want)> = vec![
        ("later", None, Want::Fine),
        ("yard", None, Want::Fine),
        ("breeds", Some(Value::Null), Want::Fine),
        ("dueS", Some(Value::Null), Want::Fine),
        ("pieces", Some(Value::from(100_000)), Want::Fine),
        ("guessS", Some(Value::from(0)), Want::Fine),
        ("pieces", Some(Value::from(0)), Want::Bad),
        ("pieces", Some(Value::from(100_001)), Want::Bad),
        ("pieces", Some(f(1.5)), Want::Bad),
        ("pieces", Some(Value::from(-1)), Want::Bad),
        ("cpus", Some(f(f64::NAN)), Want::Bad),
        ("cpus", Some(f(-0.5)), Want::Bad),
        ("cpus", Some(f(f64::INFINITY)), Want::Bad),
        ("cpus", Some(Value::Null), Want::Bad),
        ("cpus", Some(Value::Text("4".into())), Want::Bad),
        ("memoryGb", None, Want::Bad),
        ("samePlace", None, Want::Bad),
        ("loaners", Some(Value::from(1)), Want::Bad),
        ("shape", Some(Value::Text("gang".into())), Want::Bad),
        ("rank", Some(Value::Text("urgent".into())), Want::Bad),
        ("breeds", Some(Value::Array(vec![])), Want::Bad),
        ("nameId", Some(Value::Text("job 1".into())), Want::Bad),
        ("nameId", Some(Value::Text("j-".into())), Want::Bad),
        ("dueS", Some(f(-3.0)), Want::Bad),
        ("owner", Some(Value::Text("nobody".into())), Want::Never),
        ("prereqs", Some(Value::Null), Want::Fine),
        ("prereqs", Some(Value::Array(vec![])), Want::Fine),
        ("prereqs", Some(ids(&["j-000398", "j-000405"])), Want::Fine),
        ("prereqs", Some(ids(&["j-000398", "j-000398"])), Want::Fine),
        // A job that is being submitted isn't accepted: 422 as for any such job.
        ("prereqs", Some(ids(&["j-000398", "j-000412"])), Want::Never),
        ("prereqs", Some(ids(&["j-000412", "job 1"])), Want::Bad),
        ("prereqs", Some(ids(&["j-000398", "job 1"])), Want::Bad),
        ("prereqs", Some(ids(&[""])), Want::Bad),
        ("prereqs", Some(Value::Text("j-000398".into())), Want::Bad),
        ("prereqs", Some(Value::from(398)), Want::Bad),
        ("prereqs", Some(Value::Array(vec![Value::from(398)])), Want::Bad),
        ("prereqs", Some(Value::Map(vec![])), Want::Bad),
    ];
    for (field, v, want) in cases {
        let shown = format!("{field} = {v:?}");
        let mut interners = Interners::default();
        interners.teams.intern("vision");
        interners.types.intern("g8");
        let got = match cbor::decode::<Submission>(&with(field, v)) {
            Err(_) => Want::Bad,
            Ok(s) => match s.validate(&mut interners, SubmissionSource::User) {
                Ok(_) => Want::Fine,
                Err(SubmissionError::Malformed(_)) => Want::Bad,
                Err(SubmissionError::Infeasible(_)) => Want::Never,
            },
        };
        assert_eq!(got, want, "{shown}");
    }
    for bytes in [&b""[..], b"\xff\xff", b"\x01", b"\x80"] {
        let s = cbor::decode::<Submission>(bytes);
        assert!(!s.is_ok_and(|s| s.validate(&mut Interners::default(), SubmissionSource::User).is_ok()), "{bytes:?}");
    }
}
