//! Trace records of requests, under failures of hosts and the key-value service.

use std::time::Duration;

use assert_matches::assert_matches;

use super::Cluster;
use crate::core::effect::OperatorAnswer;
use crate::core::event::OperatorEvent;
use crate::core::key::CommandKey;
use crate::core::trace::{Attempt, Note, RETENTION, Traces};
use crate::core::{Effect, Event};
use crate::error::Ran;

/// Queries the trace record of a request at a host, and waits for the answer.
fn explain(cluster: &mut Cluster, at: usize, id: &str) -> OperatorAnswer {
    cluster.unhandled.clear();
    let command = CommandKey(cluster.now.micros());
    let id = id.into();
    cluster.feed(at, Event::Operator(OperatorEvent::Explain { command, id }));
    cluster.run(Duration::from_secs(4));
    let answer = cluster
        .unhandled
        .iter()
        .find_map(|(_, effect)| match effect {
            Effect::AnswerOperator {
                command: key,
                answer,
            } if *key == command => Some(answer.clone()),
            _ => None,
        });
    answer.expect("every command is answered")
}

fn reason(answer: OperatorAnswer) -> String {
    match answer {
        OperatorAnswer::NoRecord { reason: why } => why.into(),
        other => panic!("expected no record, got {other:?}"),
    }
}

/// All hosts are replaced at the same time. The record of a call that must run at most once must
/// survive; records of other calls are lost with the hosts, and the answer must say so.
#[test]
fn filing_is_explained_after_all_hosts_are_replaced() {
    let mut cluster = Cluster::new(3, 1);
    let filing = cluster.call(0, "k", 1);
    let question = cluster.send(1, "GET", "q", 1);
    cluster.run(Duration::from_secs(5));
    cluster.replace_all_hosts(Duration::from_secs(5));
    for at in 0..3 {
        let id = cluster.sent[filing].id.clone();
        assert_matches!(
            explain(&mut cluster, at, &id),
            OperatorAnswer::Record(record) if &*record.outcome == "answered" && &*record.key == "k"
        );
    }
    let id = cluster.sent[question].id.clone();
    let why = reason(explain(&mut cluster, 0, &id));
    assert!(why.contains("host that served it is gone"), "{why}");
}

/// The key-value service has an outage when a segment of trace records is written. The records must
/// be written after it.
#[test]
fn a_segment_is_written_again_after_an_outage() {
    let mut cluster = Cluster::new(3, 2);
    let filing = cluster.call(0, "k", 1);
    cluster.run(Duration::from_millis(100));
    cluster.outage(true);
    cluster.run(Duration::from_secs(20));
    cluster.outage(false);
    cluster.run(Duration::from_secs(20));
    cluster.replace_all_hosts(Duration::from_secs(5));
    let id = cluster.sent[filing].id.clone();
    assert_matches!(explain(&mut cluster, 2, &id), OperatorAnswer::Record(_));
}

/// The key-value service accepts a few hundred writes per second from all hosts together. Writes of
/// trace records must not grow with traffic, and ordinary requests must cause none.
#[test]
fn writes_do_not_grow_with_the_traffic() {
    let writes = |calls: u64| {
        let mut cluster = Cluster::new(3, 3);
        for number in 0..calls {
            cluster.call(0, &format!("k-{number}"), 1);
            cluster.send(1, "GET", "", 1);
            cluster.run(Duration::from_millis(10_000 / calls));
        }
        cluster.run(Duration::from_secs(10));
        cluster.store.keys("d/trace/").len()
    };
    let (few, many) = (writes(10), writes(1000));
    assert!(few > 0);
    // At most one write per two seconds from the one host with unrepeatable calls, each to two
    // folders.
    assert!(many <= 20, "{many} segments for 1000 filings, {few} for 10");
}

/// A host crashes while the service runs a call. The copy of its record still says "running"; it
/// must be reported as lost, as its end will never be recorded.
#[test]
fn request_of_a_crashed_host_is_reported_lost() {
    let mut cluster = Cluster::new(3, 4);
    cluster.service_time = Duration::from_secs(30);
    let call = cluster.call(0, "k", 1);
    cluster.run(Duration::from_secs(1));
    cluster.kill(0);
    cluster.run(Duration::from_secs(4));
    let id = cluster.sent[call].id.clone();
    assert_matches!(
        explain(&mut cluster, 1, &id),
        OperatorAnswer::Record(record)
            if &*record.outcome == "lost" && record.ran == Some(Ran::Unknown)
    );
}

/// Expired, mistyped and future request ids each get their own reason, so that an expired record is
/// not mistaken for a request that never arrived.
#[test]
fn reason_is_given_for_a_missing_record() {
    let mut cluster = Cluster::new(2, 5);
    let call = cluster.call(0, "k", 1);
    let id = cluster.sent[call].id.clone();
    cluster.run(Duration::from_secs(5));
    assert!(reason(explain(&mut cluster, 1, "no-id")).contains("not a request id"));
    let unknown = format!("{}0", &id[..id.len()]);
    assert!(reason(explain(&mut cluster, 1, &unknown)).contains("no host has a record"));
    let later = "0123abcd-fffffffffff-1";
    assert!(reason(explain(&mut cluster, 1, later)).contains("arrived yet"));
    cluster.replace_all_hosts(Duration::from_secs(5));
    cluster.outage(true);
    cluster.run(Duration::from_millis(10));
    assert!(reason(explain(&mut cluster, 1, &id)).contains("did not answer"));
    cluster.outage(false);
    cluster.replace_all_hosts(RETENTION + Duration::from_hours(2));
    assert!(reason(explain(&mut cluster, 1, &id)).contains("aged out"));
    assert!(cluster.store.keys("d/trace/").is_empty(), "segments expire");
}

/// Trace records of any size must stay within their memory limit, however many there are.
#[test]
fn records_stay_within_the_memory_limit() {
    let cluster = Cluster::new(1, 6);
    let mut traces = Traces::new(&cluster.hosts[0].core.settings.host, 1);
    let mut kept = 0;
    for number in 0..60_000_u64 {
        let mut record = traces.new_record(number);
        record.customer = "a customer".into();
        record.attempts = vec![Attempt::default(); 2];
        record.notes = (0..number % 5)
            .map(|at| Note {
                at,
                text: "x".repeat(100).into(),
            })
            .collect();
        traces.keep(record);
        kept = traces.count().0;
    }
    assert!(
        (5_000..20_000).contains(&kept),
        "{kept} records kept in 12 MiB, expected 5000 to 20000"
    );
}
