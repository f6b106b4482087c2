//! Fixtures that the tests of several components share.

use calloop::EventLoop;

use super::{
    identity::Identity,
    service_client::{CallResult, ServiceClient},
};
use crate::{
    protocol::{
        cbor,
        settings::{tests::SAMPLE, Settings},
    },
    transport::{Limits, Net, Reply},
};

/// Settings of two peers of the sample's controller `n-0`, which is in the zone `a`.
const SEEDS: &str = "[[seeds]]\nlabel = \"n-1\"\ndomain = \"a\"\nendpoint = \"127.0.0.1:3\"\n\
                     [[seeds]]\nlabel = \"n-2\"\ndomain = \"b\"\nendpoint = \"127.0.0.1:4\"\n[outside]";

/// Nonce of [`identity`], which identifies one start of the process.
pub(super) const NONCE: u64 = 77;

pub(super) fn new_net() -> Net {
    let event_loop = EventLoop::try_new().unwrap();
    Net::new(
        &event_loop,
        Limits { sockets: 100, idle_timeout_ms: 1_000, request_timeout_ms: 1_000, stale_after_ms: 1_000 },
    )
}

pub(super) fn settings_with_peers() -> Settings {
    Settings::parse(&SAMPLE.replacen("[outside]", SEEDS, 1), "x.toml").unwrap()
}

pub(super) fn identity() -> Identity {
    Identity { label: "n-0".to_owned(), zone: "a".to_owned(), nonce: NONCE }
}

/// Returns a reply with this status and no body.
pub(super) fn reply_with_status(status: u16) -> CallResult {
    Ok(Reply { status, body: Vec::new(), close: false })
}

/// Returns a reply with status 200 and this CBOR body.
pub(super) fn successful_reply<T: serde::Serialize>(body: &T) -> CallResult {
    Ok(Reply { status: 200, body: cbor::encode(body), close: false })
}

/// Reads the calls that a client sent, in the order in which they were sent.
#[derive(Default)]
pub(super) struct SentCalls {
    taken: u64,
}

impl SentCalls {
    /// Returns the `Debug` form of the next call; None if no more were sent.
    pub(super) fn next_debug(&mut self, client: &mut ServiceClient) -> Option<String> {
        let pending = client.take_pending(self.taken + 1)?;
        self.taken += 1;
        Some(format!("{pending:?}"))
    }
}
