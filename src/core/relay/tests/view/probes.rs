//! How the hosts of a failure domain share their probes of the store.

use super::*;
use crate::core::relay::event::{Gossip, ProbeReport};

/// Has the host hear that another one's probe, sent so long ago, showed the store's revision.
fn hear(run: &mut Run, number: u64, age: u64) {
    let message = Gossip {
        host: "host-2".into(),
        incarnation: 1,
        number,
        newest: Some(ProbeReport {
            revision: run.store.revision,
            age: Duration::from_millis(age),
        }),
        ..Gossip::default()
    };
    run.site.event(RelayEvent::Gossiped(Box::new(message)));
    let out = run.site.out.clone();
    run.carry(&out);
}

/// Returns a host that knows another one of its failure domain.
fn beside_another() -> Run {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let key = "hosts/host-2";
    let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
    run.site.key(key, Some(entry), 3);
    run
}

/// Another host of the failure domain probes the store and tells of it. This one asks for nothing,
/// and notices by the other's message that its own watch was lost.
#[test]
fn one_host_probes_for_its_failure_domain() {
    let mut run = beside_another();
    run.pass(1000);
    let before = run.store.asked.2;
    for number in 0..50 {
        hear(&mut run, number, 5);
        run.pass(350);
    }
    assert_eq!(run.store.asked.2, before, "it probes beside the other");
    assert!(run.site.core.relay.view.is_fresh(run.site.core.now));
    run.store.calls.clear();
    run.store.revision += 1;
    hear(&mut run, 100, 5);
    let known = run.until_known();
    assert!(known < 400, "{known} ms");
    assert_eq!(run.given_up, 1);
}

/// The host that probed falls silent, or its messages do not arrive. The others probe themselves.
#[test]
fn a_host_that_receives_no_probe_result_sends_its_own_probe() {
    let mut run = beside_another();
    hear(&mut run, 1, 5);
    miss_a_change(&mut run);
}

/// A host tells what its own probe showed, once it has; what it heard from another it keeps.
#[test]
fn a_probe_result_is_sent_by_the_host_that_probed() {
    let mut run = beside_another();
    let told = |out: &Effects| {
        let words = out.iter().filter_map(|effect| match effect {
            Effect::Relay(RelayEffect::Publish { message, .. }) => message.newest,
            _ => None,
        });
        words
            .max_by_key(|newest| newest.revision)
            .map(|newest| newest.revision)
    };
    run.pass(1000);
    let out = run.site.pass(600);
    assert_eq!(told(&out), Some(run.store.revision));
    hear(&mut run, 2, 0);
    let out = run.site.pass(300);
    assert_eq!(told(&out), None);
}

/// Returns how many probes a host sends in half a minute of a silent store beside so many others.
fn probes_in_silence(prefix: &str, hosts: u64) -> u32 {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let name = |host| format!("{prefix}-{host}");
    for host in 0..hosts {
        let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
        let key = format!("hosts/{}", name(host));
        run.site.key(&key, Some(entry), 3);
    }
    run.store.turn(Mood::Silent);
    let before = run.store.asked.2;
    for number in 0..60 {
        for host in 0..hosts {
            let message = Gossip {
                host: name(host).into(),
                incarnation: 1,
                number,
                ..Gossip::default()
            };
            run.site.event(RelayEvent::Gossiped(Box::new(message)));
        }
        run.pass(500);
    }
    run.store.asked.2 - before
}

/// The store is silent for a while before many hosts. They take turns at probing it: all together
/// would keep it busy when it comes back. The first of them by name probes in every round, so that
/// none passes without.
#[test]
fn many_hosts_take_turns_at_a_silent_store() {
    let alone = probes_in_silence("host", 0);
    assert!((46..=75).contains(&alone), "{alone}");
    let first = probes_in_silence("near", 30);
    assert!((46..=75).contains(&first), "{first}");
    let other = probes_in_silence("all", 30);
    assert!((1..=15).contains(&other), "{other}");
}
