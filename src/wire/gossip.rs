//! Encoding of the gossip datagrams between relaying hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use prost::Message as _;

use super::load::{from_engine_time, from_loads, to_engine_time, to_loads};
use super::{WireError, generated as wire};
use crate::core::relay::duty::usage::ledger::{Process, Row, UsageReport};
use crate::core::relay::event::{
    BlockReport, ChangeReport, Changes, CrashReport, DepartureReport, Gossip, GossipKind,
    IncludedReport, LimitReport, PartReport, ProbeReport, ReplicatedChanges, Stage, StoreChange,
    StreamMessage, StreamQuery, StreamRecord, StreamReply, UptimeReport,
};
use crate::core::relay::versions::{InUse, StreamKey, Version};

/// Appends the encoding of a message to `out`.
pub fn encode_gossip(message: &Gossip, out: &mut BytesMut) {
    let (kind, domain) = to_kind(&message.kind);
    let message = wire::Word {
        host: message.host.to_string(),
        incarnation: message.incarnation,
        number: message.sequence,
        loads: (!message.loads.is_empty()).then(|| to_loads(&message.loads)),
        parts: message.blocks.iter().map(to_block).collect(),
        deaths: message.crashes.iter().map(to_crash).collect(),
        domain: domain.to_owned(),
        passed: matches!(message.kind, GossipKind::Forwarded(_)),
        era: message.era,
        newest: message.probe.map_or(0, |probe| probe.revision),
        newest_age: message.probe.map_or(0, |probe| millis(probe.age)),
        kind: kind.into(),
        included: to_included(&message.kind),
        passage: message.replicated.as_ref().map(to_replicated),
        uptime: message.uptime.map(to_uptime),
        limits: message.limits.iter().map(to_limit).collect(),
        changes: message.changes.iter().map(to_change).collect(),
        departures: message.departures.iter().map(to_departure).collect(),
        usage: to_usage(&message.kind),
        cut_off: message.cut_off,
        streams: to_streams(&message.kind),
        addr: message
            .addr
            .map_or_else(String::new, |addr| addr.to_string()),
        part_reports: message.parts.iter().map(to_part).collect(),
        included_domains: message.included_domains.clone(),
        engine_times: message.engine_times.iter().map(to_engine_time).collect(),
    };
    out.reserve(message.encoded_len());
    // Encoding fails only when the buffer is full, and `BytesMut` grows.
    if message.encode(out).is_err() {
        unreachable!("a growing buffer is never full");
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a message, or if a field is missing or out of bounds.
pub fn decode_gossip(bytes: &[u8]) -> Result<Gossip, WireError> {
    let message = wire::Word::decode(bytes).map_err(|_malformed| WireError::Undecodable)?;
    if message.host.is_empty() {
        return Err(WireError::Field { field: "host" });
    }
    let kind = from_kind(&message)?;
    Ok(Gossip {
        host: message.host.into(),
        addr: from_addr(&message.addr)?,
        incarnation: message.incarnation,
        sequence: message.number,
        loads: from_loads(&message.loads.unwrap_or_default())?,
        blocks: message.parts.iter().map(from_block).collect(),
        crashes: message.deaths.iter().map(from_crash).collect(),
        parts: message.part_reports.iter().map(from_part).collect(),
        kind,
        replicated: message.passage.map(from_replicated),
        uptime: message.uptime.map(from_uptime),
        limits: message
            .limits
            .iter()
            .map(from_limit)
            .collect::<Result<_, _>>()?,
        changes: message.changes.iter().filter_map(from_change).collect(),
        departures: message.departures.iter().map(from_departure).collect(),
        engine_times: message
            .engine_times
            .iter()
            .map(from_engine_time)
            .collect::<Result<_, _>>()?,
        era: message.era,
        cut_off: message.cut_off,
        included_domains: message.included_domains,
        probe: (message.newest > 0).then(|| ProbeReport {
            revision: message.newest,
            age: Duration::from_millis(message.newest_age.into()),
        }),
    })
}

fn from_addr(text: &str) -> Result<Option<SocketAddr>, WireError> {
    if text.is_empty() {
        return Ok(None);
    }
    let addr = text.parse();
    addr.map(Some)
        .map_err(|_malformed| WireError::Field { field: "addr" })
}

/// Returns the kind of a message and, for a sum over a failure domain, the domain's name.
fn to_kind(kind: &GossipKind) -> (wire::WordKind, &str) {
    match kind {
        GossipKind::Own => (wire::WordKind::Own, ""),
        GossipKind::Hello => (wire::WordKind::Hello, ""),
        GossipKind::Report => (wire::WordKind::Report, ""),
        GossipKind::Farewell => (wire::WordKind::Farewell, ""),
        GossipKind::Totals(_) => (wire::WordKind::Totals, ""),
        GossipKind::Domain(domain) | GossipKind::Forwarded(domain) => (wire::WordKind::Own, domain),
        GossipKind::Usage(_) => (wire::WordKind::Usage, ""),
        GossipKind::Streams(_) => (wire::WordKind::Streams, ""),
    }
}

fn from_kind(message: &wire::Word) -> Result<GossipKind, WireError> {
    let kind = wire::WordKind::try_from(message.kind);
    let kind = kind.map_err(|_unknown| WireError::Field { field: "kind" })?;
    Ok(match kind {
        wire::WordKind::Own if message.domain.is_empty() => GossipKind::Own,
        wire::WordKind::Own if message.passed => {
            GossipKind::Forwarded(message.domain.as_str().into())
        }
        wire::WordKind::Own => GossipKind::Domain(message.domain.as_str().into()),
        wire::WordKind::Hello => GossipKind::Hello,
        wire::WordKind::Report => GossipKind::Report,
        wire::WordKind::Farewell => GossipKind::Farewell,
        wire::WordKind::Streams => {
            let streams = message.streams.as_ref();
            GossipKind::Streams(from_streams(
                streams.ok_or(WireError::Field { field: "streams" })?,
            )?)
        }
        wire::WordKind::Usage => GossipKind::Usage(
            message
                .usage
                .iter()
                .map(from_usage)
                .collect::<Result<_, _>>()?,
        ),
        wire::WordKind::Totals => {
            GossipKind::Totals(message.included.iter().map(from_included).collect())
        }
    })
}

fn to_streams(kind: &GossipKind) -> Option<wire::StreamNews> {
    let GossipKind::Streams(message) = kind else {
        return None;
    };
    Some(wire::StreamNews {
        records: message.records.iter().map(to_record).collect(),
        queries: message.queries.iter().map(to_query).collect(),
        replies: message.replies.iter().map(to_reply).collect(),
    })
}

fn from_streams(message: &wire::StreamNews) -> Result<StreamMessage, WireError> {
    let replies = message.replies.iter().map(from_reply);
    Ok(StreamMessage {
        records: message.records.iter().map(from_record).collect(),
        queries: message.queries.iter().map(from_query).collect(),
        replies: replies.collect::<Result<_, _>>()?,
    })
}

fn to_record(record: &StreamRecord) -> wire::StreamRecord {
    wire::StreamRecord {
        stream: record.stream.0,
        service: record.service,
        version: record.version.0,
    }
}

fn from_record(record: &wire::StreamRecord) -> StreamRecord {
    StreamRecord {
        stream: StreamKey(record.stream),
        service: record.service,
        version: Version(record.version),
    }
}

fn to_query(query: &StreamQuery) -> wire::StreamQuery {
    wire::StreamQuery {
        stream: query.stream.0,
        service: query.service,
    }
}

fn from_query(query: &wire::StreamQuery) -> StreamQuery {
    StreamQuery {
        stream: StreamKey(query.stream),
        service: query.service,
    }
}

fn to_reply(reply: &StreamReply) -> wire::StreamReply {
    wire::StreamReply {
        query: Some(to_query(&reply.query)),
        record: reply.record.as_ref().map(to_record),
        several: reply.in_use == InUse::Several,
        only: match reply.in_use {
            InUse::Only(version) => Some(version.0),
            InUse::Unknown | InUse::Several => None,
        },
    }
}

fn from_reply(reply: &wire::StreamReply) -> Result<StreamReply, WireError> {
    let query = reply.query.as_ref();
    Ok(StreamReply {
        query: from_query(query.ok_or(WireError::Field { field: "query" })?),
        record: reply.record.as_ref().map(from_record),
        in_use: match (reply.several, reply.only) {
            (true, _) => InUse::Several,
            (false, Some(version)) => InUse::Only(Version(version)),
            (false, None) => InUse::Unknown,
        },
    })
}

fn to_included(kind: &GossipKind) -> Vec<wire::Included> {
    let GossipKind::Totals(included) = kind else {
        return Vec::new();
    };
    let reports = included.iter().map(|report| wire::Included {
        process: report.process,
        number: report.sequence,
    });
    reports.collect()
}

fn to_usage(kind: &GossipKind) -> Vec<wire::Usage> {
    let GossipKind::Usage(reports) = kind else {
        return Vec::new();
    };
    let reports = reports.iter().map(|report| wire::Usage {
        host: report.process.host.to_string(),
        incarnation: report.process.incarnation,
        window: report.window,
        version: report.row.version,
        closed: report.row.closed,
        customers: report.row.counts.keys().map(ToString::to_string).collect(),
        counts: report.row.counts.values().copied().collect(),
    });
    reports.collect()
}

fn from_usage(usage: &wire::Usage) -> Result<UsageReport, WireError> {
    if usage.customers.len() != usage.counts.len() {
        return Err(WireError::Field { field: "counts" });
    }
    let customers = usage.customers.iter().map(|name| name.as_str().into());
    Ok(UsageReport {
        process: Process {
            host: usage.host.as_str().into(),
            incarnation: usage.incarnation,
        },
        window: usage.window,
        row: Row {
            version: usage.version,
            closed: usage.closed,
            counts: customers.zip(usage.counts.iter().copied()).collect(),
        },
    })
}

fn from_included(report: &wire::Included) -> IncludedReport {
    IncludedReport {
        process: report.process,
        sequence: report.number,
    }
}

pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn to_change(report: &ChangeReport) -> wire::Change {
    wire::Change {
        instance: report.instance,
        to_prefill: report.to == Stage::Prefill,
        fence: report.number.0,
        count: report.number.1,
        remaining: millis(report.remaining),
    }
}

fn from_change(change: &wire::Change) -> Option<ChangeReport> {
    (change.remaining > 0).then(|| ChangeReport {
        instance: change.instance,
        to: if change.to_prefill {
            Stage::Prefill
        } else {
            Stage::Decode
        },
        number: (change.fence, change.count),
        remaining: Duration::from_millis(change.remaining.into()),
    })
}

fn to_limit(report: &LimitReport) -> wire::Limit {
    wire::Limit {
        instance: report.instance,
        rate: report.rate,
        age: millis(report.age),
    }
}

fn from_limit(limit: &wire::Limit) -> Result<LimitReport, WireError> {
    let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
    if limit.rate.is_some_and(|rate| !is_valid(rate)) {
        return Err(WireError::Field { field: "rate" });
    }
    Ok(LimitReport {
        instance: limit.instance,
        rate: limit.rate,
        age: Duration::from_millis(limit.age.into()),
    })
}

fn to_departure(report: &DepartureReport) -> wire::Departure {
    wire::Departure {
        instance: report.instance,
        started: report.started_ms,
        revision: report.revision,
    }
}

fn from_departure(departure: &wire::Departure) -> DepartureReport {
    DepartureReport {
        instance: departure.instance,
        started_ms: departure.started,
        revision: departure.revision,
    }
}

fn to_uptime(report: UptimeReport) -> wire::Uptime {
    wire::Uptime {
        length: millis(report.length),
        age: millis(report.age),
    }
}

fn from_uptime(uptime: wire::Uptime) -> UptimeReport {
    UptimeReport {
        length: Duration::from_millis(uptime.length.into()),
        age: Duration::from_millis(uptime.age.into()),
    }
}

fn to_replicated(changes: &ReplicatedChanges) -> wire::Passage {
    let events = changes.events.iter().map(|event| wire::StoreChange {
        revision: event.revision,
        key: event.key.to_string(),
        value: event.value.as_deref().unwrap_or_default().to_vec(),
        removed: event.value.is_none(),
    });
    wire::Passage {
        after: changes.after,
        at: changes.revision,
        events: events.collect(),
    }
}

/// Converts replicated changes of the store; the platform's adapter decodes their values later.
fn from_replicated(changes: wire::Passage) -> ReplicatedChanges {
    let events = changes.events.into_iter().map(|event| StoreChange {
        revision: event.revision,
        key: event.key.into(),
        value: (!event.removed).then(|| event.value.into()),
        changes: Changes::default(),
    });
    ReplicatedChanges {
        after: changes.after,
        revision: changes.at,
        events: events.collect(),
    }
}

fn to_block(block: &BlockReport) -> wire::PartWord {
    wire::PartWord {
        part: block.block,
        tokens: block.tokens,
        instance: block.instance,
    }
}

fn from_block(block: &wire::PartWord) -> BlockReport {
    BlockReport {
        block: block.part,
        tokens: block.tokens,
        instance: block.instance,
    }
}

fn to_crash(crash: &CrashReport) -> wire::DeathWord {
    wire::DeathWord {
        print: crash.fingerprint,
        instance: crash.instance,
        started_ms: crash.started_ms,
        before: crash.number,
    }
}

fn from_crash(crash: &wire::DeathWord) -> CrashReport {
    CrashReport {
        fingerprint: crash.print,
        instance: crash.instance,
        started_ms: crash.started_ms,
        number: crash.before,
    }
}

fn to_part(report: &PartReport) -> wire::PartReport {
    wire::PartReport {
        part: report.part,
        depth: report.depth,
        customer: report.customer,
        instance: report.crashed.map(|(instance, _)| instance),
        started_ms: report.crashed.map_or(0, |(_, started_ms)| started_ms),
        age: millis(report.age),
        began: report.began,
    }
}

fn from_part(report: &wire::PartReport) -> PartReport {
    PartReport {
        part: report.part,
        depth: report.depth,
        customer: report.customer,
        crashed: report
            .instance
            .map(|instance| (instance, report.started_ms)),
        began: report.began,
        age: Duration::from_millis(report.age.into()),
    }
}
