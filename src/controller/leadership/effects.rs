//! The leader's requests to workers and to the cloud, and their results.

use std::net::SocketAddr;

use super::{LeaderContext, Leadership};
use crate::{
    controller::service_client::{body, status, CallResult, CloudRequest, LeaderCall, WorkerRequest},
    coordination::{
        effects::{DirectCallOutcome, Effect},
        model::{CallId, MachineIndex, Millis, Term},
        ScaleOutOutcome,
    },
    protocol::{
        cbor,
        cloud::{HostList, HostNames, ProvisionRequest},
        workers::{DirectCommandRequest, Heartbeat},
    },
    storage::rate_limit::Urgency,
    transport::{
        http::status::{BAD_REQUEST, CONFLICT, OK, SERVICE_UNAVAILABLE},
        CallError, Method, Reply,
    },
};

/// Timeout, in ms, of commands to a worker.
const COMMANDS_TIMEOUT_MS: u64 = 2_000;
/// Timeout, in ms, of a probe: a healthy worker responds immediately.
const PROBE_TIMEOUT_MS: u64 = 700;
/// Maximum number of hosts in one page of the cloud's list.
const LIST_PAGE_HOSTS: u32 = 500;
/// Word in the body of a 503 response of a cloud that has no capacity for the requested
/// machines.
const NO_CAPACITY: &[u8] = b"capacity";

/// The result of checking, before an effect is carried out, whether this controller
/// still leads.
#[derive(Debug, Clone, Copy)]
struct LeadershipCheck {
    now: Millis,
    term: Term,
    /// Whether this controller still leads in `term`.
    is_leading: bool,
}

impl Leadership {
    /// Carries out the effects that the leader decided on.
    pub(super) fn carry_out_effects(&mut self, context: &mut LeaderContext, term: Term) {
        let Some(leader) = &mut self.leader else { return };
        for effect in leader.take_effects() {
            let now = context.net.now();
            // The leadership may end at any time, so it is checked again before each
            // request.
            let is_leading = context.election.leading_term(now) == Some(term);
            self.carry_out(context, LeadershipCheck { now, term, is_leading }, effect);
        }
    }

    fn carry_out(&mut self, context: &mut LeaderContext, check: LeadershipCheck, effect: Effect) {
        match effect {
            Effect::DirectCommand { machine, call, addr, request } => {
                self.send_commands(context, check, machine, call, addr, &request);
            }
            Effect::ScaleOut { call, request } => self.provision_hosts(context, check, call, &request),
            Effect::ScaleIn { call, ids } => self.release_hosts(context, check, call, ids),
            Effect::Probe { machine, addr } => {
                let (path, body, timeout_ms) = ("/status", Vec::new(), PROBE_TIMEOUT_MS);
                let request = WorkerRequest { addr, method: Method::Get, path, body, timeout_ms };
                context.send_to_worker(check.term, LeaderCall::Probe { machine }, request);
            }
            Effect::ListMachines { call, from } => self.list_hosts(context, check, call, from.as_deref()),
        }
    }

    fn send_commands(
        &mut self,
        context: &mut LeaderContext,
        check: LeadershipCheck,
        machine: MachineIndex,
        call: CallId,
        addr: SocketAddr,
        commands: &DirectCommandRequest,
    ) {
        let LeadershipCheck { now, term, is_leading } = check;
        if is_leading {
            let (body, timeout_ms) = (cbor::encode(commands), COMMANDS_TIMEOUT_MS);
            let request = WorkerRequest { addr, method: Method::Post, path: "/do", body, timeout_ms };
            context.send_to_worker(term, LeaderCall::Commands { machine, call }, request);
        } else if let Some(leader) = &mut self.leader {
            let outcome = DirectCallOutcome::NotSent;
            leader.direct_call_result(now, machine, call, outcome, context.jobs.cache(), context.names);
        }
    }

    fn provision_hosts(
        &mut self,
        context: &mut LeaderContext,
        check: LeadershipCheck,
        call: CallId,
        provision_request: &ProvisionRequest,
    ) {
        let request = CloudRequest::post("/hosts", cbor::encode(provision_request));
        let sent =
            send_to_cloud_if_leading(context, check, Urgency::Commit, LeaderCall::ProvisionHosts { call }, request);
        if let Some(leader) = self.leader.as_mut().filter(|_| !sent) {
            leader.scale_out_finished(check.now, call, ScaleOutOutcome::Retry);
        }
    }

    fn release_hosts(&mut self, context: &mut LeaderContext, check: LeadershipCheck, call: CallId, hosts: Vec<String>) {
        let request = CloudRequest::post("/hosts/return", cbor::encode(&HostNames { hosts }));
        let sent =
            send_to_cloud_if_leading(context, check, Urgency::Cancel, LeaderCall::ReleaseHosts { call }, request);
        if let Some(leader) = self.leader.as_mut().filter(|_| !sent) {
            leader.scale_in_finished(check.now, call, false);
        }
    }

    fn list_hosts(&mut self, context: &mut LeaderContext, check: LeadershipCheck, call: CallId, from: Option<&str>) {
        let from_parameter = from.map_or(String::new(), |from| format!("from={from}&"));
        let request = CloudRequest::get(format!("/hosts?{from_parameter}most={LIST_PAGE_HOSTS}"));
        let sent = send_to_cloud_if_leading(context, check, Urgency::Submit, LeaderCall::ListHosts { call }, request);
        if let Some(leader) = self.leader.as_mut().filter(|_| !sent) {
            leader.machines_listed(check.now, call, None, context.names);
        }
    }

    /// Processes the result of commands sent directly to a worker.
    pub(super) fn commands_finished(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        machine: MachineIndex,
        call: CallId,
        result: &CallResult,
    ) {
        let outcome = command_outcome(result);
        let Some(leader) = self.leader_of(term) else { return };
        if !leader.direct_call_result(now, machine, call, outcome, context.jobs.cache(), context.names) {
            tracing::warn!(%term, "worker has seen a higher fencing token");
        }
    }

    /// Processes the result of a probe.
    pub(super) fn probe_finished(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        machine: MachineIndex,
        result: &CallResult,
    ) {
        let heartbeat = body::<Heartbeat>(result);
        if let Some(leader) = self.leader_of(term) {
            leader.probe_finished(now, machine, heartbeat.as_ref(), context.jobs.cache(), context.names);
        }
    }

    /// Processes the result of a scale-out request.
    pub(super) fn scale_out_finished(&mut self, now: Millis, term: Term, call: CallId, result: &CallResult) {
        let outcome = scale_out_outcome(result);
        if let Some(leader) = self.leader_of(term) {
            leader.scale_out_finished(now, call, outcome);
        }
    }

    /// Processes the result of a scale-in request.
    pub(super) fn scale_in_finished(&mut self, now: Millis, term: Term, call: CallId, result: &CallResult) {
        if let Some(leader) = self.leader_of(term) {
            leader.scale_in_finished(now, call, status(result) == OK);
        }
    }

    /// Processes the result of a request for a page of the list of hosts.
    pub(super) fn hosts_listed(
        &mut self,
        context: &mut LeaderContext,
        now: Millis,
        term: Term,
        call: CallId,
        result: &CallResult,
    ) {
        let list = body::<HostList>(result);
        if let Some(leader) = self.leader_of(term) {
            leader.machines_listed(now, call, list.as_ref(), context.names);
        }
    }
}

/// Sends a request to the cloud if this controller still leads and the budget
/// allows it. Returns whether it was sent.
fn send_to_cloud_if_leading(
    context: &mut LeaderContext,
    check: LeadershipCheck,
    urgency: Urgency,
    call: LeaderCall,
    request: CloudRequest,
) -> bool {
    let allowed = check.is_leading && context.client.budgets().take_cloud(check.now, urgency);
    if allowed {
        context.send_to_cloud(check.term, call, request);
    }
    allowed
}

fn command_outcome(result: &CallResult) -> DirectCallOutcome {
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

fn scale_out_outcome(result: &CallResult) -> ScaleOutOutcome {
    let lacks_capacity = |reply: &Reply| reply.body.windows(NO_CAPACITY.len()).any(|window| window == NO_CAPACITY);
    match status(result) {
        OK => {
            body::<HostNames>(result).map_or(ScaleOutOutcome::Retry, |names| ScaleOutOutcome::Provisioned(names.hosts))
        }
        BAD_REQUEST => ScaleOutOutcome::Malformed,
        SERVICE_UNAVAILABLE if result.as_ref().is_ok_and(lacks_capacity) => ScaleOutOutcome::NoCapacity,
        _ => ScaleOutOutcome::Retry,
    }
}
