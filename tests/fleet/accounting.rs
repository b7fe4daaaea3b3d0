//! Accounting for every request after a scenario with failures, and tests of the check itself.

use std::fmt::Write as _;
use std::thread;
use std::time::Duration;

use chiveway::standin::engine::expected;
use serde_json::json;

use crate::support::account::{
    Exchange, Observations, RequestKind, Violation, retry_while_throttled,
};
use crate::support::http::Answer;
use crate::support::{Fleet, FleetConfig, MODEL, call_service, complete, wait_for};

fn streamed(id: &str, prompt: &str, tokens: u64) -> Exchange {
    let mut body = String::new();
    for token in expected(MODEL, prompt, tokens).split_inclusive(' ') {
        let event = json!({"choices": [{"text": token}]});
        writeln!(body, "data: {event}\n").expect("a string takes it");
    }
    body += "data: [DONE]\n\n";
    let request = RequestKind::Completion(prompt.into(), tokens);
    answered(id, request, 200, body)
}

fn called(id: &str, key: &str, status: u16, ran: &str) -> Exchange {
    let body = json!({"key": key, "ran": ran}).to_string();
    answered(id, RequestKind::Call(key.into()), status, body)
}

fn answered(id: &str, request: RequestKind, status: u16, body: String) -> Exchange {
    let answer = Answer {
        status,
        headers: vec![("x-request-id".into(), id.into())],
        body: body.into_bytes(),
        complete: true,
    };
    Exchange {
        request,
        answer: Some(answer),
    }
}

/// Consistent observations: a stream, a call and a refused call.
fn consistent() -> Observations {
    let mut observations = Observations {
        exchanges: vec![
            streamed("s", "a clause", 8),
            called("c", "k-1", 200, ""),
            called("r", "k-2", 503, "no"),
        ],
        ..Observations::default()
    };
    observations.attempts.insert("s".into(), 1);
    observations.runs.insert("k-1".into(), 1);
    for (id, ran) in [("s", "yes"), ("c", "yes"), ("r", "no")] {
        let record = json!({"id": id, "ran": ran, "outcome": "x", "attempts": []});
        observations.records.insert(id.into(), record);
    }
    observations
}

#[test]
fn consistent_observations_have_no_violation() {
    assert_eq!(consistent().violations(), []);
}

/// Makes one test of each case: a violation planted in consistent observations must be found.
///
/// A check that misses one would let a scenario pass with a lost answer.
macro_rules! planted {
    ($($name:ident: $plant:expr => [$($violation:ident $id:literal),+];)+) => {
        $(#[test]
        fn $name() {
            let mut observations = consistent();
            let plant: fn(&mut Observations) = $plant;
            plant(&mut observations);
            assert_eq!(observations.violations(), [$(Violation::$violation($id.into())),+]);
        })+
    };
}

fn body(observations: &mut Observations, index: usize) -> &mut Vec<u8> {
    &mut observations.exchanges[index]
        .answer
        .as_mut()
        .expect("the exchange has an answer")
        .body
}

planted! {
    answer_of_another_request: |b| b.exchanges[0].request = RequestKind::Completion("another".into(), 8) => [WrongAnswer "s"];
    lost_token: |b| { let text = body(b, 0); let cut = text.len() / 2; *text = text.split_off(cut); }
        => [WrongAnswer "s"];
    missing_end_marker: |b| { let text = body(b, 0); text.truncate(text.len() - 14); }
        => [MissingEndMarker "s"];
    answer_of_another_call: |b| *body(b, 1) = json!({"key": "k-9"}).to_string().into_bytes()
        => [WrongAnswer "c"];
    ran_after_not_run: |b| {
        b.runs.insert("k-2".into(), 1);
        b.records.get_mut("r").expect("the request has a record")["attempts"] = json!([{"ran": "yes"}]);
    } => [RanAfterNotRun "r"];
    stream_ran_after_not_run: |b| {
        *body(b, 0) = b"event: error\ndata: {\"ran\":\"no\"}\n\n".to_vec();
        b.records.get_mut("s").expect("the request has a record")["ran"] = json!("no");
    } => [RanAfterNotRun "s"];
    call_answered_without_run: |b| { b.runs.clear(); } => [NeverRan "c"];
    stream_answered_without_run: |b| { b.attempts.clear(); } => [NeverRan "s"];
    call_ran_twice: |b| { b.runs.insert("k-1".into(), 2); } => [RanTwice "k-1"];
    missing_record: |b| { b.records.remove("c"); } => [Unexplained "c"];
    contradicting_record: |b| b.records.get_mut("r").expect("the request has a record")["ran"] = json!("yes")
        => [ContradictingRecord "r"];
    run_without_request: |b| { b.runs.insert("k-7".into(), 1); } => [RunWithoutRequest "k-7"];
}

fn traffic(fleet: &Fleet) -> Vec<thread::JoinHandle<Vec<Exchange>>> {
    let addrs: Vec<_> = fleet.hosts.iter().map(|host| host.callers).collect();
    let spawn = |client: usize| {
        let addrs = addrs.clone();
        thread::spawn(move || {
            let exchange = |number: usize| {
                let addr = addrs[(client + number) % addrs.len()];
                let request = if number.is_multiple_of(2) {
                    RequestKind::Completion(format!("clause {client} {number}"), 60)
                } else {
                    // Two clients send each key.
                    RequestKind::Call(format!("k-{}-{number}", client / 2))
                };
                let answers = retry_while_throttled(|| match &request {
                    RequestKind::Completion(prompt, tokens) => {
                        complete(addr, prompt, *tokens, true)
                    }
                    RequestKind::Call(key) => call_service(addr, "POST", "/extensions", key, "{}"),
                });
                let exchanges = answers.into_iter().map(|answer| Exchange {
                    request: request.clone(),
                    answer,
                });
                exchanges.collect::<Vec<_>>()
            };
            (0..40).flat_map(exchange).collect()
        })
    };
    (0..8).map(spawn).collect()
}

/// Under traffic, hosts are frozen, thawed and killed, an engine is killed, and the key-value
/// service loses answers and goes down. All answers, runs and records must then agree.
#[test]
fn everything_is_accounted_for_after_kills_and_freezes() {
    let mut fleet = Fleet::start(FleetConfig {
        hosts: 4,
        engine_args: vec!["--speed".into(), "4".into()],
        ..FleetConfig::default()
    });
    let clients = traffic(&fleet);
    let pause = || thread::sleep(Duration::from_millis(150));
    fleet.inject_kv_fault(&json!({"lose_answers": 2, "lose_key": "chiveway/d/once/"}));
    pause();
    fleet.hosts[1].process.freeze();
    pause();
    fleet.backends[0].process.kill();
    fleet.inject_kv_fault(&json!({"down": true}));
    pause();
    fleet.inject_kv_fault(&json!({"down": false}));
    fleet.hosts[1].process.thaw();
    fleet.hosts[2].process.kill();
    let mut exchanges = Vec::new();
    for client in clients {
        exchanges.extend(client.join().expect("the client does not panic"));
    }
    let served = |exchange: &&Exchange| exchange.answer.as_ref().is_some_and(|a| a.status == 200);
    assert!(
        exchanges.iter().filter(served).count() > 100,
        "at most 100 answers had status 200"
    );
    wait_for("host-4 lists three hosts", || {
        let status = fleet.status(3);
        status["hosts"]
            .as_array()
            .is_some_and(|hosts| hosts.len() == 3)
    });
    let observations = Observations::collect(&fleet, 3, exchanges);
    assert_eq!(observations.violations(), []);
}
