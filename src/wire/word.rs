//! Datagrams between hosts that relay requests.

use std::time::Duration;

use bytes::BytesMut;
use prost::Message as _;

use super::{WireError, generated as wire};
use crate::core::relay::event::{
    Changes, DeathWord, Included, LimitReport, LoadWord, NewestWord, PartWord, Passage,
    StoreChange, UptimeReport, Word, WordKind,
};

/// Appends the bytes of a word.
pub fn encode_word(word: &Word, out: &mut BytesMut) {
    let (kind, domain) = to_kind(&word.kind);
    let message = wire::Word {
        host: word.host.to_string(),
        incarnation: word.incarnation,
        number: word.number,
        loads: (!word.loads.is_empty()).then(|| to_loads(&word.loads)),
        parts: word.parts.iter().map(to_part).collect(),
        deaths: word.deaths.iter().map(to_death).collect(),
        domain: domain.to_owned(),
        passed: matches!(word.kind, WordKind::Passed(_)),
        era: word.era,
        newest: word.newest.map_or(0, |newest| newest.revision),
        newest_age: word.newest.map_or(0, |newest| millis(newest.age)),
        kind: kind.into(),
        included: to_included(&word.kind),
        passage: word.passage.as_ref().map(to_passage),
        uptime: word.uptime.map(to_uptime),
        limits: word.limits.iter().map(to_limit).collect(),
    };
    out.reserve(message.encoded_len());
    // Only a full buffer is an error, and `BytesMut` grows.
    if message.encode(out).is_err() {
        unreachable!("a growing buffer is never full");
    }
}

/// Reads a word.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode_word(bytes: &[u8]) -> Result<Word, WireError> {
    let word = wire::Word::decode(bytes).map_err(|_malformed| WireError::Undecodable)?;
    if word.host.is_empty() {
        return Err(WireError::Field { field: "host" });
    }
    let kind = from_kind(&word)?;
    Ok(Word {
        host: word.host.into(),
        incarnation: word.incarnation,
        number: word.number,
        loads: from_loads(&word.loads.unwrap_or_default())?,
        parts: word.parts.iter().map(from_part).collect(),
        deaths: word.deaths.iter().map(from_death).collect(),
        kind,
        passage: word.passage.map(from_passage),
        uptime: word.uptime.map(from_uptime),
        limits: word
            .limits
            .iter()
            .map(from_limit)
            .collect::<Result<_, _>>()?,
        era: word.era,
        newest: (word.newest > 0).then(|| NewestWord {
            revision: word.newest,
            age: Duration::from_millis(word.newest_age.into()),
        }),
    })
}

/// Returns the kind of a word, and the failure domain that it sums up.
fn to_kind(kind: &WordKind) -> (wire::WordKind, &str) {
    match kind {
        WordKind::Own => (wire::WordKind::Own, ""),
        WordKind::Hello => (wire::WordKind::Hello, ""),
        WordKind::Report => (wire::WordKind::Report, ""),
        WordKind::Farewell => (wire::WordKind::Farewell, ""),
        WordKind::Totals(_) => (wire::WordKind::Totals, ""),
        WordKind::Domain(domain) | WordKind::Passed(domain) => (wire::WordKind::Own, domain),
    }
}

fn from_kind(word: &wire::Word) -> Result<WordKind, WireError> {
    let kind = wire::WordKind::try_from(word.kind);
    let kind = kind.map_err(|_unknown| WireError::Field { field: "kind" })?;
    Ok(match kind {
        wire::WordKind::Own if word.domain.is_empty() => WordKind::Own,
        wire::WordKind::Own if word.passed => WordKind::Passed(word.domain.as_str().into()),
        wire::WordKind::Own => WordKind::Domain(word.domain.as_str().into()),
        wire::WordKind::Hello => WordKind::Hello,
        wire::WordKind::Report => WordKind::Report,
        wire::WordKind::Farewell => WordKind::Farewell,
        wire::WordKind::Totals => {
            WordKind::Totals(word.included.iter().map(from_included).collect())
        }
    })
}

fn to_included(kind: &WordKind) -> Vec<wire::Included> {
    let WordKind::Totals(included) = kind else {
        return Vec::new();
    };
    let reports = included.iter().map(|report| wire::Included {
        process: report.process,
        number: report.number,
    });
    reports.collect()
}

fn from_included(report: &wire::Included) -> Included {
    Included {
        process: report.process,
        number: report.number,
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn to_limit(report: &LimitReport) -> wire::Limit {
    wire::Limit {
        instance: report.instance,
        rate: report.rate,
        age: millis(report.age),
    }
}

fn from_limit(limit: &wire::Limit) -> Result<LimitReport, WireError> {
    let readable = |rate: f64| rate.is_finite() && rate >= 0.0;
    if limit.rate.is_some_and(|rate| !readable(rate)) {
        return Err(WireError::Field { field: "rate" });
    }
    Ok(LimitReport {
        instance: limit.instance,
        rate: limit.rate,
        age: Duration::from_millis(limit.age.into()),
    })
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

fn to_passage(passage: &Passage) -> wire::Passage {
    let events = passage.events.iter().map(|event| wire::StoreChange {
        revision: event.revision,
        key: event.key.to_string(),
        value: event.value.as_deref().unwrap_or_default().to_vec(),
        removed: event.value.is_none(),
    });
    wire::Passage {
        after: passage.after,
        at: passage.at,
        events: events.collect(),
    }
}

/// Reads changes of the store; what they mean is left to the adapter of the platform.
fn from_passage(passage: wire::Passage) -> Passage {
    let events = passage.events.into_iter().map(|event| StoreChange {
        revision: event.revision,
        key: event.key.into(),
        value: (!event.removed).then(|| event.value.into()),
        changes: Changes::default(),
    });
    Passage {
        after: passage.after,
        at: passage.at,
        events: events.collect(),
    }
}

fn to_loads(loads: &[LoadWord]) -> wire::Loads {
    wire::Loads {
        instances: loads.iter().map(|load| load.instance).collect(),
        calls: loads.iter().map(|load| load.calls).collect(),
        fill: loads.iter().map(|load| load.fill).collect(),
        tokens: loads.iter().map(|load| load.tokens).collect(),
    }
}

fn from_loads(loads: &wire::Loads) -> Result<Vec<LoadWord>, WireError> {
    let columns = [&loads.calls, &loads.fill, &loads.tokens];
    if columns
        .iter()
        .any(|rows| rows.len() != loads.instances.len())
    {
        return Err(WireError::Field { field: "loads" });
    }
    let rows = loads.instances.iter().zip(&loads.calls).zip(&loads.fill);
    let rows = rows.zip(&loads.tokens);
    let loads = rows.map(|(((instance, calls), fill), tokens)| LoadWord {
        instance: *instance,
        calls: *calls,
        fill: *fill,
        tokens: *tokens,
    });
    Ok(loads.collect())
}

fn to_part(part: &PartWord) -> wire::PartWord {
    wire::PartWord {
        part: part.part,
        tokens: part.tokens,
        instance: part.instance,
    }
}

fn from_part(part: &wire::PartWord) -> PartWord {
    PartWord {
        part: part.part,
        tokens: part.tokens,
        instance: part.instance,
    }
}

fn to_death(death: &DeathWord) -> wire::DeathWord {
    wire::DeathWord {
        print: death.print,
        instance: death.instance,
    }
}

fn from_death(death: &wire::DeathWord) -> DeathWord {
    DeathWord {
        print: death.print,
        instance: death.instance,
    }
}
