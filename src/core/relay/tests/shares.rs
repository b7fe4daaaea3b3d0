//! Customers of a model service that is short.
//!
//! The load pattern: one customer sends several times what the engines serve, five others a fraction of it each.

use std::rc::Rc;

use super::domain::{TestDomain, addr};
use super::*;
use crate::core::relay::customers::{Customer, Customers};
use crate::core::relay::event::{CustomerTime, EngineTimeReport, Gossip, GossipKind, RestTime};
use crate::core::relay::instance::short_hash;
use crate::core::relay::shares::customer_key;
use crate::lists::KeyHash;

/// Microseconds in which an engine prefills a token, and milliseconds that any prompt takes in addition.
const TOKEN_US: u64 = 60;
const BASE_MS: u64 = 50;
/// Duration of a stream after its first event.
const STREAM_MS: u64 = 100;
/// Latency target of the requests.
const TARGET_MS: u64 = 300;

/// A configuration with customers of these names and ranks.
fn catalog_of(version: u64, customers: &[(&str, Option<u8>)]) -> Catalog {
    let mut all = Customers::default();
    for (name, rank) in customers {
        let customer = Customer {
            name: (*name).into(),
            rank: *rank,
        };
        all.add(customer, [KeyHash::of(name)]);
    }
    Catalog {
        customers: Some(Rc::new(all)),
        ..catalog(version)
    }
}

/// The flooding customer, and the others.
const BIG: &str = "big";
const SMALL: [&str; 5] = ["one", "two", "three", "four", "five"];

fn site(fair_shares: bool) -> TestHost {
    let mut site = TestHost::new();
    let relay = site.core.settings.relay.as_mut().expect("relay settings");
    relay.policy.fair_shares = fair_shares;
    let names = SMALL.into_iter().chain([BIG]).map(|name| (name, None));
    site.configure(catalog_of(2, &names.collect::<Vec<_>>()));
    let engines = ["d", "e"].map(|id| engine_entry(id, Stage::Decode));
    site.register(engines.to_vec());
    site
}

fn short_request(customer: &str) -> Arrival {
    Arrival {
        credential: Credential::Key(KeyHash::of(customer)),
        ..model_request("/short/x", (7, 90), 290)
    }
}

/// What became of a customer's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Outcomes {
    arrived: u32,
    in_time: u32,
    late: u32,
    over_share: u32,
    refused: u32,
}

/// An event of an answer: the first, with the customer and the time of its request, or the end.
enum Answer {
    First(AttemptKey, &'static str, u64),
    End(AttemptKey),
}

/// A host, and engines that prefill in order of arrival.
struct Load {
    site: TestHost,
    free_at: BTreeMap<Box<str>, u64>,
    /// Answers to come, with the times at which they are due.
    due: Vec<(u64, Answer)>,
    outcomes: BTreeMap<&'static str, Outcomes>,
    retries: Vec<(&'static str, Duration)>,
}

impl Load {
    fn new(site: TestHost) -> Self {
        Self {
            site,
            free_at: BTreeMap::new(),
            due: Vec::new(),
            outcomes: BTreeMap::new(),
            retries: Vec::new(),
        }
    }

    /// Has a customer send a request.
    fn arrive(&mut self, customer: &'static str) {
        self.site.arrive(short_request(customer));
        let now = self.site.now;
        let outcome = self.outcomes.entry(customer).or_default();
        outcome.arrived += 1;
        if let Some((status, ran, retry)) = self.site.refused() {
            assert_eq!((ran, self.site.sent().is_none()), (Ran::No, true));
            match status {
                429 => outcome.over_share += 1,
                _ => outcome.refused += 1,
            }
            let retry = retry.expect("a time to come back");
            if status == 429 {
                self.retries.push((customer, retry));
            }
        }
        if let Some(sent) = self.site.sent() {
            let tokens = self.site.core.relay.attempts[sent.attempt].work.tokens;
            let free = self.free_at.entry(sent.instance).or_default();
            *free = (*free).max(now) + (tokens * TOKEN_US + 500) / 1000;
            let first = *free + BASE_MS;
            let answer = Answer::First(sent.attempt, customer, now);
            self.due.push((first, answer));
        }
    }

    /// Passes time, in which each customer sends so many requests per second.
    fn pass(&mut self, millis: u64, rates: &[(&'static str, u64)]) {
        for _ in 0..millis / 10 {
            self.site.advance(10);
            let now = self.site.now;
            let due = std::mem::take(&mut self.due).into_iter();
            let (ready, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= now);
            self.due = later;
            for (_, answer) in ready {
                let (attempt, customer, since) = match answer {
                    Answer::First(attempt, customer, since) => (attempt, customer, since),
                    Answer::End(attempt) => {
                        self.site.stream_ended(attempt);
                        continue;
                    }
                };
                let outcome = self.outcomes.entry(customer).or_default();
                if now - since <= TARGET_MS + 10 {
                    outcome.in_time += 1;
                } else {
                    outcome.late += 1;
                }
                let number = 1;
                self.site.event(RelayEvent::StreamEvent { attempt, number });
                self.due.push((now + STREAM_MS, Answer::End(attempt)));
            }
            for (index, (customer, rate)) in rates.iter().enumerate() {
                let phase = 137 * index as u64;
                let before = (now - 10 + phase) * rate / 1000;
                for _ in before..(now + phase) * rate / 1000 {
                    self.arrive(customer);
                }
            }
        }
    }

    /// Returns the sum over the small customers since the last call, and that of the big one.
    fn take(&mut self) -> (Outcomes, Outcomes) {
        let all = std::mem::take(&mut self.outcomes);
        let sum = |one: Outcomes, other: Outcomes| Outcomes {
            arrived: one.arrived + other.arrived,
            in_time: one.in_time + other.in_time,
            late: one.late + other.late,
            over_share: one.over_share + other.over_share,
            refused: one.refused + other.refused,
        };
        let small = SMALL.iter().filter_map(|name| all.get(name).copied());
        let big = all.get(BIG).copied().unwrap_or_default();
        (small.fold(Outcomes::default(), sum), big)
    }
}

/// Requests per second of each customer, where the big one sends so many.
fn rates(big: u64) -> Vec<(&'static str, u64)> {
    let small = SMALL.map(|name| (name, 8));
    small.into_iter().chain([(BIG, big)]).collect()
}

/// Returns what became of the requests in ten seconds of a flood that began a second before.
fn flood(fair_shares: bool, before: &[(&'static str, u64)], flood: &[(&'static str, u64)]) -> Load {
    let mut load = Load::new(site(fair_shares));
    load.pass(2000, before);
    load.pass(1000, flood);
    load.take();
    load.pass(10_000, flood);
    load
}

/// One customer sends twice or eight times what the engines serve. Without shares every fifth request of the others is
/// refused. Guards as well against shares that leave engines idle.
#[test]
fn a_flood_of_one_customer_takes_little_from_the_others() {
    for big in [200, 800] {
        let (small, big_before) = flood(false, &rates(20), &rates(big)).take();
        assert!(small.in_time * 100 < small.arrived * 85, "{small:?}");
        let served = small.in_time + big_before.in_time;
        let (small, big) = flood(true, &rates(20), &rates(big)).take();
        assert!(small.in_time * 100 >= small.arrived * 90, "{small:?}");
        assert_eq!(small.over_share, 0);
        let served_shared = small.in_time + big.in_time;
        assert!(
            served_shared * 100 >= served * 90,
            "{served_shared} of {served}"
        );
    }
}

/// Guards against refusals that help nobody: there is no other customer.
#[test]
fn a_customer_alone_uses_the_whole_service() {
    let alone = [(BIG, 300)];
    let (_, big) = flood(true, &[], &alone).take();
    assert_eq!(big, flood(false, &[], &alone).take().1);
}

/// Guards against engines that idle although every customer sends more than they serve.
#[test]
fn equal_customers_use_the_whole_service() {
    let all = SMALL.map(|name| (name, 60));
    let (without, _) = flood(false, &[], &all).take();
    let (small, _) = flood(true, &[], &all).take();
    assert!(
        small.in_time * 100 >= without.in_time * 93,
        "{small:?} of {without:?}"
    );
}

/// Guards against refusals that go on after their cause.
#[test]
fn nobody_is_refused_after_a_flood() {
    let mut load = flood(true, &rates(20), &rates(800));
    load.pass(2500, &rates(20));
    load.take();
    load.pass(3000, &rates(20));
    let (small, big) = load.take();
    assert_eq!(
        [
            small.over_share + small.refused,
            big.over_share + big.refused
        ],
        [0, 0]
    );
}

/// Guards against callers that return at the same moment, or before there is room.
#[test]
fn refused_callers_return_spread_over_time() {
    let load = flood(true, &rates(20), &rates(800));
    let millis = load.retries.iter().map(|(_, retry)| retry.as_millis());
    let millis: Vec<u128> = millis.collect();
    assert!(millis.len() > 1000, "{}", millis.len());
    for second in 0..4 {
        let returning = millis
            .iter()
            .filter(|retry| **retry / 1000 == second)
            .count();
        assert!(
            returning * 10 > millis.len(),
            "second {second}: {returning} of {}",
            millis.len()
        );
    }
    assert!(millis.iter().all(|retry| *retry <= 6000));
}

/// All hosts start anew in the middle of a flood. Guards against refusals by counts that began a moment ago.
#[test]
fn a_host_that_starts_refuses_nobody_for_fairness() {
    let mut load = Load::new(site(true));
    let all = SMALL.map(|name| (name, 40));
    let rates: Vec<_> = all.into_iter().chain([(BIG, 800)]).collect();
    load.pass(990, &rates);
    let (small, big) = load.take();
    assert_eq!((small.over_share, big.over_share), (0, 0));
    load.pass(3000, &rates);
    assert!(load.take().1.over_share > 0);
}

/// Other hosts report, and stop. Guards against a flood that this host does not notice because it counts on what they
/// served.
#[test]
fn a_host_without_reports_uses_its_own_counts() {
    let mut site = site(true);
    for host in ["host-2", "host-3", "host-4"] {
        report(&mut site, host, 1, 10, OVER_SHARE);
    }
    let mut load = Load::new(site);
    load.pass(6000, &rates(800));
    load.take();
    load.pass(10_000, &rates(800));
    let (small, _) = load.take();
    assert!(small.in_time * 100 >= small.arrived * 90, "{small:?}");
}

/// Usage of customers in milliseconds, and what was refused to them.
type Usage = [(&'static str, u32, u32)];

/// A report of another host whose last refusal is so many milliseconds old.
fn report(site: &mut TestHost, host: &str, sequence: u64, overload_ms: u64, usage: &Usage) {
    let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
    site.write_key(&format!("hosts/{host}"), Some(entry), 3);
    let rows = usage.iter().map(|(name, used, unmet)| CustomerTime {
        customer: customer_key(name),
        rank: 5,
        used_us: used * 1000,
        unmet_us: unmet * 1000,
    });
    let engine_time = EngineTimeReport {
        service: short_hash("model"),
        overload_age: Duration::from_millis(overload_ms),
        customers: rows.collect(),
        rest: RestTime::default(),
    };
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: host.into(),
        incarnation: 1,
        sequence,
        engine_times: vec![engine_time],
        ..Gossip::default()
    })));
    // Until the next division.
    site.advance(120);
}

/// Usage by which the big customer has used up its share, and another one got less than its.
const OVER_SHARE: &Usage = &[(BIG, 3000, 0), ("one", 0, 500)];

/// Returns the status of the refusal of a customer's request; `None` if it is sent.
fn outcome(site: &mut TestHost, customer: &str) -> Option<u16> {
    site.arrive(short_request(customer));
    site.refused().map(|(status, ran, _)| {
        assert_eq!(ran, Ran::No);
        status
    })
}

/// Guards against a customer that gets a share at each host.
#[test]
fn usage_at_other_hosts_counts() {
    let mut site = site(true);
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    assert_eq!(outcome(&mut site, BIG), Some(429));
    // A sixth of the usage of two seconds is above the share.
    let (_, _, retry) = site.refused().expect("a refusal");
    assert!(
        retry.is_some_and(|retry| retry >= Duration::from_millis(333)),
        "{retry:?}"
    );
    for other in ["one", "two"] {
        assert_eq!(outcome(&mut site, other), None);
    }
}

/// Guards against refusals for fairness where nothing was refused or late in the last second.
#[test]
fn shares_end_with_the_shortage() {
    let mut site = site(true);
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    site.advance(1000);
    assert_eq!(outcome(&mut site, BIG), None);
    report(&mut site, "host-2", 2, 1100, OVER_SHARE);
    assert_eq!(outcome(&mut site, BIG), None);
}

/// Guards against shares that hold although the operator or the configuration asks for none.
#[test]
fn shares_need_the_setting_and_customers() {
    let mut off = site(false);
    report(&mut off, "host-2", 1, 10, OVER_SHARE);
    assert_eq!(outcome(&mut off, BIG), None);
    let mut without = site(true);
    without.configure(catalog(3));
    report(&mut without, "host-2", 1, 10, OVER_SHARE);
    assert_eq!(outcome(&mut without, BIG), None);
}

/// A reload switches shares off. Guards against refusals by the old division.
#[test]
fn a_reload_switches_shares_off() {
    let mut site = site(true);
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    let mut settings = site.core.settings.clone();
    let relay = settings.relay.as_mut().expect("relay settings");
    relay.policy.fair_shares = false;
    site.event(RelayEvent::Reloaded(Box::new(settings)));
    assert_eq!(outcome(&mut site, BIG), None);
    site.advance(200);
    assert_eq!(site.core.relay.shares.short_services(), 0);
}

/// Reports are lost, arrive twice or late. Guards against usage that is added up with each of them.
#[test]
fn a_report_replaces_the_one_before() {
    let mut site = site(true);
    let usage: &Usage = &[(BIG, 1500, 0), ("one", 0, 2000)];
    for sequence in [1, 4, 4, 2, 7] {
        report(&mut site, "host-2", sequence, 10, usage);
    }
    assert_eq!(used(&site, BIG), 1500);
}

/// A host reports and dies, while another one goes on. Guards against usage that counts forever.
#[test]
fn usage_of_a_dead_host_expires() {
    let mut site = site(true);
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    for sequence in 1..9 {
        site.advance(400);
        report(&mut site, "host-3", sequence, 10, &[("one", 0, 500)]);
        let known = if sequence < 8 { 3000 } else { 0 };
        assert_eq!(used(&site, BIG), known, "report {sequence}");
    }
    assert_eq!(outcome(&mut site, BIG), None);
}

/// Returns the whole milliseconds that a customer used of the model service, as a host knows it.
fn used(site: &TestHost, customer: &str) -> u128 {
    let now = Time::from_millis(site.now);
    let used = site.core.relay.shares.used_ms("model", customer, now);
    Duration::from_secs_f64(used / 1000.0).as_millis()
}

/// A request is under way when its customer has used up its share. Guards against the refusal of a request that was
/// sent, which may be stated as not run although it ran.
#[test]
fn a_request_that_was_sent_is_not_refused_for_fairness() {
    let mut site = site(true);
    site.arrive(short_request(BIG));
    let first = site.sent().expect("a request is sent");
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    assert_eq!(outcome(&mut site, BIG), Some(429));
    site.fail_attempt(first.attempt, Ran::No, AttemptFailure::Refused);
    assert!(site.sent().is_some());
}

/// The same between prefill and decode.
#[test]
fn a_prefilled_request_is_not_refused_for_fairness() {
    let mut site = site(true);
    site.register(vec![engine_entry("p", Stage::Prefill)]);
    site.arrive(Arrival {
        credential: Credential::Key(KeyHash::of(BIG)),
        ..model_request("/long/x", (7, 13_000), 4000)
    });
    let attempt = site.sent().expect("a prefill").attempt;
    report(
        &mut site,
        "host-2",
        1,
        10,
        &[(BIG, 6000, 0), ("one", 0, 500)],
    );
    assert_eq!(outcome(&mut site, BIG), Some(429));
    let handle = "h".into();
    site.event(RelayEvent::Prefilled { attempt, handle });
    assert!(site.sent().is_some());
}

/// A caller takes up a stream that began. Guards against a caller that waits in the middle of its answer.
#[test]
fn a_stream_that_is_taken_up_is_not_refused_for_fairness() {
    let mut site = site(true);
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    assert_eq!(outcome(&mut site, BIG), Some(429));
    site.arrive(Arrival {
        resume: Some(3),
        resumes: Some("first".into()),
        version: Some(crate::core::relay::versions::Version::of(Some("v1"))),
        ..short_request(BIG)
    });
    assert!(site.sent().is_some());
}

/// Guards against a customer of a less urgent rank that goes first, and an urgent one that waits for it.
#[test]
fn a_more_urgent_customer_goes_first() {
    let mut site = site(true);
    let ranked = [(BIG, Some(2)), ("one", Some(5)), ("two", Some(7))];
    site.configure(catalog_of(3, &ranked));
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    // Reports name the rank at the time of the usage; the current one counts for a request.
    let outcomes = [BIG, "one", "two"].map(|name| outcome(&mut site, name));
    assert_eq!(outcomes, [None, None, Some(429)]);
}

/// A configuration renames one customer and removes another. Guards against a new customer that has the usage of an
/// old one, and against memory of customers that are gone.
#[test]
fn a_renamed_customer_has_no_usage() {
    let mut site = site(true);
    outcome(&mut site, "two");
    report(&mut site, "host-2", 1, 10, OVER_SHARE);
    let mut customers = Customers::default();
    let renamed = Customer {
        name: "renamed".into(),
        rank: None,
    };
    customers.add(renamed, [KeyHash::of(BIG)]);
    site.configure(Catalog {
        customers: Some(Rc::new(customers)),
        ..catalog(3)
    });
    assert_eq!(outcome(&mut site, BIG), None);
    assert_eq!(outcome(&mut site, "two"), Some(401));
    let calls: Vec<CallKey> = site.core.relay.calls.keys().collect();
    for call in calls {
        site.event(RelayEvent::CallerLeft(call));
    }
    site.advance(2500);
    assert_eq!(site.core.relay.shares.customer_count(), 0);
}

/// Guards against reports that grow with the number of customers.
#[test]
fn a_report_names_the_customers_with_the_most_usage() {
    let mut site = site(true);
    let names: Vec<String> = (0..200).map(|number| format!("c{number}")).collect();
    let customers: Vec<(&str, Option<u8>)> = names.iter().map(|name| (&**name, None)).collect();
    site.configure(catalog_of(3, &customers));
    for name in &names {
        outcome(&mut site, name);
    }
    report(&mut site, "host-2", 1, 10, &[]);
    let published = site.advance(200);
    let mut reports = published.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::Publish { message, .. }) => message.engine_times.first(),
        _ => None,
    });
    let report = reports.next().expect("a report");
    assert_eq!((report.customers.len(), report.rest.customers), (64, 136));
    assert!(report.rest.used_us + report.rest.unmet_us > 0);
    assert_eq!(reports.count(), 0, "reports in 200 ms");
}

/// Guards against usage that does not reach hosts, or that totals count twice.
#[test]
fn usage_reaches_all_hosts_once() {
    for (hosts, domains) in [(5, 1), (30, 1), (30, 2)] {
        let mut all = TestDomain::with_domains(hosts, domains);
        all.pass(1500);
        let names = [(BIG, None)];
        for node in all.hosts.iter_mut().flatten() {
            let relay = node.core.settings.relay.as_mut().expect("relay settings");
            relay.policy.fair_shares = true;
            node.configure(catalog_of(1000, &names));
        }
        let sender = hosts / 2 + 2;
        let now = all.now;
        let node = all.hosts[sender].as_mut().expect("a running host");
        node.now = now;
        node.arrive(Arrival {
            credential: Credential::Key(KeyHash::of(BIG)),
            ..plain_request("/once/x")
        });
        let attempt = node.sent().expect("a request is sent").attempt;
        all.pass(600);
        let now = all.now;
        let node = all.hosts[sender].as_mut().expect("a running host");
        node.now = now;
        node.event(RelayEvent::Answered {
            attempt,
            status: 200,
        });
        for sequence in 1..=5 {
            for node in all.hosts.iter_mut().flatten() {
                node.now = all.now;
                let entry = format!(r#"{{"addr":"{}","domain":"far"}}"#, addr(0));
                node.write_key("hosts/far-1", Some(&entry), 4);
                node.event(RelayEvent::Gossiped(Box::new(overload("far-1", sequence))));
            }
            all.pass(300);
            // Four hops take up to 180 ms each, and the next division 100 ms.
            for (host, node) in all.hosts.iter().flatten().enumerate() {
                let now = Time::from_millis(all.now);
                let used = node.core.relay.shares.used_ms("plain", BIG, now);
                // 600 ms of one of six slots.
                let is_known = (used - 100.0).abs() < 1.0;
                assert!(sequence < 3 || is_known, "host {host} of {hosts}: {used}");
            }
        }
    }
}

/// A message of another failure domain: a request to the plain service was refused there just now.
fn overload(host: &str, sequence: u64) -> Gossip {
    Gossip {
        host: host.into(),
        incarnation: 1,
        sequence,
        kind: GossipKind::Domain("far".into()),
        engine_times: vec![EngineTimeReport {
            service: short_hash("plain"),
            ..EngineTimeReport::default()
        }],
        ..Gossip::default()
    }
}

/// Guards against another word for the setting that silently switches shares off.
#[test]
fn the_setting_is_on_or_off() {
    let with = |value: &str| {
        let text = format!("{SETTINGS}\n[policy]\nfair-shares = {value}\n");
        Settings::parse_relay(&text, "host.ini").map(|settings| {
            let relay = settings.relay.expect("relay settings");
            relay.policy.fair_shares
        })
    };
    assert_eq!((with("on"), with("off")), (Ok(true), Ok(false)));
    let faults = with("yes").expect_err("a fault");
    assert_eq!(
        faults[0].to_string(),
        r#"host.ini: [policy] fair-shares given "yes", allowed one of on, off"#
    );
    let default = Settings::parse_relay(SETTINGS, "host.ini").expect("settings");
    assert!(!default.relay.expect("relay settings").policy.fair_shares);
}
