//! A request that crashes each engine that runs it.

use std::net::SocketAddr;
use std::thread;

use chiveway::standin::engine::expected;
use chiveway::trial::stream_text;
use serde_json::json;

use crate::support::http::Answer;
use crate::support::{Fleet, FleetConfig, MODEL, complete, inject_fault, open_completion};

const POISON: &str = "a clause that no engine survives";

fn start(hosts: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(FleetConfig {
        hosts,
        engines,
        services: 0,
        engine_args: Vec::new(),
        ..FleetConfig::default()
    });
    for engine in fleet.engines() {
        inject_fault(engine.addr, &json!({"crash_on": POISON}));
    }
    fleet
}

/// Returns how many engines have died.
fn dead(fleet: &mut Fleet) -> usize {
    let engines = fleet.backends.iter_mut();
    engines
        .filter_map(|engine| engine.process.has_exited().then_some(()))
        .count()
}

/// Sends the same request to hosts at once, `copies` to each.
fn at_once(addrs: &[SocketAddr], copies: usize) -> Vec<Answer> {
    let callers: Vec<_> = addrs
        .iter()
        .cycle()
        .take(addrs.len() * copies)
        .map(|&addr| thread::spawn(move || complete(addr, POISON, 20, true)))
        .collect();
    let answers = callers.into_iter().map(thread::JoinHandle::join);
    answers
        .map(|answer| answer.expect("no panic").expect("an answer"))
        .collect()
}

fn refused(answer: &Answer) -> bool {
    answer.status == 422 && answer.text().contains("engine-killer")
}

/// One request crashes each engine that runs it, and its caller sends it again and again, to
/// whatever host the balancer picks, while other callers read long answers from the same
/// engines. Without a bound the whole pool is gone within seconds and every caller sees errors.
#[test]
fn killer_takes_two_engines_and_no_answer() {
    let mut fleet = start(3, 5);
    let addrs: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let innocent: Vec<_> = (0..15)
        .map(|at| {
            let prompt = format!("an innocent clause {at}");
            let mut open = open_completion(addrs[at % 3], &prompt, 250, true).expect("an answer");
            let first = open
                .next_chunk()
                .expect("the stream goes on")
                .expect("a part");
            (prompt, first, open)
        })
        .collect();
    let answers = at_once(&addrs, 2);
    assert!(
        answers
            .iter()
            .all(|answer| stream_text(&answer.body).is_none())
    );
    for answer in at_once(&addrs, 2) {
        assert!(refused(&answer), "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
    }
    let gone = dead(&mut fleet);
    assert!((1..=2).contains(&gone), "{gone} engines died");
    for (prompt, first, open) in innocent {
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

/// The host that saw the engines die is gone, and its place is taken by one that keeps nothing.
/// The caller tries again there, and would take two more engines.
#[test]
fn new_host_refuses_a_known_poison_request() {
    let mut fleet = start(2, 4);
    let first = complete(fleet.hosts[0].callers, POISON, 20, true).expect("an answer");
    assert!(refused(&first), "{}", first.text());
    assert_eq!(dead(&mut fleet), 2);
    fleet.hosts.remove(0).process.kill();
    fleet.add_host("host-3");
    let new = fleet.hosts.len() - 1;
    fleet.wait_until_ready(new);
    for host in &fleet.hosts {
        let again = complete(host.callers, POISON, 20, true).expect("an answer");
        assert!(refused(&again), "{}", again.text());
    }
    assert_eq!(dead(&mut fleet), 2);
}
