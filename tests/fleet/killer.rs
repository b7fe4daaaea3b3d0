//! Poison requests: requests that crash each engine that runs them.

use std::net::SocketAddr;
use std::thread;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::json;

use crate::support::http::Answer;
use crate::support::{Fleet, FleetConfig, MODEL, complete, inject_fault, open_completion};

const POISON_PROMPT: &str = "a clause that no engine survives";

fn start(hosts: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(FleetConfig {
        hosts,
        engines,
        services: 0,
        engine_args: Vec::new(),
        ..FleetConfig::default()
    });
    for engine in fleet.engines() {
        inject_fault(engine.addr, &json!({"crash_on": POISON_PROMPT}));
    }
    fleet
}

/// Returns the number of crashed engines.
fn crashed(fleet: &mut Fleet) -> usize {
    let engines = fleet.backends.iter_mut();
    engines
        .filter_map(|engine| engine.process.has_exited().then_some(()))
        .count()
}

/// Sends copies of the poison request to hosts at the same moment, `copies` to each.
fn send_poison(addrs: &[SocketAddr], copies: usize) -> Vec<Answer> {
    let callers: Vec<_> = addrs
        .iter()
        .cycle()
        .take(addrs.len() * copies)
        .map(|&addr| thread::spawn(move || complete(addr, POISON_PROMPT, 20, true)))
        .collect();
    let answers = callers.into_iter().map(thread::JoinHandle::join);
    answers
        .map(|answer| {
            answer
                .expect("no thread panicked")
                .expect("the host answers")
        })
        .collect()
}

fn refused(answer: &Answer) -> bool {
    answer.status == 422 && answer.text().contains("engine-killer")
}

/// A caller sends a poison request repeatedly to all hosts while other callers read long streams
/// from the same engines. At most two engines may crash, and the other streams must be complete;
/// without a bound the whole pool would crash within seconds.
#[test]
fn killer_takes_two_engines_and_no_answer() {
    let mut fleet = start(3, 5);
    let addrs: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let streams: Vec<_> = (0..15)
        .map(|index| {
            let prompt = format!("an innocent clause {index}");
            let mut open =
                open_completion(addrs[index % 3], &prompt, 250, true).expect("the host answers");
            let first = open
                .next_chunk()
                .expect("the stream is not truncated")
                .expect("the stream has a chunk");
            (prompt, first, open)
        })
        .collect();
    let answers = send_poison(&addrs, 2);
    for answer in &answers {
        assert!(stream_text(&answer.body).is_none(), "{}", answer.text());
    }
    for answer in send_poison(&addrs, 2) {
        assert!(refused(&answer), "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
    }
    let crashes = crashed(&mut fleet);
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} engines crashed, expected 1 or 2: {:#?}",
        answers
            .iter()
            .map(|answer| fleet.explain(0, &answer.id()))
            .collect::<Vec<_>>()
    );
    for (prompt, first, open) in streams {
        let answer = open.rest();
        let body = [first, answer.body].concat();
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(
            stream_text(&body),
            Some(expected(MODEL, &prompt, 250)),
            "{prompt}: {}",
            text.lines().last().unwrap_or_default()
        );
    }
}

/// The host that received a poison request is replaced by one without any state. If the new host
/// did not learn of the request from its peers, it would crash two more engines.
#[test]
fn new_host_refuses_a_known_poison_request() {
    let mut fleet = start(2, 4);
    let first =
        complete(fleet.hosts[0].callers, POISON_PROMPT, 20, true).expect("the host answers");
    assert!(refused(&first), "{}", first.text());
    assert_eq!(crashed(&mut fleet), 2);
    fleet.hosts.remove(0).process.kill();
    fleet.add_host("host-3");
    let new = fleet.hosts.len() - 1;
    fleet.wait_until_ready(new);
    for host in &fleet.hosts {
        let again = complete(host.callers, POISON_PROMPT, 20, true).expect("the host answers");
        assert!(refused(&again), "{}", again.text());
    }
    assert_eq!(crashed(&mut fleet), 2);
}
