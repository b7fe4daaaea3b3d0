//! Probes of the store shared by the hosts of a failure domain.

use super::*;
use crate::core::relay::event::{Gossip, ProbeReport};

/// Delivers the result of another host's probe of the given age, which showed the store's revision.
fn receive(run: &mut Run, number: u64, age: u64) {
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
    run.dispatch(&out);
}

/// Returns a host with a peer in its failure domain.
fn beside_another() -> Run {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let key = "hosts/host-2";
    let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
    run.site.key(key, Some(entry), 3);
    run
}

/// Another host of the failure domain probes the store and sends the results. This host sends no probes, and detects
/// by the other's message that its own watch was lost.
#[test]
fn one_host_probes_for_its_failure_domain() {
    let mut run = beside_another();
    run.pass(1000);
    let before = run.store.call_counts.2;
    for number in 0..50 {
        receive(&mut run, number, 5);
        run.pass(350);
    }
    assert_eq!(
        run.store.call_counts.2, before,
        "the host sends its own probes"
    );
    assert!(run.site.core.relay.view.is_fresh(run.site.core.now));
    run.store.calls.clear();
    run.store.revision += 1;
    receive(&mut run, 100, 5);
    let took = run.until_current();
    assert!(took < 400, "{took} ms");
    assert_eq!(run.abandoned, 1);
}

/// The probing host stops sending, or its messages are lost. The other hosts then probe the store themselves.
#[test]
fn a_host_that_receives_no_probe_result_sends_its_own_probe() {
    let mut run = beside_another();
    receive(&mut run, 1, 5);
    miss_a_change(&mut run);
}

/// A host sends the result of its own probe, but does not forward a result that it received from another host.
#[test]
fn a_probe_result_is_sent_by_the_host_that_probed() {
    let mut run = beside_another();
    let sent_revision = |out: &Effects| {
        let reports = out.iter().filter_map(|effect| match effect {
            Effect::Relay(RelayEffect::Publish { message, .. }) => message.newest,
            _ => None,
        });
        reports
            .max_by_key(|newest| newest.revision)
            .map(|newest| newest.revision)
    };
    run.pass(1000);
    let out = run.site.pass(600);
    assert_eq!(sent_revision(&out), Some(run.store.revision));
    receive(&mut run, 2, 0);
    let out = run.site.pass(300);
    assert_eq!(sent_revision(&out), None);
}

/// Returns the number of probes that a host sends in half a minute while the store hangs, beside `hosts` others.
fn probes_in_outage(prefix: &str, hosts: u64) -> u32 {
    let mut run = Run::start(Store::new());
    run.pass(1000);
    let name = |host| format!("{prefix}-{host}");
    for host in 0..hosts {
        let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
        let key = format!("hosts/{}", name(host));
        run.site.key(&key, Some(entry), 3);
    }
    run.store.set_mode(StoreMode::Hangs);
    let before = run.store.call_counts.2;
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
    run.store.call_counts.2 - before
}

/// The store hangs while many hosts run. Only a few of them probe in each round, since probes of all would load the
/// store on its return. The first host by name probes in every round, so that no round is without a probe.
#[test]
fn many_hosts_share_the_probes_in_an_outage() {
    let alone = probes_in_outage("host", 0);
    assert!((46..=75).contains(&alone), "{alone}");
    let first = probes_in_outage("near", 30);
    assert!((46..=75).contains(&first), "{first}");
    let other = probes_in_outage("all", 30);
    assert!((1..=15).contains(&other), "{other}");
}
