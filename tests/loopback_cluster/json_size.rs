//! The size of a value in JSON form, in which the protocol counts its limits.

use ciborium::Value;

/// Bytes of the shortest JSON text of a value.
pub fn json_size(v: &Value) -> usize {
    match v {
        Value::Null => "null".len(),
        Value::Bool(b) => b.to_string().len(),
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(x) => x.to_string().len(),
        Value::Text(s) => text_size(s),
        Value::Array(l) => list_size(l.iter().map(json_size)),
        Value::Map(m) => list_size(m.iter().map(|(k, x)| json_size(k) + ":".len() + json_size(x))),
        other => panic!("not a form of the protocol: {other:?}"),
    }
}

fn text_size(s: &str) -> usize {
    let escaped = |b: u8| match b {
        b'"' | b'\\' => 2,
        0..0x20 => r"\u0000".len(),
        _ => 1,
    };
    2 + s.bytes().map(escaped).sum::<usize>()
}

/// Brackets, the items, and commas between them.
fn list_size(items: impl ExactSizeIterator<Item = usize>) -> usize {
    let commas = items.len().saturating_sub(1);
    2 + commas + items.sum::<usize>()
}
