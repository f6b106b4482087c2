//! Rolling upgrades: what waits until every controller runs this version.

use super::{
    calls::{Pending, StateCall, SLOW_STATE_TIMEOUT_MS},
    poll_loop::PollLoop,
    replies::{body, status},
    wiring::Controller,
};
use crate::{
    coordination::model::Millis,
    protocol::{
        settings::Settings,
        store::{Op, Page, Txn},
    },
    storage::{
        budget::Urgency,
        records,
        versions::{version_key, Evidence, VersionRecord, VERSION, VERSIONS},
    },
    transport::{http::status::OK, CallError, Net, Reply},
};

/// Interval, in ms, at which the version keys are read while some are missing.
const POLL_MS: Millis = 1_000;
/// The same once none is missing: an operator who rolls a controller back
/// removes its key first.
const COMPLETE_POLL_MS: Millis = 10_000;

/// What is known of the versions that the controllers run.
#[derive(Debug)]
pub(super) struct VersionFeed {
    evidence: Evidence,
    /// This controller's own key was written.
    own_key_written: bool,
    write: PollLoop,
    read: PollLoop,
}

impl VersionFeed {
    /// Nothing is known yet.
    pub fn new(settings: &Settings) -> VersionFeed {
        let peers = settings.seeds.iter().map(|seed| &*seed.label);
        VersionFeed {
            evidence: Evidence::new(peers.chain([&*settings.label])),
            own_key_written: false,
            write: PollLoop::default(),
            read: PollLoop::default(),
        }
    }

    /// Whether all controllers are known to run this version.
    pub fn is_complete(&self) -> bool {
        self.evidence.is_complete()
    }
}

impl Controller {
    /// Writes this controller's key once, then reads those of all controllers.
    pub(super) fn refresh_versions(&mut self, net: &mut Net, now: Millis) {
        if self.versions.own_key_written {
            self.read_versions(net, now);
        } else {
            self.write_version(net, now);
        }
    }

    fn write_version(&mut self, net: &mut Net, now: Millis) {
        if !self.versions.write.due(now)
            || self.budgets.reads.take(now, 1.0, Urgency::Submit).is_err()
            || self.budgets.writes.take(now, 1.0, Urgency::Submit).is_err()
        {
            return;
        }
        self.versions.write.in_flight = true;
        let record = VersionRecord { version: VERSION, nonce: self.nonce };
        // Attached to no grant, so that it outlives the process. The write is
        // unconditional, as it may be applied at any later time.
        let key = version_key(&self.settings.label);
        let write = Op::Put { key, v: records::to_value(&record), permit: None };
        let transaction = Txn { conditions: Vec::new(), writes: vec![write] };
        let call = StateCall::transaction(&transaction, SLOW_STATE_TIMEOUT_MS);
        self.ask_state(net, Pending::VersionWrite, call);
    }

    fn read_versions(&mut self, net: &mut Net, now: Millis) {
        if !self.versions.read.due(now) || self.budgets.reads.take(now, 1.0, Urgency::Submit).is_err() {
            return;
        }
        self.versions.read.in_flight = true;
        let path = format!("/store?under={VERSIONS}&most=1000");
        self.ask_state(net, Pending::VersionRead, StateCall::read(path, SLOW_STATE_TIMEOUT_MS));
    }

    /// The write of this controller's key ended.
    pub(super) fn version_written(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        self.versions.own_key_written = status(result) == OK;
        self.versions.write.finish(now + POLL_MS);
    }

    /// The listing of the version keys came.
    pub(super) fn version_page(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        self.versions.read.finish(now + POLL_MS);
        let Some(page) = body::<Page>(result).filter(|page| !page.truncated) else { return };
        let evidence = &mut self.versions.evidence;
        let missing_before = evidence.missing();
        evidence.saw(&page);
        if evidence.is_complete() {
            self.versions.read.after = now + COMPLETE_POLL_MS;
        }
        let missing = evidence.missing();
        if missing != missing_before {
            tracing::info!(missing, "controllers that have not shown this version yet");
        }
    }
}
