//! The size of a value in JSON form, in which the protocol counts its limits.

use ciborium::Value;

/// Bytes of the shortest JSON text of a value.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Null => "null".len(),
        Value::Bool(flag) => flag.to_string().len(),
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len(),
        Value::Text(text) => text_size(text),
        Value::Array(items) => list_size(items.iter().map(json_size)),
        Value::Map(fields) => {
            list_size(fields.iter().map(|(key, field)| json_size(key) + ":".len() + json_size(field)))
        }
        other => panic!("not a form of the protocol: {other:?}"),
    }
}

fn text_size(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => r"\u0000".len(),
        _ => 1,
    };
    2 + text.bytes().map(escaped).sum::<usize>()
}

/// Brackets, the items, and commas between them.
fn list_size(items: impl ExactSizeIterator<Item = usize>) -> usize {
    let commas = items.len().saturating_sub(1);
    2 + commas + items.sum::<usize>()
}
