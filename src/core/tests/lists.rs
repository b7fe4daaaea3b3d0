//! An accepted configuration is in force everywhere and never reverts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;

use super::{CUSTOMER, Cluster};
use crate::core::effect::{Effect, OperatorAnswer};
use crate::core::event::{Edit, Event, Job, ListKind, OperatorEvent, StoreEvent, StoreResult};
use crate::core::key::CommandKey;
use crate::core::{Effects, config};
use crate::lists::KeyHash;

/// Returns a list of plans whose customer key identifies the edit.
fn plans(key: &str) -> String {
    let key = KeyHash::of(key);
    format!("[customer {CUSTOMER}]\nplan = p\nkeys = {key}\n")
}

fn apply(cluster: &mut Cluster, at: usize, command: u64, key: &str) {
    let edit = Edit {
        list: ListKind::Plans,
        text: plans(key).into(),
        base_revision: cluster.hosts[at].core.config.revision(),
    };
    let command = CommandKey(command);
    cluster.feed(at, Event::Operator(OperatorEvent::Apply { command, edit }));
}

/// Returns the answer to an operator's command.
fn answer(cluster: &Cluster, command: u64) -> Option<&OperatorAnswer> {
    cluster
        .unhandled
        .iter()
        .rev()
        .find_map(|(_, effect)| match effect {
            Effect::AnswerOperator {
                command: key,
                answer,
            } if *key == CommandKey(command) => Some(answer),
            _ => None,
        })
}

fn accepted(cluster: &Cluster, command: u64) -> bool {
    matches!(answer(cluster, command), Some(OperatorAnswer::Accepted(_)))
}

fn has_key(cluster: &Cluster, at: usize, key: &str) -> bool {
    cluster.hosts[at].core.config.index.find(key).is_some()
}

fn run(cluster: &mut Cluster, seconds: u64) {
    cluster.run(Duration::from_secs(seconds));
}

/// Two operators repeatedly edit the same revision at two hosts while replies of the store are
/// lost. Exactly one edit is accepted: if both were, one would silently overwrite the other, and a
/// customer whose access was just removed would have it back.
fn race(seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    cluster.faults.lose_store_reply = 0.3;
    let mut command = 0;
    for round in 0..12 {
        let before = cluster.hosts[0].core.config.revision();
        let names = [format!("a-{round}"), format!("b-{round}")];
        for (at, name) in names.iter().enumerate() {
            apply(&mut cluster, at, command + at as u64, name);
            let span = Duration::from_millis(cluster.rng.random_range(0..4));
            cluster.run(span);
        }
        run(&mut cluster, 8);
        let wins: Vec<&String> = (0..2)
            .filter(|at| accepted(&cluster, command + *at as u64))
            .map(|at| &names[at])
            .collect();
        let answers = (answer(&cluster, command), answer(&cluster, command + 1));
        assert_eq!(wins.len(), 1, "seed {seed}, round {round}: {answers:?}");
        for at in 0..3 {
            let revision = cluster.hosts[at].core.config.revision();
            assert_eq!(
                revision,
                before + 1,
                "seed {seed}, round {round}: host {at}"
            );
            assert!(
                has_key(&cluster, at, wins[0]),
                "seed {seed}: host {at} has another list"
            );
        }
        command += 2;
    }
    // Unreferenced chunks are deleted; what remains belongs to two lists and their predecessors.
    assert!(cluster.store.keys("d/chunk/").len() <= 12 + 4);
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

/// The reply to the write that accepts an edit is lost, and another edit is accepted before the
/// host reads the state again. If the first operator got a conflict, applying the edit again would
/// undo the second one.
#[test]
fn lost_reply_followed_by_another_edit() {
    let mut cluster = Cluster::new(2, 1);
    apply(&mut cluster, 0, 1, "first");
    for _ in 0..1000 {
        if cluster.store.get("w/lists/head").is_some() {
            break;
        }
        cluster.run(Duration::from_millis(1));
    }
    cluster.freeze(0);
    run(&mut cluster, 1);
    assert!(has_key(&cluster, 1, "first"));
    apply(&mut cluster, 1, 2, "second");
    run(&mut cluster, 1);
    assert!(accepted(&cluster, 2));
    let mut lost_replies = 0;
    for event in &mut cluster.hosts[0].queued_events {
        if let Event::Store(StoreEvent::Reply(reply)) = event
            && reply.job == Job::Apply(CommandKey(1))
        {
            reply.result = StoreResult::Unknown;
            lost_replies += 1;
        }
    }
    assert_eq!(lost_replies, 1);
    cluster.thaw(0);
    run(&mut cluster, 3);
    assert!(accepted(&cluster, 1), "{:?}", answer(&cluster, 1));
    assert!(has_key(&cluster, 0, "second") && !has_key(&cluster, 0, "first"));
}

/// A host's watch delivers nothing, and the host has the newest lists from its peers. An edit at
/// this host must be accepted, not fail forever with a conflict against an unchanged revision.
#[test]
fn edit_at_a_host_with_a_silent_watch() {
    let mut cluster = Cluster::new(2, 3);
    apply(&mut cluster, 1, 1, "first");
    run(&mut cluster, 2);
    let stale = cluster.store.watched();
    apply(&mut cluster, 1, 2, "second");
    run(&mut cluster, 2);
    // State of the host: last event of the watch, and the lists that the peer has in force.
    let mut host = std::mem::replace(
        &mut cluster.hosts[0].core,
        Cluster::new(1, 9).hosts.remove(0).core,
    );
    host.config = config::Config::default();
    let mut out = Effects::new();
    host.reduce(
        cluster.now,
        Event::Store(StoreEvent::Watched(stale)),
        &mut out,
    );
    let uses = host.config.lists.uses.to_string();
    let theirs = cluster.hosts[1].core.config.lists.clone();
    assert!(uses.is_empty());
    let text = (theirs.plans.to_string(), theirs.uses.to_string());
    config::handle_lists(&mut host, theirs.revision, &text.0, &text.1, &mut out);
    cluster.hosts[0].core = host;
    apply(&mut cluster, 0, 3, "third");
    run(&mut cluster, 2);
    assert!(accepted(&cluster, 3), "{:?}", answer(&cluster, 3));
    assert!(has_key(&cluster, 1, "third"));
}

/// A host starts while the newest lists cannot be read, and a partitioned peer offers older ones.
/// Applying those would give access to a customer that has lost it.
#[test]
fn new_host_does_not_start_on_old_lists() {
    let mut cluster = Cluster::new(2, 4);
    apply(&mut cluster, 0, 1, "newest");
    run(&mut cluster, 2);
    let mut core = Cluster::new(1, 5).hosts.remove(0).core;
    core.config = config::Config::default();
    let mut out = Effects::new();
    let watched = Event::Store(StoreEvent::Watched(cluster.store.watched()));
    core.reduce(cluster.now, watched, &mut out);
    let uses = cluster.hosts[0].core.config.lists.uses.to_string();
    config::handle_lists(&mut core, 1, &plans("old"), &uses, &mut out);
    assert_eq!(core.config.revision(), 0);
    config::handle_lists(&mut core, 2, &plans("newest"), &uses, &mut out);
    assert_eq!(core.config.revision(), 2);
}

/// A host is suspended during several edits; when it resumes, messages with old lists are still in
/// its socket buffers and must not replace newer ones.
#[test]
fn frozen_host_does_not_bring_old_lists_back() {
    let mut cluster = Cluster::new(3, 6);
    cluster.freeze(2);
    for (command, key) in [(1, "one"), (2, "two"), (3, "three")] {
        apply(&mut cluster, 0, command, key);
        run(&mut cluster, 2);
    }
    cluster.thaw(2);
    let mut seen = BTreeSet::new();
    for _ in 0..100 {
        seen.insert(cluster.hosts[2].core.config.revision());
        assert!(has_key(&cluster, 0, "three") && has_key(&cluster, 1, "three"));
        cluster.run(Duration::from_millis(100));
    }
    assert!(has_key(&cluster, 2, "three"), "{seen:?}");
    let order: Vec<u64> = seen.into_iter().collect();
    assert!(order.is_sorted());
}
