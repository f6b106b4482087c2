//! Decodes the replies to calls.

use serde::de::DeserializeOwned;

use crate::{
    coordination::ephemeral_key::RenewalOutcome,
    protocol::{
        cbor,
        ids::{Revision, StoreLeaseId},
        store::{AppliedTransaction, StoreLeaseResponse},
    },
    transport::{
        http::status::{NOT_FOUND, OK},
        CallError, Reply,
    },
};

/// Result of a call: the reply, or why there is none.
pub type CallResult = Result<Reply, CallError>;

/// Returns the status of a reply; 0 if there is none.
pub fn status(result: &CallResult) -> u16 {
    result.as_ref().map_or(0, |reply| reply.status)
}

/// Returns the decoded body of a successful reply; None for a failure, or a body that can't
/// be decoded.
pub fn body<T: DeserializeOwned>(result: &CallResult) -> Option<T> {
    let reply = result.as_ref().ok().filter(|reply| reply.status == OK)?;
    match cbor::decode(&reply.body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(%error, "invalid reply body");
            None
        }
    }
}

/// Returns the id of the store lease that a request created; None if the request failed.
pub fn store_lease_id(result: &CallResult) -> Option<StoreLeaseId> {
    body::<StoreLeaseResponse>(result).map(|response| response.store_lease)
}

/// Returns the revision at which a transaction was applied; None if the transaction failed,
/// or if its result is unknown.
pub fn applied_revision(result: &CallResult) -> Option<Revision> {
    body::<AppliedTransaction>(result).map(|applied| applied.store_revision)
}

/// Returns the outcome of the renewal of a store lease.
pub fn renewal_outcome(result: &CallResult) -> RenewalOutcome {
    match status(result) {
        OK => RenewalOutcome::Renewed,
        NOT_FOUND => RenewalOutcome::Expired,
        _ => RenewalOutcome::Unknown,
    }
}
