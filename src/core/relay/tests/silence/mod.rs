//! Servers that fall silent while they run a request and go on later, beside changes of the configuration.

mod change;
mod engines;
mod hosts;
mod links;
mod pairs;
mod run;
mod sequence;
mod servers;
mod states;
mod stays;

use std::collections::BTreeSet;

use super::network::Network;
use super::*;
use crate::core::relay::event::{ForwardRefusal, Task};
use crate::error::Kind;
use change::{CHANGES, Change};

/// Milliseconds until a server answers.
const ANSWER_MS: u64 = 5;
/// Milliseconds until a connection fails.
const CONNECT_MS: u64 = 250;
/// Milliseconds until a server that refuses late does so.
const QUEUE_MS: u64 = 600;
/// Milliseconds for which a request may go on at two servers (rule TWICE), less the time to cancel one.
const MAX_BOTH_MS: u64 = 350;
/// Failures of the first server in other requests.
const OTHER_FAILURES: u32 = 5;
/// Events of a whole stream.
const EVENTS: u64 = 3;
/// Milliseconds for which the first server is silent.
const SILENCES: [u64; 6] = [500, 900, 1000, 1500, 2200, 3000];

/// What the other servers do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// They answer it.
    Answer,
    /// They refuse it as not run.
    Refuse,
    /// They refuse it after a time in their queue.
    RefuseLate,
    /// Other servers have their addresses.
    Reject,
    /// They cannot be connected to.
    Unreachable,
    /// They break it off.
    Break,
    /// They are as silent as the first.
    Silent,
    /// They answer that they failed, in parts.
    Fail,
}

/// How far the answer is when its server falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Unanswered,
    Begun,
    /// All events were sent; the end was not.
    Unfinished,
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Got {
    Whole,
    Cut,
    Refusal(Ran),
}

/// A caller, a host and its servers; the one that got the request first is silent for a time.
struct Play {
    site: TestHost,
    next: Next,
    first: Box<str>,
    /// When the silence ends.
    until: u64,
    /// Attempts under way, with the time of sending.
    running: BTreeMap<AttemptKey, (Outgoing, u64)>,
    /// What servers are about to do.
    due: Vec<(u64, AttemptKey, Act)>,
    events: Vec<u64>,
    got: Option<Got>,
}

/// What a server does about an attempt.
#[derive(Debug, Clone, Copy)]
enum Act {
    Fail(Ran, AttemptFailure),
    Prefilled,
    Answer,
    /// A part of an answer that is no stream.
    Part,
    Failure,
}

impl Play {
    fn new(path: &str, next: Next) -> Self {
        let mut site = TestHost::new();
        site.register(vec![
            plain_entry("a"),
            plain_entry("b"),
            engine_entry("p", Stage::Prefill),
            engine_entry("d", Stage::Decode),
            engine_entry("e", Stage::Decode),
        ]);
        let request = if path.starts_with("/short/") || path.starts_with("/long/") {
            model_request(path, (1, 60), 290)
        } else {
            plain_request(path)
        };
        site.arrive(request);
        let mut sent = site.sent().expect("a request is sent");
        if sent.task == Task::Prefill {
            site.event(RelayEvent::Prefilled {
                attempt: sent.attempt,
                handle: "k".into(),
            });
            sent = site.sent().expect("the prompt is handed over");
        }
        let now = site.now;
        Self {
            site,
            next,
            first: sent.instance.clone(),
            until: now,
            running: BTreeMap::from([(sent.attempt, (sent, now))]),
            due: Vec::new(),
            events: Vec::new(),
            got: None,
        }
    }

    /// Has other requests at the first server be silent too: the host avoids it from its next failure on.
    fn avoid_first(&mut self) {
        let instances = &mut self.site.core.relay.instances;
        let first = instances.find(&self.first).expect("known");
        instances.arena[first].failures = OTHER_FAILURES;
    }

    /// Takes in what the host does.
    fn observe(&mut self, out: &Effects) {
        for effect in out {
            let Effect::Relay(effect) = effect else {
                continue;
            };
            match effect {
                RelayEffect::Send(sent) => self.send(sent),
                RelayEffect::Cancel(attempt) => {
                    self.running.remove(attempt);
                }
                RelayEffect::Finish(_) | RelayEffect::ForwardAnswer(_) => self.end(Got::Whole),
                RelayEffect::AbortAnswer(_) => self.end(Got::Cut),
                RelayEffect::Refuse { refusal, .. } => self.end(Got::Refusal(refusal.ran)),
                _ => {}
            }
        }
    }

    fn end(&mut self, got: Got) {
        assert_eq!(self.got, None, "ended twice");
        self.got = Some(got);
    }

    fn send(&mut self, sent: &Outgoing) {
        let now = self.site.now;
        let prefills = sent.instance.starts_with('p');
        assert_eq!(
            sent.task == Task::Prefill,
            prefills,
            "sent to {}",
            sent.instance
        );
        self.running.insert(sent.attempt, (sent.clone(), now));
        let own = self
            .running
            .values()
            .filter(|(other, _)| other.instance == sent.instance);
        assert_eq!(own.count(), 1, "sent twice to {}", sent.instance);
        let answer = if sent.task == Task::Prefill {
            Act::Prefilled
        } else {
            Act::Answer
        };
        let (after, act) = match self.next {
            _ if sent.instance == self.first => (self.until.saturating_sub(now), answer),
            _ if sent.task == Task::Prefill => (0, answer),
            Next::Answer => (0, answer),
            Next::Fail => (0, Act::Part),
            Next::Silent => (self.until.saturating_sub(now), answer),
            Next::Refuse => (0, Act::Fail(Ran::No, AttemptFailure::Refused)),
            Next::RefuseLate => (QUEUE_MS, Act::Fail(Ran::No, AttemptFailure::Refused)),
            Next::Reject => (0, Act::Fail(Ran::No, AttemptFailure::Rejected)),
            Next::Unreachable => (CONNECT_MS, Act::Fail(Ran::No, AttemptFailure::Unreachable)),
            Next::Break => (50, Act::Fail(Ran::Unknown, AttemptFailure::Cut)),
        };
        self.due.push((now + after + ANSWER_MS, sent.attempt, act));
    }

    fn event(&mut self, event: RelayEvent) {
        self.site.event(event);
        let out = std::mem::take(&mut self.site.out);
        self.observe(&out);
    }

    fn act(&mut self, attempt: AttemptKey, act: Act) {
        let Some((sent, _)) = self.running.get(&attempt).cloned() else {
            return;
        };
        match act {
            Act::Fail(ran, end) => {
                self.running.remove(&attempt);
                let detail = "".into();
                self.event(RelayEvent::AttemptFailed {
                    attempt,
                    ran,
                    end,
                    detail,
                });
            }
            Act::Prefilled => {
                self.running.remove(&attempt);
                let handle = "k".into();
                self.event(RelayEvent::Prefilled { attempt, handle });
            }
            Act::Part => {
                self.event(RelayEvent::AnswerReceived(attempt));
                let at = self.site.now + ANSWER_MS;
                self.due.push((at, attempt, Act::Failure));
            }
            Act::Failure => {
                self.running.remove(&attempt);
                let status = 500;
                self.event(RelayEvent::Answered { attempt, status });
            }
            Act::Answer if sent.streaming => {
                let from = sent
                    .resume
                    .unwrap_or(0)
                    .max(self.events.last().copied().unwrap_or(0));
                for number in from + 1..=EVENTS {
                    self.piece(attempt, number);
                }
                self.running.remove(&attempt);
                self.site.stream_ended(attempt);
                let out = std::mem::take(&mut self.site.out);
                self.observe(&out);
            }
            Act::Answer => {
                self.running.remove(&attempt);
                self.event(RelayEvent::Answered {
                    attempt,
                    status: 200,
                });
            }
        }
    }

    fn piece(&mut self, attempt: AttemptKey, number: u64) {
        self.event(RelayEvent::StreamEvent { attempt, number });
        self.events.push(number);
    }

    /// Lets time pass until the request has ended, or for this long.
    fn pass(&mut self, millis: u64) {
        let end = self.site.now + millis;
        while self.site.now < end && self.got.is_none() {
            let out = self.site.advance(10);
            self.observe(&out);
            let now = self.site.now;
            let due: Vec<_> = self.due.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, attempt, act) in due {
                self.act(attempt, act);
            }
            self.assert_one_goes_on();
        }
    }

    /// No request goes on at a second server for long while the first still works on it.
    fn assert_one_goes_on(&self) {
        let starts: BTreeSet<u64> = self.running.values().map(|(_, at)| *at).collect();
        let newest = starts.last().copied().unwrap_or(self.site.now);
        let both = starts.len() > 1 && self.site.now - newest > MAX_BOTH_MS;
        assert!(!both, "two servers work on the request");
    }

    fn change(&mut self, change: Change) {
        for changed in change.apply(&catalog(1)) {
            self.site.configure(changed);
            let out = std::mem::take(&mut self.site.out);
            self.observe(&out);
        }
    }
}

/// Has the server of a request fall silent and go on; returns what the caller got.
fn fall_silent(path: &str, state: State, next: Next, silence: u64, change: Change) -> Got {
    let mut play = Play::new(path, next);
    let (&attempt, _) = play.running.iter().next().expect("an attempt");
    let sent = match state {
        State::Unanswered => 0,
        State::Begun => 1,
        State::Unfinished => EVENTS,
    };
    for number in 1..=sent {
        play.piece(attempt, number);
    }
    play.avoid_first();
    play.until = play.site.now + silence;
    let rest = (play.until + ANSWER_MS, attempt, Act::Answer);
    play.due.push(rest);
    play.pass(silence / 2);
    play.change(change);
    play.pass(8000);
    let got = play.got.expect("the request ends");
    if got == Got::Whole && state != State::Unanswered {
        assert_eq!(play.events, (1..=EVENTS).collect::<Vec<u64>>(), "events");
    }
    assert!(play.running.is_empty(), "attempts are left at servers");
    let relay = &play.site.core.relay;
    assert!(relay.attempts.is_empty() && relay.calls.is_empty());
    let mut servers = relay.instances.arena.values();
    assert!(
        servers.all(|server| server.own_work.calls == 0),
        "work is left"
    );
    got
}

/// Defines one test for each path, state of the answer and behaviour of the other servers.
macro_rules! silences {
    ($($name:ident: $path:expr, $state:ident, $next:ident;)*) => {$(
        /// Guards against a request that is given up at a server that goes on, for another that does not take it.
        #[test]
        fn $name() {
            for silence in SILENCES {
                for change in CHANGES {
                    let got = fall_silent($path, State::$state, Next::$next, silence, change);
                    assert_eq!(got, Got::Whole, "silent for {silence} ms, {change:?}");
                }
            }
        }
    )*};
}

silences! {
    a_begun_stream_whose_next_server_answers: "/short/x", Begun, Answer;
    a_begun_stream_whose_next_server_refuses: "/short/x", Begun, Refuse;
    a_begun_stream_whose_next_server_refuses_late: "/short/x", Begun, RefuseLate;
    a_begun_stream_whose_next_server_is_another: "/short/x", Begun, Reject;
    a_begun_stream_whose_next_server_is_unreachable: "/short/x", Begun, Unreachable;
    a_begun_stream_whose_next_server_breaks_it_off: "/short/x", Begun, Break;
    a_begun_stream_whose_next_server_is_silent: "/short/x", Begun, Silent;
    a_begun_stream_whose_next_server_fails: "/short/x", Begun, Fail;
    a_begun_plain_stream_whose_next_server_fails: "/feed/x", Begun, Fail;
    a_stream_without_its_end_whose_next_server_fails: "/short/x", Unfinished, Fail;
    a_begun_plain_stream_whose_next_server_refuses: "/feed/x", Begun, Refuse;
    a_begun_plain_stream_whose_next_server_refuses_late: "/feed/x", Begun, RefuseLate;
    a_begun_plain_stream_whose_next_server_is_unreachable: "/feed/x", Begun, Unreachable;
    a_begun_plain_stream_whose_next_server_breaks_it_off: "/feed/x", Begun, Break;
    a_begun_plain_stream_whose_next_server_is_silent: "/feed/x", Begun, Silent;
    a_stream_without_its_end_whose_next_server_answers: "/short/x", Unfinished, Answer;
    a_stream_without_its_end_whose_next_server_refuses: "/short/x", Unfinished, Refuse;
    a_stream_without_its_end_whose_next_server_breaks_it_off: "/short/x", Unfinished, Break;
    an_unanswered_stream_whose_next_server_refuses: "/short/x", Unanswered, Refuse;
    an_unanswered_stream_whose_next_server_is_unreachable: "/short/x", Unanswered, Unreachable;
    an_unanswered_stream_whose_next_server_breaks_it_off: "/short/x", Unanswered, Break;
    an_unanswered_safe_request_whose_next_server_answers: "/again/x", Unanswered, Answer;
    an_unanswered_safe_request_whose_next_server_refuses: "/again/x", Unanswered, Refuse;
    an_unanswered_safe_request_whose_next_server_is_unreachable: "/again/x", Unanswered, Unreachable;
    an_unanswered_safe_request_whose_next_server_is_silent: "/again/x", Unanswered, Silent;
    an_unanswered_unsafe_request: "/once/x", Unanswered, Refuse;
    a_begun_stream_that_may_run_once: "/long/x", Begun, Refuse;
    an_unanswered_stream_that_may_run_once: "/long/x", Unanswered, Refuse;
}

/// Has no server answer a host's probes; returns what it does.
pub(super) fn lose_links(site: &mut TestHost) -> Effects {
    site.now += 200;
    let mut out = Effects::new();
    for server in ["p", "q", "r"] {
        site.event(RelayEvent::LinkProbed {
            instance: server.into(),
            reached: false,
        });
        out.extend(site.out.iter().cloned());
    }
    out
}

/// Has a host lose its links while a stream runs; returns the host, the attempt at the server and the one at another host.
pub(super) fn forward_begun_stream(
    network: &mut Network,
) -> (&mut TestHost, AttemptKey, AttemptKey) {
    let site = network.node(0);
    site.arrive(plain_request("/feed/x"));
    let attempt = site.sent().expect("a request is sent").attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    let out = lose_links(site);
    let forwarded = out.iter().find_map(|effect| match effect {
        Effect::Relay(RelayEffect::Forward(sent)) => Some(sent.attempt),
        _ => None,
    });
    let forwarded = forwarded.expect("the stream is forwarded");
    (site, attempt, forwarded)
}

/// The links count as lost while a stream runs at a server that goes on a moment later. Guards against giving the stream up for
/// a host that refuses it.
#[test]
fn a_stream_that_no_other_host_takes_is_not_cut() {
    for refused in [true, false] {
        let mut network = Network::new(3, 1);
        let (site, attempt, forwarded) = forward_begun_stream(&mut network);
        if refused {
            let refusal = ForwardRefusal {
                kind: Kind::Overloaded,
                ran: Ran::No,
                retry_after: None,
            };
            site.event(RelayEvent::ForwardRefused {
                attempt: forwarded,
                refusal,
            });
        } else {
            site.fail_attempt(forwarded, Ran::Unknown, AttemptFailure::Cut);
        }
        let cut = |effect: &RelayEffect| matches!(effect, RelayEffect::AbortAnswer(_));
        assert!(!site.has_effect(cut), "the stream was cut");
        site.event(RelayEvent::StreamEvent { attempt, number: 2 });
        assert!(site.has_effect(|effect| matches!(effect, RelayEffect::ForwardEvent(_))));
    }
}
