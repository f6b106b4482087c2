//! Routing of HTTP requests.

use super::Controller;
use crate::transport::{
    http::status::{METHOD_NOT_ALLOWED, NOT_FOUND, OK, SERVICE_UNAVAILABLE},
    ConnectionId, Net, Request,
};

/// The operation that a request addresses. Paths that don't exist have no route.
#[derive(Debug, PartialEq, Eq)]
enum Route<'a> {
    Heartbeat,
    Ready,
    SubmitJob,
    PollJob(&'a str),
    CancelJob(&'a str),
    MethodNotAllowed,
}

fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (route, allowed) = match path {
        "/checkin" => (Route::Heartbeat, method == "POST"),
        "/ready" => (Route::Ready, matches!(method, "GET" | "HEAD")),
        "/api/jobs" => (Route::SubmitJob, method == "POST"),
        _ => {
            let job_path = path.strip_prefix("/api/jobs/")?;
            match job_path.strip_suffix("/abort") {
                Some(id) => (Route::CancelJob(id), method == "POST"),
                None if job_path.contains('/') => return None,
                None => (Route::PollJob(job_path), method == "GET"),
            }
        }
    };
    Some(if allowed { route } else { Route::MethodNotAllowed })
}

impl Controller {
    /// Handles a request of a user, a worker or a health probe.
    pub(super) fn handle_request(&mut self, net: &mut Net, conn: ConnectionId, request: &Request) {
        // Requests of clients that have disconnected in the meantime are skipped, so
        // that no work is spent on them under overload.
        if !net.is_open(conn) {
            return;
        }
        let path = request.path.split('?').next().unwrap_or("");
        match route(&request.method, path) {
            Some(Route::Heartbeat) => self.handle_heartbeat(net, conn, &request.body),
            Some(Route::Ready) => {
                let status = if self.is_ready(net.now()) { OK } else { SERVICE_UNAVAILABLE };
                net.respond(conn, status, None, b"");
            }
            Some(Route::SubmitJob) => {
                let (users, mut context) = self.user_api(net);
                users.submit(&mut context, conn, &request.body);
            }
            Some(Route::PollJob(id)) => {
                let (users, mut context) = self.user_api(net);
                users.poll(&mut context, conn, id);
            }
            Some(Route::CancelJob(id)) => {
                let (users, mut context) = self.user_api(net);
                users.cancel(&mut context, conn, id.to_owned(), 0);
            }
            Some(Route::MethodNotAllowed) => net.respond(conn, METHOD_NOT_ALLOWED, None, b""),
            None => net.respond(conn, NOT_FOUND, None, b""),
        }
    }
}

#[cfg(test)]
#[path = "../tests/routes.rs"]
mod tests;
