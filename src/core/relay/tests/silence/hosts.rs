//! Simulation of hosts that forward requests to each other before servers that all fall silent together.

use super::run::{Caller, Got};
use super::*;
use crate::core::relay::event::Forwarded;
use crate::core::relay::tests::domain::{TestDomain, host_at};

/// Milliseconds until a server answers, and between two events of a stream.
const ANSWER_MS: u64 = 20;
const EVENT_MS: u64 = 50;
/// Milliseconds that a probe of a silent server takes to fail.
const PROBE_MS: u64 = 300;
/// Milliseconds between two hosts.
const HOP_MS: u64 = 1;
/// Milliseconds in which all hosts learn of the servers.
const WARM_UP_MS: u64 = 5000;
/// Events of a whole stream.
const EVENTS: u64 = 12;

/// A request at a host.
type At = (usize, CallKey);

/// An attempt of a host at a server.
#[derive(Debug, Clone)]
struct Run {
    streaming: bool,
    due: u64,
    /// Number of the last event that the server has sent.
    last: u64,
}

/// What is on its way to a host.
#[derive(Debug)]
enum Message {
    Event(RelayEvent),
    Forwarded(usize, AttemptKey, Box<Arrival>),
    Left(CallKey),
}

/// Hosts, servers and callers in virtual time.
pub struct Hosts {
    pub site: TestDomain,
    /// When all servers are silent.
    silence: (u64, u64),
    runs: BTreeMap<(usize, AttemptKey), Run>,
    messages: Vec<(u64, usize, Message)>,
    pub callers: BTreeMap<At, Caller>,
    /// Requests that hosts forwarded: which attempt brought each, and which request each attempt led to.
    sources: BTreeMap<At, (usize, AttemptKey)>,
    targets: BTreeMap<(usize, AttemptKey), At>,
    pub forwards: usize,
    arrivals: u32,
}

impl Hosts {
    pub fn new(hosts: usize, domains: usize, servers: u8) -> Self {
        let mut site = TestDomain::with_domains(hosts, domains);
        let ids = (b'a'..).take(servers.into()).map(char::from);
        let entries = ids.map(|id| plain_entry(&id.to_string()));
        site.store.list(entries.collect());
        site.pass(WARM_UP_MS);
        site.fails_probes = false;
        site.actions.clear();
        Self {
            site,
            silence: (0, 0),
            runs: BTreeMap::new(),
            messages: Vec::new(),
            callers: BTreeMap::new(),
            sources: BTreeMap::new(),
            targets: BTreeMap::new(),
            forwards: 0,
            arrivals: 0,
        }
    }

    /// Has all servers be silent from now on, for a time.
    pub fn fall_silent(&mut self, millis: u64) {
        self.silence = (self.site.now, self.site.now + millis);
    }

    fn is_silent(&self) -> bool {
        (self.silence.0..self.silence.1).contains(&self.site.now)
    }

    fn node(&mut self, host: usize) -> &mut TestHost {
        let now = self.site.now;
        let node = self.site.hosts[host].as_mut().expect("a running host");
        node.now = now;
        node
    }

    /// Has a caller send a request to a host.
    pub fn arrive(&mut self, host: usize, path: &str) {
        self.arrivals += 1;
        let mut print = [0; 16];
        print[..4].copy_from_slice(&self.arrivals.to_le_bytes());
        let arrival = Arrival {
            id: format!("id-{}", self.arrivals).into(),
            fingerprint: Fingerprint(print),
            ..plain_request(path)
        };
        let call = self.node(host).arrive(arrival);
        let arrived = self.site.now;
        let caller = Caller {
            arrived,
            ..Caller::default()
        };
        self.callers.insert((host, call), caller);
        self.site.send_effects(host);
        self.act();
    }

    /// Lets time pass, in which each host gets a request every `interval` milliseconds; none if that is 0.
    pub fn pass(&mut self, millis: u64, interval: u64) {
        for step in 0..millis {
            self.site.pass(1);
            self.act();
            self.deliver();
            self.serve();
            if interval > 0 && step % interval == 0 {
                for host in 0..self.site.hosts.len() {
                    let paths = ["/feed/x", "/again/x", "/once/x"];
                    self.arrive(host, paths[self.arrivals as usize % 3]);
                }
            }
        }
    }

    fn after(&mut self, millis: u64, host: usize, message: Message) {
        self.messages.push((self.site.now + millis, host, message));
    }

    fn event(&mut self, host: usize, event: RelayEvent) {
        self.node(host).event(event);
        self.site.send_effects(host);
        self.act();
    }

    fn deliver(&mut self) {
        let now = self.site.now;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, host, message) in due {
            match message {
                Message::Event(event) => self.event(host, event),
                Message::Left(call) => self.event(host, RelayEvent::CallerLeft(call)),
                Message::Forwarded(from, attempt, arrival) => {
                    let node = self.site.hosts[from].as_ref().expect("a running host");
                    if node.core.relay.attempts.contains_key(attempt) {
                        let call = self.node(host).arrive(*arrival);
                        self.sources.insert((host, call), (from, attempt));
                        self.targets.insert((from, attempt), (host, call));
                        self.site.send_effects(host);
                        self.act();
                    }
                }
            }
        }
    }

    /// Has servers do what is due.
    fn serve(&mut self) {
        if self.is_silent() {
            return;
        }
        let now = self.site.now;
        let due = self.runs.iter().filter(|(_, run)| run.due <= now);
        let due: Vec<(usize, AttemptKey)> = due.map(|(key, _)| *key).collect();
        for (host, attempt) in due {
            let Some(run) = self.runs.get_mut(&(host, attempt)) else {
                continue;
            };
            run.last += 1;
            run.due = now + EVENT_MS;
            let (number, is_stream) = (run.last, run.streaming);
            if is_stream && number <= EVENTS {
                self.event(host, RelayEvent::StreamEvent { attempt, number });
                continue;
            }
            self.runs.remove(&(host, attempt));
            let end = if is_stream {
                stream_end(attempt)
            } else {
                let status = 200;
                RelayEvent::Answered { attempt, status }
            };
            self.event(host, end);
        }
    }

    /// Carries out the effects of hosts since the last call.
    fn act(&mut self) {
        while !self.site.actions.is_empty() {
            for (host, effect) in std::mem::take(&mut self.site.actions) {
                self.carry_out(host, effect);
            }
        }
    }

    fn carry_out(&mut self, host: usize, effect: RelayEffect) {
        match effect {
            RelayEffect::Send(sent) => self.sent(host, &sent),
            RelayEffect::Forward(sent) => self.forward(host, *sent),
            RelayEffect::ProbeLink(probe) => {
                let reached = !self.is_silent();
                let instance = probe.instance;
                let event = RelayEvent::LinkProbed { instance, reached };
                let millis = if reached { HOP_MS } else { PROBE_MS };
                self.after(millis, host, Message::Event(event));
            }
            RelayEffect::ForwardEvent(call) => self.forward_event((host, call)),
            RelayEffect::Finish(call) => self.end((host, call), Got::Whole, stream_end),
            RelayEffect::ForwardAnswer(call) => {
                let status = 200;
                let answered = |attempt| RelayEvent::Answered { attempt, status };
                self.end((host, call), Got::Whole, answered);
            }
            RelayEffect::AbortAnswer(call) => {
                let broken = |attempt| RelayEvent::AttemptFailed {
                    attempt,
                    ran: Ran::Unknown,
                    end: AttemptFailure::Cut,
                    detail: "".into(),
                };
                self.end((host, call), Got::Cut, broken);
            }
            RelayEffect::Refuse { call, refusal } => {
                let (kind, ran) = (refusal.kind, refusal.ran);
                let refusal = ForwardRefusal {
                    kind,
                    ran,
                    retry_after: None,
                };
                let refused = |attempt| RelayEvent::ForwardRefused { attempt, refusal };
                self.end((host, call), Got::Refusal(kind, ran), refused);
            }
            RelayEffect::Cancel(attempt) => {
                self.runs.remove(&(host, attempt));
                if let Some(at) = self.targets.remove(&(host, attempt)) {
                    self.sources.remove(&at);
                    self.after(HOP_MS, at.0, Message::Left(at.1));
                }
            }
            _ => {}
        }
    }

    fn sent(&mut self, host: usize, sent: &Outgoing) {
        if let Some(caller) = self.callers.get_mut(&self.origin((host, sent.call))) {
            caller.has_run = true;
        }
        let run = Run {
            streaming: sent.streaming,
            due: self.site.now + ANSWER_MS,
            last: sent.resume.unwrap_or(0),
        };
        self.runs.insert((host, sent.attempt), run);
    }

    /// Returns where the caller of a request sent it.
    fn origin(&self, at: At) -> At {
        let Some((from, attempt)) = self.sources.get(&at) else {
            return at;
        };
        let node = self.site.hosts[*from].as_ref().expect("a running host");
        (*from, node.core.relay.attempts[*attempt].call)
    }

    fn forward(&mut self, host: usize, sent: Forwarded) {
        self.forwards += 1;
        let calls = &self.site.hosts[host].as_ref().expect("a running host");
        let path = calls.core.relay.calls[sent.call].route.prefix.clone();
        let arrival = Arrival {
            deadline: Some(sent.remaining),
            resume: sent.resume,
            version: sent.version,
            forwarded: Some(sent.spent),
            departures: sent.departures,
            fingerprint: Fingerprint([0; 16]),
            ..plain_request(&path)
        };
        let message = Message::Forwarded(host, sent.attempt, Box::new(arrival));
        self.after(HOP_MS, host_at(sent.addr), message);
    }

    fn forward_event(&mut self, at: At) {
        let node = self.site.hosts[at.0].as_ref().expect("a running host");
        let number = node.core.relay.calls[at.1].last_event.expect("a number");
        if let Some((from, attempt)) = self.sources.get(&at).copied() {
            let event = RelayEvent::StreamEvent { attempt, number };
            self.after(HOP_MS, from, Message::Event(event));
        } else if let Some(caller) = self.callers.get_mut(&at) {
            caller.events.push(number);
        }
    }

    /// Handles the end of a request at a host: its caller's, or one that another host forwarded.
    fn end(&mut self, at: At, got: Got, event: impl FnOnce(AttemptKey) -> RelayEvent) {
        if let Some((from, attempt)) = self.sources.remove(&at) {
            self.targets.remove(&(from, attempt));
            self.after(HOP_MS, from, Message::Event(event(attempt)));
            return;
        }
        let now = self.site.now;
        let Some(caller) = self.callers.get_mut(&at) else {
            // The host that forwarded it has given it up.
            return;
        };
        assert_eq!(caller.got, None, "ended twice");
        if let Got::Refusal(_, ran) = got {
            assert!(!(ran == Ran::No && caller.has_run), "refused as not run");
        }
        caller.got = Some((now, got));
    }

    /// Checks that all requests have ended, and that events came in order.
    pub fn assert_ended(&self) {
        for caller in self.callers.values() {
            let (_, got) = caller.got.expect("an end");
            if got == Got::Whole && !caller.events.is_empty() {
                assert_eq!(caller.events, (1..=EVENTS).collect::<Vec<u64>>(), "events");
            }
        }
        assert!(self.runs.is_empty(), "attempts are left at servers");
    }
}

fn stream_end(attempt: AttemptKey) -> RelayEvent {
    let end = StreamEnd {
        framing: Framing::Chunks,
        events: 1,
        unfinished: 0,
    };
    RelayEvent::StreamEnded { attempt, end }
}
