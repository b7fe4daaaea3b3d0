//! Software versions of backend servers, and the version at which each stream began.
//!
//! Servers of several versions may serve side by side. What two versions write does not fit together, and servers do
//! not check it, so a stream goes on only at the version of the server that sent its first event. Within one answer the
//! request itself holds it. A caller that takes its stream up may come to any host, and the first one may have ended:
//! hosts send the version of each stream to a few others while more than one version may be in use, and ask these at a
//! take-up (`take_up.rs`).

pub(super) mod routes;
mod streams;
pub(super) mod take_up;

use std::collections::BTreeMap;
use std::time::Duration;

use routes::FormerServices;
pub use streams::StreamRecords;
pub(super) use streams::holders;

use super::super::key::{AttemptKey, CallKey};
use super::super::time::Time;
use super::super::{Core, Effects};
use super::instance::short_hash;

/// Time after its first event in which a caller may take a stream up: longer than the deadlines of callers and their
/// repeats together. A version counts as in use for as long after its last server was listed.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Interval between two updates of the versions in use, and between two queries of a host that does not know them yet.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The version of a server's software: the hash of its name, equal at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u32);

impl Version {
    /// The version of a server that names none.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the version with a name.
    #[must_use]
    pub fn of(name: Option<&str>) -> Self {
        name.map_or(Self::UNKNOWN, |name| Self(short_hash(name).max(1)))
    }

    /// Whether a stream that began at this version may go on at another server's.
    #[must_use]
    pub fn may_go_on_at(self, other: Self) -> bool {
        self != Self::UNKNOWN && self == other
    }
}

/// A stream, over all attempts of its caller: the hash of the id of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the stream that begins with an attempt.
    #[must_use]
    pub fn of(attempt_id: &str) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(attempt_id.as_bytes()).as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// What a host knows of the versions that a service has had within [`RETENTION`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InUse {
    /// It has not seen the whole time.
    Unknown,
    /// This one.
    Only(Version),
    /// More than one.
    Several,
}

/// The versions of a service.
#[derive(Debug, Clone, Default)]
struct Listed {
    /// When servers of each version were last listed.
    versions: BTreeMap<Version, Time>,
    /// Since when this host's view has been complete without a gap.
    since: Option<Time>,
}

/// Versions in use, and versions of streams.
#[derive(Debug, Default)]
pub struct Versions {
    /// By service.
    listed: BTreeMap<Box<str>, Listed>,
    /// Streams that began here, or of which other hosts sent the version.
    pub(super) streams: StreamRecords,
    /// Services that routes no longer lead to.
    former: FormerServices,
    /// Requests that wait for the answers of other hosts.
    pending: Vec<CallKey>,
    updated: Option<Time>,
}

impl Versions {
    /// Returns the versions that a service has had within [`RETENTION`], as far as they are known.
    fn recent(&self, service: &str, now: Time) -> Vec<Version> {
        let listed = self.listed.get(service).into_iter();
        let versions = listed.flat_map(|listed| &listed.versions);
        versions
            .filter(|(_, at)| now.since(**at) < RETENTION)
            .map(|(version, _)| *version)
            .collect()
    }

    /// Returns the number of requests that wait for the answers of other hosts.
    #[cfg(test)]
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    fn in_use(&self, service: &str, now: Time) -> InUse {
        let since = self.listed.get(service).and_then(|listed| listed.since);
        match self.recent(service, now)[..] {
            [only] if since.is_some_and(|since| now.since(since) >= RETENTION) => InUse::Only(only),
            [] | [_] => InUse::Unknown,
            _ => InUse::Several,
        }
    }
}

/// Returns what this host knows of the versions that a service has had within [`RETENTION`].
fn in_use(core: &Core, service: &str) -> InUse {
    let found = core.relay.versions.in_use(service, core.now);
    match found {
        // Servers of another version may have been listed since.
        InUse::Only(_) if !core.relay.view.is_fresh(core.now) => InUse::Unknown,
        _ => found,
    }
}

/// Records the versions that are listed now; before and after a change of the list.
pub(super) fn record_listed(core: &mut Core) {
    let now = core.now;
    let versions = &mut core.relay.versions;
    for instance in core.relay.instances.arena.values() {
        if !versions.listed.contains_key(&instance.service) {
            let service = instance.service.clone();
            versions.listed.insert(service, Listed::default());
        }
        if let Some(listed) = versions.listed.get_mut(&instance.service) {
            listed.versions.insert(instance.version_key, now);
        }
    }
}

/// Handles a change of the listed servers: the streams under way at a service that has a second version from now on are
/// recorded.
pub(super) fn servers_changed(core: &mut Core, before: &[Box<str>], out: &mut Effects) {
    record_listed(core);
    let several = several(core);
    let new: Vec<&Box<str>> = several
        .iter()
        .filter(|service| !before.contains(service))
        .collect();
    let calls = core.relay.calls.iter();
    let begun = calls.filter(|(_, call)| call.version.is_some() && new.contains(&&call.service));
    let begun: Vec<CallKey> = begun.map(|(key, _)| key).collect();
    for key in begun {
        record_stream(core, key, out);
    }
}

/// Returns the services with more than one version in use.
pub(super) fn several(core: &Core) -> Vec<Box<str>> {
    let versions = &core.relay.versions;
    let services = versions.listed.keys();
    services
        .filter(|service| versions.in_use(service, core.now) == InUse::Several)
        .cloned()
        .collect()
}

/// Updates the versions in use, drops old records, and asks another host where this one does not know the versions.
pub(super) fn update(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let versions = &mut core.relay.versions;
    if versions
        .updated
        .is_some_and(|at| now.since(at) < UPDATE_INTERVAL)
    {
        return;
    }
    versions.updated = Some(now);
    versions.streams.drop_expired(now);
    versions.former.drop_expired(now);
    record_listed(core);
    let is_fresh = core.relay.view.is_fresh(now);
    let versions = &mut core.relay.versions;
    for listed in versions.listed.values_mut() {
        listed.versions.retain(|_, at| now.since(*at) < RETENTION);
        listed.since = listed
            .since
            .filter(|_| is_fresh)
            .or(is_fresh.then_some(now));
    }
    versions
        .listed
        .retain(|_, listed| !listed.versions.is_empty());
    take_up::ask_for_versions(core, out);
}

/// Handles the first event of an attempt at a server.
pub(super) fn stream_began(core: &mut Core, attempt: AttemptKey, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(attempt) else {
        return;
    };
    let (key, version) = (attempt.call, attempt.version);
    let call = &mut core.relay.calls[key];
    call.version.get_or_insert(version);
    let is_resumable = call.route.resumable;
    if is_resumable && needs_record(core, key) {
        record_stream(core, key, out);
    }
}

/// Whether a take-up needs the record of a stream: not with a single version in use, at the only service of the route.
fn needs_record(core: &Core, key: CallKey) -> bool {
    let call = &core.relay.calls[key];
    !matches!(in_use(core, &call.service), InUse::Only(_))
        || !routes::is_only_service(core, &call.route, &call.path, &call.service)
}

/// Records the version of a stream under way, here and at the hosts that hold it.
fn record_stream(core: &mut Core, key: CallKey, out: &mut Effects) {
    let call = &core.relay.calls[key];
    let Some(version) = call.version.filter(|_| call.route.resumable) else {
        return;
    };
    let record = super::event::StreamRecord {
        stream: call.stream,
        service: short_hash(&call.service),
        version,
    };
    core.relay.versions.streams.insert(record, core.now);
    take_up::publish_record(core, record, out);
}
