//! CBOR bodies.

use serde::{
    de::{DeserializeOwned, Visitor},
    Deserialize, Deserializer, Serialize,
};

#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    #[error("not CBOR of the expected form: {0}")]
    Decode(String),
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    // Writing into memory fails only for types that refuse to serialize; ours don't.
    if ciborium::into_writer(value, &mut out).is_err() {
        out.clear();
    }
    out
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, 64).map_err(|e| BodyError::Decode(e.to_string()))
}

/// A decimal amount, which peers may also send as a whole number.
struct Amount(f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Any;
        impl Visitor<'_> for Any {
            type Value = Amount;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a number")
            }

            fn visit_f64<E>(self, x: f64) -> Result<Amount, E> {
                Ok(Amount(x))
            }

            fn visit_u64<E>(self, x: u64) -> Result<Amount, E> {
                Ok(Amount(x as f64))
            }

            fn visit_i64<E>(self, x: i64) -> Result<Amount, E> {
                Ok(Amount(x as f64))
            }
        }
        d.deserialize_any(Any)
    }
}

/// For `deserialize_with`: a number, whole or not.
pub fn number<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    Amount::deserialize(d).map(|a| a.0)
}

/// For `deserialize_with`: a number, whole or not, or null.
pub fn maybe_number<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    Option::<Amount>::deserialize(d).map(|o| o.map(|a| a.0))
}
