//! Size of a value as the key-value store counts it.

use ciborium::Value;

/// Maximum size, in bytes, of `null`, `true` or `false`.
const JSON_WORD_BYTES: usize = 5;
/// Maximum size, in bytes, of a floating-point number.
const JSON_FLOAT_BYTES: usize = 20;
/// Assumed size, in bytes, of a value that has no JSON form.
const JSON_OTHER_BYTES: usize = 32;
/// Bytes that escaping adds to a character: `\u0000` instead of one byte.
const JSON_ESCAPE_BYTES: usize = 5;
/// Size, in bytes, of the brackets, braces or quotes around a value.
const JSON_DELIMITER_BYTES: usize = 2;

/// Returns the size, in bytes, of a value in JSON form, rounded up.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(_) => JSON_WORD_BYTES,
        Value::Integer(integer) => {
            let integer = i128::from(*integer);
            let further_digits = integer.unsigned_abs().checked_ilog10().unwrap_or(0) as usize;
            usize::from(integer < 0) + further_digits + 1
        }
        Value::Float(_) => JSON_FLOAT_BYTES,
        Value::Text(text) => {
            let escaped = text.bytes().filter(|byte| *byte < b' ' || matches!(byte, b'"' | b'\\')).count();
            text.len() + escaped * JSON_ESCAPE_BYTES + JSON_DELIMITER_BYTES
        }
        Value::Array(items) => JSON_DELIMITER_BYTES + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(entries) => {
            let entry_size = |(key, value): &(Value, Value)| json_size(key) + json_size(value) + 2;
            JSON_DELIMITER_BYTES + entries.iter().map(entry_size).sum::<usize>()
        }
        _ => JSON_OTHER_BYTES,
    }
}
