//! An accepted configuration is in force everywhere and never reverts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;

use super::{CUSTOMER, World};
use crate::core::effect::{Effect, OperatorAnswer};
use crate::core::event::{Edit, Event, Job, ListKind, OperatorEvent, StoreEvent, StoreResult};
use crate::core::key::CommandKey;
use crate::core::{Effects, config};
use crate::lists::KeyHash;

/// Returns a list of plans that tells its author.
fn plans(key: &str) -> String {
    let key = KeyHash::of(key);
    format!("[customer {CUSTOMER}]\nplan = p\nkeys = {key}\n")
}

fn apply(world: &mut World, at: usize, ask: u64, key: &str) {
    let edit = Edit {
        list: ListKind::Plans,
        text: plans(key).into(),
        base_revision: world.hosts[at].core.config.revision(),
    };
    let ask = CommandKey(ask);
    world.feed(
        at,
        Event::Operator(OperatorEvent::Apply { command: ask, edit }),
    );
}

/// Returns what the operator was told.
fn answer(world: &World, ask: u64) -> Option<&OperatorAnswer> {
    world
        .other
        .iter()
        .rev()
        .find_map(|(_, effect)| match effect {
            Effect::AnswerOperator {
                command: asked,
                answer,
            } if *asked == CommandKey(ask) => Some(answer),
            _ => None,
        })
}

fn accepted(world: &World, ask: u64) -> bool {
    matches!(answer(world, ask), Some(OperatorAnswer::Accepted(_)))
}

fn knows(world: &World, at: usize, key: &str) -> bool {
    world.hosts[at].core.config.index.find(key).is_some()
}

fn run(world: &mut World, seconds: u64) {
    world.run(Duration::from_secs(seconds));
}

/// Two operators edit the same revision at two hosts, again and again, while answers of the store
/// are lost. One is accepted and one is told of a conflict: were both accepted, one of them would
/// find a customer let in that was just shut out.
fn race(seed: u64) {
    let mut world = World::new(3, seed);
    world.odds.lose = 0.3;
    let mut ask = 0;
    for round in 0..12 {
        let before = world.hosts[0].core.config.revision();
        let names = [format!("a-{round}"), format!("b-{round}")];
        for (at, name) in names.iter().enumerate() {
            apply(&mut world, at, ask + at as u64, name);
            let span = Duration::from_millis(world.rng.random_range(0..4));
            world.run(span);
        }
        run(&mut world, 8);
        let wins: Vec<&String> = (0..2)
            .filter(|at| accepted(&world, ask + *at as u64))
            .map(|at| &names[at])
            .collect();
        let told = (answer(&world, ask), answer(&world, ask + 1));
        assert_eq!(wins.len(), 1, "seed {seed}, round {round}: {told:?}");
        for at in 0..3 {
            let revision = world.hosts[at].core.config.revision();
            assert_eq!(
                revision,
                before + 1,
                "seed {seed}, round {round}: host {at}"
            );
            assert!(
                knows(&world, at, wins[0]),
                "seed {seed}: host {at} has another list"
            );
        }
        ask += 2;
    }
    // What no list names any more goes: two lists, and the one before each.
    assert!(world.store.keys("d/chunk/").len() <= 12 + 4);
}

macro_rules! races {
    ($($name:ident: $seed:literal;)+) => {
        $(#[test]
        fn $name() {
            race($seed);
        })+
    };
}

races! {
    racing_operators_1: 1;
    racing_operators_2: 2;
    racing_operators_3: 3;
    racing_operators_4: 4;
    racing_operators_5: 5;
}

/// The answer to the accepting write is lost, and before the host has asked again the next
/// operator's edit stands on top of it. Told of a conflict, the first operator would apply the
/// edit a second time and undo the second's.
#[test]
fn lost_answer_under_the_next_edit() {
    let mut world = World::new(2, 1);
    apply(&mut world, 0, 1, "first");
    for _ in 0..1000 {
        if world.store.get("w/lists/head").is_some() {
            break;
        }
        world.run(Duration::from_millis(1));
    }
    world.freeze(0);
    run(&mut world, 1);
    assert!(knows(&world, 1, "first"));
    apply(&mut world, 1, 2, "second");
    run(&mut world, 1);
    assert!(accepted(&world, 2));
    let mut lost = 0;
    for event in &mut world.hosts[0].held {
        if let Event::Store(StoreEvent::Reply(reply)) = event
            && reply.job == Job::Apply(CommandKey(1))
        {
            reply.result = StoreResult::Unknown;
            lost += 1;
        }
    }
    assert_eq!(lost, 1);
    world.thaw(0);
    run(&mut world, 3);
    assert!(accepted(&world, 1), "{:?}", answer(&world, 1));
    assert!(knows(&world, 0, "second") && !knows(&world, 0, "first"));
}

/// A host's watch is silent for good and it has the newest lists from its peers. An operator who
/// edits there was told of a conflict with nothing, again and again.
#[test]
fn edit_at_a_host_with_a_silent_watch() {
    let mut world = World::new(2, 3);
    apply(&mut world, 1, 1, "first");
    run(&mut world, 2);
    let stale = world.store.watched();
    apply(&mut world, 1, 2, "second");
    run(&mut world, 2);
    // What the silent watch last told, with the lists of the peer in force.
    let mut host = std::mem::replace(
        &mut world.hosts[0].core,
        World::new(1, 9).hosts.remove(0).core,
    );
    host.config = config::Config::default();
    let mut out = Effects::new();
    host.reduce(
        world.now,
        Event::Store(StoreEvent::Watched(stale)),
        &mut out,
    );
    let uses = host.config.lists.uses.to_string();
    let theirs = world.hosts[1].core.config.lists.clone();
    assert!(uses.is_empty());
    let text = (theirs.plans.to_string(), theirs.uses.to_string());
    config::handle_lists(&mut host, theirs.revision, &text.0, &text.1, &mut out);
    world.hosts[0].core = host;
    apply(&mut world, 0, 3, "third");
    run(&mut world, 2);
    assert!(accepted(&world, 3), "{:?}", answer(&world, 3));
    assert!(knows(&world, 1, "third"));
}

/// A host starts while the newest lists cannot be read, and a peer that was cut off offers older
/// ones. A customer that lost access would come in again by the new host.
#[test]
fn new_host_does_not_start_on_old_lists() {
    let mut world = World::new(2, 4);
    apply(&mut world, 0, 1, "newest");
    run(&mut world, 2);
    let mut core = World::new(1, 5).hosts.remove(0).core;
    core.config = config::Config::default();
    let mut out = Effects::new();
    let watched = Event::Store(StoreEvent::Watched(world.store.watched()));
    core.reduce(world.now, watched, &mut out);
    let uses = world.hosts[0].core.config.lists.uses.to_string();
    config::handle_lists(&mut core, 1, &plans("old"), &uses, &mut out);
    assert_eq!(core.config.revision(), 0);
    config::handle_lists(&mut core, 2, &plans("newest"), &uses, &mut out);
    assert_eq!(core.config.revision(), 2);
}

/// A host sleeps through an edit and wakes with the old lists still in its sockets.
#[test]
fn frozen_host_does_not_bring_old_lists_back() {
    let mut world = World::new(3, 6);
    world.freeze(2);
    for (ask, key) in [(1, "one"), (2, "two"), (3, "three")] {
        apply(&mut world, 0, ask, key);
        run(&mut world, 2);
    }
    world.thaw(2);
    let mut seen = BTreeSet::new();
    for _ in 0..100 {
        seen.insert(world.hosts[2].core.config.revision());
        assert!(knows(&world, 0, "three") && knows(&world, 1, "three"));
        world.run(Duration::from_millis(100));
    }
    assert!(knows(&world, 2, "three"), "{seen:?}");
    let order: Vec<u64> = seen.into_iter().collect();
    assert!(order.is_sorted());
}
