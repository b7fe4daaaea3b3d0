//! Simulation of servers that fall silent at given times and go on, and of callers of a host before them.

use super::run::{Caller, Got, Run};
use super::*;

/// Milliseconds of a step.
const STEP_MS: u64 = 10;
/// Milliseconds until a plain server answers, and until an engine has fetched a KV cache.
const ANSWER_MS: u64 = 20;
/// Tokens of a prompt that an engine prefills in a millisecond.
const PREFILL_RATE: u64 = 20;
/// Milliseconds between two events of a stream.
const EVENT_MS: u64 = 50;
/// Milliseconds that a probe of a silent server takes to fail.
const PROBE_MS: u64 = 300;
/// Time limit of routes and callers.
pub const DEADLINE: Duration = Duration::from_secs(10);

/// A host, its servers and its callers in virtual time.
pub struct Servers {
    pub host: TestHost,
    base: Catalog,
    entries: BTreeMap<Box<str>, BackendEntry>,
    /// When servers are silent: from, until.
    silences: BTreeMap<Box<str>, Vec<(u64, u64)>>,
    /// Milliseconds after which servers refuse what they get.
    pub refusals: BTreeMap<Box<str>, u64>,
    crashed: BTreeSet<Box<str>>,
    pub runs: BTreeMap<AttemptKey, Run>,
    probes: Vec<(u64, Box<str>, bool)>,
    pub callers: BTreeMap<CallKey, Caller>,
    /// Events of a whole stream.
    pub events: u64,
    /// Whether servers that do something at the same time do so in reverse order.
    pub reversed: bool,
    arrivals: u32,
}

impl Servers {
    pub fn new(entries: Vec<BackendEntry>) -> Self {
        let mut base = catalog(2);
        for route in &mut base.routes {
            route.timeout = DEADLINE;
        }
        let mut host = TestHost::new();
        host.configure(base.clone());
        host.register(entries.clone());
        let entries = entries.into_iter();
        Self {
            host,
            base,
            entries: entries.map(|entry| (entry.id.clone(), entry)).collect(),
            silences: BTreeMap::new(),
            refusals: BTreeMap::new(),
            crashed: BTreeSet::new(),
            runs: BTreeMap::new(),
            probes: Vec::new(),
            callers: BTreeMap::new(),
            events: 6,
            reversed: false,
            arrivals: 0,
        }
    }

    pub fn now(&self) -> u64 {
        self.host.now
    }

    pub fn ids(&self) -> Vec<Box<str>> {
        self.entries.keys().cloned().collect()
    }

    /// Has a server be silent for a time.
    pub fn fall_silent(&mut self, server: &str, from: u64, millis: u64) {
        let silences = self.silences.entry(server.into()).or_default();
        silences.push((from, from + millis));
    }

    /// Ends the silence of a server at a time.
    pub fn go_on(&mut self, server: &str, at: u64) {
        let silences = self.silences.get_mut(server).into_iter().flatten();
        for (_, until) in silences {
            *until = at.min(*until);
        }
        for run in self
            .runs
            .values_mut()
            .filter(|run| *run.server() == *server)
        {
            run.due = at.min(run.due);
        }
    }

    /// Returns when a server does what is due at a time.
    fn awake_at(&self, server: &str, at: u64) -> u64 {
        let silences = self.silences.get(server).into_iter().flatten();
        let current = silences.filter(|(from, until)| (*from..*until).contains(&at));
        current.map(|(_, until)| *until).max().unwrap_or(at)
    }

    /// Has a caller send a request with so many tokens of its own, if it is for a model.
    pub fn arrive(&mut self, path: &str, tokens: u64) -> CallKey {
        self.arrivals += 1;
        let request = if path.starts_with("/short/") || path.starts_with("/long/") {
            model_request(path, (1, 60), tokens)
        } else {
            plain_request(path)
        };
        let mut print = [0; 16];
        print[..4].copy_from_slice(&self.arrivals.to_le_bytes());
        let call = self.host.arrive(Arrival {
            id: format!("id-{}", self.arrivals).into(),
            deadline: Some(DEADLINE),
            fingerprint: Fingerprint(print),
            ..request
        });
        let arrived = self.now();
        let caller = Caller {
            arrived,
            ..Caller::default()
        };
        self.callers.insert(call, caller);
        self.take_effects();
        call
    }

    pub fn change(&mut self, change: Change) {
        for changed in change.apply(&self.base) {
            self.base.version = changed.version;
            self.host.configure(changed);
            self.take_effects();
        }
    }

    /// Writes the entry of a server again.
    pub fn rewrite(&mut self, server: &str, change: impl Fn(&mut BackendEntry)) {
        let entry = self.entries.get_mut(server).expect("a server");
        change(entry);
        entry.revision += 50;
        let entry = entry.clone();
        self.host.register(vec![entry]);
        self.take_effects();
    }

    /// Has the store list a server no more: its entry was removed, or has expired in an outage.
    pub fn unlist(&mut self, server: &str, removed: bool) {
        let mut changes = Changes::default();
        if removed {
            changes.removed = vec![server.into()];
        } else {
            let others = self.entries.values().filter(|entry| *entry.id != *server);
            changes.is_snapshot = true;
            changes.instances = others.cloned().collect();
        }
        self.host.apply_changes(changes);
        self.take_effects();
    }

    /// Ends a server for good.
    pub fn crash(&mut self, server: &str) {
        self.crashed.insert(server.into());
        let broken = self.runs.iter().filter(|(_, run)| *run.server() == *server);
        let broken: Vec<AttemptKey> = broken.map(|(attempt, _)| *attempt).collect();
        for attempt in broken {
            self.fail(attempt, Ran::Unknown, AttemptFailure::Cut);
        }
    }

    fn event(&mut self, event: RelayEvent) {
        self.host.event(event);
        self.take_effects();
    }

    fn fail(&mut self, attempt: AttemptKey, ran: Ran, end: AttemptFailure) {
        self.runs.remove(&attempt);
        self.host.fail_attempt(attempt, ran, end);
        self.take_effects();
    }

    fn take_effects(&mut self) {
        let out = std::mem::take(&mut self.host.out);
        self.observe(&out);
    }

    fn observe(&mut self, out: &Effects) {
        for effect in out {
            let Effect::Relay(effect) = effect else {
                continue;
            };
            match effect {
                RelayEffect::Send(sent) => self.sent(sent),
                RelayEffect::Cancel(attempt) => {
                    self.runs.remove(attempt);
                }
                RelayEffect::ProbeLink(probe) => self.probed(&probe.instance),
                RelayEffect::Finish(call) | RelayEffect::ForwardAnswer(call) => {
                    self.end(*call, Got::Whole);
                }
                RelayEffect::AbortAnswer(call) => self.end(*call, Got::Cut),
                RelayEffect::Refuse { call, refusal } => {
                    self.end(*call, Got::Refusal(refusal.kind, refusal.ran));
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, call: CallKey, got: Got) {
        let now = self.now();
        let caller = self.callers.entry(call).or_default();
        assert_eq!(caller.got, None, "ended twice");
        if let Got::Refusal(_, ran) = got {
            assert!(!(ran == Ran::No && caller.has_run), "refused as not run");
        }
        caller.got = Some((now, got));
    }

    fn probed(&mut self, server: &str) {
        let now = self.now();
        let reached = self.awake_at(server, now) == now && !self.crashed.contains(server);
        let millis = if reached { STEP_MS } else { PROBE_MS };
        self.probes.push((now + millis, server.into(), reached));
    }

    fn sent(&mut self, sent: &Outgoing) {
        let now = self.now();
        let own = self.runs.values();
        let mut own = own.filter(|run| run.call() == sent.call && run.server() == sent.instance);
        assert!(own.next().is_none(), "sent twice to {}", sent.instance);
        let source = match &sent.task {
            Task::Decode { from, .. } => {
                let mut entries = self.entries.values();
                let source = entries.find(|entry| entry.addr == *from);
                Some(source.expect("a known engine").id.clone())
            }
            _ => None,
        };
        let prompt = &self.host.core.relay.calls[sent.call].prompt;
        let tokens = prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let takes = match sent.task {
            Task::Decode { .. } => ANSWER_MS,
            Task::Whole | Task::Prefill => ANSWER_MS + tokens / PREFILL_RATE,
        };
        let refuses = self.refusals.get(&sent.instance).copied();
        let run = Run {
            sent: sent.clone(),
            at: now,
            due: now + refuses.unwrap_or(takes),
            source,
            last: sent.resume.unwrap_or(0),
        };
        if !run.prefills()
            && refuses.is_none()
            && let Some(caller) = self.callers.get_mut(&sent.call)
        {
            caller.has_run = true;
        }
        self.runs.insert(sent.attempt, run);
    }

    /// Lets a step of time pass.
    pub fn step(&mut self) {
        let out = self.host.advance(STEP_MS);
        self.observe(&out);
        let now = self.now();
        let probes: Vec<_> = self.probes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, instance, reached) in probes {
            self.event(RelayEvent::LinkProbed { instance, reached });
        }
        let due = self.runs.iter().filter(|(_, run)| run.due <= now);
        let mut due: Vec<AttemptKey> = due.map(|(attempt, _)| *attempt).collect();
        if self.reversed {
            due.reverse();
        }
        for attempt in due {
            self.act(attempt);
        }
        self.assert_one_goes_on();
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now() + millis;
        while self.now() < end {
            self.step();
        }
    }

    /// Does what is due about an attempt, unless its server or the one that it fetches from is silent.
    fn act(&mut self, attempt: AttemptKey) {
        let now = self.now();
        let Some(run) = self.runs.get(&attempt) else {
            return;
        };
        let server = run.server();
        if self.crashed.contains(&server) {
            self.fail(attempt, Ran::No, AttemptFailure::Unreachable);
            return;
        }
        let own = self.awake_at(&server, now);
        let source = run.source.as_ref();
        let awake = source.map_or(own, |source| own.max(self.awake_at(source, now)));
        let run = self.runs.get_mut(&attempt).expect("a run");
        if awake > now {
            run.due = awake;
            return;
        }
        run.source = None;
        if self.refusals.contains_key(&server) {
            self.fail(attempt, Ran::No, AttemptFailure::Refused);
        } else if run.prefills() {
            self.runs.remove(&attempt);
            let handle = "k".into();
            self.event(RelayEvent::Prefilled { attempt, handle });
        } else if !run.sent.streaming {
            self.runs.remove(&attempt);
            let status = 200;
            self.event(RelayEvent::Answered { attempt, status });
        } else {
            run.last += 1;
            run.due = now + EVENT_MS;
            let (number, call) = (run.last, run.call());
            self.piece(call, attempt, number);
        }
    }

    fn piece(&mut self, call: CallKey, attempt: AttemptKey, number: u64) {
        if number > self.events {
            self.runs.remove(&attempt);
            self.host.stream_ended(attempt);
            self.take_effects();
            return;
        }
        self.host.event(RelayEvent::StreamEvent { attempt, number });
        let forwards = |effect: &RelayEffect| matches!(effect, RelayEffect::ForwardEvent(_));
        if self.host.has_effect(forwards) {
            self.callers
                .get_mut(&call)
                .expect("a caller")
                .events
                .push(number);
        }
        self.take_effects();
    }

    /// No request goes on at a second server for long while the first still works on it.
    fn assert_one_goes_on(&self) {
        let mut starts: BTreeMap<CallKey, Vec<u64>> = BTreeMap::new();
        for run in self.runs.values().filter(|run| !run.prefills()) {
            starts.entry(run.call()).or_default().push(run.at);
        }
        for starts in starts.values().filter(|starts| starts.len() > 1) {
            let newest = starts.iter().max().expect("two");
            assert!(
                self.now() - newest <= MAX_BOTH_MS,
                "two servers work on a request"
            );
        }
    }

    /// Returns the requests that run at a server.
    pub fn calls_at(&self, server: &str) -> Vec<CallKey> {
        let own = self.runs.values().filter(|run| *run.server() == *server);
        own.map(Run::call).collect()
    }

    /// Returns the attempt at a server that was sent last for a request.
    pub fn run_of(&self, call: CallKey) -> Option<&Run> {
        let own = self.runs.values().filter(|run| run.call() == call);
        own.max_by_key(|run| run.at)
    }

    /// Lets time pass until this holds, for a second at most.
    pub fn until(&mut self, holds: impl Fn(&Self) -> bool) {
        for _ in 0..100 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!("waited in vain");
    }

    /// Lets time pass until all callers have got their answers; returns what they got.
    pub fn finish(&mut self) -> Vec<Got> {
        let deadline = self.now() + 11_000;
        while self.now() < deadline && self.callers.values().any(|caller| caller.got.is_none()) {
            self.step();
        }
        let relay = &self.host.core.relay;
        assert!(relay.attempts.is_empty() && relay.calls.is_empty());
        assert!(self.runs.is_empty(), "attempts are left at servers");
        let mut servers = relay.instances.arena.values();
        assert!(servers.all(|server| server.own_work.calls == 0));
        let mut all = Vec::new();
        for caller in self.callers.values() {
            let (_, got) = caller.got.expect("an end");
            let expected: Vec<u64> = (1..=self.events).collect();
            if got == Got::Whole && !caller.events.is_empty() {
                assert_eq!(caller.events, expected, "events");
            }
            all.push(got);
        }
        all
    }
}
