//! CBOR encoding of message bodies.

use serde::{
    de::{DeserializeOwned, Visitor},
    Deserialize, Deserializer, Serialize,
};

/// Deepest nesting that is decoded; a deeper body is refused, so that it can't
/// exhaust the stack.
const MAX_DEPTH: usize = 64;
/// Capacity reserved for an encoded body, in bytes; most fit without growing.
const TYPICAL_BODY: usize = 128;

/// A body that can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is not CBOR, is nested too deeply, or has the wrong fields or types.
    #[error("not CBOR of the expected form: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
}

/// Encodes a message.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(TYPICAL_BODY);
    // Writing to memory fails only for types that refuse to be serialized; none here does.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    Ok(ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)?)
}

/// A decimal number, which may also be sent as an integer.
struct Amount(f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Amount;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("a number")
            }

            fn visit_f64<E>(self, number: f64) -> Result<Amount, E> {
                Ok(Amount(number))
            }

            fn visit_u64<E>(self, number: u64) -> Result<Amount, E> {
                Ok(Amount(number as f64))
            }

            fn visit_i64<E>(self, number: i64) -> Result<Amount, E> {
                Ok(Amount(number as f64))
            }
        }
        deserializer.deserialize_any(NumberVisitor)
    }
}

/// For `deserialize_with`: an integer or decimal number.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Amount::deserialize(deserializer).map(|amount| amount.0)
}

/// For `deserialize_with`: an integer or decimal number, or null.
pub fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Option::<Amount>::deserialize(deserializer).map(|option| option.map(|amount| amount.0))
}
