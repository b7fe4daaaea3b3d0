//! Calls that may not repeat, under failures of hosts, network and key-value service.

use std::time::Duration;

use assert_matches::assert_matches;
use rand::RngExt;

use super::{Got, Odds, World};
use crate::core::Event;
use crate::core::event::PeerEvent;
use crate::core::key::ShardKey;
use crate::core::message::{BeginState, Done, DoneState, Heartbeat, Message};
use crate::core::once::{RETENTION, is_canonical, shard_of};
use crate::error::{Kind, Ran};

/// Anglers book from the shore with a weak signal: the same key reaches several hosts at once and
/// again later, while messages are lost, repeated and reordered and answers of the key-value
/// service are lost. A double booking would be charged twice.
#[test]
fn one_key_runs_once_whatever_is_lost() {
    for seed in 0..40 {
        let mut world = World::new(3, seed);
        world.odds = Odds {
            drop: 0.1,
            twice: 0.2,
            lose: 0.1,
            cut: 0.1,
            refuse: 0.2,
        };
        for round in 0..12 {
            let host = world.rng.random_range(0..3);
            let key = format!("k-{}", round % 4);
            world.call(host, &key, 1);
            let pause = world.rng.random_range(0..400);
            world.run(Duration::from_millis(pause));
        }
        world.run(Duration::from_secs(6));
        world.check(&format!("seed {seed}"));
        for sent in &world.sent {
            assert!(sent.got.is_some(), "seed {seed}: {} has no answer", sent.id);
        }
    }
}

/// Nothing fails: the call runs, and its repeat at another host gets the same answer.
#[test]
fn a_repeat_elsewhere_gets_the_first_answer() {
    let mut world = World::new(3, 1);
    let first = world.call(0, "k", 1);
    world.run(Duration::from_secs(1));
    let again = world.call(1, "k", 1);
    world.run(Duration::from_secs(1));
    for tag in [first, again] {
        assert!(matches!(&world.sent[tag].got, Some(Got::Reply(_))));
    }
    assert_eq!(world.runs["k"], 1);
}

/// Hosts are killed, restarted under their old names and frozen past their leases, and the
/// key-value service goes down, while callers repeat their keys at whatever host the balancer
/// picks. Afterwards everything works again, and each key is either answered or known to be in
/// doubt.
#[test]
fn one_key_runs_once_whatever_dies() {
    for seed in 0..40 {
        let mut world = World::new(4, seed);
        world.odds = Odds {
            drop: 0.05,
            twice: 0.1,
            lose: 0.05,
            cut: 0.05,
            refuse: 0.1,
        };
        for _ in 0..40 {
            disturb(&mut world);
            let host = world.rng.random_range(0..4);
            let key = format!("k-{}", world.rng.random_range(0..6));
            if !world.hosts[host].frozen {
                world.call(host, &key, 1);
            }
            let pause = world.rng.random_range(0..600);
            world.run(Duration::from_millis(pause));
        }
        heal(&mut world);
        world.check(&format!("seed {seed}"));
        settled(&mut world, &format!("seed {seed}"));
    }
}

fn disturb(world: &mut World) {
    let at = world.rng.random_range(0..4);
    match world.rng.random_range(0..12) {
        0 if !world.hosts[at].dead => world.kill(at),
        1 if world.hosts[at].dead => world.restart(at),
        2 | 3 if !world.hosts[at].dead => world.freeze(at),
        4 | 5 if world.hosts[at].frozen => world.thaw(at),
        6 => world.outage(true),
        7 | 8 => world.outage(false),
        _ => {}
    }
}

fn heal(world: &mut World) {
    world.odds = Odds::default();
    world.cut.clear();
    world.outage(false);
    for at in 0..world.hosts.len() {
        if world.hosts[at].dead {
            world.restart(at);
        } else if world.hosts[at].frozen {
            world.thaw(at);
        }
    }
    world.run(Duration::from_secs(8));
}

/// Repeats every key; a key that never ran must run now or at the next repeat, and one that ran
/// must not run again.
fn settled(world: &mut World, what: &str) {
    let keys: std::collections::BTreeSet<Box<str>> =
        world.sent.iter().map(|sent| sent.key.clone()).collect();
    for key in keys {
        let mut last = None;
        for _ in 0..3 {
            let tag = world.call(0, &key, 1);
            world.run(Duration::from_secs(3));
            last = world.sent[tag].got.clone();
        }
        let told = match &last {
            Some(Got::Reply(_)) => true,
            Some(Got::Refused(refusal)) => refusal.kind == Kind::MayHaveRun,
            None => false,
        };
        assert!(told, "{what}: {key} stays at {last:?}");
    }
    world.check(what);
}

/// The key-value service takes a start's record and its answer is lost, and then the service is
/// down. The caller is told "not run", which is true; its repeat must run, and not be told for a
/// day that the first one is still running.
#[test]
fn a_start_whose_answer_was_lost_is_released() {
    for asker in 0..3 {
        let mut world = World::new(3, 7);
        world.store.lose_records = 1;
        let first = world.call(asker, "k", 1);
        world.run(Duration::from_secs(3));
        assert_matches!(&world.sent[first].got, Some(Got::Refused(refusal)) if refusal.ran == Ran::No);
        let second = world.call(1, "k", 1);
        world.run(Duration::from_secs(3));
        assert_matches!(&world.sent[second].got, Some(Got::Reply(_)));
        world.check("after the repeat");
    }
}

/// The owner of a record cannot reach the host that asks, which tells its caller "not run" in the
/// end, while the record says "started". The record must not block the caller's repeat.
#[test]
fn a_start_answered_too_late_is_released() {
    for owner in 0..3 {
        let mut world = World::new(3, 11);
        let asker = (owner + 1) % 3;
        world.cut.push((owner, asker));
        let first = world.call(asker, "k", 1);
        world.run(Duration::from_millis(2500));
        world.cut.clear();
        world.run(Duration::from_secs(2));
        assert!(world.sent[first].got.is_some());
        let second = world.call(asker, "k", 1);
        world.run(Duration::from_secs(4));
        assert_matches!(
            &world.sent[second].got,
            Some(Got::Reply(_)),
            "owner {owner}"
        );
        world.check("after the repeat");
    }
}

/// A shard moves to another host and back while a write of it is on its way. The answer of that
/// write must not be taken for the answer of the read that came after it: the records would be
/// lost, and a repeat of any of them would run again.
#[test]
fn a_shard_that_moves_away_and_back_keeps_its_records() {
    let keys = (0..10_000).map(|number| format!("k-{number}"));
    let near = |key: &String| shard_of(super::CUSTOMER, key) == ShardKey(0);
    let keys: Vec<String> = keys.filter(near).take(20).collect();
    for seed in 0..30 {
        let mut world = World::new(2, seed);
        let stop = [stopping(&world, 0), stopping(&world, 1)];
        for round in 0..3 {
            for key in &keys {
                world.call(round % 2, key, 1);
                let about = world.rng.random_range(0..2);
                let gone = world.rng.random_bool(0.5);
                world.feed(1 - about, stop[about](gone));
                world.run(Duration::from_micros(500));
            }
            world.run(Duration::from_secs(3));
        }
        world.check(&format!("seed {seed}"));
    }
}

/// A host is replaced by a new process under its name while an owner still has a question of the
/// old one. The answer then reaches the new process, which must not take it for its own.
#[test]
fn an_answer_for_a_former_life_starts_nothing() {
    let mut world = World::new(2, 3);
    let first = world.call(0, "k", 1);
    let id = world.sent[first].id.clone();
    world.run(Duration::from_secs(1));
    world.restart(0);
    world.run(Duration::from_secs(2));
    world.cut.push((0, 1));
    let other = world.call(0, "other", 1);
    for round in 0..100 {
        world.feed(
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
    let runs = world.hosts[0].core.requests.attempts.len();
    assert_eq!(runs, 0, "{:?} was sent without a record", world.sent[other]);
}

/// A message that a call did not run arrives again, long after the key's record says that it did.
/// The record must stand, or the next repeat runs a second time.
#[test]
fn a_late_release_does_not_undo_a_result() {
    let mut world = World::new(2, 5);
    let first = world.call(0, "k", 1);
    world.run(Duration::from_secs(1));
    let done = Done {
        round: 1,
        customer: super::CUSTOMER.into(),
        key: "k".into(),
        request: world.sent[first].id.clone(),
        outcome: DoneState::NotRun,
    };
    for at in 0..2 {
        let from = world.hosts[1 - at].name.clone();
        let message = Message::Done(done.clone());
        world.feed(at, Event::Peer(PeerEvent::Message { from, message }));
    }
    world.run(Duration::from_secs(1));
    world.call(1, "k", 1);
    world.run(Duration::from_secs(1));
    world.check("after the late message");
}

/// Writing a result fails once for a passing reason while the service counts as up. The result
/// must be written soon after, or every repeat is told that the call is running.
#[test]
fn a_result_that_was_not_written_is_written_later() {
    let mut world = World::new(2, 9);
    world.work = Duration::from_millis(500);
    world.call(0, "k", 1);
    world.run(Duration::from_millis(400));
    world.store.refuse_records = 1;
    world.run(Duration::from_secs(4));
    assert!(world.hosts.iter().all(|host| host.core.once.idle()));
    let again = world.call(1, "k", 1);
    world.run(Duration::from_secs(1));
    assert_matches!(&world.sent[again].got, Some(Got::Reply(_)));
}

/// Records last for the stated time and not longer: within it a repeat gets the first answer,
/// after it the key is free, whether the shard is full or not.
#[test]
fn a_record_expires_by_the_stated_time_only() {
    let mut world = World::new(2, 13);
    world.call(0, "k", 1);
    world.run(Duration::from_secs(1));
    world.sleep(RETENTION.saturating_sub(Duration::from_mins(1)));
    world.call(1, "k", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.runs["k"], 1);
    world.sleep(Duration::from_mins(2));
    world.call(1, "k", 1);
    world.run(Duration::from_secs(1));
    assert_eq!(world.runs["k"], 2);
}

/// Anglers book all day, each under a key of its own. A host must not hold every record of the
/// day in memory.
#[test]
fn idle_shards_leave_the_memory() {
    let mut world = World::new(1, 17);
    for number in 0..300 {
        world.call(0, &format!("k-{number}"), 1);
        world.run(Duration::from_millis(20));
    }
    assert!(world.hosts[0].core.once.loaded_shards() > 100);
    world.run(Duration::from_mins(2));
    world.call(0, "last", 1);
    world.run(Duration::from_mins(2));
    assert_eq!(world.hosts[0].core.once.loaded_shards(), 0);
    world.call(0, "k-7", 1);
    world.run(Duration::from_secs(1));
    world.check("read again");
}

/// Returns what host `at` says to its peers when it begins a planned stop, or takes it back.
fn stopping(world: &World, at: usize) -> impl Fn(bool) -> Event + use<> {
    let from = world.hosts[at].name.clone();
    let number = std::cell::Cell::new(world.now.micros());
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

/// Names each case: a method, a path, and whether rules may be matched against them.
///
/// A rule that allows repeats of `/deadlines*` is matched against the bytes of the path. A service
/// that reads `/deadlines/../extensions` as `/extensions` would file a member's request twice.
macro_rules! paths {
    ($($name:ident: $method:literal $path:literal => $fit:literal;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(is_canonical($method, $path), $fit);
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
    escaped_dots_in_small_letters: "GET" "/deadlines/%2e%2e/extensions" => false;
    escaped_slash: "GET" "/deadlines%2Fextensions" => false;
    escaped_backslash: "GET" "/deadlines%5C..%5Cextensions" => false;
    escaped_percent: "GET" "/deadlines%252F" => false;
    escaped_plain_letter: "GET" "/%65xtensions" => false;
    escape_in_small_letters: "GET" "/%c3%a6" => false;
    broken_escape: "GET" "/a%2" => false;
    escaped_end_of_line: "GET" "/a%0A" => false;
    empty_segment: "GET" "//extensions" => false;
    empty_segment_inside: "GET" "/deadlines//x" => false;
    backslash: "GET" "/deadlines\\..\\extensions" => false;
    small_method: "post" "/extensions" => false;
    mixed_method: "Get" "/extensions" => false;
    no_path: "GET" "" => false;
}
