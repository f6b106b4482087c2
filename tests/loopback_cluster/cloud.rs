//! Stand-in for the cloud: one machine type, one running machine, no capacity to
//! provision more.

use std::net::SocketAddr;

use ciborium::cbor;

use super::http::{serve, Response};

/// Serves a cloud whose only machine is the worker's, and returns its address.
pub fn serve_cloud(worker: SocketAddr) -> SocketAddr {
    serve(move |method, path, _| match (method, path.split('?').next().unwrap()) {
        ("GET", "/flavors") => {
            let machine_type = cbor!({"name" => "m", "cpus" => 8, "cards" => 0, "memoryGb" => 32, "localGb" => 50,
                "pullGbPerS" => 1.0, "price" => 1.0, "spotPrice" => 0.5, "readyS" => 5, "yards" => ["a"]});
            Response::encoded(200, &cbor!({"breeds" => [machine_type.unwrap()]}).unwrap())
        }
        ("GET", "/hosts") => {
            let host = cbor!({"nameId" => "i-000001", "endpoint" => worker.to_string(), "breed" => "m", "yard" => "a",
                "loaners" => false, "status" => "running", "heldS" => 100.0});
            Response::encoded(200, &cbor!({"hosts" => [host.unwrap()], "truncated" => false}).unwrap())
        }
        ("POST", "/hosts") => Response::error(503, "no capacity"),
        _ => Response::empty(200),
    })
}
