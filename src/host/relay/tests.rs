//! Tests of input from other hosts and from engines, valid and invalid.

use std::time::Duration;

use bytes::BytesMut;
use hyper::Method;
use proptest::prelude::*;
use prost::Message as _;

use super::callers::relay_fingerprint;
use super::datagrams::{seal, verify};
use super::events::Splitter;
use super::forward::{self, Origin};
use super::store::prefix_keys;
use crate::core::relay::event::{
    ChangeReport, CrashReport, CustomerTime, DepartureReport, Departures, EngineTimeReport, Gossip,
    GossipKind, LimitReport, LoadReport, PartReport, RestTime, Spent, Stage, StreamMessage,
    StreamQuery, StreamRecord, StreamReply, UptimeReport,
};
use crate::core::relay::versions::{InUse, StreamKey, Version};
use crate::store::{Compare, Op, Span, Txn};
use crate::wire;

fn gossip() -> Gossip {
    Gossip {
        host: "host-1".into(),
        addr: Some(([10, 9, 0, 1], 7660).into()),
        incarnation: 7,
        sequence: 3,
        loads: vec![LoadReport {
            instance: 1,
            calls: 2,
            fill: 3,
            tokens: 4,
            prompts: 5,
            context: 512,
        }],
        included_domains: vec![9],
        changes: vec![ChangeReport {
            instance: 12,
            to: Stage::Prefill,
            number: (1 << 40, 7),
            remaining: Duration::from_millis(3900),
        }],
        limits: vec![
            LimitReport {
                instance: 1,
                rate: Some(1.25),
                age: Duration::from_millis(20),
            },
            LimitReport {
                instance: 2,
                rate: None,
                age: Duration::from_millis(30),
            },
        ],
        departures: vec![
            DepartureReport {
                instance: 5,
                started_ms: 1_770_695_843_786,
                revision: Some(209),
            },
            DepartureReport {
                instance: 6,
                started_ms: 0,
                revision: None,
            },
        ],
        crashes: vec![CrashReport {
            fingerprint: 8,
            instance: 5,
            started_ms: 1_770_695_843_786,
            number: 2,
        }],
        parts: vec![
            PartReport {
                part: 3,
                depth: 1,
                customer: 9,
                crashed: Some((5, 1_770_695_843_786)),
                began: true,
                age: Duration::from_millis(70),
            },
            PartReport {
                part: 4,
                age: Duration::from_millis(20),
                ..PartReport::default()
            },
        ],
        uptime: Some(UptimeReport {
            length: Duration::from_secs(9),
            age: Duration::from_millis(400),
        }),
        engine_times: vec![EngineTimeReport {
            service: 11,
            overload_age: Duration::from_millis(250),
            customers: vec![
                CustomerTime {
                    customer: u64::MAX,
                    rank: 2,
                    used_us: 1_200_000,
                    unmet_us: 0,
                },
                CustomerTime::default(),
            ],
            rest: RestTime {
                customers: 30_936,
                rank: 9,
                used_us: 7,
                unmet_us: 8,
            },
        }],
        ..Gossip::default()
    }
}

/// Guards against a removal that names another key than the write did, so that the store keeps what hosts no longer refuse.
#[test]
fn every_key_of_a_transaction_has_the_prefix() {
    let txn = prefix_keys(Txn {
        compare: vec![Compare::Absent { key: "a".into() }],
        then: vec![
            Op::Put {
                key: "a".into(),
                value: bytes::Bytes::from_static(b"1"),
                lease: 0,
            },
            Op::Delete(Span::Key("b".into())),
            Op::Delete(Span::Prefix("c".into())),
        ],
        ..Txn::default()
    });
    let keys: Vec<&str> = txn.then.iter().filter_map(written_key).collect();
    assert_eq!(keys, ["chiveway/a", "chiveway/b", "chiveway/c"]);
    let key = "chiveway/a".into();
    assert_eq!(txn.compare, [Compare::Absent { key }]);
}

fn written_key(op: &Op) -> Option<&str> {
    match op {
        Op::Put { key, .. } | Op::Delete(Span::Key(key) | Span::Prefix(key)) => Some(key),
        Op::Get(_) => None,
    }
}

/// Loads as a host of an older build reads and sends them.
#[derive(Clone, PartialEq, prost::Message)]
struct OldLoads {
    #[prost(fixed32, repeated, tag = "1")]
    instances: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    calls: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    fill: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    tokens: Vec<u32>,
}

/// A message with such loads.
#[derive(Clone, PartialEq, prost::Message)]
struct OldWord {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(message, optional, tag = "15")]
    loads: Option<OldLoads>,
}

/// Guards against builds that drop each other's messages during an upgrade.
#[test]
fn hosts_of_older_builds_exchange_loads_with_this_one() {
    let mut bytes = BytesMut::new();
    wire::encode_gossip(&gossip(), &mut bytes);
    let old = OldWord::decode(&*bytes).expect("an older build reads it");
    let loads = old.loads.clone().expect("loads");
    assert_eq!((loads.instances, loads.tokens), (vec![1], vec![4]));
    let message = wire::decode_gossip(&old.encode_to_vec()).expect("this build reads it");
    let expected = LoadReport {
        prompts: 0,
        context: 0,
        ..gossip().loads[0]
    };
    assert_eq!(message.loads, [expected]);
    assert!(message.included_domains.is_empty());
}

/// A third party can reach the port. Gossip accepted from it could make a host refuse its callers
/// because of load that does not exist.
#[test]
fn gossip_without_the_secret_is_rejected() {
    let bytes = seal(&[1; 32], &gossip());
    let rest = verify(Some([1; 32]), &bytes).expect("verified");
    assert_eq!(wire::decode_gossip(rest), Ok(gossip()));
    assert_eq!(verify(Some([2; 32]), &bytes), None);
    assert_eq!(verify(None, &bytes), None);
    assert_eq!(verify(Some([1; 32]), &bytes[..10]), None);
    let mut other = bytes.to_vec();
    *other.last_mut().expect("bytes") ^= 1;
    assert_eq!(verify(Some([1; 32]), &other), None);
}

/// Hosts of two builds run side by side. Guards against a message that is not read for a field that only one of them knows.
#[test]
fn a_message_with_an_unknown_field_is_read() {
    let mut bytes = bytes::BytesMut::new();
    wire::encode_gossip(&gossip(), &mut bytes);
    // Field 2000, three bytes long.
    bytes.extend_from_slice(&[0x82, 0x7d, 3, 1, 2, 3]);
    assert_eq!(wire::decode_gossip(&bytes), Ok(gossip()));
}

/// Guards against a version, or the lack of one, that changes on the way to another host.
#[test]
fn messages_about_streams_arrive_unchanged() {
    let record = StreamRecord {
        stream: StreamKey(u64::MAX),
        service: 3,
        version: Version::of(Some("v1")),
    };
    let query = StreamQuery {
        stream: record.stream,
        service: 3,
    };
    let reply = |record, in_use| StreamReply {
        query,
        record,
        in_use,
    };
    let message = Gossip {
        kind: GossipKind::Streams(StreamMessage {
            records: vec![record],
            queries: vec![query],
            replies: vec![
                reply(Some(record), InUse::Several),
                reply(None, InUse::Only(Version::UNKNOWN)),
                reply(None, InUse::Unknown),
            ],
        }),
        ..Gossip::default()
    };
    let message = Gossip {
        host: "host-1".into(),
        ..message
    };
    let bytes = seal(&[1; 32], &message);
    let rest = verify(Some([1; 32]), &bytes).expect("verified");
    assert_eq!(wire::decode_gossip(rest), Ok(message));
}

proptest! {
    /// The bytes of a stream arrive split at any place. Events must be returned complete, in order
    /// and unchanged, and an incomplete last event must not be returned.
    #[test]
    fn streams_are_split_into_complete_events(
        cuts in proptest::collection::vec(1_usize..20, 0..40),
        crlf: bool,
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let event = |number: u64| format!("id: {number}{end}data: {number}{end}{end}");
        let all: String = (1..=9).map(event).collect();
        let stream = format!("{all}id: 10{end}da");
        let mut splitter = Splitter::default();
        let (mut rest, mut cuts) = (stream.as_bytes(), cuts.into_iter());
        let (mut out, mut numbers) = (Vec::new(), Vec::new());
        while !rest.is_empty() {
            let (part, later) = rest.split_at(cuts.next().unwrap_or(rest.len()).min(rest.len()));
            rest = later;
            prop_assert_eq!(splitter.push(part), Some(()));
            while let Some(event) = splitter.next() {
                numbers.push(event.number);
                out.extend_from_slice(&event.data);
            }
        }
        prop_assert_eq!(numbers, (1..=9).collect::<Vec<u64>>());
        prop_assert_eq!(out, all.as_bytes());
        let left = format!("id: 10{end}da");
        prop_assert_eq!(&*splitter.rest(), left.as_bytes());
    }

    /// Decoding terminates without a panic on any bytes.
    #[test]
    fn any_datagram_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::decode_gossip(&bytes);
        let _ = verify(Some([0; 32]), &bytes);
    }
}

/// Splits a stream that arrives byte by byte; returns the numbers of its events and the bytes of an unfinished one.
fn split(stream: &str) -> (Vec<u64>, usize) {
    let mut splitter = Splitter::default();
    let mut numbers = Vec::new();
    for byte in stream.bytes() {
        splitter.push(&[byte]).expect("a short event");
        numbers.extend(std::iter::from_fn(|| splitter.next()).map(|event| event.number));
    }
    (numbers, splitter.unfinished())
}

/// Defines one test for each form of the end of a stream.
macro_rules! stream_ends {
    ($($name:ident: $stream:expr => $numbers:expr, $unfinished:expr;)*) => {$(
        /// Guards against an event that is taken for complete before its end, or a complete one for unfinished.
        #[test]
        fn $name() {
            assert_eq!(split($stream), ($numbers, $unfinished));
        }
    )*};
}

stream_ends! {
    a_stream_of_line_feeds: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" => vec![1, 2], 0;
    a_stream_of_carriage_returns: "id: 1\rdata: a\r\rid: 2\rdata: b\r\r" => vec![1, 2], 0;
    a_stream_of_both: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" => vec![1, 2], 0;
    a_stream_of_mixed_line_ends: "id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\n" => vec![1, 2], 0;
    a_stream_without_its_last_empty_line: "id: 1\ndata: a\n\nid: 2\ndata: b\n" => vec![1], 14;
    a_stream_without_its_last_line_feed: "id: 1\r\ndata: a\r\n\r" => vec![], 17;
    a_stream_that_ends_inside_a_line: "id: 1\ndata: a\n\nid" => vec![1], 2;
    a_stream_that_ends_inside_a_comment: "id: 1\ndata: a\n\n: pi" => vec![1], 4;
    a_stream_that_ends_after_a_comment: "id: 1\ndata: a\n\n: ping\n" => vec![1], 0;
    a_stream_that_ends_after_another_empty_line: "id: 1\ndata: a\n\n\n" => vec![1], 0;
    a_stream_that_begins_with_an_empty_line: "\n\nid: 1\ndata: a\n\n" => vec![1], 0;
    an_empty_stream: "" => vec![], 0;
}

/// Guards against a long line that arrives in small parts and is searched from its start with each of them.
#[test]
fn a_long_line_is_searched_once() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\n").expect("a short event");
    assert!(splitter.next().is_some());
    for received in 1..=10 {
        splitter.push(&[b'x'; 100]).expect("a short event");
        assert_eq!(splitter.next(), None);
        assert_eq!(splitter.search_start(), received * 100);
    }
    splitter.push(b"\ndata: b\n\n").expect("a short event");
    assert!(splitter.next().is_some());
    assert_eq!(splitter.search_start(), 0);
}

/// Guards against an answer to one request that clears the crashes under another one.
#[test]
fn requests_that_differ_have_other_fingerprints() {
    let one = relay_fingerprint(&Method::POST, "h.example", "/a?x=1", b"body");
    let others = [
        relay_fingerprint(&Method::PUT, "h.example", "/a?x=1", b"body"),
        relay_fingerprint(&Method::POST, "other.example", "/a?x=1", b"body"),
        relay_fingerprint(&Method::POST, "h.example", "/a?x=2", b"body"),
        relay_fingerprint(&Method::POST, "h.example", "/a?x=1", b"other"),
    ];
    assert!(!others.contains(&one));
    for same in ["H.example", "h.example:8144"] {
        assert_eq!(
            one,
            relay_fingerprint(&Method::POST, same, "/a?x=1", b"body")
        );
    }
}

fn origin(reports: Vec<DepartureReport>) -> Origin {
    Origin {
        from: "host-1".into(),
        remaining: Duration::from_millis(700),
        resume: Some(2),
        version: None,
        spent: Spent {
            runs: 1,
            arrivals: 2,
            prefills: 0,
        },
        departures: Departures { era: 3, reports },
    }
}

fn verify_forwarded(headers: &[(&'static str, String)]) -> Option<Origin> {
    let headers = headers.iter();
    let headers: Vec<(&str, &[u8])> = headers
        .map(|(name, value)| (*name, value.as_bytes()))
        .collect();
    forward::verify(Some([1; 32]), &headers, "/x", b"body")
}

/// Guards against departures that change on the way to another host with a forwarded request.
#[test]
fn what_a_host_states_of_a_forwarded_request_arrives_unchanged() {
    let stated = origin(gossip().departures);
    let headers = forward::seal(&[1; 32], &stated, "/x", b"body");
    assert_eq!(verify_forwarded(&headers), Some(stated));
}

/// Guards against a third party that has a host drop sound servers.
#[test]
fn departures_without_the_secret_are_rejected() {
    let sealed = forward::seal(&[1; 32], &origin(gossip().departures), "/x", b"body");
    for forged in [
        "chiveway-forward-departures",
        "chiveway-forward-departures-mac",
    ] {
        let mut headers = sealed.clone();
        let header = headers.iter_mut().find(|(name, _)| *name == forged);
        header
            .expect("the header is sent")
            .1
            .replace_range(0..1, "7");
        assert_eq!(verify_forwarded(&headers), None, "{forged}");
    }
}

/// Hosts of an earlier version neither send nor read departures. Guards against refusing their requests.
#[test]
fn the_mac_of_a_forwarded_request_holds_without_departures() {
    let mut headers = forward::seal(&[1; 32], &origin(gossip().departures), "/x", b"body");
    headers.retain(|(name, _)| !name.starts_with("chiveway-forward-departures"));
    let stated = verify_forwarded(&headers).expect("verified");
    assert_eq!(stated.departures, Departures::default());
}
