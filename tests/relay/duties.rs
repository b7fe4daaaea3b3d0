//! Duties that one host at a time carries out: reports of usage and orders of workers.

mod standin;

use std::collections::BTreeMap;

use serde_json::json;

use super::endless_calls::{DRIPS, FLOODS, Flooded};
use super::*;
use standin::{Answering, Duties};

/// Length of a usage window; a second keeps the tests short.
const WINDOW_MS: u64 = 1000;

/// A host whose settings name the duties.
struct Host {
    process: Process,
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    folder: TempDir,
}

impl Host {
    fn start(name: &str, store: &Store, duties: &Duties) -> Self {
        let folder = TempDir::new();
        let settings = format!(
            "{}lease = 1s\n[duties]\naddr = {}\nnames = usage_reporter,autoscaler\nrate = 50/s\nwindow = {WINDOW_MS}ms\n\
             due = 4s\n",
            settings(name, store.addr),
            duties.addr,
        );
        let file = folder.write("host.ini", &settings);
        let file = file.to_str().expect("a path").to_owned();
        let log = folder.write(LOG_FILE, "");
        let process = Process::start_with_stdout(&["host", "-c", &file], &log);
        let line: Value = serde_json::from_str(&process.first_line).expect("a JSON line");
        let addr = |name: &str| line[name].as_str().and_then(|addr| addr.parse().ok());
        Self {
            name: name.to_owned(),
            callers: addr("callers").expect("the callers' listener"),
            readiness: addr("readiness").expect("the readiness listener"),
            process,
            folder,
        }
    }

    fn wait_ready(&self) {
        wait_for("readiness", || {
            let answer = http::send(self.readiness, "GET", "/v1/readyz", &[], b"");
            answer.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Sends a request of a customer; returns the status.
    fn send(&self, key: &str) -> Option<u16> {
        let authorization = format!("Token {key}");
        let headers = [
            ("x-chiveway-attempt-id", "id-1"),
            ("x-chiveway-deadline-ms", "8000"),
            ("authorization", &authorization),
        ];
        let answer = http::send(self.callers, "POST", "/once/x", &headers, b"body");
        answer.map(|answer| answer.status)
    }
}

/// Two hosts, a plain server, the store and the platform that takes the calls.
struct Deployment {
    store: Store,
    duties: Duties,
    plain: Engine,
    hosts: Vec<Host>,
}

impl Deployment {
    fn new() -> Self {
        Self::with_duties(Duties::start())
    }

    fn with_duties(duties: Duties) -> Self {
        let (store, plain) = (Store::start(), Engine::plain("s-1"));
        let mut config = config(1, "/short/");
        config["tenants"] = json!([
            {"name": "one", "apiKeys": ["k1"]},
            {"name": "two", "apiKeys": ["k2"]},
        ]);
        store.put("op/config", &config);
        store.put("servers/s-1", &plain.entry("ready"));
        let hosts = ["host-1", "host-2"].map(|name| Host::start(name, &store, &duties));
        for host in &hosts {
            host.wait_ready();
        }
        Self {
            store,
            duties,
            plain,
            hosts: hosts.into(),
        }
    }

    /// Sends a request of each customer through each host; returns how many were served.
    fn send(&self) -> u64 {
        let keys = ["k1", "k1", "k2"];
        let sent = self
            .hosts
            .iter()
            .flat_map(|host| keys.map(|key| host.send(key)));
        sent.map(|status| u64::from(status == Some(200))).sum()
    }

    /// Returns the position of the host that made the last call.
    fn holder(&self) -> usize {
        wait_for("a call of a duty", || self.duties.last_holder().is_some());
        let holder = self.duties.last_holder();
        let found = self
            .hosts
            .iter()
            .position(|host| Some(&host.name) == holder.as_ref());
        found.expect("the holder is one of the hosts")
    }

    /// Waits until the platform has accepted reports of so many more windows.
    fn wait_reports(&self, count: usize) {
        let before = self.duties.accepted().len();
        wait_for("reports", || self.duties.accepted().len() >= before + count);
    }
}

/// Returns the sum of all reported counts.
fn total(accepted: &BTreeMap<u64, Value>) -> u64 {
    let counts = accepted.values().filter_map(Value::as_object);
    counts
        .flat_map(|counts| counts.values())
        .filter_map(Value::as_u64)
        .sum()
}

/// Guards against a call of a duty that does not end, and counts that are lost or sent twice with it.
#[test]
fn answers_without_end_lose_no_report() {
    for (pace, places) in [FLOODS, DRIPS] {
        let mut duties = Duties::start();
        let flooded = Flooded::start(duties.addr, "/usage", places, pace);
        duties.addr = flooded.addr;
        let site = Deployment::with_duties(duties);
        let served = site.send();
        flooded.wait_closed(places);
        wait_for("all requests to be reported", || {
            total(&site.duties.accepted()) >= served
        });
        assert_eq!(total(&site.duties.accepted()), served);
    }
}

#[test]
fn every_request_is_reported_once() {
    let site = Deployment::new();
    let mut served = 0;
    for _ in 0..12 {
        served += site.send();
        std::thread::sleep(Duration::from_millis(150));
    }
    wait_for("all requests to be reported", || {
        total(&site.duties.accepted()) >= served
    });
    site.wait_reports(1);
    let accepted = site.duties.accepted();
    assert_eq!(total(&accepted), served);
    let one: u64 = accepted
        .values()
        .filter_map(|counts| counts["one"].as_u64())
        .sum();
    assert_eq!(one * 3, served * 2);
    site.duties.check();
}

/// The platform accepts a report and its answer is lost, then the holder is killed. Guards against a second report of
/// the window with other counts.
#[test]
fn a_report_without_an_answer_is_repeated_exactly_by_the_next_holder() {
    let mut site = Deployment::new();
    site.send();
    site.wait_reports(1);
    site.duties.set(Answering::Lost);
    let holder = site.holder();
    let before = site.duties.calls().len();
    site.send();
    wait_for("a call without an answer", || {
        site.duties.calls().len() > before
    });
    site.hosts[holder].process.kill();
    site.duties.set(Answering::Normal);
    site.hosts.remove(holder);
    site.send();
    site.wait_reports(2);
    site.duties.check();
}

/// The holder is suspended beyond its lease and wakes up while another host holds the duty. Guards against calls with
/// the lower fencing number.
#[test]
fn a_resumed_holder_does_not_act_on_its_old_lease() {
    let site = Deployment::new();
    site.send();
    site.wait_reports(1);
    let first = site.holder();
    site.hosts[first].process.freeze();
    let other = &site.hosts[1 - first].name;
    wait_for("another holder", || {
        site.duties.last_holder().as_ref() == Some(other)
    });
    site.hosts[first].process.thaw();
    site.send();
    site.wait_reports(3);
    site.duties.check();
}

/// All hosts are killed after a window was settled and before it was reported. Guards against hosts that settle it anew
/// with the counts that they know.
#[test]
fn a_settled_window_outlives_all_hosts() {
    let mut site = Deployment::new();
    site.send();
    site.wait_reports(1);
    site.duties.set(Answering::Lost);
    let before = site.duties.calls().len();
    site.send();
    wait_for("a call without an answer", || {
        site.duties.calls().len() > before
    });
    for host in &mut site.hosts {
        host.process.kill();
    }
    site.duties.set(Answering::Normal);
    let names = ["host-1", "host-2"];
    site.hosts = names
        .map(|name| Host::start(name, &site.store, &site.duties))
        .into();
    for host in &site.hosts {
        host.wait_ready();
    }
    site.send();
    site.wait_reports(2);
    site.duties.check();
}

/// The store is restored from a copy without the last settlements. Guards against other counts for windows that were
/// reported, and against a fencing number that was used before.
#[test]
fn a_store_from_an_older_copy_changes_no_report() {
    let site = Deployment::new();
    site.send();
    let copy = site.store.revision();
    site.send();
    site.wait_reports(2);
    site.store.restore(copy);
    site.send();
    site.wait_reports(3);
    site.duties.check();
    assert!(!site.plain.request_heads("/once/x").is_empty());
}

/// The platform does not answer for a while. Guards against windows that are skipped.
#[test]
fn windows_of_an_outage_are_reported_after_it() {
    let site = Deployment::new();
    site.send();
    site.wait_reports(1);
    site.duties.set(Answering::Busy);
    std::thread::sleep(Duration::from_millis(3 * WINDOW_MS));
    site.duties.set(Answering::Normal);
    site.wait_reports(4);
    site.duties.check();
}

/// Workers of a service are ordered by failure domain. Guards against orders beyond the limits or without the holder's
/// fencing number, and against two hosts that order.
#[test]
fn workers_are_ordered_within_the_limits_by_one_host() {
    let site = Deployment::new();
    let engines: Vec<Engine> = (1..=4)
        .map(|n| Engine::model(&format!("d-{n}"), "decode"))
        .collect();
    for engine in &engines {
        site.store
            .put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let mut config = config(2, "/short/");
    config["services"][1]["scaling"] =
        json!({"min": 1, "max": 3, "bootS": 1.0, "zonePrices": {"z": 1.0}});
    site.store.put("op/config", &config);
    wait_for("an order of workers", || !site.duties.orders().is_empty());
    for order in site.duties.orders() {
        assert_eq!(
            (&order["service"], &order["zone"]),
            (&json!("model"), &json!("z"))
        );
        let count = order["desiredCount"].as_u64().expect("a number");
        assert!((1..=3).contains(&count), "{order}");
    }
    site.duties.check();
    let host = &site.hosts[site.holder()];
    assert!(host.folder.read(LOG_FILE).contains("scaling.ordered"));
}
