//! Stand-ins of the platform's services: a store, engines and a plain server.
//!
//! Each connection has a thread, and a lock guards the shared state: a test sends few requests and needs no
//! async runtime.

pub mod balancer;
pub mod engine;
pub mod http;
mod serve;
pub mod store;
mod store_state;
pub mod torn;
pub mod trouble;

use std::net::SocketAddr;

use serde_json::{Value, json};

pub use engine::{Engine, events, senders};
pub use store::Store;

use engine::HEALTH_PATH;

/// Settings of a host that uses the store at this address.
pub fn settings(name: &str, store: SocketAddr) -> String {
    format!(
        "[relay]\nname = {name}\nregion = r\ndomain = z\ncallers = 127.0.0.1:0\n\
         readiness = 127.0.0.1:0\npeers = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
         [store]\naddr = {store}\n[bounds]\ngrace = 8s\n"
    )
}

/// A configuration with a route for each kind of request; `short` is the route of resumable streams.
pub fn config(version: u64, short: &str) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({"name": prefix, "hostname": "127.0.0.1", "prefix": prefix, "type": kind,
            "timeoutMs": 8000, "targetLatencyMs": 2000, "priority": 0, "service": service,
            "maxAttempts": 2, "resumable": prefix == short, "gapTargetMs": 1000})
    };
    json!({
        "version": version,
        "routes": [route("/once/", "non_idempotent", "plain"),
            route("/again/", "idempotent", "plain"),
            route("/long/", "streaming", "model"), route(short, "streaming", "model")],
        "services": [
            {"name": "plain", "healthPath": HEALTH_PATH, "maxConnections": 50},
            {"name": "model", "healthPath": HEALTH_PATH, "maxConnections": 50, "engine": {
                "slots": 8, "kvCapacity": 100_000, "kvBytes": 18_432, "linkMbps": 370_000.0,
                "kvTtlS": 5.0, "switchS": 0.1}}],
        "limits": {"maxBodyBytes": 4096},
    })
}

/// Headers of a long prompt.
pub const LONG_PROMPT: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "17000,20"),
    ("x-chiveway-prompt-prefix", "aa:13000,bb:4000"),
];
/// Headers of a short prompt.
pub const SHORT_PROMPT: [(&str, &str); 2] = [
    ("x-chiveway-token-usage", "300,8"),
    ("x-chiveway-prompt-prefix", "cc:50,dd:250"),
];
