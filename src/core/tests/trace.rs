//! What became of a request, when hosts and the key-value service fail.

use std::time::Duration;

use assert_matches::assert_matches;

use super::World;
use crate::core::effect::OperatorAnswer;
use crate::core::event::OperatorEvent;
use crate::core::key::CommandKey;
use crate::core::trace::{Attempt, Note, RETENTION, Traces};
use crate::core::{Effect, Event};
use crate::error::Ran;

/// Asks a host what became of a request, and waits for its answer.
fn explain(world: &mut World, at: usize, id: &str) -> OperatorAnswer {
    world.other.clear();
    let ask = CommandKey(world.now.micros());
    let id = id.into();
    world.feed(
        at,
        Event::Operator(OperatorEvent::Explain { command: ask, id }),
    );
    world.run(Duration::from_secs(4));
    let answer = world.other.iter().find_map(|(_, effect)| match effect {
        Effect::AnswerOperator {
            command: of,
            answer,
        } if *of == ask => Some(answer.clone()),
        _ => None,
    });
    answer.expect("every question is answered")
}

fn why(answer: OperatorAnswer) -> String {
    match answer {
        OperatorAnswer::NoRecord { reason: why } => why.into(),
        other => panic!("{other:?} is no reason"),
    }
}

/// Every host is replaced at once. A support engineer must still be able to say what became of a
/// filing, which may not repeat; what became of a question about a deadline goes with the hosts,
/// and the answer says so.
#[test]
fn a_filing_is_explained_after_every_host_is_gone() {
    let mut world = World::new(3, 1);
    let filing = world.call(0, "k", 1);
    let question = world.send(1, "GET", "q", 1);
    world.run(Duration::from_secs(5));
    world.sleep(Duration::from_secs(5));
    for at in 0..3 {
        let id = world.sent[filing].id.clone();
        assert_matches!(
            explain(&mut world, at, &id),
            OperatorAnswer::Record(record) if &*record.outcome == "answered" && &*record.key == "k"
        );
    }
    let id = world.sent[question].id.clone();
    let why = why(explain(&mut world, 0, &id));
    assert!(why.contains("host that served it is gone"), "{why}");
}

/// The only answer of the key-value service to a segment is lost, or it is out for a while. The
/// explanation must be there all the same when it is needed.
#[test]
fn a_segment_is_written_again_after_an_outage() {
    let mut world = World::new(3, 2);
    let filing = world.call(0, "k", 1);
    world.run(Duration::from_millis(100));
    world.outage(true);
    world.run(Duration::from_secs(20));
    world.outage(false);
    world.run(Duration::from_secs(20));
    world.sleep(Duration::from_secs(5));
    let id = world.sent[filing].id.clone();
    assert_matches!(explain(&mut world, 2, &id), OperatorAnswer::Record(_));
}

/// Late on the evening of a cutoff every member files. The key-value service takes a few hundred
/// writes a second for everyone; explanations must not take more of them because there is more
/// traffic, and ordinary requests must take none.
#[test]
fn writes_do_not_grow_with_the_traffic() {
    let writes = |calls: u64| {
        let mut world = World::new(3, 3);
        for number in 0..calls {
            world.call(0, &format!("k-{number}"), 1);
            world.send(1, "GET", "", 1);
            world.run(Duration::from_millis(10_000 / calls));
        }
        world.run(Duration::from_secs(10));
        world.store.keys("d/trace/").len()
    };
    let (few, many) = (writes(10), writes(1000));
    assert!(few > 0);
    // At most one write in two seconds from the one host with filings, in two folders each.
    assert!(many <= 20, "{many} segments for 1000 filings, {few} for 10");
}

/// A host dies while the service works on a call. Its last copy says that the request runs; an
/// engineer who reads "running" would wait for an end that never comes.
#[test]
fn a_request_whose_host_died_is_called_lost() {
    let mut world = World::new(3, 4);
    world.work = Duration::from_secs(30);
    let call = world.call(0, "k", 1);
    world.run(Duration::from_secs(1));
    world.kill(0);
    world.run(Duration::from_secs(4));
    let id = world.sent[call].id.clone();
    assert_matches!(
        explain(&mut world, 1, &id),
        OperatorAnswer::Record(record)
            if &*record.outcome == "lost" && record.ran == Some(Ran::Unknown)
    );
}

/// An engineer asks about an old request, a mistyped one and one that has not been made. Each
/// gets its own reason, so that nobody takes an aged-out record for a request that never came.
#[test]
fn a_missing_record_is_given_its_reason() {
    let mut world = World::new(2, 5);
    let call = world.call(0, "k", 1);
    let id = world.sent[call].id.clone();
    world.run(Duration::from_secs(5));
    assert!(why(explain(&mut world, 1, "no-id")).contains("not a request id"));
    let unknown = format!("{}0", &id[..id.len()]);
    assert!(why(explain(&mut world, 1, &unknown)).contains("no host has a record"));
    let later = "0123abcd-fffffffffff-1";
    assert!(why(explain(&mut world, 1, later)).contains("arrived yet"));
    world.sleep(Duration::from_secs(5));
    world.outage(true);
    world.run(Duration::from_millis(10));
    assert!(why(explain(&mut world, 1, &id)).contains("did not answer"));
    world.outage(false);
    world.sleep(RETENTION + Duration::from_hours(2));
    assert!(why(explain(&mut world, 1, &id)).contains("aged out"));
    assert!(world.store.keys("d/trace/").is_empty(), "segments expire");
}

/// A host serves for weeks. Its explanations must stay within its memory, whatever their size.
#[test]
fn records_stay_within_their_memory() {
    let world = World::new(1, 6);
    let mut traces = Traces::new(&world.hosts[0].core.settings.host, 1);
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
    assert!((5_000..20_000).contains(&kept), "{kept} records in 12 MiB");
}
