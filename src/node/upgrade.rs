//! An upgrade under way: what waits until every controller runs this version.

use super::{replies::body, wiring::Node, wiring::Pending};
use crate::{
    bookkeeping::{
        budget::Urgency,
        records,
        versions::{version_key, VersionRecord, VERSION, VERSIONS},
    },
    coordination::model::Ms,
    protocol::{
        cbor,
        store::{Op, Page, Txn},
    },
    transport::{CallError, Net, Reply},
};

/// Between two looks at the keys, while some are missing, and later: an
/// operator who goes back removes one first.
const LOOK_MS: Ms = 1_000;
const LOOK_AGAIN_MS: Ms = 10_000;

impl Node {
    /// Writes this controller's key once, and reads all.
    pub(super) fn keep_versions(&mut self, net: &mut Net, now: Ms) {
        if !self.version_written {
            if self.version_write.due(now)
                && self.reads.take(now, 1.0, Urgency::Submit).is_ok()
                && self.writes.take(now, 1.0, Urgency::Submit).is_ok()
            {
                self.version_write.in_flight = true;
                let rec = VersionRecord { version: VERSION, nonce: self.nonce };
                let key = version_key(&self.settings.label);
                // Under no grant: it outlives the process. Applied late it is as true.
                let write = Op::Put { key, v: records::to_value(&rec), permit: None };
                let txn = Txn { conditions: Vec::new(), writes: vec![write] };
                self.ask_state(net, Pending::VersionWrite, "POST", "/multi".into(), cbor::encode(&txn), 2_500);
            }
        } else if self.version_read.due(now) && self.reads.take(now, 1.0, Urgency::Submit).is_ok() {
            self.version_read.in_flight = true;
            let path = format!("/store?under={VERSIONS}&most=1000");
            self.ask_state(net, Pending::VersionRead, "GET", path, Vec::new(), 2_500);
        }
    }

    pub(super) fn version_wrote(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        self.version_write.in_flight = false;
        self.version_written = result.as_ref().is_ok_and(|r| r.status == 200);
        self.version_write.after = now + LOOK_MS;
    }

    pub(super) fn version_page(&mut self, now: Ms, result: &Result<Reply, CallError>) {
        self.version_read.in_flight = false;
        let page = body::<Page>(result).filter(|p| !p.truncated);
        self.version_read.after = now + LOOK_MS;
        let Some(page) = page else { return };
        let was = self.versions.missing();
        self.versions.saw(&page);
        if self.versions.is_complete() {
            self.version_read.after = now + LOOK_AGAIN_MS;
        }
        let missing = self.versions.missing();
        if missing != was {
            tracing::info!(missing, "controllers that have not shown this version yet");
        }
    }
}
