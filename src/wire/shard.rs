//! Encoding of values in the key-value service: shards of recorded calls and batches of trace
//! records.

use prost::Message as _;

use super::convert::{from_stored, from_trace, to_stored, to_trace};
use super::{fixed_bytes, generated};
use crate::core::event::Fingerprint;
use crate::core::once::{Call, CallName, CallState, Calls};
use crate::core::trace::Record;

const STATE_STARTED: u32 = 0;
const STATE_DONE: u32 = 1;

/// Returns the encoding of a shard.
#[must_use]
pub fn encode_shard(calls: &Calls) -> Vec<u8> {
    let calls = calls.iter().map(|((customer, key), call)| {
        let (state, result) = match &call.state {
            CallState::Started => (STATE_STARTED, None),
            CallState::Done(result) => (STATE_DONE, Some(to_stored(result))),
            CallState::MayHaveRun => (2, None),
        };
        generated::Call {
            customer: customer.to_string(),
            key: key.to_string(),
            print: call.fingerprint.0.to_vec(),
            request: call.request.to_string(),
            state,
            result,
            at: call.recorded_ms,
        }
    });
    let shard = generated::Shard {
        calls: calls.collect(),
    };
    shard.encode_to_vec()
}

/// Decodes a shard; `None` if the bytes are not a shard.
///
/// Treating an unreadable shard as empty would let recorded calls run again.
#[must_use]
pub fn decode_shard(bytes: &[u8]) -> Option<Calls> {
    let shard = generated::Shard::decode(bytes).ok()?;
    shard.calls.into_iter().map(decode_call).collect()
}

fn decode_call(decode_call: generated::Call) -> Option<(CallName, Call)> {
    let state = match (decode_call.state, decode_call.result) {
        (STATE_STARTED, _) => CallState::Started,
        (STATE_DONE, Some(result)) => CallState::Done(from_stored(result).ok()?),
        _ => CallState::MayHaveRun,
    };
    let name = (decode_call.customer.into(), decode_call.key.into());
    let call = Call {
        fingerprint: Fingerprint(fixed_bytes(&decode_call.print, "print").ok()?),
        request: decode_call.request.into(),
        state,
        recorded_ms: decode_call.at,
    };
    Some((name, call))
}

/// Returns the encoding of trace records.
#[must_use]
pub fn encode_records(records: &[Record]) -> Vec<u8> {
    let traces = records.iter().map(to_trace).collect();
    generated::Traces { traces }.encode_to_vec()
}

/// Decodes trace records; `None` if the bytes are not a valid batch.
#[must_use]
pub fn decode_records(bytes: &[u8]) -> Option<Vec<Record>> {
    let traces = generated::Traces::decode(bytes).ok()?.traces;
    traces
        .into_iter()
        .map(|trace| from_trace(trace).ok())
        .collect()
}
