//! Answers, orders and faults of an engine.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use chiveway::backend::{
    Action, CallError, OrderError, ReadError, fetch_cache_events, fetch_load, open, prefill,
    send_order,
};
use chiveway::error::Ran;
use chiveway::standin::engine::{
    CacheOptions, Crash, Fencing, Options, Role, block_hashes, chat_prompt, expected, prompt_tokens,
};
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::{LIMIT, MANY, TEXT, ask, begin, call, client, engine, fault, get, read, slow, until};

cases! {
    a_stream_is_whole: |c| {
        for opts in [Options::default(), slow()] {
            let e = engine(opts);
            let mut s = begin(c, e.addr, "a clause", 40, "a1").await;
            let (text, offset, done) = read(&mut s, usize::MAX).await.expect("read");
            assert_eq!((text, offset, done), (expected("model", "a clause", 40), 40, true));
            let body = json!({"prompt": "a clause", "max_tokens": 40});
            let whole = call(c, e.addr, "POST", TEXT, &body).await;
            let whole: serde_json::Value = serde_json::from_slice(&whole.body).expect("JSON");
            assert_eq!(whole["choices"][0]["text"], expected("model", "a clause", 40));
            assert_eq!(whole["usage"]["completion_tokens"], 40);
        }
    }

    a_chat_is_one_prompt: |c| {
        let e = engine(Options::default());
        let body = json!({"messages": [{"role": "user", "content": "a \"hut\"?"}],
            "max_tokens": 8, "stream": true});
        let path = "/v1/chat/completions";
        let s = open(c, e.addr, path, body.to_string().into(), "a\"1", None, 0).await;
        let (text, ..) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        let prompt = chat_prompt([("user", "a \"hut\"?")].into_iter());
        assert_eq!(text, expected("model", &prompt, 8));
    }

    /// A connection breaks in the middle of an answer. The caller must get the rest, and the
    /// engine must not run the request again.
    a_broken_stream_is_resumed: |c| {
        let e = engine(Options { reader_grace: LIMIT, ..slow() });
        fault(c, e.addr, json!({"drop_after": 7})).await;
        let mut s = begin(c, e.addr, "a draft", 30, "a1").await;
        let (text, offset, _) = read(&mut s, 7).await.expect("read");
        assert_matches!(read(&mut s, 1).await, Err(ReadError::Lost));
        let s = open(c, e.addr, TEXT, Bytes::new(), "a1", Some(offset), 0).await;
        let (rest, _, done) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((text + &rest, done), (expected("model", "a draft", 30), true));
        assert_eq!(get(c, e.addr, "/stats").await["started"], 1);
        let unknown = open(c, e.addr, TEXT, Bytes::new(), "a2", Some(3), 0).await;
        assert_matches!(unknown, Err(CallError::Status { status: 404, .. }));
    }

    /// An engine dies with an answer half delivered. Another engine goes on at the next token, so
    /// that the caller sees one unbroken answer.
    another_engine_continues: |c| {
        let e = engine(Options::default());
        let head = expected("model", "a draft", 12);
        let body = json!({"prompt": "a draft", "max_tokens": 30, "stream": true,
            "continue_from": {"text": head, "tokens": 12}});
        let s = open(c, e.addr, TEXT, body.to_string().into(), "a1", None, 0).await;
        let (rest, offset, _) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((head + &rest, offset), (expected("model", "a draft", 30), 30));
        assert_eq!(get(c, e.addr, "/stats").await["continue_mismatch"], 0);
    }

    a_caller_that_leaves_cancels: |c| {
        let e = engine(slow());
        let mut s = begin(c, e.addr, "a draft", MANY, "a1").await;
        read(&mut s, 1).await.expect("read");
        drop(s);
        until(c, e.addr, "/log", "/runs/0/end", "cancelled".into()).await;
    }

    a_higher_priority_goes_first: |c| {
        let e = engine(Options { slots: 1, ..slow() });
        let mut first = begin(c, e.addr, "first", MANY, "a1").await;
        read(&mut first, 1).await.expect("read");
        let mut low = begin(c, e.addr, "low", 3, "a2").await;
        let high = open(c, e.addr, TEXT, ask("high", MANY), "a3", None, 5).await;
        drop(first);
        read(&mut high.expect("stream"), 1).await.expect("read");
        assert_eq!(get(c, e.addr, "/log").await["runs"][1]["tokens"], 0);
        let (text, ..) = read(&mut low, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "low", 3));
    }

    /// A process that has lost its authority still gives orders. An engine that checks fencing
    /// numbers must refuse them; one that ignores them shows the harm.
    orders_are_fenced: |c| {
        let (drain, resume) = (Action::Drain, Action::Resume);
        for (fencing, obeyed) in [(Fencing::Checks, false), (Fencing::Ignores, true)] {
            let e = engine(Options { fencing, ..Options::default() });
            send_order(c, e.addr, 6, 1, "h2", &drain).await.expect("order");
            send_order(c, e.addr, 7, 1, "h1", &resume).await.expect("order");
            send_order(c, e.addr, 7, 1, "h1", &resume).await.expect("repeat");
            for (fence, number) in [(6, 1), (6, 9), (7, 1)] {
                let late = send_order(c, e.addr, fence, number, "h2", &drain).await;
                if obeyed {
                    assert_eq!(late, Ok(()));
                } else {
                    assert_eq!(late, Err(OrderError::Fenced { fence: 7 }));
                }
            }
            let load = fetch_load(c, e.addr).await.expect("load");
            assert_eq!((load.draining, load.fence_seen), (obeyed, 7));
            let log = get(c, e.addr, "/log").await;
            assert_eq!(log["orders"].as_array().map(Vec::len), Some(6));
        }
    }

    /// An engine changes its role while it answers. The answer is cut, and new work is refused as
    /// not run until the change is over.
    a_change_cuts_and_refuses: |c| {
        let e = engine(Options { change_duration: Duration::from_millis(300), ..slow() });
        let mut s = begin(c, e.addr, "a draft", MANY, "a1").await;
        let role = Action::Role { role: "decode".into() };
        send_order(c, e.addr, 1, 1, "h1", &role).await.expect("order");
        let refused = open(c, e.addr, TEXT, ask("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(CallError::Status { status: 503, ran: Ran::No, .. }));
        assert_matches!(read(&mut s, usize::MAX).await, Err(ReadError::Lost));
        until(c, e.addr, "/load", "/role", "decode".into()).await;
        let refused = open(c, e.addr, TEXT, ask("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(CallError::Status { status: 409, ran: Ran::No, .. }));
        assert_eq!(get(c, e.addr, "/stats").await["cut"], 1);
    }

    a_cached_prefix_saves_steps: |c| {
        let cache = CacheOptions { max_blocks: 4, drop_nth: 2, ..CacheOptions::default() };
        let e = engine(Options { cache, ..slow() });
        let long = "x".repeat(4 * 8000);
        let mut steps = vec![0];
        for (name, prompt) in [("a1", &long), ("a2", &long)] {
            let mut s = begin(c, e.addr, prompt, 1, name).await;
            read(&mut s, usize::MAX).await.expect("read");
            let stats = get(c, e.addr, "/stats").await;
            steps.push(stats["prefill_steps"].as_u64().expect("steps"));
        }
        // 8,000 tokens at 2,048 a step; the second time all four pieces are held.
        assert_eq!(steps, [0, 4, 4]);
        let list = fetch_cache_events(c, e.addr, 0).await.expect("events");
        assert_eq!(list.iter().map(|event| event.seq).collect::<Vec<_>>(), [1, 3]);
        let names = block_hashes("model", &long, 2000);
        assert_eq!((&list[0].piece, &list[1].piece), (&names[0], &names[2]));
    }

    a_prompt_moves_between_engines: |c| {
        let p = engine(Options { role: Role::Prefill, name: "p".into(), ..Options::default() });
        let d = engine(Options { role: Role::Decode, name: "d".into(), ..Options::default() });
        let done = prefill(c, p.addr, ask("a draft", 9), "a1").await.expect("prefill");
        assert_eq!(done.prompt_tokens, prompt_tokens("a draft"));
        let body = |kv: &str| {
            json!({"prompt": "a draft", "max_tokens": 9, "stream": true,
                "kv_transfer": {"source": p.addr, "handle": kv}}).to_string().into()
        };
        let s = open(c, d.addr, TEXT, body(&done.kv), "a2", None, 0).await;
        let (text, ..) = read(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a draft", 9));
        let stats = get(c, d.addr, "/stats").await;
        assert_eq!((&stats["imports"], &stats["prefill_tokens"]), (&json!(1), &json!(0)));
        let unknown = open(c, d.addr, TEXT, body("kv-none"), "a3", None, 0).await;
        assert_matches!(unknown, Err(CallError::Status { status: 424, ran: Ran::No, .. }));
    }

    /// One request crashes each engine that runs it. Its stream breaks with those of all others
    /// there; while the engine is away nothing runs, and it comes back with nothing kept.
    a_request_crashes_its_engine: |c| {
        let crash = Crash::Restart(Duration::from_millis(200));
        let e = engine(Options { crash, ..slow() });
        fault(c, e.addr, json!({"crash_on": "poison"})).await;
        send_order(c, e.addr, 7, 1, "h1", &Action::Resume).await.expect("order");
        let mut other = begin(c, e.addr, "a draft", MANY, "a1").await;
        // The engine may break the connection before or after the head of its answer.
        if let Ok(mut s) = open(c, e.addr, TEXT, ask("poison", 9), "a2", None, 0).await {
            assert_matches!(read(&mut s, usize::MAX).await, Err(ReadError::Lost));
        }
        assert_matches!(read(&mut other, usize::MAX).await, Err(ReadError::Lost));
        let back = async {
            while fetch_load(c, e.addr).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, back).await.expect("back in time");
        assert_eq!(fetch_load(c, e.addr).await.expect("load").fence_seen, 0);
        let lost = open(c, e.addr, TEXT, Bytes::new(), "a1", Some(0), 0).await;
        assert_matches!(lost, Err(CallError::Status { status: 404, .. }));
        assert_eq!(get(c, e.addr, "/log").await["runs"][0]["end"], "crashed");
    }

    /// An engine dies halfway through a change of role. It must come back in its old role, not
    /// in one that nobody finished putting into force.
    a_crash_halfway_leaves_the_old_role: |c| {
        let crash = Crash::Restart(Duration::from_millis(50));
        let change = Duration::from_millis(50);
        let e = engine(Options { crash, change_duration: change, ..Options::default() });
        fault(c, e.addr, json!({"crash_mid_change": true})).await;
        let role = Action::Role { role: "decode".into() };
        send_order(c, e.addr, 1, 1, "h1", &role).await.expect("order");
        let crashed = async {
            while !fetch_load(c, e.addr).await.is_ok_and(|load| load.fence_seen == 0) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, crashed).await.expect("back in time");
        let load = fetch_load(c, e.addr).await.expect("load");
        assert_eq!((&*load.role, load.changing), ("both", false));
        assert_eq!(get(c, e.addr, "/stats").await["crashes"], 1);
    }

    /// Reports come late, so that a busy engine looks idle and a full cache empty.
    reports_and_events_come_late: |c| {
        let cache = CacheOptions { event_lag: LIMIT, ..CacheOptions::default() };
        let e = engine(Options { load_lag: LIMIT, cache, ..slow() });
        let mut s = begin(c, e.addr, &"x".repeat(8000), MANY, "a1").await;
        read(&mut s, 1).await.expect("read");
        let load = fetch_load(c, e.addr).await.expect("load");
        assert_eq!((load.running, load.pieces_used), (0, 0));
        assert_eq!(fetch_cache_events(c, e.addr, 0).await, Ok(vec![]));
    }

    /// Something between the two ends loses track of the open connections. They bring nothing
    /// more, neither data nor an end, while a new connection works.
    open_streams_go_silent: |c| {
        let e = engine(slow());
        let mut s = begin(c, e.addr, "a draft", 100, "a1").await;
        read(&mut s, 1).await.expect("read");
        fault(c, e.addr, json!({"silent": true})).await;
        until(c, e.addr, "/log", "/runs/0/end", "done".into()).await;
        // All that the engine would ever send, it has sent by now.
        let rest = timeout(Duration::from_millis(300), async {
            while let Ok(Some(_)) = s.next().await {}
        });
        rest.await.expect_err("neither an end nor an error");
        let other = client().await;
        let mut s = begin(&other, e.addr, "a clause", 5, "a2").await;
        let (text, ..) = read(&mut s, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a clause", 5));
    }

    /// An engine repeats chunks, swaps them and mixes in one of another request. Offsets must
    /// tell the order, and the stray chunk must not reach the caller.
    chunks_come_twice_swapped_and_astray: |c| {
        let e = engine(Options::default());
        let faults = json!({"repeat_chunk": true, "reorder_chunks": true, "wrong_attempt": true});
        fault(c, e.addr, faults).await;
        let mut s = begin(c, e.addr, "a clause", 6, "a1").await;
        let mut offsets = Vec::new();
        while let Some(chunk) = s.next().await.expect("read") {
            assert!(!chunk.data.windows(5).any(|part| part == b"stray"));
            offsets.push(chunk.offset);
        }
        assert_eq!(s.foreign_chunks(), 1);
        offsets.sort_unstable();
        assert_eq!(offsets, [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 6]);
    }
}
