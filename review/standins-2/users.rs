//! Users: submissions, questions and cancellations.

use std::{net::SocketAddr, time::Duration};

use crate::{
    cbor::{decode, encode, V},
    http::call,
    map,
    world::{Job, World},
};

/// A submission of a job.
pub fn job(id: &str, owner: &str, shape: &str, pieces: u32, cpus: f64) -> V {
    map! {"nameId" => id, "lane" => "lane", "owner" => owner, "shape" => shape, "rank" => "normal", "pieces" => pieces,
    "cpus" => cpus, "cards" => 0.0, "memoryGb" => 1.0, "bundle" => "img-07", "imageGb" => 0.2, "breeds" => V::Null,
    "yard" => V::Null, "samePlace" => false, "scatter" => false, "loaners" => true, "guessS" => 20.0,
    "bookmarkS" => 0.0, "stashS" => 0.0, "dueS" => V::Null}
}

/// The submission with one field replaced or added.
pub fn with(job: V, name: &str, value: impl Into<V>) -> V {
    let V::M(mut fields) = job else { return job };
    fields.retain(|(key, _)| key != name);
    fields.push((name.into(), value.into()));
    V::M(fields)
}

/// Makes the job's description known to the machines, before it is submitted.
pub fn upload(world: &World, body: &V, run: Option<Duration>, fails: Option<Duration>) {
    let flag = |name: &str| matches!(body.get(name), Some(V::Bool(true)));
    let prereqs =
        body.list("prereqs").iter().filter_map(|id| if let V::T(id) = id { Some(id.clone()) } else { None }).collect();
    let job = Job {
        body: body.clone(),
        team: body.str("owner").unwrap_or("").into(),
        pieces: body.u64("pieces").unwrap_or(1) as u32,
        cpus: body.f64("cpus").unwrap_or(0.0),
        cards: body.f64("cards").unwrap_or(0.0),
        memory: body.f64("memoryGb").unwrap_or(0.0),
        gang: body.str("shape") == Some("ensemble"),
        yard: body.str("yard").map(str::to_owned),
        one_zone: flag("samePlace"),
        scatter: flag("scatter"),
        loaners: flag("loaners"),
        prereqs,
        run,
        fails,
        told_cancelled: None,
    };
    world.shared.lock().unwrap().jobs.insert(body.str("nameId").unwrap_or("").into(), job);
}

fn status_of(body: &[u8]) -> Option<String> {
    decode(body)?.str("status").map(str::to_owned)
}

/// Submits a job at a controller. Returns the HTTP status and the job's state.
pub fn submit(world: &World, to: SocketAddr, body: &V) -> Option<(u16, Option<String>)> {
    let answer = call(to, "POST", "/api/jobs", &encode(body), Duration::from_secs(5))?;
    let state = status_of(&answer.body);
    world.note(format!("submit {} at {to}: {} {state:?}", body.str("nameId").unwrap_or(""), answer.status));
    Some((answer.status, state))
}

pub fn poll(to: SocketAddr, id: &str) -> Option<(u16, Option<String>)> {
    let answer = call(to, "GET", &format!("/api/jobs/{id}"), &[], Duration::from_secs(2))?;
    Some((answer.status, status_of(&answer.body)))
}

pub fn is_ready(to: SocketAddr) -> bool {
    call(to, "GET", "/ready", &[], Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
}
