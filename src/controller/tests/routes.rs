use super::{route, Route};

/// Each method and path maps to its route; None stands for a path that doesn't exist.
#[test]
fn requests_map_to_routes() {
    let cases = [
        ("POST", "/checkin", Some(Route::Heartbeat)),
        ("GET", "/checkin", Some(Route::MethodNotAllowed)),
        ("GET", "/ready", Some(Route::Ready)),
        ("HEAD", "/ready", Some(Route::Ready)),
        ("POST", "/ready", Some(Route::MethodNotAllowed)),
        ("POST", "/api/jobs", Some(Route::SubmitJob)),
        ("GET", "/api/jobs", Some(Route::MethodNotAllowed)),
        ("GET", "/api/jobs/j-1", Some(Route::PollJob("j-1"))),
        ("GET", "/api/jobs/", Some(Route::PollJob(""))),
        ("POST", "/api/jobs/j-1", Some(Route::MethodNotAllowed)),
        ("POST", "/api/jobs/j-1/abort", Some(Route::CancelJob("j-1"))),
        ("GET", "/api/jobs/j-1/abort", Some(Route::MethodNotAllowed)),
        ("POST", "/api/jobs/a/b/abort", Some(Route::CancelJob("a/b"))),
        ("GET", "/api/jobs/a/b", None),
        ("POST", "/api/jobs/a/b", None),
        ("GET", "/", None),
        ("GET", "/checkin/", None),
        ("GET", "", None),
    ];
    for (method, path, expected) in cases {
        assert_eq!(route(method, path), expected, "{method} {path}");
    }
}
