//! Faults planted in a record: a checker that finds none of them would pass anything.

use crate::check::{Kind, Order, Record, Run, Seen, check};
use crate::standin;

fn seen(kind: Kind) -> Seen {
    let body = match kind {
        Kind::Once | Kind::Again => format!("s-1 {} id-1", kind.path()),
        Kind::Long | Kind::Short => standin::events("s-1", 1..=4),
    };
    Seen {
        id: "id-1".to_owned(),
        kind,
        status: Some(200),
        echo: Some("id-1".to_owned()),
        body,
        whole: true,
        stamp: Some("s-1".to_owned()),
        calm: true,
    }
}

fn run(server: &str) -> Run {
    Run {
        server: server.to_owned(),
        id: "id-1".to_owned(),
    }
}

fn record(seen: Seen, runs: &[&str]) -> Record {
    Record {
        seen: vec![seen],
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

/// Defines one test a case: a record, and words of the fault that it must be found to hold.
macro_rules! planted {
    ($($name:ident: $record:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let faults = check(&$record);
            let words: &str = $words;
            assert!(faults.iter().any(|fault| fault.contains(words)), "{faults:?}");
        }
    )*};
}

#[test]
fn what_is_right_passes() {
    for kind in Kind::ALL {
        let faults = check(&record(seen(kind), &["s-1"]));
        assert!(faults.is_empty(), "{faults:?}");
    }
    let refused = Seen {
        status: Some(503),
        echo: None,
        stamp: None,
        ..seen(Kind::Once)
    };
    let faults = check(&record(refused, &[]));
    assert!(faults.is_empty(), "{faults:?}");
}

planted! {
    a_call_that_ran_twice: record(seen(Kind::Once), &["s-1", "s-2"]) => "ran twice";
    a_refusal_that_is_not_true: record(Seen {
        status: Some(503),
        stamp: None,
        ..seen(Kind::Long)
    }, &["s-1"]) => "refused as not run";
    an_answer_to_another: record(Seen {
        echo: Some("id-2".to_owned()),
        ..seen(Kind::Again)
    }, &["s-1"]) => "an answer to another";
    an_answer_that_was_cut_and_looks_whole: record(Seen {
        body: "s-1 /once".to_owned(),
        ..seen(Kind::Once)
    }, &["s-1"]) => "whole answer";
    a_stream_with_a_piece_twice: record(Seen {
        body: standin::events("s-1", 1..=2) + &standin::events("s-1", 2..=4),
        ..seen(Kind::Short)
    }, &["s-1"]) => "whole answer";
    a_stream_with_a_hole: record(Seen {
        body: standin::events("s-1", 1..=1) + &standin::events("s-1", 3..=4),
        ..seen(Kind::Short)
    }, &["s-1"]) => "whole answer";
    a_proper_request_that_is_turned_down: record(Seen {
        status: Some(404),
        ..seen(Kind::Again)
    }, &[]) => "turned down";
    an_answer_cut_by_a_planned_stop: record(Seen {
        status: None,
        ..seen(Kind::Again)
    }, &["s-1"]) => "planned stop";
    a_run_that_nobody_asked_for: Record {
        runs: vec![run("s-1")],
        ..Record::default()
    } => "never asked for";
    two_holders_with_one_number: Record {
        orders: vec![order("host-1", 4), order("host-2", 4)],
        ..Record::default()
    } => "conflicting";
    a_lower_number_after_a_higher: Record {
        orders: vec![order("host-1", 5), order("host-2", 4)],
        ..Record::default()
    } => "conflicting";
    a_configuration_that_goes_back: Record {
        versions: [("host-1.1".to_owned(), vec![1, 3, 2])].into(),
        ..Record::default()
    } => "went back";
    work_for_a_server_that_leaves: Record {
        after_leaving: vec!["id-1 at s-1".to_owned()],
        ..Record::default()
    } => "that leaves";
    what_does_not_come_back: Record {
        unrecovered: vec!["host-1 /once/x".to_owned()],
        ..Record::default()
    } => "after all had healed";
}
