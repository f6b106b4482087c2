//! Replies to outgoing calls, handed on to what they are for.

use super::{calls::Pending, wiring::Controller};
use crate::{
    coordination::{
        ephemeral_key::RenewalOutcome,
        leader::Leader,
        model::{Millis, Term},
    },
    protocol::{
        cbor,
        ids::{GrantId, Revision},
        store::{AppliedTransaction, Permit},
    },
    transport::{
        http::status::{BAD_REQUEST, NOT_FOUND, OK},
        CallError, Net, Reply,
    },
};

/// The status of a reply; 0 when there is none.
pub(super) fn status(result: &Result<Reply, CallError>) -> u16 {
    result.as_ref().map_or(0, |reply| reply.status)
}

/// The body of a successful reply.
pub(super) fn body<T: serde::de::DeserializeOwned>(result: &Result<Reply, CallError>) -> Option<T> {
    let reply = result.as_ref().ok().filter(|reply| reply.status == OK)?;
    match cbor::decode(&reply.body) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(%error, "an answer from outside can't be read");
            None
        }
    }
}

fn grant(result: &Result<Reply, CallError>) -> Option<GrantId> {
    body::<Permit>(result).map(|permit| permit.permit)
}

fn store_revision(result: &Result<Reply, CallError>) -> Option<Revision> {
    body::<AppliedTransaction>(result).map(|applied| applied.store_revision)
}

fn renewal_outcome(result: &Result<Reply, CallError>) -> RenewalOutcome {
    match status(result) {
        OK => RenewalOutcome::Renewed,
        NOT_FOUND => RenewalOutcome::Expired,
        _ => RenewalOutcome::Unknown,
    }
}

impl Controller {
    /// The leader, if it is still the one of this leadership.
    pub(super) fn leader_of(&mut self, term: Term) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|leader| leader.term == term)
    }

    /// Handles the outcome of a call.
    pub(super) fn handle_reply(&mut self, net: &mut Net, pending: Pending, result: Result<Reply, CallError>) {
        let now = net.now();
        if pending.shows_state_health() {
            self.state_answered(now, &result);
        }
        match pending {
            Pending::LeaderGrant => self.election.granted(now, grant(&result)),
            Pending::LeaderGrantRenewal => self.election.renewed(now, renewal_outcome(&result)),
            Pending::LeaderClaim => self.claimed(now, &result),
            Pending::LeaderStepDown => {}
            Pending::RenewalKeyGrant => self.renewal_right.granted(now, grant(&result)),
            Pending::RenewalKeyGrantRenewal => self.renewal_right.renewed(now, renewal_outcome(&result)),
            Pending::RenewalKeyClaim => self.renewal_right_registered(now, &result),
            Pending::VersionWrite => self.version_written(now, &result),
            Pending::VersionRead => self.version_page(now, &result),
            Pending::LeaderKeyPage => self.leader_page(now, &result),
            Pending::LeaderKeyWatch { sent } => self.leader_changes(now, sent, &result),
            Pending::JobsPage { first } => self.jobs_page(now, first, &result),
            Pending::JobsWatch { sent } => self.jobs_watched(now, sent, &result),
            Pending::ReadBarrier { sent } => self.read_barrier_completed(net, now, sent, &result),
            Pending::Submit { conn, id, record, tries } => self.submitted(net, conn, id, record, tries, result),
            Pending::Abort { conn, id, record, tries } => self.aborted(net, conn, id, &record, tries, result),
            Pending::TasksSync { term, sent } => self.tasks_synced(now, term, sent, &result),
            Pending::TasksPage { term } => self.tasks_page(now, term, &result),
            Pending::Commit { term } => self.committed(net, now, term, &result),
            Pending::Resync { term, key } => self.resynced(now, term, &key, &result),
            Pending::Commands { term, machine, call } => self.commands_answered(now, term, machine, call, &result),
            Pending::RentHosts { term, call } => self.rented(now, term, call, &result),
            Pending::ReturnHosts { term, call } => self.returned(now, term, call, &result),
            Pending::ListHosts { term, call } => self.hosts_listed(now, term, call, &result),
            Pending::Probe { term, machine } => self.probed(now, term, machine, &result),
            Pending::MachineTypes => self.machine_types_listed(now, &result),
        }
    }

    fn claimed(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        // The state service knows no such grant any more.
        if status(result) == BAD_REQUEST {
            self.election.permit_lost();
        }
        self.election.claimed(now, store_revision(result));
    }

    fn renewal_right_registered(&mut self, now: Millis, result: &Result<Reply, CallError>) {
        if status(result) == BAD_REQUEST {
            self.renewal_right.grant_lost();
        }
        self.renewal_right.registered(now, store_revision(result));
    }
}
