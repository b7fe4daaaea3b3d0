//! Streams that callers take up, and the messages by which hosts find out at which version each began.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::super::call::dispatch;
use super::super::ending::{refuse, store_age_ms};
use super::super::event::{
    Arrival, Gossip, GossipKind, RelayEffect, StreamMessage, StreamQuery, StreamRecord, StreamReply,
};
use super::super::instance::short_hash;
use super::super::{RelayTimer, note, view, wake};
use super::{InUse, RETENTION, StreamKey, Version, holders, in_use, routes};
use crate::core::effect::{Effect, Meter, Refusal};
use crate::core::key::{CallKey, HostKey};
use crate::core::time::Time;
use crate::core::{Core, Effects};
use crate::error::Kind;

/// Time for which a take-up waits for the answers of other hosts: many times that of a message, and short beside the
/// pause that callers accept.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a take-up without a record waits for a read of the store, which takes some milliseconds; a store that
/// takes longer is disturbed, and a refusal at once serves callers better.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// A query of other hosts for the version of a stream.
#[derive(Debug, Clone, Default)]
pub struct Lookup {
    /// When the caller's request arrived.
    since: Time,
    /// Number of hosts that were asked.
    asked: usize,
    /// Hosts that have not answered.
    waiting: Vec<HostKey>,
    /// Whether the time for their answers has passed.
    is_over: bool,
    /// Whether a read of the store may decide it.
    awaits_read: bool,
    /// What those that have answered know of the versions in use.
    in_use: Vec<InUse>,
}

/// How the version of a stream was found.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// A host has its record.
    Record,
    /// Only one version has been in use.
    OnlyVersion,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::OnlyVersion => "only-version",
        }
    }
}

/// Logs that a caller takes up a stream that began in an earlier attempt.
pub(in super::super) fn log(arrival: &Arrival, out: &mut Effects) {
    let Some(last) = arrival.resume.filter(|_| arrival.forwarded.is_none()) else {
        return;
    };
    let resumes = arrival.resumes.clone();
    let fields = vec![
        ("id", arrival.id.clone()),
        ("resumes", resumes.unwrap_or_else(|| "none".into())),
        ("last_event", last.to_string().into()),
    ];
    note(out, log::Level::Info, "stream.taken_up", fields);
}

/// Handles the arrival of a request: if it takes a stream up, its version is looked up. Returns whether the request waits for
/// the answers of other hosts, or has ended; it is sent otherwise.
pub(in super::super) fn arrived(core: &mut Core, key: CallKey, out: &mut Effects) -> bool {
    let call = &core.relay.calls[key];
    if call.last_event.is_none() || call.version.is_some() {
        return false;
    }
    let (stream, service) = (call.stream, short_hash(&call.service));
    if let Some(record) = core.relay.versions.streams.get(stream) {
        return !found(core, key, record, out);
    }
    let hosts = holders(core, stream);
    let query = StreamQuery { stream, service };
    let message = StreamMessage {
        queries: vec![query],
        ..StreamMessage::default()
    };
    send(core, &hosts, message, out);
    let versions = &core.relay.versions;
    let service = &core.relay.calls[key].service;
    let awaits_read = core.relay.view.may_be_confirmed(core.now)
        && versions.in_use(service, core.now) != InUse::Several;
    core.relay.calls[key].lookup = Some(Lookup {
        since: core.now,
        asked: hosts.len(),
        waiting: hosts,
        awaits_read,
        ..Lookup::default()
    });
    core.relay.versions.pending.push(key);
    wake(core, LOOKUP_TIMEOUT, RelayTimer::TakeUp(key), out);
    if awaits_read {
        wake(core, READ_TIMEOUT, RelayTimer::TakeUp(key), out);
        view::confirm::request_read(core, core.now, out);
    }
    decide_if_complete(core, key, out);
    true
}

/// Handles the end of the time for which a take-up waits for other hosts or for the store.
pub(in super::super) fn timed_out(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = core.relay.calls.get_mut(key);
    if let Some(lookup) = call.and_then(|call| call.lookup.as_mut()) {
        lookup.is_over = true;
        decide_if_complete(core, key, out);
    } else {
        core.relay.versions.pending.retain(|other| *other != key);
    }
}

/// Decides the take-ups that waited for a read of the store that has ended; has those that arrived after it began wait for
/// another one.
pub(in super::super) fn view_read(core: &mut Core, out: &mut Effects) {
    let pending = core.relay.versions.pending.clone();
    for key in pending {
        decide_if_complete(core, key, out);
    }
    let calls = &core.relay.calls;
    let pending = core.relay.versions.pending.iter();
    let lookups = pending.filter_map(|key| calls.get(*key)?.lookup.as_ref());
    let lookups = lookups.filter(|lookup| lookup.awaits_read);
    let newest = lookups.map(|lookup| lookup.since).max();
    if let Some(since) = newest.filter(|since| !core.relay.view.is_confirmed(*since)) {
        view::confirm::request_read(core, since, out);
    }
}

/// Sets the version of a stream from its record; returns whether the request is to be sent. If it is not, it has ended.
fn found(core: &mut Core, key: CallKey, record: StreamRecord, out: &mut Effects) -> bool {
    let call = &mut core.relay.calls[key];
    let lookup = call.lookup.take().unwrap_or_default();
    if short_hash(&call.service) != record.service {
        // The weights of the route may have led to another service.
        let split = call.route.split.iter();
        let mut services = split.map(|(service, _)| service.clone());
        let Some(service) = services.find(|service| short_hash(service) == record.service) else {
            refuse_unknown(core, key, &lookup, "another service began the stream", out);
            return false;
        };
        let before = std::mem::replace(&mut call.service, service.clone());
        let budgets = &mut core.relay.retry_budgets;
        if let Some(budget) = budgets.get_mut(&before) {
            budget.withdraw_request();
        }
        let budget = budgets.entry(service).or_default();
        budget.record_request(core.now);
    }
    set_version(core, key, record.version, Source::Record, &lookup, out);
    true
}

fn set_version(
    core: &mut Core,
    key: CallKey,
    version: Version,
    source: Source,
    lookup: &Lookup,
    out: &mut Effects,
) {
    core.relay.calls[key].version = Some(version);
    log_version(core, key, source.name(), lookup, out);
    out.push(Effect::Meter(Meter::TakenUp {
        outcome: source.name(),
    }));
}

fn refuse_unknown(core: &mut Core, key: CallKey, lookup: &Lookup, detail: &str, out: &mut Effects) {
    log_version(core, key, "unknown", lookup, out);
    let outcome = "refused";
    out.push(Effect::Meter(Meter::TakenUp { outcome }));
    refuse(core, key, Refusal::new(Kind::NoVersion, detail), out);
}

/// Logs what a take-up was decided by.
fn log_version(core: &Core, key: CallKey, source: &str, lookup: &Lookup, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let version = call.version.unwrap_or(Version::UNKNOWN);
    let answered = lookup.asked - lookup.waiting.len();
    let fields = vec![
        ("id", call.id.clone()),
        ("source", source.into()),
        ("version", version.0.to_string().into()),
        ("heard_ms", store_age_ms(core)),
        ("asked", lookup.asked.to_string().into()),
        ("answered", answered.to_string().into()),
    ];
    note(out, log::Level::Info, "stream.version", fields);
}

/// Decides a take-up once all hosts that were asked have answered or had the time to, and the store was read since.
///
/// A host that lists one version may not have learned yet of another one, at which the stream began through a third
/// host. Only a list that is newer than the take-up shows that there is none, however fresh the view was.
fn decide_if_complete(core: &mut Core, key: CallKey, out: &mut Effects) {
    let Some(call) = core.relay.calls.get(key) else {
        return;
    };
    let Some(lookup) = &call.lookup else {
        return;
    };
    if !lookup.is_over && !lookup.waiting.is_empty() {
        return;
    }
    let (now, versions) = (core.now, &core.relay.versions);
    let own = versions.in_use(&call.service, now);
    let recent = versions.recent(&call.service, now);
    // A read of the store may have changed the route, too.
    let is_only_service = routes::is_only_service(core, &call.route, &call.path, &call.service);
    let only = only_version(own, &lookup.in_use, &recent).filter(|_| is_only_service);
    let is_confirmed = core.relay.view.is_confirmed(lookup.since);
    let waits = lookup.awaits_read && only.is_some() && !is_confirmed;
    if waits && now.since(lookup.since) < READ_TIMEOUT {
        return;
    }
    let lookup = core.relay.calls[key].lookup.take().unwrap_or_default();
    core.relay.versions.pending.retain(|other| *other != key);
    match only {
        Some(version) if is_confirmed => {
            set_version(core, key, version, Source::OnlyVersion, &lookup, out);
            dispatch(core, key, out);
        }
        Some(_) => {
            let detail = "the versions in use could not be read from the store";
            refuse_unknown(core, key, &lookup, detail, out);
        }
        None => {
            let detail = "no host knows the version of the stream";
            refuse_unknown(core, key, &lookup, detail, out);
        }
    }
}

/// Returns the only version that has been in use, if this host or another knows it and none contradicts.
fn only_version(own: InUse, others: &[InUse], recent: &[Version]) -> Option<Version> {
    let mut only = None;
    for seen in others.iter().chain([&own]) {
        match seen {
            InUse::Several => return None,
            InUse::Only(version) if only.is_some_and(|other| other != *version) => return None,
            InUse::Only(version) => only = Some(*version),
            InUse::Unknown => {}
        }
    }
    only.filter(|only| recent.iter().all(|version| version == only))
}

/// Handles a message about streams from another host.
pub(in super::super) fn receive(
    core: &mut Core,
    sender: HostKey,
    message: &StreamMessage,
    out: &mut Effects,
) {
    for record in &message.records {
        core.relay.versions.streams.insert(*record, core.now);
    }
    let replies: Vec<StreamReply> = message
        .queries
        .iter()
        .map(|query| reply_to(core, *query))
        .collect();
    if !replies.is_empty() {
        let message = StreamMessage {
            replies,
            ..StreamMessage::default()
        };
        send(core, &[sender], message, out);
    }
    for reply in &message.replies {
        received_reply(core, sender, *reply, out);
    }
}

fn reply_to(core: &Core, query: StreamQuery) -> StreamReply {
    let versions = &core.relay.versions;
    let mut services = versions.listed.keys();
    let service = services.find(|service| short_hash(service) == query.service);
    StreamReply {
        query,
        record: versions.streams.get(query.stream),
        in_use: service.map_or(InUse::Unknown, |service| in_use(core, service)),
    }
}

fn received_reply(core: &mut Core, sender: HostKey, reply: StreamReply, out: &mut Effects) {
    adopt_versions(core, reply);
    let waits = |core: &Core, key: &CallKey| {
        let call = core.relay.calls.get(*key);
        call.is_some_and(|call| call.stream == reply.query.stream && call.lookup.is_some())
    };
    let pending = core.relay.versions.pending.iter();
    let waiting: Vec<CallKey> = pending.filter(|key| waits(core, key)).copied().collect();
    for key in waiting {
        if let Some(lookup) = &mut core.relay.calls[key].lookup {
            lookup.waiting.retain(|host| *host != sender);
        }
        if let Some(record) = reply.record {
            core.relay.versions.pending.retain(|other| *other != key);
            if found(core, key, record, out) {
                dispatch(core, key, out);
            }
        } else if let Some(lookup) = &mut core.relay.calls[key].lookup {
            lookup.in_use.push(reply.in_use);
            decide_if_complete(core, key, out);
        }
    }
}

/// Takes over what another host knows of the versions in use, if this one has started since and sees the same.
fn adopt_versions(core: &mut Core, reply: StreamReply) {
    let InUse::Only(version) = reply.in_use else {
        return;
    };
    let now = core.now;
    for (service, listed) in &mut core.relay.versions.listed {
        let agrees = listed.versions.keys().all(|other| *other == version);
        if short_hash(service) == reply.query.service && agrees && listed.since.is_some() {
            listed.since = Some(now.before(RETENTION));
        }
    }
}

/// Asks a host drawn at random for the versions in use of each service of which this one has not seen them for long.
pub(super) fn ask_for_versions(core: &mut Core, out: &mut Effects) {
    let (now, versions) = (core.now, &core.relay.versions);
    let services = versions.listed.iter();
    let unknown = services.filter(|(service, listed)| {
        listed.since.is_some() && versions.in_use(service, now) == InUse::Unknown
    });
    let queries: Vec<StreamQuery> = unknown
        .map(|(service, _)| StreamQuery {
            stream: StreamKey(0),
            service: short_hash(service),
        })
        .collect();
    let all = core.relay.peers.names.values().copied();
    let Some(host) = all.choose(&mut core.rng) else {
        return;
    };
    if !queries.is_empty() {
        let message = StreamMessage {
            queries,
            ..StreamMessage::default()
        };
        send(core, &[host], message, out);
    }
}

/// Sends the record of a stream to the hosts that hold it.
pub(super) fn publish_record(core: &Core, record: StreamRecord, out: &mut Effects) {
    let hosts = holders(core, record.stream);
    let message = StreamMessage {
        records: vec![record],
        ..StreamMessage::default()
    };
    send(core, &hosts, message, out);
}

fn send(core: &Core, hosts: &[HostKey], message: StreamMessage, out: &mut Effects) {
    let peers = &core.relay.peers.arena;
    let to = hosts.iter().filter_map(|host| Some(peers.get(*host)?.addr));
    let to: Vec<_> = to.collect();
    if to.is_empty() {
        return;
    }
    let message = Gossip {
        host: core.settings.host.name.clone(),
        incarnation: core.members.incarnation(),
        kind: GossipKind::Streams(message),
        ..Gossip::default()
    };
    out.push(Effect::Relay(RelayEffect::Publish {
        to,
        message: Box::new(message),
    }));
}
