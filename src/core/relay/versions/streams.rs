//! Records of the versions at which streams began, and the hosts that hold each.

use std::collections::{BTreeMap, BTreeSet};

use super::super::event::StreamRecord;
use super::super::instance::short_hash;
use super::{RETENTION, StreamKey, Version};
use crate::core::Core;
use crate::core::key::HostKey;
use crate::core::time::Time;

/// Hosts that hold the record of a stream, besides the one at which it began: with two of three hosts lost at once, a
/// third of the records is lost with them.
const HOLDER_COUNT: usize = 3;
/// Maximum number of records; the one that expires first is dropped.
const MAX_RECORDS: usize = 16_384;

/// Versions of streams.
#[derive(Debug, Default)]
pub struct StreamRecords {
    /// Service, version and time of expiry of each stream.
    streams: BTreeMap<StreamKey, (u32, Version, Time)>,
    expiry: BTreeSet<(Time, StreamKey)>,
}

impl StreamRecords {
    /// Records the version of a stream. The first record of a stream counts, later ones extend its time.
    pub fn insert(&mut self, record: StreamRecord, now: Time) {
        let expires = now.after(RETENTION);
        let first = (record.service, record.version, expires);
        let kept = self.streams.entry(record.stream).or_insert(first);
        self.expiry.remove(&(kept.2, record.stream));
        kept.2 = expires;
        self.expiry.insert((expires, record.stream));
        if self.streams.len() > MAX_RECORDS
            && let Some((_, oldest)) = self.expiry.pop_first()
        {
            self.streams.remove(&oldest);
        }
    }

    /// Returns the record of a stream.
    #[must_use]
    pub fn get(&self, stream: StreamKey) -> Option<StreamRecord> {
        let (service, version, _) = self.streams.get(&stream)?;
        Some(StreamRecord {
            stream,
            service: *service,
            version: *version,
        })
    }

    /// Drops the records whose time has passed.
    pub fn drop_expired(&mut self, now: Time) {
        while let Some((_, stream)) = self.expiry.first().filter(|(at, _)| *at <= now).copied() {
            self.expiry.pop_first();
            self.streams.remove(&stream);
        }
    }
}

/// Returns the other hosts that hold the record of a stream: those with the highest hashes of stream and name, the same
/// at every host.
pub fn holders(core: &Core, stream: StreamKey) -> Vec<HostKey> {
    let peers = &core.relay.peers;
    let own = short_hash(&core.settings.host.name);
    let all = peers.names.values();
    let others = all.map(|key| (weight(stream, peers.arena[*key].name_hash), Some(*key)));
    let mut hosts: Vec<(u64, Option<HostKey>)> = others.collect();
    hosts.push((weight(stream, own), None));
    hosts.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    hosts
        .into_iter()
        .take(HOLDER_COUNT)
        .filter_map(|(_, host)| host)
        .collect()
}

/// Mixes a stream and a host's name (the finalizer of `SplitMix64`).
fn weight(stream: StreamKey, name: u32) -> u64 {
    let mut mixed = stream.0 ^ u64::from(name).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
