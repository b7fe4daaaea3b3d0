//! Decoders meet anything; what is sent comes back.

use bytes::BytesMut;
use proptest::prelude::*;

use super::{Frame, Hello, PROTOCOL_VERSION, decode, decode_shard, encode, encode_shard};
use crate::core::event::{Print, Stored};
use crate::core::message::{Begin, BeginState, Done, DoneState, Lend, Loan, Message};
use crate::core::once::{Call, CallState, Calls};
use crate::core::trace::{Attempt, Note, Record};
use crate::error::Ran;

/// Makes one test of each frame: its bytes read back as the same frame.
macro_rules! returns {
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

fn stored() -> Stored {
    Stored {
        status: 201,
        media: "application/json".into(),
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

returns! {
    hello_returns: Frame::Hello(Hello { version: PROTOCOL_VERSION, name: "dk-1".into(), nonce: [7; 32] }),
    proof_returns: Frame::Proof([9; 32]),
    begin_returns: Frame::Message(Message::Begin(Begin {
        round: 4,
        customer: "Sønderborg".into(),
        key: "k-1".into(),
        print: Print([3; 16]),
        request: "r".into(),
    })),
    begun_returns: Frame::Message(Message::Begun {
        round: 4,
        state: BeginState::Done(stored()),
        request: "r".into(),
    }),
    done_returns: Frame::Message(Message::Done(Done {
        round: 5,
        customer: "c".into(),
        key: "k".into(),
        request: "r".into(),
        outcome: DoneState::Result(stored()),
    })),
    told_returns: Frame::Message(Message::Told {
        round: 1,
        record: Some(Box::new(record())),
        since: 12,
    }),
    traces_return: Frame::Message(Message::Traces(vec![record(), Record::default()])),
}

#[test]
fn shard_returns() {
    let call = |state| Call {
        fingerprint: Print([1; 16]),
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

/// A loan of infinite or negative size would let a plan exceed its share at once.
#[test]
fn loan_of_no_size_is_refused() {
    for requests in [f64::NAN, f64::INFINITY, -1.0] {
        let loan = Loan {
            plan: "p".into(),
            requests,
            ..Loan::default()
        };
        let lend = Lend {
            round: 1,
            life: 1,
            loans: vec![loan],
        };
        let mut bytes = BytesMut::new();
        encode(&Frame::Message(Message::Lend(lend)), &mut bytes);
        assert!(decode(bytes).is_err(), "{requests} was taken");
    }
}

proptest! {
    #[test]
    fn any_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        // Both must return; neither may panic.
        drop(decode(&*bytes));
        drop(decode_shard(&bytes));
    }
}
