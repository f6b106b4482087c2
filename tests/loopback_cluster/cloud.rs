//! Stand-in for the cloud: one machine type, one machine that runs, no more to
//! rent.

use std::net::SocketAddr;

use ciborium::cbor;
use shedhook::protocol::cbor as body;

use super::http::serve;

/// Serves a cloud whose only machine is the worker's.
pub fn cloud(worker: SocketAddr) -> SocketAddr {
    serve(move |method, path, _| match (method, path.split('?').next().unwrap()) {
        ("GET", "/flavors") => {
            let t = cbor!({"name" => "m", "cpus" => 8, "cards" => 0, "memoryGb" => 32, "localGb" => 50,
                "pullGbPerS" => 1.0, "price" => 1.0, "spotPrice" => 0.5, "readyS" => 5, "yards" => ["a"]});
            (200, body::encode(&cbor!({"breeds" => [t.unwrap()]}).unwrap()))
        }
        ("GET", "/hosts") => {
            let h = cbor!({"nameId" => "i-000001", "endpoint" => worker.to_string(), "breed" => "m", "yard" => "a",
                "loaners" => false, "status" => "running", "heldS" => 100.0});
            (200, body::encode(&cbor!({"hosts" => [h.unwrap()], "truncated" => false}).unwrap()))
        }
        ("POST", "/hosts") => (503, body::encode(&cbor!({"error" => "no capacity"}).unwrap())),
        _ => (200, Vec::new()),
    })
}
