//! What hosts tell each other: unfinished work, prompt parts, versions, deaths.
//!
//! Each host sees only its part of the requests. Without the others' word every host takes the
//! same engine for idle, and reads the same prompt part at another engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use slotmap::SlotMap;

use super::super::effect::Effect;
use super::super::event::{Job, StoreReply, StoreResult};
use super::super::key::HostKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Changes, Demand, LoadWord, PartWord, PromptPart, RelayEffect, Word};
use super::{RelayJob, RelayTimer, load, note, wake};
use crate::store::{Op, Txn};

/// Time between two words to the other hosts.
///
/// An engine prefills some 3,000 tokens in that time: later word means that hosts pile requests
/// on one engine, earlier word costs bytes between failure domains.
const EVERY: Duration = Duration::from_millis(60);
/// Words in a row that are left out while nothing changes.
const QUIET: u32 = 8;
/// Time after which a host that said nothing counts for nothing.
const UNHEARD: Duration = Duration::from_secs(2);
/// Life of the lease of a registration.
const LIFE: Duration = Duration::from_secs(12);
/// Time between two renewals, and between tries.
const RENEW: Duration = Duration::from_secs(4);
/// Start of the keys that name hosts.
const FOLDER: &str = "hosts/";

/// Another host.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Where it listens for other hosts.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard: Option<Time>,
    incarnation: u64,
    number: u64,
    /// Work that arrives there.
    pub demand: Demand,
}

/// All other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// Hosts.
    pub arena: SlotMap<HostKey, Peer>,
    names: BTreeMap<Box<str>, HostKey>,
    lease: i64,
    registered: bool,
    number: u64,
    parts: Vec<PartWord>,
    last: Vec<LoadWord>,
    quiet: u32,
}

impl Peers {
    /// Returns how many hosts there may be, this one included.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.arena.len() + 1
    }

    /// Notes which prompt parts went to an engine.
    pub fn sent(&mut self, parts: Option<&Vec<PromptPart>>, instance: u32) {
        let shared = parts.and_then(|parts| parts.split_last());
        let Some((_, shared)) = shared else { return };
        for part in shared.iter().filter(|part| part.tokens >= load::PART_LEAST) {
            self.parts.push(PartWord {
                part: part.id,
                tokens: u32::try_from(part.tokens).unwrap_or(u32::MAX),
                instance,
            });
        }
    }
}

/// Registers this host and begins to tell others of its work.
pub fn start(core: &mut Core, out: &mut Effects) {
    register(core, out);
    wake(core, EVERY, RelayTimer::Tell, out);
}

/// Gets the registration's lease or renews it, and does so again in time.
pub fn register(core: &mut Core, out: &mut Effects) {
    let job = Job::Relay(RelayJob::Lease);
    if core.stop.begun() {
        return;
    }
    let lease = core.relay.peers.lease;
    out.push(if lease == 0 {
        Effect::Grant { job, life: LIFE }
    } else {
        Effect::Renew { job, lease }
    });
    wake(core, RENEW, RelayTimer::Register, out);
}

/// Goes on with the registration.
pub fn reply(core: &mut Core, job: RelayJob, reply: &StoreReply, out: &mut Effects) {
    match reply.result {
        StoreResult::Lease(lease) => {
            let peers = &mut core.relay.peers;
            if lease != peers.lease {
                peers.registered = false;
            }
            peers.lease = lease;
            if lease != 0 && !peers.registered {
                write(core, lease, out);
            }
        }
        StoreResult::Txn(_) if job == RelayJob::Register => core.relay.peers.registered = true,
        // Tried again with the next renewal.
        _ => {}
    }
}

fn write(core: &mut Core, lease: i64, out: &mut Effects) {
    let host = &core.settings.host;
    let value = json!({
        "addr": host.peers.to_string(),
        "domain": &*host.domain,
    });
    out.push(Effect::Txn {
        job: Job::Relay(RelayJob::Register),
        txn: Txn {
            compare: Vec::new(),
            then: vec![Op::Put {
                key: format!("{FOLDER}{}", host.name).into(),
                value: value.to_string().into(),
                lease,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Takes in which hosts there are.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    let own = core.settings.host.name.clone();
    for change in &changes.keys {
        let Some(name) = change.key.strip_prefix(FOLDER) else {
            continue;
        };
        if *name == *own {
            // It lapsed while the store could not be reached, or before a restart.
            core.relay.peers.registered &= change.value.is_some();
            continue;
        }
        match change.value.as_deref().and_then(address) {
            Some(addr) => joined(core, name, addr, out),
            None => left(core, name, out),
        }
    }
    if changes.whole {
        let listed = |name: &str| {
            changes.keys.iter().any(|change| {
                change.key.strip_prefix(FOLDER) == Some(name) && change.value.is_some()
            })
        };
        let gone: Vec<Box<str>> = core
            .relay
            .peers
            .names
            .keys()
            .filter(|name| !listed(name))
            .cloned()
            .collect();
        for name in gone {
            left(core, &name, out);
        }
    }
}

fn address(value: &[u8]) -> Option<SocketAddr> {
    let value: Value = serde_json::from_slice(value).ok()?;
    value["addr"].as_str()?.parse().ok()
}

fn joined(core: &mut Core, name: &str, addr: SocketAddr, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    if let Some(key) = peers.names.get(name) {
        peers.arena[*key].addr = addr;
        return;
    }
    let key = peers.arena.insert(Peer {
        name: name.into(),
        addr,
        heard: None,
        incarnation: 0,
        number: 0,
        demand: Demand::default(),
    });
    peers.names.insert(name.into(), key);
    note(
        out,
        log::Level::Info,
        "host.joined",
        vec![("host", name.into()), ("addr", addr.to_string().into())],
    );
}

fn left(core: &mut Core, name: &str, out: &mut Effects) {
    if let Some(key) = core.relay.peers.names.remove(name) {
        core.relay.peers.arena.remove(key);
        core.relay.instances.told(key, &[]);
        note(
            out,
            log::Level::Info,
            "host.left",
            vec![("host", name.into())],
        );
    }
}

/// Tells the other hosts of this one's work.
pub fn tell(core: &mut Core, out: &mut Effects) {
    wake(core, EVERY, RelayTimer::Tell, out);
    expire(core);
    let memory = core.relay.catalog.as_ref().and_then(|catalog| {
        let engines = catalog
            .services
            .values()
            .filter_map(|service| service.engine.as_ref());
        engines.map(|engine| engine.memory).max()
    });
    for instance in core.relay.instances.arena.values_mut() {
        load::forget(instance, memory.unwrap_or(0));
    }
    core.relay.instances.sweep(core.now);
    let loads = core.relay.instances.arena.values();
    let loads: Vec<LoadWord> = loads
        .filter(|instance| instance.own.calls > 0)
        .map(|instance| LoadWord {
            instance: instance.short,
            calls: instance.own.calls,
            urgent: u32::try_from(instance.own.urgent).unwrap_or(u32::MAX),
            tokens: u32::try_from(instance.own.tokens).unwrap_or(u32::MAX),
        })
        .collect();
    let deaths = core.relay.killers.take_untold();
    let peers = &mut core.relay.peers;
    let same = loads == peers.last && peers.parts.is_empty() && deaths.is_empty();
    if same && peers.quiet < QUIET {
        peers.quiet += 1;
        return;
    }
    peers.quiet = 0;
    peers.number += 1;
    peers.last.clone_from(&loads);
    let word = Word {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
        number: peers.number,
        version: core
            .relay
            .catalog
            .as_ref()
            .map_or(0, |catalog| catalog.version),
        loads,
        parts: std::mem::take(&mut peers.parts),
        deaths,
        leaving: Vec::new(),
        demand: Demand::default(),
    };
    let to: Vec<SocketAddr> = peers.arena.values().map(|peer| peer.addr).collect();
    if !to.is_empty() {
        out.push(Effect::Relay(RelayEffect::Tell {
            to,
            word: Box::new(word),
        }));
    }
}

/// Forgets the work of hosts that fell silent.
fn expire(core: &mut Core) {
    let silent: Vec<HostKey> = core
        .relay
        .peers
        .arena
        .iter()
        .filter(|(_, peer)| peer.heard.is_some_and(|at| core.now.since(at) > UNHEARD))
        .map(|(key, _)| key)
        .collect();
    for key in silent {
        core.relay.peers.arena[key].heard = None;
        core.relay.instances.told(key, &[]);
    }
}

/// Takes in another host's word.
pub fn told(core: &mut Core, word: Word, _out: &mut Effects) {
    let now = core.now;
    let Some(key) = core.relay.peers.names.get(&word.host).copied() else {
        return;
    };
    let peer = &mut core.relay.peers.arena[key];
    // Datagrams overtake each other, and a process that ended may still be heard.
    if (word.incarnation, word.number) <= (peer.incarnation, peer.number) {
        return;
    }
    peer.incarnation = word.incarnation;
    peer.number = word.number;
    peer.heard = Some(now);
    peer.demand = word.demand;
    core.relay.instances.told(key, &word.loads);
    for part in &word.parts {
        if let Some(engine) = core.relay.instances.by_short(part.instance) {
            let instance = &mut core.relay.instances.arena[engine];
            instance.parts.insert(part.part, (now, part.tokens.into()));
        }
    }
    for death in word.deaths {
        core.relay.killers.died(death, now);
    }
}
