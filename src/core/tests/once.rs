//! Calls that may not repeat, under failures of hosts, network and key-value service.

use std::time::Duration;

use rand::RngExt;

use super::{Got, Odds, World};

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
