//! What callers and servers saw in a play, put together to be checked.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::check::{Order, Record, Run};
use crate::world::{Server, World};

impl World {
    /// Puts together what callers and servers saw.
    pub fn record(&self, unrecovered: Vec<String>) -> Record {
        let seen = self.seen.lock().expect("no panic").clone();
        let knows: BTreeMap<String, u64> = seen
            .iter()
            .map(|(seen, knows)| (seen.id.clone(), *knows))
            .collect();
        let mut record = Record {
            seen: seen.into_iter().map(|(seen, _)| seen).collect(),
            versions: self.known.lock().expect("no panic").clone(),
            unrecovered,
            ..Record::default()
        };
        for server in &*self.servers.lock().expect("no panic") {
            for (path, head, body) in server.engine.all() {
                take(&mut record, server, &path, &head, &body, &knows);
            }
        }
        record
    }
}

/// Takes one request that a server got into the record.
fn take(
    record: &mut Record,
    server: &Server,
    path: &str,
    head: &str,
    body: &[u8],
    knows: &BTreeMap<String, u64>,
) {
    let name = server.engine.id.clone();
    if path == "/v1/order" {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        record.orders.push(Order {
            engine: name,
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            fence: order["fencingToken"].as_u64().unwrap_or(0),
        });
        return;
    }
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-chiveway-attempt-id: "));
    let id = id.unwrap_or_default().to_owned();
    let prefill = head.contains("x-chiveway-serving-stage: prefill");
    if prefill || id.starts_with("probe-") || path.starts_with("/v1/") {
        return;
    }
    let version = knows.get(&id).copied().unwrap_or(0);
    if server.left.is_some_and(|left| version >= left) {
        record
            .after_leaving
            .push(format!("{id} at {name}, known {version}"));
    }
    record.runs.push(Run { server: name, id });
}
