//! Orders of workers by demand: how hosts measure it, and what the holder of the authority orders.

use super::domain::TestDomain;
use super::planner::{acquire, plan};
use super::*;
use crate::core::event::Job;
use crate::core::relay::RelayJob;
use crate::core::relay::catalog::Scaling;
use crate::core::relay::duty::scaling::plan::Supply;
use crate::core::relay::duty::{DutyResult, Order};
use crate::core::relay::event::{Gossip, GossipKind, LoadReport, UptimeReport};
use crate::core::relay::gossip::domains::is_missing;
use crate::core::relay::instance::short_hash;
use crate::core::relay::model::{Sample, Slowdown};

/// Orders workers of a service by demand.
fn follow_demand(host: &mut TestHost, service: &str) {
    let duties = "[duties]\naddr = 127.0.0.1:6\nnames = autoscaler\nscaling = demand\n";
    let settings = Settings::parse_relay(&format!("{SETTINGS}\n{duties}"), "host.ini");
    let relay = settings.expect("settings").relay.expect("a relaying host");
    let own = host.core.settings.relay.as_mut().expect("a relaying host");
    own.duties = relay.duties;
    let catalog = host.core.relay.catalog.as_mut().expect("a configuration");
    let service = catalog.services.get_mut(service).expect("a service");
    service.scaling = Some(Scaling {
        min: 1,
        max: 40,
        boot: Duration::from_secs(4),
        spot_price: Some(0.22),
        prices: ["a", "b", "c"].map(|name| (name.into(), 1.0)).into(),
    });
}

/// Returns a host with thirty regular engines in three failure domains, a third of which prefill.
fn site() -> TestHost {
    let mut site = TestHost::new();
    site.apply_changes(Changes {
        is_snapshot: true,
        ..Changes::default()
    });
    follow_demand(&mut site, "model");
    site.register(entries());
    site
}

/// Returns the entries of these engines.
fn entries() -> Vec<BackendEntry> {
    let entries = (0..30).map(|number| {
        let stage = match number / 3 % 3 {
            0 => Stage::Prefill,
            _ => Stage::Decode,
        };
        let domain = ["a", "b", "c"][number % 3];
        BackendEntry {
            domain: domain.into(),
            slots: 8,
            ..engine_entry(&format!("engine-{number}"), stage)
        }
    });
    entries.collect()
}

/// Returns the measured demand in engines.
fn demand(host: &TestHost) -> f64 {
    let gauges = host.core.relay.duties.scaler.gauges();
    gauges.iter().map(|(_, demand, _)| demand).sum()
}

/// Has another host report prompts at an engine that stays, and requests that run at a decode engine.
fn report(site: &mut TestHost, sequence: u64, prompts: u32, calls: u32) {
    let staying = |stage| {
        let mut instances = site.core.relay.instances.arena.values();
        let staying = instances.find(|one| one.stage == Some(stage) && !one.leaving);
        staying.expect("an engine of each stage").short_hash
    };
    let (prefill, decode) = (staying(Stage::Prefill), staying(Stage::Decode));
    let load = |instance, calls, prompts| LoadReport {
        instance,
        calls,
        prompts,
        ..LoadReport::default()
    };
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: "host-2".into(),
        incarnation: 1,
        sequence,
        loads: vec![load(prefill, 0, prompts), load(decode, calls, 0)],
        uptime: Some(UptimeReport {
            length: Duration::from_mins(1),
            age: Duration::ZERO,
        }),
        ..Gossip::default()
    })));
}

fn add_host(site: &mut TestHost, name: &str, domain: &str) {
    let entry = format!(r#"{{"addr":"10.9.9.9:1","domain":"{domain}"}}"#);
    site.write_key(&format!("hosts/{name}"), Some(&entry), 3);
}

/// Starts workers in a failure domain or takes them away.
fn supply_workers(site: &mut TestHost, domain: &str, supply: Supply, count: usize) {
    let instances = site.core.relay.instances.arena.values();
    let present = instances.filter(|instance| {
        let is_spot = supply == Supply::Spot;
        instance.is_spot == is_spot && *instance.domain == *domain && !instance.leaving
    });
    let mut present: Vec<_> = present.map(|one| one.id.clone()).collect();
    present.sort();
    let gone = present.len().saturating_sub(count);
    let removed = present.iter().take(gone).cloned().collect();
    let started = (present.len()..count).map(|number| BackendEntry {
        domain: domain.into(),
        is_spot: supply == Supply::Spot,
        slots: 8,
        ..engine_entry(&format!("{domain}-{supply:?}-{number}"), Stage::Decode)
    });
    site.apply_changes(Changes {
        instances: started.collect(),
        removed,
        ..Changes::default()
    });
}

/// Plans every half second with the authority, while another host reports demand; returns the orders, each of which the
/// platform carries out.
fn run(site: &mut TestHost, secs: u64, prompts: u32, calls: u32) -> Vec<(Box<str>, Supply, u32)> {
    let mut orders = Vec::new();
    for _ in 0..secs * 2 {
        site.now += 500;
        let lease = RelayJob::AuthorityLease(Time::from_millis(site.now));
        site.store_reply(Job::Relay(lease, 0), StoreResult::Lease(9));
        let sequence = site.now;
        report(site, sequence, prompts, calls);
        site.core.relay.view.mark_fresh(Time::from_millis(site.now));
        plan(site);
        let calls: Vec<_> = std::mem::take(&mut site.out).into_iter().collect();
        for effect in calls {
            let Effect::Relay(RelayEffect::CallDuty(call)) = effect else {
                continue;
            };
            if let Order::Workers {
                domain,
                supply,
                count,
                ..
            } = &call.order
            {
                orders.push((domain.clone(), *supply, *count));
                supply_workers(site, domain, *supply, *count as usize);
            }
            site.event(RelayEvent::DutyAnswered(call, DutyResult::Accepted));
        }
    }
    orders
}

/// Returns a host that holds the authority, and for which the store has thirty workers provisioned.
fn holder() -> TestHost {
    let mut site = site();
    add_host(&mut site, "host-2", "z");
    site.write_key("workers/model", Some("30"), 4);
    acquire(&mut site, 41);
    site
}

/// A new host knows no traffic. Guards against giving up workers before the traffic is known, and against the fixed number
/// for good.
#[test]
fn the_fixed_fractions_hold_until_traffic_has_been_known_for_ten_seconds() {
    let mut site = holder();
    let first = run(&mut site, 9, 80_000, 8);
    let counts: Vec<u32> = first.iter().map(|(_, _, count)| *count).collect();
    assert_eq!(counts, [14, 14, 14, 4, 4, 4], "by the fixed fractions");
    let later = run(&mut site, 30, 80_000, 8);
    let instances = site.core.relay.instances.arena.values();
    let stays: Vec<_> = instances.filter(|instance| !instance.leaving).collect();
    let regular = stays.iter().filter(|instance| !instance.is_spot).count();
    assert!((2..=12).contains(&regular), "{later:?}");
    // Three engines are busy, so that eight serve them with headroom, and two with short queues.
    assert!((10..=20).contains(&stays.len()), "{later:?}");
    for stage in [Stage::Prefill, Stage::Decode] {
        assert!(stays.iter().any(|engine| engine.stage == Some(stage)));
    }
    assert!(
        later.len() <= 9,
        "one order for each subject, or two where engines of a stage are left: {later:?}"
    );
}

/// The gossip from another failure domain is missing, so that its demand looks like none. Guards against giving up the
/// workers that serve it.
#[test]
fn nothing_is_reduced_while_a_domain_sends_no_load() {
    let mut site = holder();
    add_host(&mut site, "far-1", "y");
    let first = run(&mut site, 9, 80_000, 8);
    assert_eq!(first.len(), 6, "by the fixed fractions: {first:?}");
    let later = run(&mut site, 40, 80_000, 8);
    assert!(later.is_empty(), "{later:?}");
}

/// Measures the demand after some seconds in which this is done every half second.
fn measured(site: &mut TestHost, mut each: impl FnMut(&mut TestHost, u64)) -> f64 {
    for _ in 0..24 {
        site.now += 500;
        plan(site);
        let sequence = site.now;
        each(site, sequence);
    }
    demand(site)
}

/// Guards against a host that takes the queues at engines for demand: these grow where there are too few engines.
#[test]
fn requests_beyond_the_slots_of_an_engine_are_no_demand() {
    let demand_of = |calls| {
        let mut site = site();
        add_host(&mut site, "host-2", "z");
        measured(&mut site, |site, sequence| report(site, sequence, 0, calls))
    };
    let (half, full) = (demand_of(4), demand_of(8));
    assert!((0.45..=0.5).contains(&half), "{half}");
    assert!((0.95..=1.0).contains(&full), "{full}");
    assert!((demand_of(80) - full).abs() < 0.01);
}

/// Guards against a host that counts only the prompts it sent itself.
#[test]
fn prompts_of_other_hosts_count() {
    let mut site = site();
    add_host(&mut site, "host-2", "z");
    let engines = measured(&mut site, |site, sequence| {
        report(site, sequence, 80_000, 0);
    });
    // 80,000 tokens per second, of which an engine prefills 40 per millisecond.
    assert!((1.9..=2.0).contains(&engines), "{engines}");
}

/// Engines have become three times slower. Guards against a demand that stays the same.
#[test]
fn prompts_count_for_more_at_slow_engines() {
    let mut site = site();
    add_host(&mut site, "host-2", "z");
    let model = site.core.relay.cost_model.of_mut("model");
    for _ in 0..200 {
        let sample = Sample {
            took: 50.0 + 4000.0 * 0.075,
            uncached: 4000,
            ..Sample::default()
        };
        model.record_prefill(Stage::Prefill, &sample, &mut Slowdown::default());
    }
    let engines = measured(&mut site, |site, sequence| {
        report(site, sequence, 80_000, 0);
    });
    assert!(engines > 4.0, "{engines}");
}

/// All engines have so much to prefill that a request is refused. Guards against a service that looks idle because it
/// refuses everyone, and against counting a request that another server has got.
#[test]
fn refused_requests_are_demand() {
    let mut site = site();
    add_host(&mut site, "host-2", "z");
    let mut refused = 0;
    let engines = measured(&mut site, |site, sequence| {
        let loads = (0..30).map(|number| LoadReport {
            instance: short_hash(&format!("engine-{number}")),
            tokens: 400_000,
            ..LoadReport::default()
        });
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            host: "host-2".into(),
            incarnation: 1,
            sequence,
            loads: loads.collect(),
            ..Gossip::default()
        })));
        for own in 0..10 {
            site.arrive(model_request("/short/x", (1, 1000), 7000 + own));
            refused += u32::from(site.refused().is_some());
        }
    });
    assert_eq!(refused, 240);
    // 20 requests per second of 8,000 tokens, and a slot out of eight for a second each.
    assert!((6.0..=8.0).contains(&engines), "{engines}");
}

/// Every host measures the demand of all, through a tree of hosts and between failure domains. Guards against a new holder
/// that has no demand, and against prompts that count twice or not at all.
#[test]
fn every_host_measures_the_demand_of_all() {
    let mut domain = TestDomain::with_domains(40, 2);
    domain.pass(1500);
    for host in domain.hosts.iter_mut().flatten() {
        follow_demand(host, "plain");
    }
    for _ in 0..80 {
        for host in domain.hosts.iter_mut().flatten() {
            let instances = &mut host.core.relay.instances;
            let key = instances.find("p").expect("a server");
            instances.arena[key].arrived_tokens += 1000;
        }
        domain.pass(100);
    }
    // 40 hosts with 10,000 tokens per second each, of which an engine prefills 40 per millisecond.
    for (number, host) in domain.hosts.iter().flatten().enumerate() {
        let engines = demand(host);
        assert!((8.5..=11.0).contains(&engines), "host {number}: {engines}");
        assert!(!is_missing(&host.core), "host {number}");
    }
    for (one, other) in (0..40).flat_map(|one| (0..40).map(move |other| (one, other))) {
        if one % 2 != other % 2 {
            domain.cuts.push((one, other));
        }
    }
    domain.pass(3000);
    for (number, host) in domain.hosts.iter().flatten().enumerate() {
        assert!(is_missing(&host.core), "host {number}");
    }
}

/// The aggregator of this host is of an older build, whose totals name no failure domains. Guards against reductions for
/// demand of which nobody knows whether it is complete.
#[test]
fn totals_without_failure_domains_are_not_taken_for_complete() {
    for (included_domains, missing) in [(vec![], true), (vec![short_hash("y")], false)] {
        let mut site = TestHost::named("host-9", 7);
        site.core.relay.view.mark_fresh(Time::from_millis(site.now));
        site.configure(catalog(1));
        for number in 0..20 {
            add_host(&mut site, &format!("host-{number:02}"), "z");
        }
        add_host(&mut site, "far-1", "y");
        site.advance(1000);
        for number in 0..20 {
            site.event(RelayEvent::Gossiped(Box::new(Gossip {
                host: format!("host-{number:02}").into(),
                incarnation: 1,
                sequence: 1,
                kind: GossipKind::Totals(Vec::new()),
                included_domains: included_domains.clone(),
                ..Gossip::default()
            })));
        }
        assert!(site.core.relay.peers.aggregator.current().is_some());
        assert_eq!(is_missing(&site.core), missing, "{included_domains:?}");
    }
}
