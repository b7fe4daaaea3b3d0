//! Records with planted violations. Guards against a checker that misses them, and so passes any run.

use std::time::Duration;

use crate::check::{
    BESIDE_CROWD, Departure, IN_CROWD, LATE_AFTER, Observation, Order, Record, RequestKind, Run,
    SECOND_ATTEMPT, check,
};
use crate::record::{crossed_handle, unproven_lines};
use crate::standin;

fn observation(kind: RequestKind) -> Observation {
    let body = match kind {
        RequestKind::Once | RequestKind::Again => format!("s-1 {} id-1", kind.path()),
        RequestKind::Long | RequestKind::Short => standin::events("s-1", 1..=4),
    };
    Observation {
        id: "id-1".to_owned(),
        kind,
        status: Some(200),
        answered_id: Some("id-1".to_owned()),
        body,
        is_complete: true,
        server_stamp: Some("s-1".to_owned()),
        planned_only: true,
    }
}

fn run(server: &str) -> Run {
    Run {
        server: server.to_owned(),
        id: "id-1".to_owned(),
    }
}

fn record(observation: Observation, runs: &[&str]) -> Record {
    Record {
        observations: vec![observation],
        runs: runs.iter().map(|server| run(server)).collect(),
        ..Record::default()
    }
}

fn order(holder: &str, fence: u64) -> Order {
    Order {
        engine: "p-1".to_owned(),
        holder: holder.to_owned(),
        fence,
    }
}

/// A request that arrived and was worked on for so many milliseconds after its caller had left.
fn departure(arrived_after: u64, worked_for: u64) -> Departure {
    Departure {
        id: "id-1".to_owned(),
        arrived_after: Duration::from_millis(arrived_after),
        worked_for: Duration::from_millis(worked_for),
    }
}

/// Defines one test for each case: a record, and a part of the violation that the checker must report.
macro_rules! planted {
    ($($name:ident: $record:expr => $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let violations = check(&$record);
            let message: &str = $message;
            assert!(violations.iter().any(|violation| violation.contains(message)), "{violations:?}");
        }
    )*};
}

#[test]
fn a_correct_record_passes() {
    for kind in RequestKind::ALL {
        let violations = check(&record(observation(kind), &["s-1"]));
        assert!(violations.is_empty(), "{violations:?}");
    }
    let refused = Observation {
        status: Some(503),
        answered_id: None,
        server_stamp: None,
        ..observation(RequestKind::Once)
    };
    let violations = check(&record(refused, &[]));
    assert!(violations.is_empty(), "{violations:?}");
}

planted! {
    a_non_retryable_call_that_ran_twice: record(observation(RequestKind::Once), &["s-1", "s-2"]) => "ran twice";
    a_false_not_run_refusal: record(Observation {
        status: Some(503),
        server_stamp: None,
        ..observation(RequestKind::Long)
    }, &["s-1"]) => "refused as not run";
    a_false_not_run_refusal_with_the_stamp_of_a_server: record(Observation {
        status: Some(503),
        ..observation(RequestKind::Once)
    }, &["s-1"]) => "refused as not run";
    a_refusal_of_another_request: record(Observation {
        status: Some(503),
        answered_id: Some("id-2".to_owned()),
        ..observation(RequestKind::Again)
    }, &[]) => "an answer to another";
    a_changed_body: Record {
        altered: vec!["id-1 at s-1: \"id-2\"".to_owned()],
        ..Record::default()
    } => "a changed body reached a server: id-1";
    a_request_that_goes_on_from_the_prefill_of_another: Record {
        crossed: crossed_handle("x-chiveway-kv-source: 127.0.0.1:80/h-id-2\n", "id-1")
            .map(str::to_owned)
            .into_iter()
            .collect(),
        ..Record::default()
    } => "went on from another prefill: h-id-2";
    a_refusal_that_a_host_cannot_prove: Record {
        unproven: unproven_lines("{\"event\":\"request.sent\"}\n{\"event\":\"refusal.unproven\",\"id\":\"id-1\"}\n"),
        ..Record::default()
    } => r#"a refusal without proof: {"event":"refusal.unproven","id":"id-1"}"#;
    an_answer_to_another_request: record(Observation {
        answered_id: Some("id-2".to_owned()),
        ..observation(RequestKind::Again)
    }, &["s-1"]) => "an answer to another";
    a_truncated_answer_that_looks_complete: record(Observation {
        body: "s-1 /once".to_owned(),
        ..observation(RequestKind::Once)
    }, &["s-1"]) => "complete answer";
    a_stream_with_a_duplicate_event: record(Observation {
        body: standin::events("s-1", 1..=2) + &standin::events("s-1", 2..=4),
        ..observation(RequestKind::Short)
    }, &["s-1"]) => "complete answer";
    a_stream_with_a_missing_event: record(Observation {
        body: standin::events("s-1", 1..=1) + &standin::events("s-1", 3..=4),
        ..observation(RequestKind::Short)
    }, &["s-1"]) => "complete answer";
    a_valid_request_that_is_rejected: record(Observation {
        status: Some(404),
        ..observation(RequestKind::Again)
    }, &[]) => "was rejected";
    an_answer_cut_by_a_planned_stop: record(Observation {
        status: None,
        ..observation(RequestKind::Again)
    }, &["s-1"]) => "planned stop";
    a_run_without_a_request: Record {
        runs: vec![run("s-1")],
        ..Record::default()
    } => "without a request";
    two_holders_with_one_fencing_token: Record {
        orders: vec![order("host-1", 4), order("host-2", 4)],
        ..Record::default()
    } => "conflicting";
    a_fencing_token_that_decreases: Record {
        orders: vec![order("host-1", 5), order("host-2", 4)],
        ..Record::default()
    } => "conflicting";
    a_configuration_that_is_rolled_back: Record {
        versions: [("host-1.1".to_owned(), vec![1, 3, 2])].into(),
        ..Record::default()
    } => "went back";
    a_request_to_a_draining_server: Record {
        after_drain: vec!["id-1 at s-1".to_owned()],
        ..Record::default()
    } => "draining server";
    requests_that_arrive_for_callers_that_left: Record {
        departures: vec![departure(600, 600); 4],
        ..Record::default()
    } => "sent late for callers that had left";
    work_that_goes_on_for_callers_that_left: Record {
        departures: [vec![departure(0, 600); 3], vec![departure(0, 100); 7]].concat(),
        ..Record::default()
    } => "worked on for 3 of 10 callers";
    a_request_that_goes_on_crashing_servers: Record {
        poison_crashes: [0, 1, 2, 6, 7, 8, 9]
            .map(|at| (Duration::from_secs(at), LATE_AFTER))
            .to_vec(),
        ..Record::default()
    } => "crashed 4 servers late";
    requests_with_a_part_that_goes_on_crashing_servers: part_record(LATE_AFTER) => "4 requests sent late with a part";
    a_stream_of_two_software_versions: Record {
        streams: vec![vec!["s-1".to_owned(), "s-2".to_owned()]],
        software: [("s-1", "v1"), ("s-2", "v2")]
            .map(|(server, version)| (server.to_owned(), version.to_owned()))
            .into(),
        ..Record::default()
    } => "several software versions";
    a_crowd_at_one_host_that_is_not_served: crowd_record(Some(503)) => "2 of 4 requests served that were read in a crowd";
    a_crowd_that_no_host_reads: crowd_record(None) => "2 of 4 requests served that were read in a crowd";
    a_service_that_does_not_recover: Record {
        unrecovered: vec!["host-1 /once/x".to_owned()],
        ..Record::default()
    } => "after all faults had ended";
}

/// Four requests before a crowd and four in it, half of which have this status.
fn crowd_record(status: Option<u16>) -> Record {
    let seen = |prefix: &str, number: usize, status| Observation {
        id: format!("{prefix}{number}"),
        status,
        ..observation(RequestKind::Once)
    };
    let before = (0..4).map(|number| seen(BESIDE_CROWD, number, Some(200)));
    let during = (0..4).map(|number| {
        let status = if number < 2 { Some(200) } else { status };
        seen(IN_CROWD, number, status)
    });
    Record {
        observations: before.chain(during).collect(),
        ..Record::default()
    }
}

/// Hosts close requests unread, and others serve them. Guards against a check that takes these for unserved.
#[test]
fn requests_that_another_host_reads_may_be_closed() {
    let mut record = crowd_record(None);
    let unread = record.observations[6..].to_vec();
    record
        .observations
        .extend(unread.into_iter().map(|seen| Observation {
            id: seen.id + SECOND_ATTEMPT,
            status: Some(503),
            ..seen
        }));
    let violations = check(&record);
    let is_of_crowd = |violation: &String| violation.contains("in a crowd");
    assert!(!violations.iter().any(is_of_crowd), "{violations:?}");
}

/// Five crashes by a part, and four late sends by a host of this age, with one that is not late.
fn part_record(host_age: Duration) -> Record {
    Record {
        part_crashes: [0, 1, 2, 3, 4].map(Duration::from_secs).to_vec(),
        part_sends: [7, 8, 9, 10, 11]
            .map(|at| (Duration::from_secs(at), host_age))
            .to_vec(),
        ..Record::default()
    }
}

/// By the users' rule only sends by hosts in touch count. Guards against a check that is stricter than that, and against
/// one that lets such hosts pass later.
#[test]
fn crashes_by_hosts_that_have_just_started_are_allowed() {
    let crashes = |host_age| Record {
        poison_crashes: [0, 1, 2, 6, 7, 8, 9]
            .map(|at| (Duration::from_secs(at), host_age))
            .to_vec(),
        ..Record::default()
    };
    let just_before = LATE_AFTER.saturating_sub(Duration::from_millis(1));
    assert!(check(&crashes(just_before)).is_empty());
    assert!(check(&part_record(just_before)).is_empty());
    assert_eq!(check(&crashes(LATE_AFTER)).len(), 1);
}
