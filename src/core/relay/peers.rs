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
use super::event::{BlockReport, Changes, LoadReport, PrefixBlock, RelayEffect};
use super::gossip::{Aggregator, PendingUpdates};
use super::instance::short_hash;
use super::{RelayJob, RelayTimer, gossip, job, limit, note, prefix_cache, wake};
use crate::store::{Compare, Op, Txn};

/// Time to live of a registration's lease.
const LEASE_TTL: Duration = Duration::from_secs(12);
/// Interval between two renewals of the lease, and between attempts to get one.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Pause after a failed attempt to register; doubled with each further one, up to the interval of renewals.
const REGISTER_BACKOFF: Duration = Duration::from_millis(400);
/// Time for which a call for the lease counts as in flight.
const LEASE_REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Key in the store of the secret that all hosts share.
const SECRET_STORE_KEY: &str = "secret";
/// Prefix of the keys of host entries.
const HOSTS_PREFIX: &str = "hosts/";

/// Another host.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: Box<str>,
    /// Short hash of its name.
    pub name_hash: u32,
    /// Failure domain that it belongs to.
    pub domain: Box<str>,
    /// Address that it listens on for gossip.
    pub addr: SocketAddr,
    /// When its last message arrived; `None` before the first and after a time-out.
    pub last_seen: Option<Time>,
    /// Incarnation of its last message.
    pub(super) incarnation: u64,
    /// Sequence number of its last message.
    pub(super) sequence: u64,
    /// Whether it sends reports to this host, which answers with totals.
    pub(super) is_reporter: bool,
    /// Whether it reaches no backend server or has closed, by its last message.
    pub(super) is_cut_off: bool,
    /// Requests forwarded to it that have not ended.
    pub(super) forwards: u32,
    /// When it last passed on an answer to a request that was forwarded to it.
    pub(super) served_at: Option<Time>,
    /// No request is forwarded to it before this time.
    pub(super) avoid_until: Time,
}

/// All other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// Hosts, and one aggregate entry per failure domain that sums were received for.
    pub arena: SlotMap<HostKey, Peer>,
    /// Hosts by name.
    pub(super) names: BTreeMap<Box<str>, HostKey>,
    /// Aggregate entries by failure domain; that of this host's own domain holds its aggregator's totals.
    pub(super) domains: BTreeMap<Box<str>, HostKey>,
    /// The host that aggregates for this one, in a large failure domain.
    pub(super) aggregator: Aggregator,
    /// Reports sent to it that totals may include, by sequence number.
    pub(super) sent_reports: VecDeque<(u64, Vec<LoadReport>)>,
    /// Number of hosts that report to it.
    pub(super) reporter_count: usize,
    /// Short hashes of the failure domains whose load its totals include.
    pub(super) included_domains: Vec<u32>,
    /// When totals were last sent to the hosts that report to this one.
    pub(super) totals_sent: Option<Time>,
    /// Updates from this host and the hosts that report to it, for the aggregator.
    pub(super) upstream: PendingUpdates,
    /// Updates from all hosts, for the hosts that report to this one.
    pub(super) downstream: PendingUpdates,
    /// Updates from this failure domain, for the other domains.
    pub(super) cross_domain: PendingUpdates,
    /// Hosts without an entry in the last full read of the store.
    unlisted: BTreeSet<Box<str>>,
    /// Hosts whose entries were removed, but whose messages still arrive.
    lapsed: BTreeSet<Box<str>>,
    /// The hosts' secret, once it is known.
    pub(super) secret: Option<[u8; 32]>,
    /// Lease of the registration; 0 while there is none.
    pub(super) lease: i64,
    /// Whether the entry was written with this lease.
    pub(super) registered: bool,
    /// Consecutive failed attempts to register.
    register_failures: u32,
    /// When the lease was last requested, while there is no answer.
    pub(super) lease_requested: Option<Time>,
    /// Sequence number of the last message sent.
    pub(super) sequence: u64,
    /// Prefix blocks sent to engines and not reported yet.
    pub(super) pending_blocks: Vec<BlockReport>,
    /// Loads last sent.
    pub(super) last_loads: Vec<LoadReport>,
    /// When the prefix blocks of engines were last swept.
    pub(super) last_sweep: Option<Time>,
    /// When this host last sent its load.
    pub(super) last_publish: Option<Time>,
}

impl Peers {
    /// Returns the number of known hosts, this one included.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.names.len() + 1
    }

    /// Returns the short hashes of the other hosts' names.
    pub(super) fn name_hashes(&self) -> impl Iterator<Item = u32> {
        self.names.values().map(|key| self.arena[*key].name_hash)
    }

    /// Records the prefix blocks of a request that was sent to an engine, to report them to other hosts.
    pub fn record_sent_blocks(&mut self, blocks: Option<&Vec<PrefixBlock>>, instance: u32) {
        let shared = blocks.map_or(&[][..], |blocks| prefix_cache::shared_blocks(blocks));
        for block in shared
            .iter()
            .filter(|block| block.tokens >= prefix_cache::MIN_BLOCK_TOKENS)
        {
            self.pending_blocks.push(BlockReport {
                block: block.id,
                tokens: u32::try_from(block.tokens).unwrap_or(u32::MAX),
                instance,
            });
        }
    }
}

/// Registers this host and starts gossip.
pub fn start(core: &mut Core, out: &mut Effects) {
    register(core, out);
    wake(core, gossip::GOSSIP_INTERVAL, RelayTimer::Publish, out);
}

/// Requests or renews the lease of the registration, and schedules the next renewal.
pub fn register(core: &mut Core, out: &mut Effects) {
    request_lease(core, out);
    if !core.stop.is_stopping() {
        wake(core, LEASE_RENEW_INTERVAL, RelayTimer::Register, out);
    }
}

/// Drops the lease of the registration, which belonged to an era of the store that ended.
pub fn drop_lease(core: &mut Core) {
    let peers = &mut core.relay.peers;
    peers.lease = 0;
    peers.registered = false;
    peers.lease_requested = None;
}

/// Registers this host in a new era of the store, unless it is registered or a request is open.
pub fn register_again(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    if !peers.registered && peers.lease_requested.is_none() {
        request_lease(core, out);
    }
}

/// Requests or renews the lease of the registration, unless this host is stopping.
fn request_lease(core: &mut Core, out: &mut Effects) {
    if core.stop.is_stopping() {
        return;
    }
    let job = job(core, RelayJob::Lease);
    let peers = &mut core.relay.peers;
    peers.lease_requested = Some(core.now);
    out.push(match peers.lease {
        0 => Effect::GrantLease {
            job,
            ttl: LEASE_TTL,
        },
        lease => Effect::RenewLease { job, lease },
    });
}

/// Registers again when the store has no entry of this host: it expired, or the call for it was lost.
///
/// Other hosts stop sending to a host without an entry, which then sends requests to engines that are
/// full. The next regular renewal would restore the entry only seconds later.
fn restore_registration(core: &mut Core, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    peers.registered = false;
    let in_flight = peers
        .lease_requested
        .is_some_and(|at| core.now.since(at) < LEASE_REPLY_TIMEOUT);
    if !in_flight {
        request_lease(core, out);
    }
}

/// Handles an answer to a call for the registration.
pub fn reply(core: &mut Core, job: RelayJob, reply: &StoreReply, out: &mut Effects) {
    if job == RelayJob::Lease {
        core.relay.peers.lease_requested = None;
    }
    match reply.result {
        StoreResult::Lease(lease) => {
            let peers = &mut core.relay.peers;
            if lease != peers.lease {
                peers.registered = false;
            }
            peers.lease = lease;
            if lease == 0 {
                // The lease expired.
                request_lease(core, out);
            } else if !peers.registered {
                write_entry(core, lease, out);
            }
        }
        StoreResult::Txn(_) if job == RelayJob::Register => {
            core.relay.peers.registered = true;
            core.relay.peers.register_failures = 0;
        }
        StoreResult::Refused if !core.relay.peers.registered => {
            let failures = &mut core.relay.peers.register_failures;
            let pause = REGISTER_BACKOFF.saturating_mul(1 << (*failures).min(8));
            *failures += 1;
            let pause = pause.min(LEASE_RENEW_INTERVAL);
            let pause = pause.mul_f64(core.rng.random_range(0.5..1.5));
            wake(core, pause, RelayTimer::RegisterAgain, out);
        }
        // Retried with the next renewal.
        _ => {}
    }
}

/// Writes the entry of this host.
fn write_entry(core: &mut Core, lease: i64, out: &mut Effects) {
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
                key: format!("{HOSTS_PREFIX}{}", host.name).into(),
                value: value.to_string().into(),
                lease,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Applies changes of host entries and of the shared secret.
pub fn apply_changes(core: &mut Core, changes: &Changes, out: &mut Effects) {
    let secret = changes
        .keys
        .iter()
        .find(|change| &*change.key == SECRET_STORE_KEY);
    let secret = secret.and_then(|change| change.value.as_deref()?.try_into().ok());
    if let Some(secret) = secret {
        core.relay.peers.secret = Some(secret);
        out.push(Effect::Relay(RelayEffect::Secret(secret)));
    } else if changes.is_snapshot {
        ensure_secret(core, out);
    }
    let own = core.settings.host.name.clone();
    for change in &changes.keys {
        let Some(name) = change.key.strip_prefix(HOSTS_PREFIX) else {
            continue;
        };
        if *name == *own {
            continue;
        }
        match change.value.as_deref().and_then(parse_entry) {
            Some((addr, domain)) => add_host(core, name, addr, domain, out),
            None => entry_removed(core, name, out),
        }
    }
    // Whether the changes write (`true`) or remove (`false`) a host's entry, if they name it.
    let listed = |name: &str| {
        let mut keys = changes.keys.iter();
        keys.rfind(|change| change.key.strip_prefix(HOSTS_PREFIX) == Some(name))
            .map(|change| change.value.is_some())
    };
    let own_listed = listed(&own);
    if own_listed == Some(false) || (changes.is_snapshot && own_listed.is_none()) {
        restore_registration(core, out);
    }
    if changes.is_snapshot {
        let has_entry = |name: &str| listed(name) == Some(true);
        let names = core.relay.peers.names.keys();
        let unlisted = names.filter(|name| !has_entry(name)).cloned();
        core.relay.peers.unlisted = unlisted.collect();
    }
}

/// Handles the hosts without an entry in the last full read as if their entries were removed. Called once the store
/// has been up for as long as hosts take to register.
pub fn drop_unlisted(core: &mut Core, out: &mut Effects) {
    for name in std::mem::take(&mut core.relay.peers.unlisted) {
        entry_removed(core, &name, out);
    }
}

/// Writes the secret that all hosts share, unless the store has one.
///
/// Without it, anyone who reaches a host's port could report load that does not exist, so that the host
/// refuses its callers. The store is the one place that only hosts of the system can write to.
fn ensure_secret(core: &mut Core, out: &mut Effects) {
    let existing = core.relay.peers.secret;
    if existing.is_some() && !gossip::represents_domain(core) {
        return;
    }
    // Hosts that already share a secret keep it: a store restored from an older copy may have lost it.
    let secret: [u8; 32] = existing.unwrap_or_else(|| core.rng.random());
    out.push(Effect::Txn {
        job: job(core, RelayJob::Secret),
        txn: Txn {
            compare: vec![Compare::Absent {
                key: SECRET_STORE_KEY.into(),
            }],
            then: vec![Op::Put {
                key: SECRET_STORE_KEY.into(),
                value: secret.to_vec().into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
    });
}

/// Parses a host's entry: its address and failure domain.
fn parse_entry(value: &[u8]) -> Option<(SocketAddr, Box<str>)> {
    let value: Value = serde_json::from_slice(value).ok()?;
    let addr = value["addr"].as_str()?.parse().ok()?;
    Some((addr, value["domain"].as_str()?.into()))
}

pub(super) fn new_peer(name: &str, domain: Box<str>, addr: SocketAddr) -> Peer {
    Peer {
        name: name.into(),
        name_hash: short_hash(name),
        domain,
        addr,
        last_seen: None,
        incarnation: 0,
        sequence: 0,
        is_reporter: false,
        is_cut_off: false,
        forwards: 0,
        served_at: None,
        avoid_until: Time::default(),
    }
}

/// Adds a host, or updates its address and failure domain.
fn add_host(core: &mut Core, name: &str, addr: SocketAddr, domain: Box<str>, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    peers.unlisted.remove(name);
    peers.lapsed.remove(name);
    if let Some(key) = peers.names.get(name) {
        peers.arena[*key].addr = addr;
        peers.arena[*key].domain = domain;
        return;
    }
    let key = peers.arena.insert(new_peer(name, domain, addr));
    peers.names.insert(name.into(), key);
    limit::update_shares(core);
    note(
        out,
        log::Level::Info,
        "host.joined",
        vec![("host", name.into()), ("addr", addr.to_string().into())],
    );
}

/// Returns this host's address, while the store does not name it: a host that starts anew at another address may not
/// reach the store.
pub(super) fn unregistered_addr(core: &Core) -> Option<SocketAddr> {
    (!core.relay.peers.registered).then_some(core.settings.host.peers)
}

/// Handles a host's own statement of its address, which goes before that in the store.
pub(super) fn moved(core: &mut Core, host: HostKey, addr: SocketAddr, out: &mut Effects) {
    let peer = &mut core.relay.peers.arena[host];
    if std::mem::replace(&mut peer.addr, addr) == addr {
        return;
    }
    // What failed was at the former address.
    peer.avoid_until = Time::default();
    let name = peer.name.clone();
    note(
        out,
        log::Level::Info,
        "host.moved",
        vec![("host", name), ("addr", addr.to_string().into())],
    );
}

/// Handles the removal of a host's entry. A host whose messages still arrive is kept: its registration may have
/// expired while it cannot reach the store, and then it receives changes only through gossip.
fn entry_removed(core: &mut Core, name: &str, out: &mut Effects) {
    let peers = &mut core.relay.peers;
    let key = peers.names.get(name);
    if key.is_some_and(|key| peers.arena[*key].last_seen.is_some()) {
        peers.lapsed.insert(name.into());
    } else {
        remove_host(core, name, out);
    }
}

/// Removes hosts without an entry whose messages no longer arrive.
pub(super) fn drop_unresponsive(core: &mut Core, out: &mut Effects) {
    let peers = &core.relay.peers;
    let is_unresponsive = |name: &str| {
        let key = peers.names.get(name);
        key.is_none_or(|key| peers.arena[*key].last_seen.is_none())
    };
    let unresponsive: Vec<Box<str>> = peers
        .lapsed
        .iter()
        .filter(|name| is_unresponsive(name))
        .cloned()
        .collect();
    for name in unresponsive {
        remove_host(core, &name, out);
    }
}

fn remove_host(core: &mut Core, name: &str, out: &mut Effects) {
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
