//! Size of a value as JSON text, which the limits of the protocol refer to.

use ciborium::Value;

/// Returns the size of the shortest JSON text of a value, in bytes.
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
        other => panic!("value type not used by the protocol: {other:?}"),
    }
}

/// Returns the size of a text with its quotes and escapes, in bytes.
fn text_size(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => r"\u0000".len(),
        _ => 1,
    };
    2 + text.bytes().map(escaped).sum::<usize>()
}

/// Returns the size of brackets, the items, and commas between them, in bytes.
fn list_size(items: impl ExactSizeIterator<Item = usize>) -> usize {
    let commas = items.len().saturating_sub(1);
    2 + commas + items.sum::<usize>()
}
