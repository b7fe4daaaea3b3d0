//! Tests of input from callers and engines, valid and invalid.

use bytes::Bytes;
use proptest::prelude::*;
use serde_json::json;

use super::backends::ReorderBuffer;
use super::completion::{Endpoint, parse};
use super::problem;
use crate::backend::Chunk;
use crate::core::effect::Refusal;
use crate::error::{Kind, NOT_RUN_STATUSES, Ran};

/// Defines a test for each body: whether it is accepted, and the error that the caller gets if not.
macro_rules! bodies {
    ($($name:ident: $endpoint:ident, $body:expr => $error:expr,)*) => {$(
        #[test]
        fn $name() {
            let error = parse(Endpoint::$endpoint, $body.to_string().as_bytes(), |_| 2000).err();
            let expected: Option<&str> = $error;
            assert_eq!(error.as_deref(), expected);
        }
    )*};
}

bodies! {
    plain: Text, json!({"model": "m", "prompt": "p"}) => None,
    chat: Chat, json!({"model": "m", "messages": [{"role": "user", "content": "c"}]}) => None,
    list: Text, json!([]) => Some("the body is not a JSON object"),
    no_model: Text, json!({"prompt": "p"}) => Some("model is missing"),
    model_of_another_kind: Text, json!({"model": 1, "prompt": "p"})
        => Some("model is not a text"),
    many_prompts: Text, json!({"model": "m", "prompt": ["p"]})
        => Some("prompt is not a single text"),
    message_without_text: Chat, json!({"model": "m", "messages": [{"role": "user"}]})
        => Some("a message lacks role or content as a text"),
    message_that_is_no_object: Chat, json!({"model": "m", "messages": [3]})
        => Some("a message lacks role or content as a text"),
    no_tokens: Text, json!({"model": "m", "prompt": "p", "max_tokens": 0})
        => Some("max_tokens is not a whole number from 1 to 1000000"),
    several_answers: Text, json!({"model": "m", "prompt": "p", "n": 2})
        => Some("n is not 1; ask for each answer on its own"),
}

fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(json!(null)),
        any::<bool>().prop_map(|value| json!(value)),
        any::<i64>().prop_map(|value| json!(value)),
        ".{0,8}".prop_map(|value| json!(value)),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        let key = prop_oneof![
            Just("model".to_owned()),
            Just("prompt".to_owned()),
            Just("messages".to_owned()),
            Just("max_tokens".to_owned()),
            Just("stream".to_owned()),
            Just("role".to_owned()),
            Just("content".to_owned()),
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(|list| json!(list)),
            prop::collection::btree_map(key, inner, 0..5).prop_map(|map| json!(map)),
        ]
    })
}

proptest! {
    #[test]
    fn any_bytes_are_taken_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for endpoint in [Endpoint::Text, Endpoint::Chat] {
            let _ = parse(endpoint, &bytes, |_| 2000);
        }
    }

    #[test]
    fn any_document_is_taken_or_refused(body in any_json()) {
        for endpoint in [Endpoint::Text, Endpoint::Chat] {
            if let Ok((completion, want)) = parse(endpoint, body.to_string().as_bytes(), |_| 0) {
                prop_assert!(!want.model.is_empty() && want.max_output > 0);
                let sent = completion.body(0, "", 0, None);
                prop_assert!(serde_json::from_slice::<serde_json::Value>(&sent).is_ok());
            }
        }
    }

    /// Chunks arrive out of order, twice, or from before the offset at which the stream resumed.
    /// Each is returned once and in order, with the end marker last.
    #[test]
    fn chunks_come_out_in_order(
        first in 0_u64..5,
        count in 0_u64..40,
        shuffle in prop::collection::vec(any::<(u8, bool)>(), 46),
    ) {
        let chunk = |offset, end| Chunk { offset, data: Bytes::new(), is_last: end };
        let mut sent: Vec<(u8, Chunk)> = Vec::new();
        for token in 0..first + count {
            let (place, duplicate) = shuffle[usize::try_from(token).unwrap_or(0)];
            sent.push((place, chunk(token + 1, false)));
            if duplicate {
                sent.push((place / 2, chunk(token + 1, false)));
            }
        }
        sent.push((shuffle[45].0, chunk(first + count, true)));
        sent.sort_by_key(|(place, _)| *place);
        let mut reorder = ReorderBuffer::new(first);
        let mut returned = Vec::new();
        for (_, chunk) in sent {
            prop_assert!(reorder.insert(chunk));
            while let Some((offset, chunk)) = reorder.pop() {
                returned.push((offset, chunk.is_last));
            }
        }
        let mut expected: Vec<_> = (first..first + count).map(|token| (token, false)).collect();
        expected.push((first + count, true));
        prop_assert_eq!(returned, expected);
    }
}

/// An engine skips a token and keeps sending. The chunks after the gap must not exhaust memory.
#[test]
fn chunks_ahead_of_a_gap_are_bounded() {
    let mut reorder = ReorderBuffer::new(0);
    let inserted = (2..1000).take_while(|&offset| {
        reorder.insert(Chunk {
            offset,
            data: Bytes::new(),
            is_last: false,
        })
    });
    assert!(inserted.count() < 100);
    assert!(reorder.pop().is_none());
}

/// A request was sent to engines that did not state whether it ran, and no other engine takes it. Guards against 408, 421,
/// 429 and 503 for a request that may have run: callers read them as "did not run".
#[test]
fn a_request_that_may_have_run_gets_no_status_of_one_that_did_not() {
    for kind in Kind::ALL {
        for ran in [Ran::Yes, Ran::Unknown] {
            let refusal = Refusal::new(kind, "").with_ran(ran);
            let answer = problem::answer(&refusal, "");
            let status = answer.status().as_u16();
            assert!(!NOT_RUN_STATUSES.contains(&status), "{kind:?}: {status}");
            let document = problem::document(&refusal, "");
            assert!(
                document.contains(&format!("\"status\":{status},")),
                "{document}"
            );
        }
        let refusal = Refusal::new(kind, "").with_ran(Ran::No);
        assert_eq!(
            problem::answer(&refusal, "").status().as_u16(),
            kind.answer().status
        );
    }
}
