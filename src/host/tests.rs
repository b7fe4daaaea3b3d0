//! What callers and engines send, in any shape.

use bytes::Bytes;
use proptest::prelude::*;
use serde_json::json;

use super::backends::InOrder;
use super::completion::{Form, parse};
use crate::backend::Chunk;

/// Makes one test of each body: whether it is taken, and what the caller reads where it is not.
macro_rules! bodies {
    ($($name:ident: $form:ident, $body:expr => $fault:expr,)*) => {$(
        #[test]
        fn $name() {
            let fault = parse(Form::$form, $body.to_string().as_bytes(), |_| 2000).err();
            let wanted: Option<&str> = $fault;
            assert_eq!(fault.as_deref(), wanted);
        }
    )*};
}

bodies! {
    plain: Text, json!({"model": "m", "prompt": "p"}) => None,
    chat: Chat, json!({"model": "m", "messages": [{"role": "user", "content": "c"}]}) => None,
    list: Text, json!([]) => Some("the body is not a JSON object"),
    no_model: Text, json!({"prompt": "p"}) => Some("model is missing"),
    model_of_another_kind: Text, json!({"model": 1, "prompt": "p"}) => Some("model is not a text"),
    many_prompts: Text, json!({"model": "m", "prompt": ["p"]})
        => Some("prompt is not a single text"),
    message_without_text: Chat, json!({"model": "m", "messages": [{"role": "user"}]})
        => Some("a message lacks role or content as a text"),
    message_that_is_none: Chat, json!({"model": "m", "messages": [3]})
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
        for form in [Form::Text, Form::Chat] {
            let _ = parse(form, &bytes, |_| 2000);
        }
    }

    #[test]
    fn any_document_is_taken_or_refused(body in any_json()) {
        for form in [Form::Text, Form::Chat] {
            if let Ok((completion, want)) = parse(form, body.to_string().as_bytes(), |_| 0) {
                prop_assert!(!want.model.is_empty() && want.output > 0);
                let sent = completion.body(0, "", 0, None);
                prop_assert!(serde_json::from_slice::<serde_json::Value>(&sent).is_ok());
            }
        }
    }

    /// Chunks overtake each other, come twice, or come from before the place the stream was
    /// resumed at. Each is passed on once, in order, and the end last.
    #[test]
    fn chunks_come_out_in_order(
        first in 0_u64..5,
        count in 0_u64..40,
        shuffle in prop::collection::vec(any::<(u8, bool)>(), 46),
    ) {
        let chunk = |offset, end| Chunk { offset, data: Bytes::new(), is_last: end };
        let mut sent: Vec<(u8, Chunk)> = Vec::new();
        for token in 0..first + count {
            let (place, twice) = shuffle[usize::try_from(token).unwrap_or(0)];
            sent.push((place, chunk(token + 1, false)));
            if twice {
                sent.push((place / 2, chunk(token + 1, false)));
            }
        }
        sent.push((shuffle[45].0, chunk(first + count, true)));
        sent.sort_by_key(|(place, _)| *place);
        let mut order = InOrder::new(first);
        let mut passed = Vec::new();
        for (_, chunk) in sent {
            prop_assert!(order.put(chunk));
            while let Some((offset, chunk)) = order.pop() {
                passed.push((offset, chunk.is_last));
            }
        }
        let mut wanted: Vec<_> = (first..first + count).map(|token| (token, false)).collect();
        wanted.push((first + count, true));
        prop_assert_eq!(passed, wanted);
    }
}

/// An engine skips a token and goes on for ever. What comes too early must not pile up.
#[test]
fn chunks_ahead_of_a_gap_are_bounded() {
    let mut order = InOrder::new(0);
    let taken = (2..1000).take_while(|&offset| {
        order.put(Chunk {
            offset,
            data: Bytes::new(),
            is_last: false,
        })
    });
    assert!(taken.count() < 100);
    assert!(order.pop().is_none());
}
