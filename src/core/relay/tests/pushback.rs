//! Backend servers that refuse requests and name a pushback.

use super::domain::TestDomain;
use super::*;
use crate::core::relay::event::{NamedPushback, Notices, Task};
use crate::core::relay::instance::Instance;

/// Time after a refusal from which on its pushback counts.
const PUSHBACK_GRACE_MS: u64 = 500;
/// Requests that a host may send to a server within its pushback.
const MAX_IN_PUSHBACK: usize = 2;
/// Time between two requests.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Response time of a plain server that refuses nothing: hosts prefer one that refuses, where it seems idle.
const ANSWER_MS: u64 = 200;

fn notices_of(pushback: NamedPushback) -> Notices {
    Notices {
        pushback,
        ..Notices::default()
    }
}

fn pushback_of(millis: u64) -> NamedPushback {
    NamedPushback::For(Duration::from_millis(millis))
}

/// Has a server refuse an attempt and name a pushback.
fn refuse_with(host: &mut TestHost, attempt: AttemptKey, pushback: NamedPushback) {
    let notices = notices_of(pushback);
    host.event(RelayEvent::Noticed { attempt, notices });
    host.fail_attempt(attempt, Ran::No, AttemptFailure::Refused);
}

fn instance<'a>(host: &'a TestHost, id: &str) -> &'a Instance {
    let instances = &host.core.relay.instances;
    &instances.arena[instances.find(id).expect("a known server")]
}

fn is_used(host: &TestHost, id: &str) -> bool {
    instance(host, id).admits(Time::from_millis(host.now))
}

/// A host under load, with servers that refuse everything and name a pushback, and others that answer.
struct Load {
    host: TestHost,
    path: &'static str,
    /// Pushback that each refusing server names, in milliseconds.
    pushbacks: BTreeMap<&'static str, u64>,
    /// Requests that reached each refusing server.
    arrived: BTreeMap<Box<str>, Vec<u64>>,
    /// Pending answers of plain servers, with the time at which they are due.
    due: Vec<(u64, AttemptKey)>,
}

impl Load {
    fn new(host: TestHost, path: &'static str, pushbacks: &[(&'static str, u64)]) -> Self {
        Self {
            host,
            path,
            pushbacks: pushbacks.iter().copied().collect(),
            arrived: BTreeMap::new(),
            due: Vec::new(),
        }
    }

    fn pass(&mut self, millis: u64) {
        for round in 0..millis / REQUEST_INTERVAL_MS {
            let arrival = match self.path {
                "/long/x" => model_request("/long/x", (9 + round % 5, 9000), 4000),
                path => plain_request(path),
            };
            self.host.arrive(arrival);
            while let Some(sent) = self.host.sent() {
                self.answer(&sent);
            }
            let out = self.host.advance(REQUEST_INTERVAL_MS);
            for sent in sent(&out) {
                self.answer(&sent);
            }
            let due = std::mem::take(&mut self.due).into_iter();
            let (ready, later) = due.partition(|(at, _)| *at <= self.host.now);
            self.due = later;
            let ready: Vec<(u64, AttemptKey)> = ready;
            for (_, attempt) in ready {
                let status = 200;
                self.host.event(RelayEvent::Answered { attempt, status });
            }
        }
    }

    fn answer(&mut self, sent: &Outgoing) {
        let attempt = sent.attempt;
        if let Some(pushback) = self.pushbacks.get(&*sent.instance) {
            let arrived = self.arrived.entry(sent.instance.clone()).or_default();
            arrived.push(self.host.now);
            refuse_with(&mut self.host, attempt, pushback_of(*pushback));
        } else if sent.task == Task::Prefill {
            let handle = "h".into();
            self.host.event(RelayEvent::Prefilled { attempt, handle });
        } else if sent.streaming {
            self.host
                .event(RelayEvent::StreamEvent { attempt, number: 1 });
            self.host.stream_ended(attempt);
        } else {
            self.due.push((self.host.now + ANSWER_MS, attempt));
            self.host.out.clear();
        }
    }

    /// Returns the largest number of requests that reached a server within one pushback.
    fn most_in_pushback(&self) -> usize {
        let counts = self.arrived.iter().flat_map(|(server, times)| {
            let pushback = self.pushbacks[&**server];
            times.iter().map(move |refused| {
                let counted = refused + PUSHBACK_GRACE_MS..refused + pushback;
                times.iter().filter(|at| counted.contains(at)).count()
            })
        });
        counts.max().unwrap_or(0)
    }
}

fn plain_host() -> TestHost {
    let mut host = TestHost::new();
    host.register(vec![plain_entry("a"), plain_entry("b")]);
    host
}

macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident: $host:expr, $path:expr, $pushbacks:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut load = Load::new($host, $path, &$pushbacks);
            load.pass(12_000);
            assert!(!load.arrived.is_empty(), "no server was asked");
            let most = load.most_in_pushback();
            assert!(most <= MAX_IN_PUSHBACK, "{most} requests within a pushback");
        })*
    };
}

loads! {
    /// Guards against a pause of the host's own that is shorter than the pushback.
    a_plain_server_gets_nothing_during_its_pushback: plain_host(), "/once/x", [("a", 3000)];
    a_long_pushback_is_kept: plain_host(), "/once/x", [("a", 9000)];
    /// Guards against retries that keep to no pushback.
    a_server_gets_no_retries_during_its_pushback: plain_host(), "/again/x", [("a", 3000)];
    /// Guards against sending to the only servers because there are no others.
    servers_get_nothing_where_all_push_back: plain_host(), "/once/x", [("a", 3000), ("b", 2000)];
    /// Guards against prefills that keep to no pushback.
    a_prefill_engine_gets_nothing_during_its_pushback: TestHost::with_engines(), "/long/x", [("p", 3000), ("q", 3000)];
    /// Guards against handovers that keep to no pushback.
    a_decode_engine_gets_nothing_during_its_pushback: TestHost::with_engines(), "/long/x", [("d", 3000), ("e", 3000)];
}

/// All servers push back. Guards against callers that wait for their deadline, or retry before any server takes a request.
#[test]
fn a_request_is_refused_until_the_soonest_end_if_all_servers_push_back() {
    let mut host = plain_host();
    for pushback in [8000, 3000] {
        host.arrive(plain_request("/again/x"));
        while let Some(sent) = host.sent() {
            refuse_with(&mut host, sent.attempt, pushback_of(pushback));
        }
    }
    host.now += 1000;
    for _ in 0..20 {
        host.arrive(plain_request("/once/x"));
        assert_eq!(host.sent().map(|sent| sent.instance), None);
        let (status, ran, retry_after) = host.refused().expect("an immediate refusal");
        assert_eq!((status, ran), (503, Ran::No));
        let retry_after = retry_after.expect("a time to retry after");
        let soonest = ["a", "b"].map(|id| instance(&host, id).pushback.remaining(host.core.now));
        let soonest = soonest.into_iter().min().expect("two servers");
        assert!(retry_after >= soonest, "{retry_after:?}, {soonest:?}");
        assert!(retry_after <= soonest * 2, "{retry_after:?}, {soonest:?}");
    }
}

macro_rules! refusals {
    ($($(#[$doc:meta])* $name:ident: $pushbacks:expr, $after:expr => $used:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut host = TestHost::new();
            host.register(vec![plain_entry("a")]);
            let attempts: Vec<AttemptKey> = $pushbacks.iter().map(|_| {
                host.arrive(plain_request("/once/x"));
                host.sent().expect("a request is sent").attempt
            }).collect();
            for (attempt, pushback) in attempts.into_iter().zip($pushbacks) {
                refuse_with(&mut host, attempt, pushback);
            }
            host.now += $after;
            assert_eq!(is_used(&host, "a"), $used);
        })*
    };
}

refusals! {
    a_pushback_of_zero_starts_none: [pushback_of(0)], 100 => true;
    an_unreadable_pushback_starts_none: [NamedPushback::Unreadable], 100 => true;
    /// Guards against a refusal that ends the pushback of an earlier one, which still holds.
    a_shorter_pushback_does_not_end_a_longer_one: [pushback_of(4000), pushback_of(1000)], 2500 => false;
    an_unreadable_pushback_does_not_end_one: [pushback_of(4000), NamedPushback::Unreadable], 2500 => false;
    a_longer_pushback_prolongs_one: [pushback_of(1000), pushback_of(4000)], 2500 => false;
    a_huge_pushback_is_kept_for_long: [NamedPushback::For(Duration::MAX)], 1_800_000 => false;
    /// Guards against a server that is never used again because of one wrong value.
    a_huge_pushback_ends: [NamedPushback::For(Duration::MAX)], 8_000_000 => true;
    /// A host is suspended for longer than a pushback. Guards against keeping to pushbacks that ended meanwhile.
    a_pushback_ends_while_the_host_is_suspended: [pushback_of(3000)], 30_000 => true;
}

/// Guards against a pushback that is kept after the server that named it restarted.
#[test]
fn a_restart_ends_a_pushback() {
    let mut host = pushed_back(3000);
    host.now += 100;
    host.register(vec![BackendEntry {
        started_ms: 2,
        ..plain_entry("a")
    }]);
    assert!(is_used(&host, "a"));
}

/// Returns a host whose only server has named a pushback of so many milliseconds.
fn pushed_back(millis: u64) -> TestHost {
    let mut host = TestHost::new();
    host.register(vec![plain_entry("a")]);
    host.arrive(plain_request("/once/x"));
    let sent = host.sent().expect("a request is sent");
    refuse_with(&mut host, sent.attempt, pushback_of(millis));
    host
}

macro_rules! listed_again {
    ($($(#[$doc:meta])* $name:ident: $entry:expr => $used:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut host = pushed_back(9000);
            host.unregister("a");
            assert!(host.core.relay.instances.find("a").is_none());
            host.now += 5000;
            host.register(vec![BackendEntry { revision: 41, ..$entry }]);
            assert_eq!(is_used(&host, "a"), $used);
            host.now += 7000;
            assert!(is_used(&host, "a"));
        })*
    };
}

listed_again! {
    /// A server that pushes back does not reach the store for a time. Guards against a pushback that ends with its entry.
    a_pushback_outlasts_a_missing_entry: plain_entry("a") => false;
    /// Guards against a pushback that is applied to another process under the same id.
    a_new_address_without_an_entry_ends_a_pushback: BackendEntry {
        addr: ([10, 0, 0, 97], 81).into(),
        ..plain_entry("a")
    } => true;
    /// Guards against a pushback that is kept after its server restarted without an entry.
    a_restart_without_an_entry_ends_a_pushback: BackendEntry {
        started_ms: 2,
        ..plain_entry("a")
    } => true;
}

/// Guards against a pushback that an entry of the server, written anew, ends.
#[test]
fn an_entry_does_not_end_a_pushback() {
    let mut host = pushed_back(3000);
    host.now += 1000;
    host.register(vec![BackendEntry {
        revision: 40,
        ..plain_entry("a")
    }]);
    assert!(!is_used(&host, "a"));
}

/// A pushback ends under load. Guards against a burst of requests to the server that was overloaded before it is known
/// whether it accepts one.
#[test]
fn a_server_gets_one_request_first_after_its_pushback() {
    let mut host = pushed_back(2000);
    host.now += 4000;
    host.arrive(plain_request("/once/x"));
    let first = host.sent().expect("the pushback is over");
    for _ in 0..10 {
        host.arrive(plain_request("/once/x"));
        assert_eq!(host.sent().map(|sent| sent.instance), None);
        assert_eq!(host.refused().map(|(status, ..)| status), Some(503));
    }
    host.event(RelayEvent::Answered {
        attempt: first.attempt,
        status: 200,
    });
    for _ in 0..5 {
        host.arrive(plain_request("/once/x"));
        assert!(host.sent().is_some(), "the server accepts requests again");
    }
}

/// One server names the same pushback to all hosts at the same moment. Guards against all of them sending to it as it
/// ends.
#[test]
fn pushbacks_that_end_together_do_not_end_in_a_burst() {
    let hosts = 30;
    let mut domain = TestDomain::with_hosts(hosts);
    domain.pass(2000);
    let now = domain.now;
    for host in domain.hosts.iter_mut().flatten() {
        host.now = now;
        for _ in 0..60 {
            host.arrive(plain_request("/once/x"));
            let sent = host.sent().expect("a request is sent");
            if *sent.instance == *"p" {
                refuse_with(host, sent.attempt, pushback_of(3000));
                break;
            }
        }
    }
    let used = |domain: &TestDomain, after: u64| {
        let at = Time::from_millis(now + after);
        let hosts = domain.hosts.iter().flatten();
        let used = hosts.filter(|host| instance(host, "p").admits(at));
        used.count()
    };
    assert_eq!(used(&domain, 3000), 0);
    // Half of the hosts wait for longer than a tenth of the pushback.
    assert!(used(&domain, 3300) <= hosts / 2 + hosts / 6);
    assert_eq!(used(&domain, 4000), hosts);
}

/// A caller leaves while its prompt is prefilled at an engine that then pushes back. Guards against a call that only
/// frees the KV cache, which expires by itself.
#[test]
fn a_kv_cache_is_not_freed_during_a_pushback() {
    let mut host = TestHost::with_engines();
    let call = host.arrive(model_request("/long/x", (9, 9000), 4000));
    let prefill = host.sent().expect("a request is sent");
    assert_eq!(prefill.task, Task::Prefill);
    let attempt = prefill.attempt;
    let handle = "h".into();
    host.event(RelayEvent::Prefilled { attempt, handle });
    host.event(RelayEvent::ControlNoticed {
        instance: prefill.instance,
        notices: notices_of(pushback_of(5000)),
    });
    host.event(RelayEvent::CallerLeft(call));
    assert!(!host.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
}
