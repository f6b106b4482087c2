//! CBOR encoding of message bodies.

use serde::{
    de::{DeserializeOwned, Visitor},
    Deserialize, Deserializer, Serialize,
};

/// Maximum nesting depth of a decoded body; a deeper one is rejected, because
/// decoding it could exhaust the stack.
const MAX_DEPTH: usize = 64;
/// Initial capacity of the buffer for an encoded body; most bodies fit without
/// reallocation.
const TYPICAL_BODY_BYTES: usize = 128;

/// Error of decoding a message body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is not CBOR, is nested too deeply, or has the wrong fields or types.
    #[error("cannot decode CBOR body: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(TYPICAL_BODY_BYTES);
    // Encoding into memory fails only if the type's `Serialize` implementation fails. That of no
    // message type does.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes a message from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    Ok(ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)?)
}

/// A floating-point number that may also be encoded as an integer.
struct Number(f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Number;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("a number")
            }

            fn visit_f64<E>(self, number: f64) -> Result<Number, E> {
                Ok(Number(number))
            }

            fn visit_u64<E>(self, number: u64) -> Result<Number, E> {
                Ok(Number(number as f64))
            }

            fn visit_i64<E>(self, number: i64) -> Result<Number, E> {
                Ok(Number(number as f64))
            }
        }
        deserializer.deserialize_any(NumberVisitor)
    }
}

/// Deserializes an integer or floating-point number, for `deserialize_with`.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Number::deserialize(deserializer).map(|number| number.0)
}

/// Deserializes an integer or floating-point number, or null, for `deserialize_with`.
pub fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Option::<Number>::deserialize(deserializer).map(|option| option.map(|number| number.0))
}
