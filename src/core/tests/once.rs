//! Calls that must run at most once, under failures of hosts, network and key-value service.

use std::time::Duration;

use assert_matches::assert_matches;
use rand::RngExt;

use super::{CallerResult, Cluster, FaultRates};
use crate::core::Event;
use crate::core::event::{PeerEvent, StoredResponse};
use crate::core::key::ShardKey;
use crate::core::message::{BeginState, Done, DoneState, Heartbeat, Message};
use crate::core::once::{RETENTION, is_canonical, shard_of};
use crate::error::{Kind, Ran};

/// One key arrives at several hosts concurrently and again later, while messages are lost,
/// duplicated and reordered and replies of the key-value service are lost. A call that ran twice
/// would be charged twice.
#[test]
fn one_key_runs_once_despite_lost_messages() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(3, seed);
        cluster.faults = FaultRates {
            drop_message: 0.1,
            duplicate_message: 0.2,
            lose_store_reply: 0.1,
            lose_service_reply: 0.1,
            refuse_call: 0.2,
        };
        for round in 0..12 {
            let host = cluster.rng.random_range(0..3);
            let key = format!("k-{}", round % 4);
            cluster.call(host, &key, 1);
            let pause = cluster.rng.random_range(0..400);
            cluster.run(Duration::from_millis(pause));
        }
        cluster.run(Duration::from_secs(6));
        cluster.check(&format!("seed {seed}"));
        for sent in &cluster.sent {
            assert!(
                sent.result.is_some(),
                "seed {seed}: {} has no answer",
                sent.id
            );
        }
    }
}

/// Without faults the call runs once, and its retry at another host gets the same response.
#[test]
fn retry_at_another_host_gets_the_first_answer() {
    let mut cluster = Cluster::new(3, 1);
    let first = cluster.call(0, "k", 1);
    cluster.run(Duration::from_secs(1));
    let again = cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    for tag in [first, again] {
        assert!(matches!(
            &cluster.sent[tag].result,
            Some(CallerResult::Reply(_))
        ));
    }
    assert_eq!(cluster.runs_by_key["k"], 1);
}

/// Hosts crash, restart under their old names and are suspended past their leases, and the
/// key-value service has outages, while callers retry their keys at random hosts. After recovery
/// each key is either answered or reported as possibly run.
#[test]
fn one_key_runs_once_despite_crashes() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(4, seed);
        cluster.faults = FaultRates {
            drop_message: 0.05,
            duplicate_message: 0.1,
            lose_store_reply: 0.05,
            lose_service_reply: 0.05,
            refuse_call: 0.1,
        };
        for _ in 0..40 {
            inject_fault(&mut cluster);
            let host = cluster.rng.random_range(0..4);
            let key = format!("k-{}", cluster.rng.random_range(0..6));
            if !cluster.hosts[host].frozen {
                cluster.call(host, &key, 1);
            }
            let pause = cluster.rng.random_range(0..600);
            cluster.run(Duration::from_millis(pause));
        }
        recover(&mut cluster);
        cluster.check(&format!("seed {seed}"));
        check_retries(&mut cluster, &format!("seed {seed}"));
    }
}

fn inject_fault(cluster: &mut Cluster) {
    let at = cluster.rng.random_range(0..4);
    match cluster.rng.random_range(0..12) {
        0 if !cluster.hosts[at].crashed => cluster.kill(at),
        1 if cluster.hosts[at].crashed => cluster.restart(at),
        2 | 3 if !cluster.hosts[at].crashed => cluster.freeze(at),
        4 | 5 if cluster.hosts[at].frozen => cluster.thaw(at),
        6 => cluster.outage(true),
        7 | 8 => cluster.outage(false),
        _ => {}
    }
}

fn recover(cluster: &mut Cluster) {
    cluster.faults = FaultRates::default();
    cluster.blocked_links.clear();
    cluster.outage(false);
    for at in 0..cluster.hosts.len() {
        if cluster.hosts[at].crashed {
            cluster.restart(at);
        } else if cluster.hosts[at].frozen {
            cluster.thaw(at);
        }
    }
    cluster.run(Duration::from_secs(8));
}

/// Retries every key: one that never ran must run within three retries, one that ran must not run
/// again.
fn check_retries(cluster: &mut Cluster, what: &str) {
    let keys: std::collections::BTreeSet<Box<str>> =
        cluster.sent.iter().map(|sent| sent.key.clone()).collect();
    for key in keys {
        let mut last = None;
        for _ in 0..3 {
            let tag = cluster.call(0, &key, 1);
            cluster.run(Duration::from_secs(3));
            last = cluster.sent[tag].result.clone();
        }
        let is_resolved = match &last {
            Some(CallerResult::Reply(_)) => true,
            Some(CallerResult::Refused(refusal)) => refusal.kind == Kind::MayHaveRun,
            None => false,
        };
        assert!(is_resolved, "{what}: {key} stays at {last:?}");
    }
    cluster.check(what);
}

/// The key-value service stores the record of a start and its reply is lost. The caller gets "not
/// run", which is true. Its retry must run: it must not be refused as still running until the
/// record expires.
#[test]
fn start_with_a_lost_reply_is_released() {
    for requester in 0..3 {
        let mut cluster = Cluster::new(3, 7);
        cluster.store.lose_record_replies = 1;
        let first = cluster.call(requester, "k", 1);
        cluster.run(Duration::from_secs(3));
        assert_matches!(&cluster.sent[first].result, Some(CallerResult::Refused(refusal)) if refusal.ran == Ran::No);
        let second = cluster.call(1, "k", 1);
        cluster.run(Duration::from_secs(3));
        assert_matches!(&cluster.sent[second].result, Some(CallerResult::Reply(_)));
        cluster.check("after the retry");
    }
}

/// The owner of a record cannot reach the requesting host, which times out and answers "not run"
/// while the record says "started". The record must not block the caller's retry.
#[test]
fn start_answered_after_the_timeout_is_released() {
    for owner in 0..3 {
        let mut cluster = Cluster::new(3, 11);
        let requester = (owner + 1) % 3;
        cluster.blocked_links.push((owner, requester));
        let first = cluster.call(requester, "k", 1);
        cluster.run(Duration::from_millis(2500));
        cluster.blocked_links.clear();
        cluster.run(Duration::from_secs(2));
        assert!(cluster.sent[first].result.is_some());
        let second = cluster.call(requester, "k", 1);
        cluster.run(Duration::from_secs(4));
        assert_matches!(
            &cluster.sent[second].result,
            Some(CallerResult::Reply(_)),
            "owner {owner}"
        );
        cluster.check("after the retry");
    }
}

/// A shard moves to another host and back while a write of it is in flight. The reply to that write
/// must not be matched to the later read: the records would be lost, and a retry of any of them
/// would run again.
#[test]
fn a_shard_that_moves_away_and_back_keeps_its_records() {
    let keys = (0..10_000).map(|number| format!("k-{number}"));
    let near = |key: &String| shard_of(super::CUSTOMER, key) == ShardKey(0);
    let keys: Vec<String> = keys.filter(near).take(20).collect();
    for seed in 0..30 {
        let mut cluster = Cluster::new(2, seed);
        let stop = [stop_heartbeats(&cluster, 0), stop_heartbeats(&cluster, 1)];
        for round in 0..3 {
            for key in &keys {
                cluster.call(round % 2, key, 1);
                let about = cluster.rng.random_range(0..2);
                let gone = cluster.rng.random_bool(0.5);
                cluster.feed(1 - about, stop[about](gone));
                cluster.run(Duration::from_micros(500));
            }
            cluster.run(Duration::from_secs(3));
        }
        cluster.check(&format!("seed {seed}"));
    }
}

/// A host is replaced by a new process under its name while an owner still processes a query of the
/// old one. The new process must not match the reply to one of its own queries.
#[test]
fn reply_to_an_earlier_incarnation_starts_nothing() {
    let mut cluster = Cluster::new(2, 3);
    let first = cluster.call(0, "k", 1);
    let id = cluster.sent[first].id.clone();
    cluster.run(Duration::from_secs(1));
    cluster.restart(0);
    cluster.run(Duration::from_secs(2));
    cluster.blocked_links.push((0, 1));
    let other = cluster.call(0, "other", 1);
    for round in 0..100 {
        cluster.feed(
            0,
            Event::Peer(PeerEvent::Message {
                from: "host-1".into(),
                message: Message::Begun {
                    round,
                    state: BeginState::Started,
                    request: id.clone(),
                },
            }),
        );
    }
    let runs = cluster.hosts[0].core.requests.attempts.len();
    assert_eq!(
        runs, 0,
        "{:?} was sent without a record",
        cluster.sent[other]
    );
}

/// A message that a call did not run is delivered late, after the record has its result. The record
/// must stay, or the next retry would run the call a second time.
#[test]
fn late_release_does_not_overwrite_a_result() {
    let mut cluster = Cluster::new(2, 5);
    let first = cluster.call(0, "k", 1);
    cluster.run(Duration::from_secs(1));
    let done = Done {
        round: 1,
        customer: super::CUSTOMER.into(),
        key: "k".into(),
        request: cluster.sent[first].id.clone(),
        outcome: DoneState::NotRun,
    };
    for at in 0..2 {
        let from = cluster.hosts[1 - at].name.clone();
        let message = Message::Done(done.clone());
        cluster.feed(at, Event::Peer(PeerEvent::Message { from, message }));
    }
    cluster.run(Duration::from_secs(1));
    cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    cluster.check("after the late message");
}

/// A host of an earlier version has recorded a service's refusal, without a statement whether the call ran, as its result.
/// Guards against repeating its status to a retry, which reads it as "did not run".
#[test]
fn recorded_refusal_is_not_repeated() {
    let mut cluster = Cluster::new(2, 7);
    cluster.service_time = Duration::from_secs(10);
    let first = cluster.call(0, "k", 1);
    cluster.run(Duration::from_secs(1));
    let result = StoredResponse {
        status: 503,
        ..StoredResponse::default()
    };
    let done = Done {
        round: 1,
        customer: super::CUSTOMER.into(),
        key: "k".into(),
        request: cluster.sent[first].id.clone(),
        outcome: DoneState::Result(result),
    };
    for at in 0..2 {
        let from = cluster.hosts[1 - at].name.clone();
        let message = Message::Done(done.clone());
        cluster.feed(at, Event::Peer(PeerEvent::Message { from, message }));
    }
    cluster.run(Duration::from_secs(1));
    let again = cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    assert_matches!(
        &cluster.sent[again].result,
        Some(CallerResult::Refused(refusal)) if refusal.kind == Kind::MayHaveRun && refusal.ran == Ran::Unknown
    );
}

/// A write of a result fails once while the key-value service counts as up. It must be retried
/// soon, or every retry of the call is refused as still running.
#[test]
fn failed_write_of_a_result_is_retried() {
    let mut cluster = Cluster::new(2, 9);
    cluster.service_time = Duration::from_millis(500);
    cluster.call(0, "k", 1);
    cluster.run(Duration::from_millis(400));
    cluster.store.refuse_records = 1;
    cluster.run(Duration::from_secs(4));
    assert!(cluster.hosts.iter().all(|host| host.core.once.idle()));
    let again = cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    assert_matches!(&cluster.sent[again].result, Some(CallerResult::Reply(_)));
}

/// Within the retention time a retry gets the first response; after it the key may be used for a
/// new call, whether the shard is full or not.
#[test]
fn record_expires_after_its_retention() {
    let mut cluster = Cluster::new(2, 13);
    cluster.call(0, "k", 1);
    cluster.run(Duration::from_secs(1));
    cluster.replace_all_hosts(RETENTION.saturating_sub(Duration::from_mins(1)));
    cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.runs_by_key["k"], 1);
    cluster.replace_all_hosts(Duration::from_mins(2));
    cluster.call(1, "k", 1);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.runs_by_key["k"], 2);
}

/// Many keys are used once each. A host must unload idle shards, so that it does not keep the
/// records of a whole day in memory.
#[test]
fn idle_shards_are_unloaded() {
    let mut cluster = Cluster::new(1, 17);
    for number in 0..300 {
        cluster.call(0, &format!("k-{number}"), 1);
        cluster.run(Duration::from_millis(20));
    }
    assert!(cluster.hosts[0].core.once.loaded_shards() > 100);
    cluster.run(Duration::from_mins(2));
    cluster.call(0, "last", 1);
    cluster.run(Duration::from_mins(2));
    assert_eq!(cluster.hosts[0].core.once.loaded_shards(), 0);
    cluster.call(0, "k-7", 1);
    cluster.run(Duration::from_secs(1));
    cluster.check("after reloading a shard");
}

/// Returns a function that makes heartbeats of host `at`, which report it as stopping or not.
fn stop_heartbeats(cluster: &Cluster, at: usize) -> impl Fn(bool) -> Event + use<> {
    let from = cluster.hosts[at].name.clone();
    let number = std::cell::Cell::new(cluster.now.micros());
    move |stopping| {
        number.set(number.get() + 1);
        Event::Peer(PeerEvent::Message {
            from: from.clone(),
            message: Message::Heartbeat(Heartbeat {
                number: number.get(),
                stopping,
                ..Heartbeat::default()
            }),
        })
    }
}

/// Defines one test per case: a method, a path, and whether both are in canonical form.
///
/// A rule that allows retries of `/deadlines*` is matched against the bytes of the path. A service
/// that normalizes `/deadlines/../extensions` to `/extensions` would run a call twice.
macro_rules! paths {
    ($($name:ident: $method:literal $path:literal => $canonical:literal;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(is_canonical($method, $path), $canonical);
        })+
    };
}

paths! {
    plain_path: "POST" "/extensions" => true;
    bare_path: "GET" "/" => true;
    path_ending_in_a_slash: "GET" "/deadlines/" => true;
    path_with_escaped_letter: "GET" "/deadlines/%C3%A6r%C3%B8" => true;
    path_with_dots_in_names: "GET" "/a.b/...c" => true;
    dot_segments: "GET" "/deadlines/../extensions" => false;
    dot_segment_at_the_end: "GET" "/deadlines/.." => false;
    dot_segment_with_parameter: "GET" "/deadlines/..;x/extensions" => false;
    escaped_dots: "GET" "/deadlines/%2E%2E/extensions" => false;
    escaped_dots_in_lowercase: "GET" "/deadlines/%2e%2e/extensions" => false;
    escaped_slash: "GET" "/deadlines%2Fextensions" => false;
    escaped_backslash: "GET" "/deadlines%5C..%5Cextensions" => false;
    escaped_percent: "GET" "/deadlines%252F" => false;
    escaped_plain_letter: "GET" "/%65xtensions" => false;
    escape_in_lowercase: "GET" "/%c3%a6" => false;
    broken_escape: "GET" "/a%2" => false;
    escaped_end_of_line: "GET" "/a%0A" => false;
    empty_segment: "GET" "//extensions" => false;
    empty_segment_inside: "GET" "/deadlines//x" => false;
    backslash: "GET" "/deadlines\\..\\extensions" => false;
    lowercase_method: "post" "/extensions" => false;
    mixed_case_method: "Get" "/extensions" => false;
    empty_path: "GET" "" => false;
}
