use super::{Method, StoreRequest};
use crate::protocol::ids::{Revision, StoreLeaseId};

/// The key-value store's API fixes the methods and the paths.
#[test]
fn store_requests_have_expected_methods_and_paths() {
    let cases = [
        (StoreRequest::read_key("tasks/j-1/0", 5), Method::Get, "/store/tasks/j-1/0"),
        (StoreRequest::read_page("jobs/", None, 5), Method::Get, "/store?under=jobs/&most=1000"),
        (
            StoreRequest::read_page("jobs/", Some("jobs/j-1"), 5),
            Method::Get,
            "/store?under=jobs/&from=jobs/j-1&most=1000",
        ),
        (
            StoreRequest::read_changes("leader", Revision(7), 3_000, 5),
            Method::Get,
            "/changes?under=leader&from=7&waitMs=3000",
        ),
        (StoreRequest::transaction(&Default::default(), 5), Method::Post, "/multi"),
        (StoreRequest::create_store_lease(9_000, 5), Method::Post, "/grants"),
        (StoreRequest::renew_store_lease(StoreLeaseId(12), 5), Method::Post, "/grants/12/renew"),
        (StoreRequest::delete_store_lease(StoreLeaseId(12), 5), Method::Delete, "/grants/12"),
    ];
    for (request, method, path) in cases {
        assert_eq!((request.method as u8, &*request.path, request.timeout_ms), (method as u8, path, 5));
    }
}
