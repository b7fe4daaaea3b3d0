//! Where requests go that many hosts take in at the same moment.
//!
//! The pattern is that of sites with hundreds of hosts, where as many requests arrive between two messages
//! of the hosts as there are engines.

use super::*;

/// Engines of each stage.
const ENGINES: u8 = 40;

/// Returns a host that knows so many others and takes in a request every 100 ms.
fn beside(host: usize, hosts: usize) -> TestHost {
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

/// Returns the most requests that one engine gets where each of so many hosts sends one.
fn most(hosts: usize, shared: impl Fn(usize) -> u64) -> usize {
    let mut counts: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for host in 0..hosts {
        let mut site = beside(host, hosts);
        site.arrive(model_request("/long/x", (shared(host), 13_000), 3000));
        let sent = site.sent().expect("taken");
        *counts.entry(sent.instance).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

/// All hosts hold the same engine for the best until the next message, and send all they get to it.
#[test]
fn hosts_without_recent_reports_choose_different_engines() {
    let most = most(120, |host| host as u64);
    assert!(most <= 12, "{most} of 120 at one engine");
}

/// Two hosts hear of each other before the next request arrives: each takes the best of all engines.
#[test]
fn a_host_with_recent_reports_chooses_among_all_engines() {
    let mut site = beside(0, 2);
    let busy: Vec<Box<str>> = (0..2 * usize::from(ENGINES) - 1)
        .filter_map(|own| {
            site.arrive(model_request("/long/x", (own as u64, 13_000), 3000));
            site.sent().map(|sent| sent.instance)
        })
        .collect();
    let prefill: std::collections::BTreeSet<&Box<str>> =
        busy.iter().filter(|id| id.starts_with('p')).collect();
    assert_eq!(prefill.len(), usize::from(ENGINES));
}
