//! What hosts tell each other: unfinished work, prompt parts, deaths.
//!
//! Each host sees only its part of the requests. Without the others' word every host takes the
//! same engine for idle, and reads the same prompt part at another engine.
//!
//! A host tells the others of its failure domain. The first of them by name sums up what it hears
//! and tells the first host of each other domain, which passes it on in its own: bytes between
//! domains grow with the domains, not with the square of the hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::super::effect::Effect;
use super::super::key::HostKey;
use super::super::{Core, Effects};
use super::event::{DeathWord, LoadWord, PartWord, RelayEffect, Word};
use super::instance::Work;
use super::peers::{Peer, peer};
use super::{RelayTimer, load, parts, span, view, wake};

/// Time between two words to the other hosts.
///
/// Late word means that hosts pile requests on one engine; earlier word costs processor time and
/// bytes between domains.
pub const EVERY: Duration = Duration::from_millis(18);
/// The same for each host of the failure domain: a host must hear all of them.
const EVERY_HOST: Duration = Duration::from_micros(1500);
/// Time between two looks at the prompt parts that engines hold: all of some ten thousand are
/// looked at, and those that are dropped were last used seconds ago.
const SWEEP: Duration = Duration::from_millis(250);
/// Longest time between two words while nothing changes; less than half of [`SPEAKS`].
const QUIET: Duration = Duration::from_millis(500);
/// Time after which a host that said nothing counts for nothing.
const UNHEARD: Duration = Duration::from_secs(2);
/// Time without a word after which another host speaks for a failure domain: two quiet words.
const SPEAKS: Duration = Duration::from_millis(1200);

/// Tells the other hosts of this one's work.
pub fn tell(core: &mut Core, out: &mut Effects) {
    let hosts = u32::try_from(near(core).len()).unwrap_or(u32::MAX);
    let every = EVERY_HOST.saturating_mul(hosts).max(EVERY);
    wake(core, every, RelayTimer::Tell, out);
    expire(core);
    for instance in core.relay.instances.arena.values_mut() {
        instance.age(core.now);
    }
    sweep(core);
    core.relay.instances.sweep(core.now);
    let loads = core.relay.instances.arena.values();
    let loads: Vec<LoadWord> = loads
        .filter(|instance| instance.own != Work::default())
        .map(|instance| load_word(instance.short, instance.own))
        .collect();
    let deaths = core.relay.killers.take_untold();
    let peers = &mut core.relay.peers;
    let quiet = !core.relay.view.probes.has_news();
    let same = quiet && loads == peers.last && peers.parts.is_empty() && deaths.is_empty();
    let due = !same || peers.told.is_none_or(|at| core.now.since(at) >= QUIET);
    if due {
        peers.told = Some(core.now);
        peers.last.clone_from(&loads);
        let parts = std::mem::take(&mut peers.parts);
        peers.hear(&parts, &deaths);
        let near = near(core);
        let word = word(core, None, loads, parts, deaths);
        out.extend(tell_them(near, word));
    }
    if core.relay.peers.news && speaks(core) {
        tell_domains(core, out);
    }
}

/// Forgets the prompt parts that engines no longer hold, every now and then.
fn sweep(core: &mut Core) {
    let peers = &mut core.relay.peers;
    if peers.swept.is_some_and(|at| core.now.since(at) < SWEEP) {
        return;
    }
    peers.swept = Some(core.now);
    let memory = core.relay.catalog.as_ref().and_then(|catalog| {
        let engines = catalog
            .services
            .values()
            .filter_map(|service| service.engine.as_ref());
        engines.map(|engine| engine.memory).max()
    });
    for instance in core.relay.instances.arena.values_mut() {
        parts::forget(instance, memory.unwrap_or(0), core.now);
    }
}

fn tell_them(to: Vec<SocketAddr>, word: Word) -> Option<Effect> {
    let word = Box::new(word);
    (!to.is_empty()).then(|| Effect::Relay(RelayEffect::Tell { to, word }))
}

fn word(
    core: &mut Core,
    domain: Option<Box<str>>,
    loads: Vec<LoadWord>,
    parts: Vec<PartWord>,
    deaths: Vec<DeathWord>,
) -> Word {
    core.relay.peers.number += 1;
    // Each failure domain probes the store for itself.
    let newest = domain
        .is_none()
        .then(|| core.relay.view.probes.newest(core.now));
    Word {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
        number: core.relay.peers.number,
        loads,
        parts,
        deaths,
        domain,
        passed: false,
        newest: newest.flatten(),
    }
}

/// Returns the other hosts of this failure domain.
fn neighbours(core: &Core) -> impl Iterator<Item = &Peer> {
    let peers = &core.relay.peers;
    let all = peers.names.values().map(|key| &peers.arena[*key]);
    all.filter(|peer| peer.domain == core.settings.host.domain)
}

/// Tells whether a host was heard lately enough to be counted on.
fn is_heard(core: &Core, peer: &Peer) -> bool {
    peer.heard.is_some_and(|at| core.now.since(at) < SPEAKS)
}

/// Returns where the other hosts of this failure domain listen.
fn near(core: &Core) -> Vec<SocketAddr> {
    neighbours(core).map(|peer| peer.addr).collect()
}

/// Returns how many other hosts of this failure domain are heard.
pub(super) fn heard_near(core: &Core) -> u32 {
    let heard = neighbours(core).filter(|peer| is_heard(core, peer));
    u32::try_from(heard.count()).unwrap_or(u32::MAX)
}

/// Tells whether this host speaks for its failure domain: no host before it by name is heard.
pub(super) fn speaks(core: &Core) -> bool {
    let own = &core.settings.host.name;
    !neighbours(core).any(|peer| peer.name < *own && is_heard(core, peer))
}

/// Tells each other failure domain what was heard in this one.
fn tell_domains(core: &mut Core, out: &mut Effects) {
    let own = core.settings.host.domain.clone();
    let peers = &core.relay.peers;
    let mut to: BTreeMap<Box<str>, Vec<SocketAddr>> = BTreeMap::new();
    for key in peers.names.values() {
        let peer = &peers.arena[*key];
        if peer.domain != own {
            to.entry(peer.domain.clone()).or_default().push(peer.addr);
        }
    }
    // One host there passes it on. It may be down: another is told each time nothing is heard.
    let to: Vec<SocketAddr> = to
        .iter()
        .filter_map(|(domain, addrs)| {
            let speaker = speaker(core, domain);
            speaker.or_else(|| turn(addrs, peers.number))
        })
        .collect();
    if to.is_empty() {
        return;
    }
    let loads = summed(core);
    let peers = &mut core.relay.peers;
    peers.news = false;
    let (parts, deaths) = std::mem::take(&mut peers.heard);
    let word = word(core, Some(own), loads, parts, deaths);
    out.extend(tell_them(to, word));
}

/// Returns one of the addresses, another with each number.
fn turn(addrs: &[SocketAddr], number: u64) -> Option<SocketAddr> {
    let at = number % u64::try_from(addrs.len()).ok()?.max(1);
    addrs.get(usize::try_from(at).ok()?).copied()
}

/// Returns where the host listens that speaks for another failure domain, if one was heard.
fn speaker(core: &Core, domain: &str) -> Option<SocketAddr> {
    let peers = &core.relay.peers;
    let whole = &peers.arena[*peers.domains.get(domain)?];
    let host = peers.names.get(&whole.name)?;
    is_heard(core, whole).then(|| peers.arena[*host].addr)
}

/// Returns the unfinished work of all hosts of this failure domain.
fn summed(core: &Core) -> Vec<LoadWord> {
    let peers = &core.relay.peers;
    let own = &core.settings.host.domain;
    let near: Vec<HostKey> = peers
        .names
        .values()
        .copied()
        .filter(|key| peers.arena[*key].domain == *own)
        .collect();
    let instances = core.relay.instances.arena.values();
    let loads = instances.filter_map(|instance| {
        let others = near.iter().filter_map(|key| instance.others.get(key));
        let sum = others.fold(instance.own, |sum, work| sum.plus(*work));
        (sum != Work::default()).then(|| load_word(instance.short, sum))
    });
    loads.collect()
}

fn load_word(instance: u32, work: Work) -> LoadWord {
    LoadWord {
        instance,
        calls: work.calls,
        fill: u32::try_from(work.fill).unwrap_or(u32::MAX),
        tokens: u32::try_from(work.tokens).unwrap_or(u32::MAX),
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

/// Takes in another host's word, or what one sums up for its failure domain.
pub fn told(core: &mut Core, word: Word, out: &mut Effects) {
    let Some(sender) = core.relay.peers.names.get(&word.host).copied() else {
        return;
    };
    let key = match &word.domain {
        None => sender,
        // What this domain sums up itself is known here already.
        Some(domain) if *domain == core.settings.host.domain => return,
        Some(domain) => whole(core, sender, domain.clone()),
    };
    let now = core.now;
    let peer = &mut core.relay.peers.arena[key];
    // Datagrams overtake each other, and a process that ended may still be heard.
    if (word.incarnation, word.number) <= (peer.incarnation, peer.number) {
        return;
    }
    peer.incarnation = word.incarnation;
    peer.number = word.number;
    peer.heard = Some(now);
    if let Some(newest) = word.newest {
        view::probe::told(core, newest, out);
    }
    core.relay.instances.told(key, &word.loads);
    for part in &word.parts {
        if let Some(engine) = core.relay.instances.by_short(part.instance) {
            let instance = &mut core.relay.instances.arena[engine];
            // It was sent there to be read, behind what waits there already.
            let learned = core.relay.model.of(&instance.service);
            let wait = span(load::reading(learned, instance, instance.work().tokens));
            parts::note(
                instance,
                part.part,
                part.tokens.into(),
                now,
                now.after(wait),
            );
        }
    }
    for death in &word.deaths {
        core.relay.killers.died(*death, now);
    }
    let peers = &mut core.relay.peers;
    if word.domain.is_none() {
        peers.hear(&word.parts, &word.deaths);
    } else if !word.passed {
        let to = near(core);
        out.extend(tell_them(
            to,
            Word {
                passed: true,
                ..word
            },
        ));
    }
}

/// Returns what stands for a whole failure domain, now that this host speaks for it.
fn whole(core: &mut Core, speaker: HostKey, domain: Box<str>) -> HostKey {
    let peers = &mut core.relay.peers;
    let (name, addr) = (peers.arena[speaker].name.clone(), peers.arena[speaker].addr);
    let known = peers.domains.get(&domain).copied();
    let key = known.unwrap_or_else(|| {
        let key = peers.arena.insert(peer(&name, domain.clone(), addr));
        peers.domains.insert(domain, key);
        key
    });
    let whole = &mut peers.arena[key];
    if whole.name != name {
        // Another host speaks for it: its numbers are its own.
        whole.name = name;
        whole.incarnation = 0;
        whole.number = 0;
    }
    key
}
