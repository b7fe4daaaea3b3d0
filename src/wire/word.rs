//! Datagrams between hosts that relay requests.

use std::time::Duration;

use bytes::BytesMut;
use prost::Message as _;

use super::{WireError, generated as wire};
use crate::core::relay::event::{DeathWord, LoadWord, NewestWord, PartWord, Word};

/// Appends the bytes of a word.
pub fn encode_word(word: &Word, out: &mut BytesMut) {
    let message = wire::Word {
        host: word.host.to_string(),
        incarnation: word.incarnation,
        number: word.number,
        loads: word.loads.iter().map(to_load).collect(),
        parts: word.parts.iter().map(to_part).collect(),
        deaths: word.deaths.iter().map(to_death).collect(),
        domain: word.domain.as_deref().unwrap_or_default().to_owned(),
        passed: word.passed,
        newest: word.newest.map_or(0, |newest| newest.revision),
        newest_age: word.newest.map_or(0, |newest| {
            u32::try_from(newest.age.as_millis()).unwrap_or(u32::MAX)
        }),
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
    Ok(Word {
        host: word.host.into(),
        incarnation: word.incarnation,
        number: word.number,
        loads: word.loads.iter().map(from_load).collect(),
        parts: word.parts.iter().map(from_part).collect(),
        deaths: word.deaths.iter().map(from_death).collect(),
        domain: (!word.domain.is_empty()).then(|| word.domain.into()),
        passed: word.passed,
        newest: (word.newest > 0).then(|| NewestWord {
            revision: word.newest,
            age: Duration::from_millis(word.newest_age.into()),
        }),
    })
}

fn to_load(load: &LoadWord) -> wire::LoadWord {
    wire::LoadWord {
        instance: load.instance,
        calls: load.calls,
        fill: load.fill,
        tokens: load.tokens,
    }
}

fn from_load(load: &wire::LoadWord) -> LoadWord {
    LoadWord {
        instance: load.instance,
        calls: load.calls,
        fill: load.fill,
        tokens: load.tokens,
    }
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
