//! The hosts of the deployment: their registration in the store, and the secret that they share.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};
use slotmap::SlotMap;

use super::super::effect::Effect;
use super::super::event::{StoreReply, StoreResult};
use super::super::key::HostKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{Changes, LoadReport, PrefixReport, PromptPart, RelayEffect};
use super::gossip::{Aggregator, PendingUpdates};
use super::instance::short_hash;
use super::{RelayJob, RelayTimer, gossip, job, limit, note, parts, wake};
use crate::store::{Compare, Op, Txn};

/// Life of the lease of a registration.
const LIFE: Duration = Duration::from_secs(12);
/// Time between two renewals, and between tries.
const RENEW: Duration = Duration::from_secs(4);
/// Time within which a call for the registration is expected to be answered.
const ANSWER: Duration = Duration::from_millis(400);
/// Key of the secret that all hosts share.
const SECRET: &str = "secret";
/// Start of the keys that name hosts.
const FOLDER: &str = "hosts/";

/// Another host.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Short hash of its name.
    pub short: u32,
    /// Failure domain it stands in.
    pub domain: Box<str>,
    /// Where it listens for other hosts.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard: Option<Time>,
    pub(super) incarnation: u64,
    pub(super) number: u64,
    /// Whether it reports to this host, which answers with totals.
    pub(super) reports: bool,
}

/// All other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// Hosts, and for each other failure domain one that stands for all of it.
    pub arena: SlotMap<HostKey, Peer>,
    pub(super) names: BTreeMap<Box<str>, HostKey>,
    /// Those that stand for a failure domain.
    pub(super) domains: BTreeMap<Box<str>, HostKey>,
    /// The host that sums up for this one, in a large failure domain.
    pub(super) aggregator: Aggregator,
    /// Reports to it that totals may include, by number.
    pub(super) reports: VecDeque<(u64, Vec<LoadReport>)>,
    /// Hosts that report to it.
    pub(super) reporting: usize,
    /// When the hosts that report here were last answered.
    pub(super) answered: Option<Time>,
    /// What was heard here and from hosts that report here, for the aggregator.
    pub(super) up: PendingUpdates,
    /// What was heard from anywhere, for the hosts that report here.
    pub(super) down: PendingUpdates,
    /// What was heard in this failure domain, for the others.
    pub(super) across: PendingUpdates,
    /// Hosts that were not found when every key was last read.
    unlisted: BTreeSet<Box<str>>,
    /// Hosts whose entries are gone and that are still heard.
    lapsed: BTreeSet<Box<str>>,
    /// The hosts' secret, once it is known.
    pub(super) secret: Option<[u8; 32]>,
    pub(super) lease: i64,
    pub(super) registered: bool,
    /// When a lease of the registration was asked for, while there is no answer.
    pub(super) asked: Option<Time>,
    pub(super) number: u64,
    pub(super) parts: Vec<PrefixReport>,
    pub(super) last: Vec<LoadReport>,
    /// When the prompt parts of engines were last looked at.
    pub(super) swept: Option<Time>,
    /// When the hosts of this failure domain were last told.
    pub(super) told: Option<Time>,
}

impl Peers {
    /// Returns how many hosts there may be, this one included.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.names.len() + 1
    }

    /// Returns the short hashes of the other hosts' names.
    pub(super) fn shorts(&self) -> impl Iterator<Item = u32> {
        self.names.values().map(|key| self.arena[*key].short)
    }

    /// Notes which prompt parts went to an engine.
    pub fn sent(&mut self, parts: Option<&Vec<PromptPart>>, instance: u32) {
        let shared = parts.map_or(&[][..], |parts| parts::shared(parts));
        for part in shared.iter().filter(|part| part.tokens >= parts::LEAST) {
            self.parts.push(PrefixReport {
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
    wake(core, gossip::GOSSIP_INTERVAL, RelayTimer::Publish, out);
}

/// Gets the registration's lease or renews it, and does so again in time.
pub fn register(core: &mut Core, out: &mut Effects) {
    ask(core, out);
    if !core.stop.begun() {
        wake(core, RENEW, RelayTimer::Register, out);
    }
}

/// Forgets the registration's lease, which went with an era of the store.
pub fn forget_lease(core: &mut Core) {
    let peers = &mut core.relay.peers;
    peers.lease = 0;
    peers.registered = false;
    peers.asked = None;
}

/// Registers this host in a new era of the store, unless it is registered by now.
pub fn register_again(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    if !peers.registered && peers.asked.is_none() {
        ask(core, out);
    }
}

/// Gets the registration's lease or renews it, unless this host is about to end.
fn ask(core: &mut Core, out: &mut Effects) {
    if core.stop.begun() {
        return;
    }
    let job = job(core, RelayJob::Lease);
    let peers = &mut core.relay.peers;
    peers.asked = Some(core.now);
    out.push(match peers.lease {
        0 => Effect::Grant { job, life: LIFE },
        lease => Effect::Renew { job, lease },
    });
}

/// Registers again where the store holds no entry of this host: it lapsed, or the call for it was lost.
///
/// The others take a host without an entry for gone and tell it nothing, so that it sends requests to
/// engines that are full. A renewal in its turn would notice only seconds later.
fn missed(core: &mut Core, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    peers.registered = false;
    let under_way = peers.asked.is_some_and(|at| core.now.since(at) < ANSWER);
    if !under_way {
        ask(core, out);
    }
}

/// Goes on with the registration.
pub fn reply(core: &mut Core, job: RelayJob, reply: &StoreReply, out: &mut Effects) {
    if job == RelayJob::Lease {
        core.relay.peers.asked = None;
    }
    match reply.result {
        StoreResult::Lease(lease) => {
            let peers = &mut core.relay.peers;
            if lease != peers.lease {
                peers.registered = false;
            }
            peers.lease = lease;
            if lease == 0 {
                // It ran out.
                ask(core, out);
            } else if !peers.registered {
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
        job: job(core, RelayJob::Register),
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

/// Takes in which hosts there are, and the secret that they share.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    let secret = changes.keys.iter().find(|change| &*change.key == SECRET);
    let secret = secret.and_then(|change| change.value.as_deref()?.try_into().ok());
    if let Some(secret) = secret {
        core.relay.peers.secret = Some(secret);
        out.push(Effect::Relay(RelayEffect::Secret(secret)));
    } else if changes.whole {
        make_secret(core, out);
    }
    let own = core.settings.host.name.clone();
    for change in &changes.keys {
        let Some(name) = change.key.strip_prefix(FOLDER) else {
            continue;
        };
        if *name == *own {
            continue;
        }
        match change.value.as_deref().and_then(address) {
            Some((addr, domain)) => joined(core, name, addr, domain, out),
            None => left(core, name, out),
        }
    }
    let told = |name: &str| {
        let mut keys = changes.keys.iter();
        keys.rfind(|change| change.key.strip_prefix(FOLDER) == Some(name))
            .map(|change| change.value.is_some())
    };
    let own = told(&own);
    if own == Some(false) || (changes.whole && own.is_none()) {
        missed(core, out);
    }
    if changes.whole {
        let listed = |name: &str| told(name) == Some(true);
        let names = core.relay.peers.names.keys();
        let unlisted = names.filter(|name| !listed(name)).cloned();
        core.relay.peers.unlisted = unlisted.collect();
    }
}

/// Takes hosts without an entry for gone; called once the store has been up for as long as hosts take to register.
pub fn drop_unlisted(core: &mut Core, out: &mut Effects) {
    for name in std::mem::take(&mut core.relay.peers.unlisted) {
        left(core, &name, out);
    }
}

/// Makes the secret that all hosts share, unless there is one.
///
/// Whoever reaches a host's port could otherwise tell it of work that does not exist, and have it
/// refuse its callers. The store is the one place that only hosts of the system can write to.
fn make_secret(core: &mut Core, out: &mut Effects) {
    let known = core.relay.peers.secret;
    if known.is_some() && !gossip::represents_domain(core) {
        return;
    }
    // Hosts that share one already keep it: a store that came back from an older copy may have lost it.
    let secret: [u8; 32] = known.unwrap_or_else(|| core.rng.random());
    out.push(Effect::Txn {
        job: job(core, RelayJob::Secret),
        txn: Txn {
            compare: vec![Compare::Absent { key: SECRET.into() }],
            then: vec![Op::Put {
                key: SECRET.into(),
                value: secret.to_vec().into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Reads where a host listens, and its failure domain.
fn address(value: &[u8]) -> Option<(SocketAddr, Box<str>)> {
    let value: Value = serde_json::from_slice(value).ok()?;
    let addr = value["addr"].as_str()?.parse().ok()?;
    Some((addr, value["domain"].as_str()?.into()))
}

pub(super) fn peer(name: &str, domain: Box<str>, addr: SocketAddr) -> Peer {
    Peer {
        name: name.into(),
        short: short_hash(name),
        domain,
        addr,
        heard: None,
        incarnation: 0,
        number: 0,
        reports: false,
    }
}

fn joined(core: &mut Core, name: &str, addr: SocketAddr, domain: Box<str>, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    peers.unlisted.remove(name);
    peers.lapsed.remove(name);
    if let Some(key) = peers.names.get(name) {
        peers.arena[*key].addr = addr;
        peers.arena[*key].domain = domain;
        return;
    }
    let key = peers.arena.insert(peer(name, domain, addr));
    peers.names.insert(name.into(), key);
    limit::update_shares(core);
    note(
        out,
        log::Level::Info,
        "host.joined",
        vec![("host", name.into()), ("addr", addr.to_string().into())],
    );
}

/// Takes a host without an entry for gone, unless it is heard: its registration may have run out while it is cut off
/// from the store, and it learns of changes by the others alone.
fn left(core: &mut Core, name: &str, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    let key = peers.names.get(name);
    if key.is_some_and(|key| peers.arena[*key].heard.is_some()) {
        peers.lapsed.insert(name.into());
    } else {
        remove(core, name, out);
    }
}

/// Takes hosts for gone that have no entry and are no longer heard.
pub(super) fn drop_silent(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    let silent = |name: &str| {
        let key = peers.names.get(name);
        key.is_none_or(|key| peers.arena[*key].heard.is_none())
    };
    let silent: Vec<Box<str>> = peers
        .lapsed
        .iter()
        .filter(|name| silent(name))
        .cloned()
        .collect();
    for name in silent {
        remove(core, &name, out);
    }
}

fn remove(core: &mut Core, name: &str, out: &mut Effects) {
    core.relay.peers.lapsed.remove(name);
    if let Some(key) = core.relay.peers.names.remove(name) {
        core.relay.instances.set_reported_work(key, &[]);
        core.relay.peers.arena.remove(key);
        limit::update_shares(core);
        note(
            out,
            log::Level::Info,
            "host.left",
            vec![("host", name.into())],
        );
    }
}
