//! Documents for operators: the record of a request and the state of the host.

use serde_json::{Value, json};

use crate::core::Core;
use crate::core::event::Health;
use crate::core::trace::Record;
use crate::core::{member, share};
use crate::error::Ran;

/// Returns the record of a request as a document.
#[must_use]
pub fn record(record: &Record) -> Value {
    let attempts: Vec<Value> = record
        .attempts
        .iter()
        .map(|attempt| {
            json!({
                "backend": &*attempt.backend,
                "began_ms": attempt.began,
                "ended_ms": attempt.ended,
                "end": &*attempt.end,
                "tokens": attempt.tokens,
                "ran": attempt.ran.map(Ran::name),
            })
        })
        .collect();
    let notes: Vec<Value> = record
        .notes
        .iter()
        .map(|note| json!({"at_ms": note.at, "text": &*note.text}))
        .collect();
    json!({
        "id": &*record.id,
        "customer": &*record.customer,
        "plan": &*record.plan,
        "target": &*record.target,
        "host": &*record.host,
        "arrived_ms": record.arrived,
        "lasted_ms": record.lasted,
        "outcome": if record.outcome.is_empty() { "running" } else { &*record.outcome },
        "ran": record.ran.map(Ran::name),
        "prompt_tokens": record.prompt,
        "output_tokens": record.output,
        "idempotency_key": &*record.key,
        "attempts": attempts,
        "notes": notes,
    })
}

/// Returns whether the load balancer may send callers to this host, and if not, the reason.
pub fn ready(core: &Core) -> Result<(), &'static str> {
    if core.stop.is_stopping() {
        Err("stopping")
    } else if core.config.revision() == 0 {
        Err("no lists in force yet")
    } else if !core.members.registered {
        Err("not registered among the hosts yet")
    } else if !share::pledges_settled(core) {
        Err("not counted among the hosts that share yet")
    } else if member::cut_off(core) {
        Err("cut off from the key-value service and the peers")
    } else {
        Ok(())
    }
}

/// Returns the state of the host as a document.
#[must_use]
pub fn status(core: &Core) -> Value {
    let members = &core.members;
    let mut hosts = vec![json!({
        "name": &*members.name,
        "domain": &*core.settings.host.domain,
        "revision": core.config.revision(),
        "heard_ms": 0,
        "stopping": core.stop.is_stopping(),
    })];
    for key in members.peers() {
        let peer = &members.arena[key];
        hosts.push(json!({
            "name": &*peer.name,
            "domain": &*peer.domain,
            "revision": peer.heartbeat.revision,
            "heard_ms": peer.last_seen.map(|at| core.now.since(at).as_millis()),
            "stopping": peer.heartbeat.stopping,
        }));
    }
    let backends: Vec<Value> = core
        .fleet
        .arena
        .values()
        .map(|backend| {
            json!({
                "name": &*backend.name,
                "pool": &*backend.pool,
                "domain": &*backend.domain,
                "addr": backend.addr.to_string(),
                "role": format!("{:?}", backend.role).to_lowercase(),
                "listed": format!("{:?}", backend.listed).to_lowercase(),
                "routed": format!("{:?}", backend.routed).to_lowercase(),
                "streams": backend.streams,
                "fails": backend.failures,
            })
        })
        .collect();
    let (own, copies) = core.traces.count();
    json!({
        "host": &*members.name,
        "ready": ready(core).is_ok(),
        "why": ready(core).err(),
        "revision": core.config.revision(),
        "store": if members.store == Health::Up { "up" } else { "down" },
        "requests": core.requests.arena.len(),
        "records": {"own": own, "copies": copies},
        "hosts": hosts,
        "backends": backends,
    })
}

/// Returns on which hosts a revision is in force, by the last heartbeats received.
#[must_use]
pub fn revision_in_force(core: &Core, revision: u64) -> Value {
    let members = &core.members;
    let mut hosts = vec![json!({"name": &*members.name, "revision": core.config.revision()})];
    let mut missing = Vec::new();
    if core.config.revision() < revision {
        missing.push(members.name.clone());
    }
    for key in members.peers() {
        let peer = &members.arena[key];
        hosts.push(json!({"name": &*peer.name, "revision": peer.heartbeat.revision}));
        if peer.heartbeat.revision < revision {
            missing.push(peer.name.clone());
        }
    }
    json!({"revision": revision, "hosts": hosts, "missing": missing})
}
