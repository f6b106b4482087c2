//! The leader's requests to workers and to the cloud, and their results.

use super::{
    calls::{CloudCall, Pending, WorkerCall},
    replies::{body, status},
    wiring::Controller,
};
use crate::{
    coordination::{
        effects::{DirectCallOutcome, Effect},
        model::{CallId, MachineIndex, Millis, Term},
        RentOutcome,
    },
    protocol::{
        cbor,
        cloud::{HostList, HostNames},
        workers::Heartbeat,
    },
    storage::budget::Urgency,
    transport::{
        http::status::{BAD_REQUEST, CONFLICT, OK, SERVICE_UNAVAILABLE},
        CallError, Method, Net, Reply,
    },
};

/// Timeout, in ms, of orders to a worker.
const COMMANDS_TIMEOUT_MS: u64 = 2_000;
/// Timeout, in ms, of a probe: a worker that works answers at once.
const PROBE_TIMEOUT_MS: u64 = 700;
/// Word in the body of a 503 of the cloud that has no such machine to rent.
const NO_CAPACITY: &[u8] = b"capacity";

/// The leadership that effects are carried out for.
#[derive(Debug, Clone, Copy)]
struct Authority {
    now: Millis,
    term: Term,
    /// It still holds.
    valid: bool,
}

impl Controller {
    /// Carries out what the leader decided.
    pub(super) fn carry_out_effects(&mut self, net: &mut Net, term: Term) {
        let Some(leader) = &mut self.leader else { return };
        for effect in leader.take_effects() {
            let now = net.now();
            // Guard: the leadership may end at any time, so it is checked again
            // before each request.
            let valid = self.election.leading(now) == Some(term);
            self.carry_out(net, Authority { now, term, valid }, effect);
        }
    }

    fn carry_out(&mut self, net: &mut Net, authority: Authority, effect: Effect) {
        let Authority { now, term, valid } = authority;
        match effect {
            Effect::Do { machine, call, addr, req } if valid => {
                let body = cbor::encode(&req);
                let request =
                    WorkerCall { addr, method: Method::Post, path: "/do", body, timeout_ms: COMMANDS_TIMEOUT_MS };
                self.ask_worker(net, Pending::Commands { term, machine, call }, request);
            }
            Effect::Do { machine, call, .. } => {
                if let Some(leader) = &mut self.leader {
                    let outcome = DirectCallOutcome::NotSent;
                    leader.direct_call_result(now, machine, call, outcome, &self.job_cache, &mut self.tables);
                }
            }
            Effect::Rent { call, req } => {
                let request = CloudCall::post("/hosts", cbor::encode(&req));
                if !self.ask_cloud_as_leader(
                    net,
                    authority,
                    Urgency::Commit,
                    Pending::RentHosts { term, call },
                    request,
                ) {
                    if let Some(leader) = &mut self.leader {
                        leader.rented(now, call, RentOutcome::Again);
                    }
                }
            }
            Effect::Return { call, ids } => {
                let request = CloudCall::post("/hosts/return", cbor::encode(&HostNames { hosts: ids }));
                if !self.ask_cloud_as_leader(
                    net,
                    authority,
                    Urgency::Cancel,
                    Pending::ReturnHosts { term, call },
                    request,
                ) {
                    if let Some(leader) = &mut self.leader {
                        leader.returned(now, call, false);
                    }
                }
            }
            Effect::Probe { machine, addr } => {
                let (path, body, timeout_ms) = ("/status", Vec::new(), PROBE_TIMEOUT_MS);
                let request = WorkerCall { addr, method: Method::Get, path, body, timeout_ms };
                self.ask_worker(net, Pending::Probe { term, machine }, request);
            }
            Effect::List { call, from } => {
                let from = from.map_or(String::new(), |from| format!("from={from}&"));
                let request = CloudCall::get(format!("/hosts?{from}most=500"));
                if !self.ask_cloud_as_leader(
                    net,
                    authority,
                    Urgency::Submit,
                    Pending::ListHosts { term, call },
                    request,
                ) {
                    if let Some(leader) = &mut self.leader {
                        leader.listed(now, call, None, &mut self.tables);
                    }
                }
            }
        }
    }

    /// Sends a request to the cloud if this controller still leads and the budget
    /// allows it. Returns whether it was sent.
    fn ask_cloud_as_leader(
        &mut self,
        net: &mut Net,
        authority: Authority,
        urgency: Urgency,
        pending: Pending,
        call: CloudCall,
    ) -> bool {
        let allowed = authority.valid && self.budgets.cloud.take(authority.now, 1.0, urgency).is_ok();
        if allowed {
            self.ask_cloud(net, pending, call);
        }
        allowed
    }

    /// The answer to orders came.
    pub(super) fn commands_answered(
        &mut self,
        now: Millis,
        term: Term,
        machine: MachineIndex,
        call: CallId,
        result: &Result<Reply, CallError>,
    ) {
        let outcome = command_outcome(result);
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term) else { return };
        if !leader.direct_call_result(now, machine, call, outcome, &self.job_cache, &mut self.tables) {
            tracing::warn!("a worker has seen a higher token than this leader's");
        }
    }

    /// The answer to a probe came.
    pub(super) fn probed(&mut self, now: Millis, term: Term, machine: MachineIndex, result: &Result<Reply, CallError>) {
        let heartbeat = body::<Heartbeat>(result);
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term) {
            leader.probed(now, machine, heartbeat.as_ref(), &self.job_cache, &mut self.tables);
        }
    }

    /// The answer to a rental request came.
    pub(super) fn rented(&mut self, now: Millis, term: Term, call: CallId, result: &Result<Reply, CallError>) {
        let outcome = rent_outcome(result);
        if let Some(leader) = self.leader_of(term) {
            leader.rented(now, call, outcome);
        }
    }

    /// The answer to a return of hosts came.
    pub(super) fn returned(&mut self, now: Millis, term: Term, call: CallId, result: &Result<Reply, CallError>) {
        if let Some(leader) = self.leader_of(term) {
            leader.returned(now, call, status(result) == OK);
        }
    }

    /// A part of the list of hosts came.
    pub(super) fn hosts_listed(&mut self, now: Millis, term: Term, call: CallId, result: &Result<Reply, CallError>) {
        let list = body::<HostList>(result);
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.term() == term) {
            leader.listed(now, call, list.as_ref(), &mut self.tables);
        }
    }
}

fn command_outcome(result: &Result<Reply, CallError>) -> DirectCallOutcome {
    match result {
        Ok(reply) if matches!(reply.status, OK | CONFLICT) => match cbor::decode::<Heartbeat>(&reply.body) {
            Ok(heartbeat) if reply.status == OK => DirectCallOutcome::Executed(heartbeat),
            Ok(heartbeat) => DirectCallOutcome::Refused(heartbeat),
            Err(_) => DirectCallOutcome::Unknown,
        },
        Ok(_) | Err(CallError::Unknown) => DirectCallOutcome::Unknown,
        Err(CallError::NotSent) => DirectCallOutcome::NotSent,
    }
}

fn rent_outcome(result: &Result<Reply, CallError>) -> RentOutcome {
    let lacks_capacity = |reply: &Reply| reply.body.windows(NO_CAPACITY.len()).any(|window| window == NO_CAPACITY);
    match status(result) {
        OK => body::<HostNames>(result).map_or(RentOutcome::Again, |names| RentOutcome::Rented(names.hosts)),
        BAD_REQUEST => RentOutcome::Malformed,
        SERVICE_UNAVAILABLE if result.as_ref().is_ok_and(lacks_capacity) => RentOutcome::NoCapacity,
        _ => RentOutcome::Again,
    }
}
