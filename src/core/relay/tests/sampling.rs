//! Requests that arrive at many hosts at the same time.
//!
//! Modelled on sites with hundreds of hosts, where as many requests arrive between two gossip
//! messages as there are engines.

use super::*;
use crate::core::relay::event::Task;

/// Engines of each stage.
const ENGINES: u8 = 40;

/// Returns one of so many hosts, at which a request arrives every 100 ms.
fn host(host: usize, hosts: usize) -> TestHost {
    let mut site = TestHost::named(&format!("host-{host}"), host as u64);
    site.configure(catalog(1));
    let engines = (0..ENGINES).flat_map(|at| {
        [("p", Stage::Prefill), ("d", Stage::Decode)].map(|(kind, stage)| BackendEntry {
            addr: ([10, 0, kind.as_bytes()[0], at], 80).into(),
            ..engine_entry(&format!("{kind}-{at}"), stage)
        })
    });
    site.register(engines.collect());
    for other in 0..hosts {
        let entry = format!(r#"{{"addr":"10.9.9.{}:1","domain":"z"}}"#, other % 250);
        site.write_key(&format!("hosts/host-{other}"), Some(&entry), 3);
    }
    for _ in 0..20 {
        let call = site.arrive(model_request("/short/x", (1, 60), 290));
        site.event(RelayEvent::CallerLeft(call));
        site.now += 100;
    }
    site
}

/// Returns the most requests at one engine if each of so many hosts sends one.
fn max_per_engine(hosts: usize, shared: impl Fn(usize) -> u64) -> usize {
    let mut counts: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for at in 0..hosts {
        let mut site = host(at, hosts);
        site.arrive(model_request("/long/x", (shared(at), 13_000), 3000));
        let sent = site.sent().expect("the request is admitted");
        *counts.entry(sent.instance).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

/// Without sampling, all hosts would choose the same best engine until the next gossip message.
#[test]
fn hosts_without_recent_reports_choose_different_engines() {
    let max = max_per_engine(120, |host| host as u64);
    assert!(max <= 12, "{max} of 120 requests at one engine");
}

/// Two hosts exchange reports before the next request arrives: each chooses the best of all
/// engines.
#[test]
fn a_host_with_recent_reports_chooses_among_all_engines() {
    let mut site = host(0, 2);
    let chosen: Vec<Box<str>> = (0..2 * usize::from(ENGINES) - 1)
        .filter_map(|own| {
            site.arrive(model_request("/long/x", (own as u64, 13_000), 3000));
            site.sent().map(|sent| sent.instance)
        })
        .collect();
    let prefill: std::collections::BTreeSet<&Box<str>> =
        chosen.iter().filter(|id| id.starts_with('p')).collect();
    assert_eq!(prefill.len(), usize::from(ENGINES));
}

/// An engine preempts a stream for seconds while few others have room, at hosts that draw their candidates at random.
/// Guards against a host that gives the engine up for one that it then does not draw, and cuts the answer.
#[test]
fn a_silent_stream_is_given_up_only_for_the_engine_that_gets_it() {
    for number in 0..40 {
        let mut site = host(number, 100);
        site.arrive(model_request("/short/x", (1, 60), 290));
        let mut sent = site.sent().expect("the request is admitted");
        while sent.task == Task::Prefill {
            let handle = "handle".into();
            let attempt = sent.attempt;
            site.event(RelayEvent::Prefilled { attempt, handle });
            sent = site.sent().expect("the prompt is handed over");
        }
        let attempt = sent.attempt;
        site.event(RelayEvent::StreamEvent { attempt, number: 1 });
        let engines = site.core.relay.instances.arena.values_mut();
        for (at, engine) in engines.enumerate() {
            if at % 5 != 0 {
                engine.peer_total.tokens = 10_000_000;
            }
        }
        let out = site.advance(2500);
        let is_cut = has_effect(&out, |effect| matches!(effect, RelayEffect::AbortAnswer(_)));
        assert!(!is_cut, "host {number} cut the stream");
    }
}
