//! Hosts to which the load balancer hands most new connections.
//!
//! A model of the event loop: in each turn it takes a few connections and moves each request that it has read on by a
//! step, so that requests are served later the more of them there are.

use super::*;

/// Connections, with one request each, that a host gets a second when they are spread evenly.
const USUAL_RATE: f64 = 35.0;
/// Processor time of a request, on a small part of a core: the host can serve 166 a second.
const REQUEST_MS: f64 = 6.0;
/// Turns of the loop that a request takes.
const STEPS: u32 = 8;
/// Processor time to take a connection, or to close one.
const ACCEPT_MS: f64 = 0.3;
/// Connections taken in one turn.
const ACCEPT_BATCH: usize = 32;
/// Connections that the kernel holds for the host; it drops others unread.
const BACKLOG: usize = 256;
/// Time from its connection to its answer after which a request counts as lost: its caller's deadline.
const DEADLINE_MS: f64 = 600.0;
/// Lag of an overloaded event loop.
const LAG_MS: f64 = 250.0;
/// Requests that it reads in a turn.
const TURN_REQUESTS: usize = 24;
/// Time after which the rule holds.
const STABLE_MS: f64 = 3000.0;

/// A request that was read.
#[derive(Clone, Copy)]
struct Read {
    /// When its connection was opened.
    opened: f64,
    steps: u32,
}

/// What became of connections that callers opened at a time.
#[derive(Default)]
struct Outcome {
    served: Vec<f64>,
    lost: Vec<f64>,
    unread: Vec<f64>,
    admitted: Vec<f64>,
}

fn within(times: &[f64], span: std::ops::Range<f64>) -> usize {
    times.iter().filter(|at| span.contains(at)).count()
}

/// A host whose event loop takes its time.
struct Loop {
    host: TestHost,
    clock: f64,
    next_arrival: f64,
    pending: std::collections::VecDeque<f64>,
    active: Vec<Read>,
    outcome: Outcome,
}

impl Loop {
    fn new(hosts: usize) -> Self {
        let mut host = TestHost::with_engines();
        for other in 2..=hosts {
            let entry = format!(r#"{{"addr":"10.9.9.{}:1","domain":"z"}}"#, other % 250);
            host.write_key(&format!("hosts/host-{other}"), Some(&entry), 3);
        }
        Self {
            host,
            clock: 0.0,
            next_arrival: 0.0,
            pending: std::collections::VecDeque::new(),
            active: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Runs until a time, with so many connections opened a second.
    fn run(&mut self, until: f64, rate: f64) {
        while self.clock < until {
            while self.next_arrival <= self.clock {
                if self.pending.len() < BACKLOG {
                    self.pending.push_back(self.next_arrival);
                } else {
                    self.outcome.unread.push(self.next_arrival);
                }
                self.next_arrival += 1000.0 / rate;
            }
            self.turn();
        }
    }

    fn turn(&mut self) {
        let begun = self.clock;
        self.run_timers();
        for _ in 0..ACCEPT_BATCH {
            let Some(opened) = self.pending.pop_front() else {
                break;
            };
            self.clock += ACCEPT_MS;
            self.event(RelayEvent::CallerConnected);
            if self
                .host
                .has_effect(|effect| matches!(effect, RelayEffect::AdmitConnection))
            {
                self.outcome.admitted.push(self.clock);
                self.active.push(Read { opened, steps: 0 });
            } else {
                self.outcome.unread.push(opened);
            }
        }
        for read in std::mem::take(&mut self.active) {
            self.clock += REQUEST_MS / f64::from(STEPS);
            self.step(read);
        }
        if self.clock <= begun {
            self.clock += 1.0;
        }
    }

    fn step(&mut self, read: Read) {
        let steps = read.steps + 1;
        if self.clock - read.opened > DEADLINE_MS {
            self.outcome.lost.push(read.opened);
        } else if steps == STEPS {
            self.outcome.served.push(read.opened);
        } else {
            self.active.push(Read { steps, ..read });
            return;
        }
        self.event(RelayEvent::CallerDisconnected);
    }

    fn event(&mut self, event: RelayEvent) {
        self.set_clock();
        self.host.event(event);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some thousand milliseconds"
    )]
    fn set_clock(&mut self) {
        self.host.now = 1000 + self.clock as u64;
    }

    fn run_timers(&mut self) {
        self.set_clock();
        let now = self.host.now;
        let timers = std::mem::take(&mut self.host.timers).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = timers.partition(|(at, _)| *at <= now);
        self.host.timers = later;
        for (_, timer) in due {
            self.host.apply(Event::Timer(timer));
        }
    }
}

/// The balancer hands the connections of all hosts to one, for seconds.
macro_rules! floods {
    ($($name:ident: $hosts:expr,)*) => { $(
        /// Guards against a host that reads more requests than it can serve in time, so that most of them are lost.
        #[test]
        fn $name() {
            let mut site = Loop::new($hosts);
            site.run(2000.0, USUAL_RATE);
            site.run(10_000.0, USUAL_RATE * f64::from($hosts));
            let flood = 2000.0 + STABLE_MS..9000.0;
            let served = within(&site.outcome.served, flood.clone());
            let read = served + within(&site.outcome.lost, flood.clone());
            assert!(read > 0, "no request was read");
            assert!(served * 4 >= read * 3, "{served} of {read} requests that were read were served");
        }
    )* };
}

floods! {
    nine_hosts_connections_at_one: 9,
    forty_five_hosts_connections_at_one: 45,
    three_hundred_hosts_connections_at_one: 300,
}

/// A host that closes connections unread must not do so for good while it says that it is ready.
/// Guards against one that takes none for three seconds.
#[test]
fn an_overloaded_host_takes_a_connection_now_and_then() {
    let mut site = Loop::new(300);
    site.run(2000.0, USUAL_RATE);
    site.run(12_000.0, USUAL_RATE * 300.0);
    for start in [2000.0, 4000.0, 6000.0, 8000.0] {
        let taken = within(&site.outcome.admitted, start..start + STABLE_MS);
        assert!(taken > 0, "none within 3 s of {start}");
    }
}

/// The load is even again after a flood. Guards against a host that goes on closing connections.
#[test]
fn all_connections_are_taken_after_a_flood() {
    let mut site = Loop::new(45);
    site.run(2000.0, USUAL_RATE);
    site.run(6000.0, USUAL_RATE * 45.0);
    // Connections that wait in the kernel's queue belong to the flood.
    site.run(9000.0, USUAL_RATE);
    let before = site.outcome.unread.len();
    site.run(12_000.0, USUAL_RATE);
    assert_eq!(site.outcome.unread.len(), before);
}

/// The process stands still once, at its usual load. Guards against a host that takes that for overload.
#[test]
fn no_connection_is_closed_after_a_single_pause() {
    let mut site = Loop::new(9);
    site.run(2000.0, USUAL_RATE);
    site.clock += 2000.0;
    site.next_arrival = site.clock;
    site.run(6000.0, USUAL_RATE);
    assert_eq!(site.outcome.unread.len(), 0);
}

/// Callers hold many connections open. Guards against connections of callers that leave no descriptors for those to
/// servers.
#[test]
fn connections_of_callers_leave_descriptors_for_servers() {
    let mut host = TestHost::with_engines();
    host.event(RelayEvent::Descriptors(80));
    let connect = |host: &mut TestHost| {
        host.event(RelayEvent::CallerConnected);
        host.has_effect(|effect| matches!(effect, RelayEffect::AdmitConnection))
    };
    let admitted = (0..80).filter(|_| connect(&mut host)).count();
    assert!((20..40).contains(&admitted), "{admitted} of 80");
    host.event(RelayEvent::CallerDisconnected);
    assert!(connect(&mut host), "a connection has ended");
}

/// No descriptor is left for the connections to three servers. Guards against a host that avoids them, or takes its
/// links for lost, and against a request that is said to have run.
#[test]
fn a_missing_descriptor_is_no_failure_of_a_server() {
    let mut host = TestHost::new();
    host.register(["s", "t", "u"].map(plain_entry).into());
    for _ in 0..6 {
        host.arrive(plain_request("/once/x"));
        let sent = host.sent().expect("the request is admitted");
        host.fail_attempt(sent.attempt, Ran::No, AttemptFailure::NoDescriptor);
        let (status, ran, _) = host.refused().expect("the request is refused");
        assert_eq!((status, ran), (503, Ran::No));
    }
    assert!(!host.core.relay.links.are_lost());
    let mut servers = host.core.relay.instances.arena.values();
    assert!(servers.all(|server| server.failures == 0));
}

/// Other processes take the processor from a host with few connections. Guards against a host that closes these unread, although
/// that does not end its lag.
#[test]
fn a_starved_host_with_few_connections_closes_none() {
    let mut site = Loop::new(9);
    site.run(2000.0, USUAL_RATE);
    while site.clock < 6000.0 {
        site.clock += 30.0;
        site.run(site.clock + 1.0, USUAL_RATE);
    }
    assert_eq!(site.outcome.unread.len(), 0);
}

/// The event loop lags while servers answer at once. Guards against a host that takes its own lag for the latency of its
/// servers, and refuses what it has read for it.
#[test]
fn lag_of_a_host_is_no_latency_of_its_servers() {
    let mut site = Loop::new(1);
    site.host.register(["s", "t"].map(plain_entry).into());
    site.run(2000.0, USUAL_RATE);
    for turn in 0..100 {
        let mut sent = Vec::new();
        for _ in 0..TURN_REQUESTS {
            site.host.arrive(Arrival {
                deadline: Some(Duration::from_secs_f64(DEADLINE_MS / 1000.0)),
                ..plain_request("/once/x")
            });
            assert_eq!(site.host.refused(), None, "in turn {turn}");
            sent.extend(site.host.sent());
        }
        site.clock += LAG_MS;
        site.run_timers();
        for sent in sent {
            site.event(RelayEvent::Answered {
                attempt: sent.attempt,
                status: 200,
            });
        }
    }
}
