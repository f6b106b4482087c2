//! CBOR bodies.

use serde::{de::DeserializeOwned, Serialize};

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
