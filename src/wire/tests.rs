//! Round trips of encoded values, and decoders on arbitrary bytes.

use bytes::BytesMut;
use proptest::prelude::*;

use prost::Message as _;

use super::generated::Word;
use super::gossip::{decode_gossip, encode_gossip};
use super::{
    Frame, Hello, PROTOCOL_VERSION, WireError, decode, decode_shard, encode, encode_shard,
};
use crate::core::event::{Fingerprint, StoredResponse};
use crate::core::message::{Begin, BeginState, Done, DoneState, Lend, Loan, Message};
use crate::core::once::{Call, CallState, Calls};
use crate::core::relay::event::{Gossip, LoadReport};
use crate::core::trace::{Attempt, Note, Record};
use crate::error::Ran;

/// Defines one test for each frame: decoding its encoding gives the same frame.
macro_rules! round_trips {
    ($($name:ident: $frame:expr,)*) => {$(
        #[test]
        fn $name() {
            let frame = $frame;
            let mut bytes = BytesMut::new();
            encode(&frame, &mut bytes);
            assert_eq!(decode(bytes), Ok(frame));
        }
    )*};
}

fn stored() -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "application/json".into(),
        body: b"{\"ok\":true}".to_vec().into(),
    }
}

fn record() -> Record {
    Record {
        id: "0011aabb-18f-1".into(),
        customer: "Çıldır Gölü Şubesi".into(),
        ran: Some(Ran::Unknown),
        attempts: vec![Attempt {
            backend: "buz-llm-3".into(),
            ran: Some(Ran::Yes),
            ..Attempt::default()
        }],
        notes: vec![Note {
            at: 3,
            text: "tried elsewhere".into(),
        }],
        ..Record::default()
    }
}

round_trips! {
    hello_round_trips: Frame::Hello(Hello {
        version: PROTOCOL_VERSION,
        name: "dk-1".into(),
        nonce: [7; 32],
    }),
    proof_round_trips: Frame::Proof([9; 32]),
    begin_round_trips: Frame::Message(Message::Begin(Begin {
        round: 4,
        customer: "Sønderborg".into(),
        key: "k-1".into(),
        fingerprint: Fingerprint([3; 16]),
        request: "r".into(),
    })),
    begun_round_trips: Frame::Message(Message::Begun {
        round: 4,
        state: BeginState::Done(stored()),
        request: "r".into(),
    }),
    done_round_trips: Frame::Message(Message::Done(Done {
        round: 5,
        customer: "c".into(),
        key: "k".into(),
        request: "r".into(),
        outcome: DoneState::Result(stored()),
    })),
    trace_reply_round_trips: Frame::Message(Message::TraceReply {
        round: 1,
        record: Some(Box::new(record())),
        since: 12,
    }),
    trace_copies_round_trip: Frame::Message(Message::TraceCopies(vec![record(), Record::default()])),
}

#[test]
fn shard_round_trips() {
    let call = |state| Call {
        fingerprint: Fingerprint([1; 16]),
        request: "r".into(),
        state,
        recorded_ms: 99,
    };
    let name = |key: &str| ("c".into(), key.into());
    let calls = Calls::from([
        (name("1"), call(CallState::Started)),
        (name("2"), call(CallState::Done(stored()))),
        (name("3"), call(CallState::MayHaveRun)),
    ]);
    assert_eq!(decode_shard(&encode_shard(&calls)), Some(calls));
}

/// Guards against a loan of infinite or negative size, which would let a plan exceed its share.
#[test]
fn loan_of_invalid_size_is_rejected() {
    for requests in [f64::NAN, f64::INFINITY, -1.0] {
        let loan = Loan {
            plan: "p".into(),
            requests,
            ..Loan::default()
        };
        let lend = Lend {
            round: 1,
            ttl_ms: 1,
            loans: vec![loan],
        };
        let mut bytes = BytesMut::new();
        encode(&Frame::Message(Message::Lend(lend)), &mut bytes);
        assert!(
            decode(bytes).is_err(),
            "a loan of {requests} requests was accepted"
        );
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Neither decoder may panic.
        drop(decode(&*bytes));
        drop(decode_shard(&bytes));
    }
}

fn gossip_with_context(context: u32) -> Gossip {
    Gossip {
        host: "host-1".into(),
        loads: [1, 2]
            .map(|instance| LoadReport {
                instance,
                calls: 3,
                context: context * instance,
                ..LoadReport::default()
            })
            .into(),
        ..Gossip::default()
    }
}

/// Hosts of an older build send no column of context tokens, and hosts without the setting need none.
/// Guards against a host that rejects their loads, or sends bytes that say nothing.
#[test]
fn loads_without_context_tokens_have_no_column_for_them() {
    let message = gossip_with_context(0);
    let mut bytes = BytesMut::new();
    encode_gossip(&message, &mut bytes);
    let encoded = Word::decode(&*bytes).expect("encoded");
    assert!(encoded.loads.expect("two loads").context.is_empty());
    assert_eq!(decode_gossip(&bytes), Ok(message));
}

/// Guards against context tokens that are taken for those of another server.
#[test]
fn a_column_of_context_tokens_of_another_length_is_rejected() {
    let mut bytes = BytesMut::new();
    encode_gossip(&gossip_with_context(512), &mut bytes);
    assert_eq!(decode_gossip(&bytes), Ok(gossip_with_context(512)));
    let mut encoded = Word::decode(&*bytes).expect("encoded");
    encoded.loads.as_mut().expect("two loads").context.pop();
    let rejected = decode_gossip(&encoded.encode_to_vec());
    assert_eq!(rejected, Err(WireError::Field { field: "loads" }));
}
