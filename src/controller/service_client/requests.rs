//! Builds the requests to the key-value store, the cloud and the workers.

use std::net::SocketAddr;

use crate::{
    protocol::{
        cbor,
        ids::{Revision, StoreLeaseId},
        store::{Condition, StoreLeaseRequest, Transaction, WriteOperation},
    },
    storage::records::{self, LeaderRecord},
    transport::Method,
};

/// Largest number of keys in one page of a listing.
const PAGE_KEYS: u32 = 1_000;

/// A request to the key-value store.
#[derive(Debug)]
pub struct StoreRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) timeout_ms: u64,
}

impl StoreRequest {
    fn get(path: String, timeout_ms: u64) -> StoreRequest {
        StoreRequest { method: Method::Get, path, body: Vec::new(), timeout_ms }
    }

    fn post(path: String, body: Vec<u8>, timeout_ms: u64) -> StoreRequest {
        StoreRequest { method: Method::Post, path, body, timeout_ms }
    }

    /// Creates a request that reads one key.
    pub fn read_key(key: &str, timeout_ms: u64) -> StoreRequest {
        StoreRequest::get(format!("/store/{key}"), timeout_ms)
    }

    /// Creates a request for a page of the keys under a prefix: those after `from`, or the
    /// first page if `from` is None.
    pub fn read_page(prefix: &str, from: Option<&str>, timeout_ms: u64) -> StoreRequest {
        let from = from.map_or(String::new(), |key| format!("&from={key}"));
        StoreRequest::get(format!("/store?under={prefix}{from}&most={PAGE_KEYS}"), timeout_ms)
    }

    /// Creates a request for the changes under a prefix since a revision. The store waits up
    /// to `wait_ms` for a change.
    pub fn read_changes(prefix: &str, from: Revision, wait_ms: u64, timeout_ms: u64) -> StoreRequest {
        StoreRequest::get(format!("/changes?under={prefix}&from={from}&waitMs={wait_ms}"), timeout_ms)
    }

    /// Creates a request that applies a transaction.
    pub fn transaction(transaction: &Transaction, timeout_ms: u64) -> StoreRequest {
        StoreRequest::post("/multi".into(), cbor::encode(transaction), timeout_ms)
    }

    /// Creates a request that writes a key attached to a store lease. The store rejects the
    /// write if the key's revision is not `expected_revision`.
    pub fn write_leased_key(
        key: String,
        record: &LeaderRecord,
        store_lease: StoreLeaseId,
        expected_revision: Revision,
        timeout_ms: u64,
    ) -> StoreRequest {
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), revision: expected_revision }],
            writes: vec![WriteOperation::Put { key, value: records::to_value(record), store_lease: Some(store_lease) }],
        };
        StoreRequest::transaction(&transaction, timeout_ms)
    }

    /// Creates a request for a store lease that expires after `ttl_ms` unless it is renewed.
    pub fn create_store_lease(ttl_ms: u64, timeout_ms: u64) -> StoreRequest {
        StoreRequest::post("/grants".into(), cbor::encode(&StoreLeaseRequest { ttl_ms }), timeout_ms)
    }

    /// Creates a request that renews a store lease.
    pub fn renew_store_lease(store_lease: StoreLeaseId, timeout_ms: u64) -> StoreRequest {
        StoreRequest::post(format!("/grants/{store_lease}/renew"), Vec::new(), timeout_ms)
    }

    /// Creates a request that ends a store lease, which removes the keys attached to it.
    pub fn delete_store_lease(store_lease: StoreLeaseId, timeout_ms: u64) -> StoreRequest {
        StoreRequest { method: Method::Delete, path: format!("/grants/{store_lease}"), body: Vec::new(), timeout_ms }
    }
}

/// A request to the cloud.
#[derive(Debug)]
pub struct CloudRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

impl CloudRequest {
    /// Creates a request that reads a list.
    pub fn get(path: String) -> CloudRequest {
        CloudRequest { method: Method::Get, path, body: Vec::new() }
    }

    /// Creates a request with a body.
    pub fn post(path: &str, body: Vec<u8>) -> CloudRequest {
        CloudRequest { method: Method::Post, path: path.into(), body }
    }
}

/// A request to a worker.
#[derive(Debug)]
pub struct WorkerRequest {
    /// Address at which the worker listens.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: &'static str,
    /// CBOR body; empty if the request has none.
    pub body: Vec<u8>,
    /// Time, in ms, to wait for the response.
    pub timeout_ms: u64,
}

#[cfg(test)]
#[path = "../tests/requests.rs"]
mod tests;
