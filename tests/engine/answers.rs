//! Streams, orders, cache and faults of the engine stand-in.

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

use super::{
    COMPLETIONS_PATH, LONG_ANSWER_TOKENS, TEST_TIMEOUT, completion_body, get_json, new_client,
    open_stream, read_tokens, send_call, set_fault, slow_options, start_engine, wait_for_field,
};

cases! {
    a_stream_is_complete: |c| {
        for opts in [Options::default(), slow_options()] {
            let e = start_engine(opts);
            let mut s = open_stream(c, e.addr, "a clause", 40, "a1").await;
            let (text, offset, done) = read_tokens(&mut s, usize::MAX).await.expect("read");
            assert_eq!((text, offset, done), (expected("model", "a clause", 40), 40, true));
            let body = json!({"prompt": "a clause", "max_tokens": 40});
            let answer = send_call(c, e.addr, "POST", COMPLETIONS_PATH, &body).await;
            let answer: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!(answer["choices"][0]["text"], expected("model", "a clause", 40));
            assert_eq!(answer["usage"]["completion_tokens"], 40);
        }
    }

    chat_messages_become_one_prompt: |c| {
        let e = start_engine(Options::default());
        let body = json!({"messages": [{"role": "user", "content": "a \"hut\"?"}],
            "max_tokens": 8, "stream": true});
        let path = "/v1/chat/completions";
        let s = open(c, e.addr, path, body.to_string().into(), "a\"1", None, 0).await;
        let (text, ..) = read_tokens(&mut s.expect("stream"), usize::MAX).await.expect("read");
        let prompt = chat_prompt([("user", "a \"hut\"?")].into_iter());
        assert_eq!(text, expected("model", &prompt, 8));
    }

    /// A connection breaks in the middle of an answer. Guards against a caller that does not get the
    /// rest, and against a second run of the request.
    a_broken_stream_is_resumed: |c| {
        let e = start_engine(Options { reader_grace: TEST_TIMEOUT, ..slow_options() });
        set_fault(c, e.addr, json!({"drop_after": 7})).await;
        let mut s = open_stream(c, e.addr, "a draft", 30, "a1").await;
        let (text, offset, _) = read_tokens(&mut s, 7).await.expect("read");
        assert_matches!(read_tokens(&mut s, 1).await, Err(ReadError::Lost));
        let s = open(c, e.addr, COMPLETIONS_PATH, Bytes::new(), "a1", Some(offset), 0).await;
        let (rest, _, done) = read_tokens(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((text + &rest, done), (expected("model", "a draft", 30), true));
        assert_eq!(get_json(c, e.addr, "/stats").await["started"], 1);
        let unknown = open(c, e.addr, COMPLETIONS_PATH, Bytes::new(), "a2", Some(3), 0).await;
        assert_matches!(unknown, Err(CallError::Status { status: 404, .. }));
    }

    /// An engine crashes in the middle of an answer and another one continues. Guards against missing
    /// or duplicate tokens at the point of the crash.
    another_engine_continues: |c| {
        let e = start_engine(Options::default());
        let start = expected("model", "a draft", 12);
        let body = json!({"prompt": "a draft", "max_tokens": 30, "stream": true,
            "continue_from": {"text": start, "tokens": 12}});
        let s = open(c, e.addr, COMPLETIONS_PATH, body.to_string().into(), "a1", None, 0).await;
        let (rest, offset, _) = read_tokens(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!((start + &rest, offset), (expected("model", "a draft", 30), 30));
        assert_eq!(get_json(c, e.addr, "/stats").await["continue_mismatch"], 0);
    }

    a_closed_connection_cancels_the_run: |c| {
        let e = start_engine(slow_options());
        let mut s = open_stream(c, e.addr, "a draft", LONG_ANSWER_TOKENS, "a1").await;
        read_tokens(&mut s, 1).await.expect("read");
        drop(s);
        wait_for_field(c, e.addr, "/log", "/runs/0/end", "cancelled".into()).await;
    }

    a_higher_priority_request_runs_first: |c| {
        let e = start_engine(Options { slots: 1, ..slow_options() });
        let mut first = open_stream(c, e.addr, "first", LONG_ANSWER_TOKENS, "a1").await;
        read_tokens(&mut first, 1).await.expect("read");
        let mut low = open_stream(c, e.addr, "low", 3, "a2").await;
        let high = open(c, e.addr, COMPLETIONS_PATH, completion_body("high", LONG_ANSWER_TOKENS), "a3", None, 5).await;
        drop(first);
        read_tokens(&mut high.expect("stream"), 1).await.expect("read");
        assert_eq!(get_json(c, e.addr, "/log").await["runs"][1]["tokens"], 0);
        let (text, ..) = read_tokens(&mut low, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "low", 3));
    }

    /// A process that has lost its authority still sends orders. Guards against obeying them at
    /// an engine that checks fencing tokens; one that ignores tokens obeys, as the second case shows.
    stale_orders_are_fenced: |c| {
        let (drain, resume) = (Action::Drain, Action::Resume);
        for (fencing, is_accepted) in [(Fencing::Checks, false), (Fencing::Ignores, true)] {
            let e = start_engine(Options { fencing, ..Options::default() });
            send_order(c, e.addr, 6, 1, "h2", &drain).await.expect("order");
            send_order(c, e.addr, 7, 1, "h1", &resume).await.expect("order");
            send_order(c, e.addr, 7, 1, "h1", &resume).await.expect("repeated order");
            for (fence, number) in [(6, 1), (6, 9), (7, 1)] {
                let stale = send_order(c, e.addr, fence, number, "h2", &drain).await;
                if is_accepted {
                    assert_eq!(stale, Ok(()));
                } else {
                    assert_eq!(stale, Err(OrderError::Fenced { fence: 7 }));
                }
            }
            let load = fetch_load(c, e.addr).await.expect("load");
            assert_eq!((load.draining, load.fence_seen), (is_accepted, 7));
            let log = get_json(c, e.addr, "/log").await;
            assert_eq!(log["orders"].as_array().map(Vec::len), Some(6));
        }
    }

    /// An engine changes its role while it answers. Guards against a stream that hangs instead of being
    /// cut, and against requests during the change that are not refused as not run.
    a_role_change_cuts_streams_and_refuses_requests: |c| {
        let e = start_engine(Options { change_duration: Duration::from_millis(300), ..slow_options() });
        let mut s = open_stream(c, e.addr, "a draft", LONG_ANSWER_TOKENS, "a1").await;
        let role = Action::Role { role: "decode".into() };
        send_order(c, e.addr, 1, 1, "h1", &role).await.expect("order");
        let refused = open(c, e.addr, COMPLETIONS_PATH, completion_body("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(CallError::Status { status: 503, ran: Ran::No, .. }));
        assert_matches!(read_tokens(&mut s, usize::MAX).await, Err(ReadError::Lost));
        wait_for_field(c, e.addr, "/load", "/role", "decode".into()).await;
        let refused = open(c, e.addr, COMPLETIONS_PATH, completion_body("more", 1), "a2", None, 0).await;
        assert_matches!(refused, Err(CallError::Status { status: 409, ran: Ran::No, .. }));
        assert_eq!(get_json(c, e.addr, "/stats").await["cut"], 1);
    }

    a_cached_prefix_saves_steps: |c| {
        let cache = CacheOptions { max_blocks: 4, drop_nth: 2, ..CacheOptions::default() };
        let e = start_engine(Options { cache, ..slow_options() });
        let long = "x".repeat(4 * 8000);
        let mut steps = vec![0];
        for (name, prompt) in [("a1", &long), ("a2", &long)] {
            let mut s = open_stream(c, e.addr, prompt, 1, name).await;
            read_tokens(&mut s, usize::MAX).await.expect("read");
            let stats = get_json(c, e.addr, "/stats").await;
            steps.push(stats["prefill_steps"].as_u64().expect("steps"));
        }
        // 8,000 tokens at 2,048 a step; the second time all four blocks are cached.
        assert_eq!(steps, [0, 4, 4]);
        let list = fetch_cache_events(c, e.addr, 0).await.expect("events");
        assert_eq!(list.iter().map(|event| event.seq).collect::<Vec<_>>(), [1, 3]);
        let hashes = block_hashes("model", &long, 2000);
        assert_eq!((&list[0].piece, &list[1].piece), (&hashes[0], &hashes[2]));
    }

    a_prefilled_prompt_is_transferred_between_engines: |c| {
        let p = start_engine(Options { role: Role::Prefill, name: "p".into(), ..Options::default() });
        let d = start_engine(Options { role: Role::Decode, name: "d".into(), ..Options::default() });
        let done = prefill(c, p.addr, completion_body("a draft", 9), "a1").await.expect("prefill");
        assert_eq!(done.prompt_tokens, prompt_tokens("a draft"));
        let body = |handle: &str| {
            json!({"prompt": "a draft", "max_tokens": 9, "stream": true,
                "kv_transfer": {"source": p.addr, "handle": handle}}).to_string().into()
        };
        let s = open(c, d.addr, COMPLETIONS_PATH, body(&done.kv), "a2", None, 0).await;
        let (text, ..) = read_tokens(&mut s.expect("stream"), usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a draft", 9));
        let stats = get_json(c, d.addr, "/stats").await;
        assert_eq!((&stats["imports"], &stats["prefill_tokens"]), (&json!(1), &json!(0)));
        let unknown = open(c, d.addr, COMPLETIONS_PATH, body("kv-none"), "a3", None, 0).await;
        assert_matches!(unknown, Err(CallError::Status { status: 424, ran: Ran::No, .. }));
    }

    /// A poison request crashes the engine that runs it. Guards against other streams there that hang
    /// instead of breaking, and against an engine that keeps attempts or fencing tokens over its restart.
    a_poison_request_crashes_its_engine: |c| {
        let crash = Crash::Restart(Duration::from_millis(200));
        let e = start_engine(Options { crash, ..slow_options() });
        set_fault(c, e.addr, json!({"crash_on": "poison"})).await;
        send_order(c, e.addr, 7, 1, "h1", &Action::Resume).await.expect("order");
        let mut other = open_stream(c, e.addr, "a draft", LONG_ANSWER_TOKENS, "a1").await;
        // The connection may close before or after the head of the answer.
        if let Ok(mut s) = open(c, e.addr, COMPLETIONS_PATH, completion_body("poison", 9), "a2", None, 0).await {
            assert_matches!(read_tokens(&mut s, usize::MAX).await, Err(ReadError::Lost));
        }
        assert_matches!(read_tokens(&mut other, usize::MAX).await, Err(ReadError::Lost));
        let recovered = async {
            while fetch_load(c, e.addr).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, recovered).await.expect("restart in time");
        assert_eq!(fetch_load(c, e.addr).await.expect("load").fence_seen, 0);
        let unknown = open(c, e.addr, COMPLETIONS_PATH, Bytes::new(), "a1", Some(0), 0).await;
        assert_matches!(unknown, Err(CallError::Status { status: 404, .. }));
        assert_eq!(get_json(c, e.addr, "/log").await["runs"][0]["end"], "crashed");
    }

    /// An engine crashes during a role change. Guards against a restart in the new role,
    /// although the change had not finished.
    a_crash_during_a_role_change_keeps_the_old_role: |c| {
        let crash = Crash::Restart(Duration::from_millis(50));
        let change = Duration::from_millis(50);
        let e = start_engine(Options { crash, change_duration: change, ..Options::default() });
        set_fault(c, e.addr, json!({"crash_mid_change": true})).await;
        let role = Action::Role { role: "decode".into() };
        send_order(c, e.addr, 1, 1, "h1", &role).await.expect("order");
        let crashed = async {
            while !fetch_load(c, e.addr).await.is_ok_and(|load| load.fence_seen == 0) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TEST_TIMEOUT, crashed).await.expect("restart in time");
        let load = fetch_load(c, e.addr).await.expect("load");
        assert_eq!((&*load.role, load.changing), ("both", false));
        assert_eq!(get_json(c, e.addr, "/stats").await["crashes"], 1);
    }

    /// Load reports and cache events are delayed. Guards against a stand-in that reports a busy engine
    /// and a filled cache at once, which would hide faults of hosts with outdated reports.
    load_reports_and_cache_events_can_lag: |c| {
        let cache = CacheOptions { event_lag: TEST_TIMEOUT, ..CacheOptions::default() };
        let e = start_engine(Options { load_lag: TEST_TIMEOUT, cache, ..slow_options() });
        let mut s = open_stream(c, e.addr, &"x".repeat(8000), LONG_ANSWER_TOKENS, "a1").await;
        read_tokens(&mut s, 1).await.expect("read");
        let load = fetch_load(c, e.addr).await.expect("load");
        assert_eq!((load.running, load.pieces_used), (0, 0));
        assert_eq!(fetch_cache_events(c, e.addr, 0).await, Ok(vec![]));
    }

    /// A middlebox drops the state of open connections. Guards against a stand-in that still sends data
    /// or an end on them, or that refuses new connections.
    open_streams_can_hang: |c| {
        let e = start_engine(slow_options());
        let mut s = open_stream(c, e.addr, "a draft", 100, "a1").await;
        read_tokens(&mut s, 1).await.expect("read");
        set_fault(c, e.addr, json!({"silent": true})).await;
        wait_for_field(c, e.addr, "/log", "/runs/0/end", "done".into()).await;
        // The engine has finished the run, so it sends nothing more.
        let rest = timeout(Duration::from_millis(300), async {
            while let Ok(Some(_)) = s.next().await {}
        });
        rest.await.expect_err("neither an end nor an error");
        let other = new_client().await;
        let mut s = open_stream(&other, e.addr, "a clause", 5, "a2").await;
        let (text, ..) = read_tokens(&mut s, usize::MAX).await.expect("read");
        assert_eq!(text, expected("model", "a clause", 5));
    }

    /// An engine duplicates and reorders chunks and adds one of another request. Guards against chunks
    /// without their offset, and against the foreign chunk reaching the caller.
    chunks_can_be_duplicated_reordered_and_foreign: |c| {
        let e = start_engine(Options::default());
        let faults = json!({"repeat_chunk": true, "reorder_chunks": true, "wrong_attempt": true});
        set_fault(c, e.addr, faults).await;
        let mut s = open_stream(c, e.addr, "a clause", 6, "a1").await;
        let mut offsets = Vec::new();
        while let Some(chunk) = s.next().await.expect("read") {
            assert!(!chunk.data.windows(5).any(|window| window == b"stray"));
            offsets.push(chunk.offset);
        }
        assert_eq!(s.foreign_chunks(), 1);
        offsets.sort_unstable();
        assert_eq!(offsets, [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 6]);
    }
}
