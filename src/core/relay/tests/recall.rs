//! Prefills that are overdue, and are sent to another engine or not.

use super::*;
use crate::core::effect::Meter;
use crate::core::event::StopEvent;
use crate::core::relay::Attempt;
use crate::core::relay::event::{CrashReport, Gossip, Task};
use crate::core::relay::instance::{Instance, short_hash};

/// Target of the route to long prompts.
const TARGET_MS: u64 = 600;
/// Time limit of requests.
const DEADLINE_MS: u64 = 4000;

/// Returns a host that recalls prefills, with so many prefill engines and four decode engines.
fn site(prefill: usize) -> TestHost {
    let mut site = TestHost::new();
    let mut engines: Vec<BackendEntry> = (0..prefill)
        .map(|number| {
            let entry = engine_entry(&format!("p{number}"), Stage::Prefill);
            let addr = SocketAddr::from(([10, 0, 1, u8::try_from(number).expect("few")], 80));
            BackendEntry { addr, ..entry }
        })
        .collect();
    engines.extend(["d", "e", "f", "g"].map(|id| engine_entry(id, Stage::Decode)));
    site.register(engines);
    settings(&mut site).policy.recall = true;
    site
}

fn settings(site: &mut TestHost) -> &mut crate::settings::relay::RelaySettings {
    site.core.settings.relay.as_mut().expect("a relay")
}

/// Returns such a host with the first attempt of a long prompt, a prefill.
fn waiting() -> (TestHost, CallKey, Outgoing) {
    let mut site = site(3);
    let call = site.arrive(model_request("/long/x", (1, 4000), 1000));
    let first = site.sent().expect("a request is sent");
    assert_eq!(first.task, Task::Prefill);
    (site, call, first)
}

/// Returns such a host after the recall: the request, the first attempt and the second.
fn recalled() -> (TestHost, CallKey, Outgoing, Outgoing) {
    let (mut site, call, first) = waiting();
    let out = site.advance(TARGET_MS);
    assert_eq!(sent(&out).len(), 1, "recalled once");
    let second = sent(&out).pop().expect("the prefill is recalled");
    assert!(has_effect(&out, |effect| cancels(effect, &first)));
    (site, call, first, second)
}

fn cancels(effect: &RelayEffect, attempt: &Outgoing) -> bool {
    matches!(effect, RelayEffect::Cancel(key) if *key == attempt.attempt)
}

/// Whether an effect frees a KV cache at an engine.
fn frees(effect: &RelayEffect, engine: &str) -> bool {
    matches!(effect, RelayEffect::FreeCache { instance, .. } if &**instance == engine)
}

fn prefilled(site: &mut TestHost, attempt: AttemptKey) {
    let handle = "k".into();
    site.event(RelayEvent::Prefilled { attempt, handle });
}

/// Returns the outcomes of recalls that were counted.
fn outcomes(out: &Effects) -> Vec<&'static str> {
    let counted = out.iter().filter_map(|effect| match effect {
        Effect::Meter(Meter::Recalled { outcome, .. }) => Some(*outcome),
        _ => None,
    });
    counted.collect()
}

/// Retries that the budget of the engines' service counts, those included that are reserved.
fn used(site: &TestHost) -> usize {
    site.core.relay.retry_budgets["model"].used()
}

fn instance<'a>(site: &'a mut TestHost, id: &str) -> &'a mut Instance {
    let key = site.core.relay.instances.find(id).expect("known");
    &mut site.core.relay.instances.arena[key]
}

/// Has an engine start anew under its id.
fn restart(site: &mut TestHost, id: &str) {
    let entry = BackendEntry {
        addr: instance(site, id).addr,
        started_ms: 9,
        revision: 50,
        ..engine_entry(id, Stage::Prefill)
    };
    site.register(vec![entry]);
}

/// Returns the current attempt of a request.
fn attempt(site: &mut TestHost, call: CallKey) -> &mut Attempt {
    let key = site.core.relay.calls[call].attempt.expect("an attempt");
    &mut site.core.relay.attempts[key]
}

/// Has all engines but that of a request's attempt have so much more work.
fn add_work_elsewhere(site: &mut TestHost, call: CallKey, tokens: u64) {
    let own = attempt(site, call).backend;
    let others = site.core.relay.instances.arena.iter_mut();
    let others = others.filter(|(key, _)| *key != own);
    others.for_each(|(_, instance)| instance.own_work.tokens += tokens);
}

/// Only the first engine was to prefill the shared prefix, and is overdue with it. Guards against a second engine that fetches the
/// prefix from there in place of prefilling it, by which the recall looked to be in time.
#[test]
fn the_second_engine_fetches_nothing_from_the_first() {
    let (_, _, first, second) = recalled();
    assert_ne!(first.instance, second.instance);
    assert_eq!(second.fetch_from, None);
}

/// The answer comes after the recall from both engines. Guards against a second run of a request that is not idempotent,
/// and against a KV cache that takes up memory until it expires.
#[test]
fn the_late_answer_of_the_first_engine_is_freed() {
    let (mut site, _, first, second) = recalled();
    assert_ne!(first.instance, second.instance);
    prefilled(&mut site, first.attempt);
    assert!(site.sent().is_none(), "a run of the abandoned prefill");
    assert!(site.has_effect(|effect| frees(effect, &first.instance)));
    prefilled(&mut site, second.attempt);
    let run = site.sent().expect("the prompt is handed over");
    assert!(matches!(run.task, Task::Decode { .. }));
    assert!(!site.has_effect(|effect| matches!(effect, RelayEffect::FreeCache { .. })));
    // The second prefill and the run after it; the first prefill is free.
    assert_eq!(used(&site), 2);
    let attempt = run.attempt;
    site.event(RelayEvent::StreamEvent { attempt, number: 1 });
    site.stream_ended(attempt);
    assert_eq!(outcomes(&site.out), ["in-time"]);
}

/// Generates tests of an abandoned engine that changes before its answer arrives. Guards against a call of an engine that
/// leaves, or of a process that never had the KV cache.
macro_rules! changed_engines {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut site, _, first, _) = recalled();
            let change: fn(&mut TestHost, &str) = $change;
            change(&mut site, &first.instance);
            prefilled(&mut site, first.attempt);
            assert!(!site.has_effect(|effect| frees(effect, &first.instance)));
        }
    )*};
}

changed_engines! {
    nothing_is_freed_at_an_engine_that_leaves: |site, id| instance(site, id).leaving = true;
    nothing_is_freed_at_an_engine_that_restarted: restart;
}

/// Generates tests of a second engine that does not take the recalled prefill. Guards against a caller that is refused with
/// time and budget left.
macro_rules! failing_second_engines {
    ($($name:ident: $ran:expr, $how:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut site, _, first, second) = recalled();
            site.fail_attempt(second.attempt, $ran, $how);
            assert_eq!(site.refused(), None);
            let third = site.sent().expect("sent to another engine");
            assert!(![first.instance, second.instance].contains(&third.instance));
            prefilled(&mut site, third.attempt);
            let run = site.sent().expect("handed over");
            assert!(matches!(run.task, Task::Decode { .. }));
            // Two prefills and a run.
            assert_eq!(used(&site), 3);
        }
    )*};
}

failing_second_engines! {
    the_second_engine_refuses: Ran::No, AttemptFailure::Refused;
    the_second_engine_crashes: Ran::Unknown, AttemptFailure::Cut;
}

/// The second engine is as slow as the first, and a third is idle. Guards against prompts that pass from engine to engine and
/// are prefilled in vain at each, and against an answer that says the request may have run.
#[test]
fn a_prefill_is_recalled_once() {
    let mut site = site(3);
    let mut catalog = catalog(2);
    for route in &mut catalog.routes {
        route.target = Duration::from_secs(2);
    }
    site.configure(catalog);
    // The others are busy as the prompt is sent, so that the check is early.
    for id in ["p1", "p2", "d", "e", "f", "g"] {
        instance(&mut site, id).own_work.tokens = 12_000;
    }
    let call = site.arrive(model_request("/long/x", (1, 4000), 1000));
    for id in ["p1", "p2", "d", "e", "f", "g"] {
        instance(&mut site, id).own_work.tokens = 0;
    }
    assert_eq!(attempt(&mut site, call).task, Task::Prefill);
    let all = site.advance(DEADLINE_MS);
    let recalls = all.iter().filter(
        |effect| matches!(effect, Effect::LogFields(event) if event.name == "request.recalled"),
    );
    assert_eq!(recalls.count(), 1);
    let refused = all.iter().find_map(|effect| match effect {
        Effect::Relay(RelayEffect::Refuse { refusal, .. }) => Some(refusal.ran),
        _ => None,
    });
    assert_eq!(refused, Some(Ran::No));
    assert_eq!(outcomes(&all), ["unanswered"]);
}

/// A run is never recalled. Guards against a second run of a request that is not idempotent.
#[test]
fn a_run_is_not_recalled() {
    let (mut site, _, first) = waiting();
    prefilled(&mut site, first.attempt);
    let run = site.sent().expect("handed over");
    let out = site.advance(TARGET_MS);
    assert!(sent(&out).is_empty());
    assert!(!has_effect(&out, |effect| cancels(effect, &run)));
}

/// Guards against prefills that are recalled although they are as fast as expected, or that answer just in time.
#[test]
fn a_prefill_that_ends_as_expected_is_not_recalled() {
    let (mut site, _, first) = waiting();
    let out = site.advance(250);
    assert!(sent(&out).is_empty(), "recalled while another is in time");
    prefilled(&mut site, first.attempt);
    let out = site.advance(TARGET_MS);
    assert!(sent(&out).is_empty());
    assert!(outcomes(&out).is_empty());
}

/// Generates tests of waiting prefills that are not recalled, and what is counted for them.
macro_rules! kept_prefills {
    ($($(#[$doc:meta])+ $name:ident: $prepare:expr => $counted:expr;)*) => {$(
        $(#[$doc])+
        #[test]
        fn $name() {
            let (mut site, call, first) = waiting();
            let prepare: fn(&mut TestHost, CallKey) = $prepare;
            prepare(&mut site, call);
            let out = site.advance(TARGET_MS);
            assert!(sent(&out).is_empty(), "recalled");
            assert!(!has_effect(&out, |effect| cancels(effect, &first)));
            let counted: &[&str] = $counted;
            assert_eq!(outcomes(&out), counted);
        }
    )*};
}

kept_prefills! {
    /// Guards against a part that acts where the operator has not switched it on.
    nothing_is_recalled_by_default: |site, _| settings(site).policy.recall = false => &[];
    /// Guards against recalls that use up what failures need.
    the_budget_for_recalls_is_used_up: |site, _| settings(site).retry_budget.slack = 8.0 => &["no-budget"];
    /// Guards against more retries than the budget allows after failures have used it.
    failures_have_used_the_budget: |site, _| {
        let rules = settings(site).retry_budget;
        let now = Time::from_millis(site.now);
        let budget = site.core.relay.retry_budgets.get_mut("model").expect("a budget");
        while budget.try_spend(now, &rules, 1, 0) {}
    } => &["no-budget"];
    /// Guards against requests sent to engines that leave.
    all_other_engines_leave: |site, _| {
        let others = site.core.relay.instances.arena.values_mut();
        others.for_each(|instance| instance.leaving = true);
    } => &["no-engine"];
    /// Guards against recalls to engines that are as busy.
    all_other_engines_are_busy: |site, call| add_work_elsewhere(site, call, 50_000) => &["no-engine"];
    /// Guards against prompts that are prefilled anew and are late all the same.
    all_other_engines_would_be_late: |site, call| add_work_elsewhere(site, call, 7000) => &["no-engine"];
    /// Guards against prompts that are prefilled anew where the first engine is about to answer in time.
    a_prefill_is_little_overdue: |site, call| attempt(site, call).expected_ms = 230.0 => &[];
    /// Guards against a host that sends prompts anew while it stops.
    the_host_stops: |site, _| site.apply(Event::Stop(StopEvent::Begin)) => &[];
    /// Guards against a second engine that crashes under the same request.
    a_suspect_of_a_crash: |site, _| {
        let gossip = Gossip {
            host: "host-2".into(),
            incarnation: 1,
            sequence: 1,
            crashes: vec![CrashReport {
                fingerprint: u64::from_le_bytes([1; 8]),
                instance: short_hash("x"),
                started_ms: 1,
                number: 0,
            }],
            ..Gossip::default()
        };
        site.write_key("hosts/host-2", Some(r#"{"addr":"10.9.9.9:1","domain":"z"}"#), 3);
        site.event(RelayEvent::Gossiped(Box::new(gossip)));
        assert_eq!(site.core.relay.poison_requests.crash_count(u64::from_le_bytes([1; 8])), 1);
    } => &[];
    /// Guards against timers and effects for a request that is gone.
    the_caller_left: |site, call| {
        site.event(RelayEvent::CallerLeft(call));
        site.event(RelayEvent::CallerConnected);
    } => &[];
}

/// This host stands still, and the answers of engines wait unread. Guards against recalls of prefills that have ended.
#[test]
fn a_host_that_lags_recalls_nothing() {
    let (mut site, _, first) = waiting();
    site.advance(100);
    site.now += 300;
    let recall = Timer::Relay(crate::core::relay::RelayTimer::Recall(first.attempt));
    site.apply(Event::Timer(recall));
    assert!(site.sent().is_none());
    prefilled(&mut site, first.attempt);
    assert!(site.sent().is_some(), "the answer was lost");
}

/// The caller leaves after the recall. Guards against an attempt that goes on, and against budget that stays reserved.
#[test]
fn nothing_remains_of_a_recall_when_the_caller_leaves() {
    let (mut site, call, _, second) = recalled();
    site.event(RelayEvent::CallerLeft(call));
    assert!(site.has_effect(|effect| cancels(effect, &second)));
    assert!(site.core.relay.attempts.is_empty());
    assert_eq!(used(&site), 1, "the run is still reserved");
    let work: u64 = site
        .core
        .relay
        .instances
        .arena
        .values()
        .map(|i| i.own_work.tokens)
        .sum();
    assert_eq!(work, 0);
}

/// Many prefills hang. Guards against recalls that use more than a quarter of the budget.
#[test]
fn recalls_take_a_quarter_of_the_budget() {
    let mut site = site(40);
    settings(&mut site).retry_budget.ratio = 0.0;
    settings(&mut site).retry_budget.slack = 40.0;
    for block in 0..20 {
        site.arrive(model_request("/long/x", (block, 4000), 1000));
    }
    let out = site.advance(TARGET_MS);
    let second = sent(&out).len();
    assert!((2..=3).contains(&second), "{second} recalled");
    assert!(used(&site) as f64 <= 40.0 * 0.7 / 4.0, "{}", used(&site));
}

/// Guards against prompts that follow the recalled one to the same slow engine, and against an engine that is avoided for
/// longer than a slow phase, or counted as failed.
#[test]
fn the_abandoned_engine_gets_prompts_after_a_while() {
    let (mut site, _, first, _) = recalled();
    let next = |site: &mut TestHost| {
        site.arrive(model_request("/long/x", (1, 4000), 1000));
        site.sent().expect("sent").instance
    };
    assert_ne!(next(&mut site), first.instance);
    let now = Time::from_millis(site.now);
    let abandoned = instance(&mut site, &first.instance);
    assert_eq!(abandoned.failures, 0);
    assert!(abandoned.is_available(now));
    site.advance(700);
    // The others have work by now.
    let got: Vec<_> = (0..3).map(|_| next(&mut site)).collect();
    assert!(got.contains(&first.instance), "{got:?}");
}

/// Guards against a slow phase that counts for the process that was started in its place.
#[test]
fn a_restarted_engine_is_not_slow() {
    let (mut site, _, first, second) = recalled();
    restart(&mut site, &first.instance);
    for id in ["p0", "p1", "p2"]
        .iter()
        .filter(|id| ***id != *first.instance)
    {
        instance(&mut site, id).own_work.tokens += 4000;
    }
    assert_ne!(first.instance, second.instance);
    site.arrive(model_request("/long/y", (2, 4000), 1000));
    assert_eq!(site.sent().map(|sent| sent.instance), Some(first.instance));
}

/// Engines in virtual time: each works off its prompts in order, at its own speed.
#[derive(Default)]
struct Engines {
    /// Prompts by engine, with the milliseconds that each still takes at full speed.
    queues: BTreeMap<Box<str>, Vec<(Option<AttemptKey>, f64)>>,
    /// Arrival by request.
    arrived: BTreeMap<CallKey, u64>,
    /// Milliseconds from arrival to the first event.
    first_events: Vec<u64>,
}

impl Engines {
    /// Takes up what a host sent and cancelled.
    fn take(&mut self, out: &Effects, now: u64, runs: &mut Vec<(u64, CallKey, AttemptKey)>) {
        for effect in out {
            match effect {
                Effect::Relay(RelayEffect::Send(out)) if out.task == Task::Prefill => {
                    let queue = self.queues.entry(out.instance.clone()).or_default();
                    queue.push((Some(out.attempt), 150.0));
                }
                // A run begins after 40 ms.
                Effect::Relay(RelayEffect::Send(out)) => {
                    runs.push((now + 40, out.call, out.attempt));
                }
                Effect::Relay(RelayEffect::Cancel(key)) => {
                    let queues = self.queues.values_mut();
                    queues.for_each(|queue| queue.retain(|(other, _)| *other != Some(*key)));
                }
                _ => {}
            }
        }
    }

    /// Works for 10 ms; returns the prompts that are prefilled.
    fn work(&mut self, slowdown: impl Fn(&str) -> f64) -> Vec<AttemptKey> {
        let mut done = Vec::new();
        for (engine, queue) in &mut self.queues {
            if let Some((attempt, left)) = queue.first_mut() {
                *left -= 10.0 / slowdown(engine);
                if *left <= 0.0 {
                    done.extend(*attempt);
                    queue.remove(0);
                }
            }
        }
        done
    }
}

/// Plays ten seconds in which a tenth of the engines in turn, for 0.6 s each, has two prompts of other hosts ahead that this
/// host does not know, and is 2.5 times slower. Returns the number of answers, and of those that are late.
fn play(recall: bool) -> (usize, usize) {
    let mut site = site(20);
    settings(&mut site).policy.recall = recall;
    settings(&mut site).retry_budget.slack = 200.0;
    let (mut engines, mut runs) = (Engines::default(), Vec::new());
    let start = site.now;
    for step in 0..1100_u64 {
        let phase = step / 60;
        let is_slow = |id: &str| {
            let number: u64 = id[1..].parse().unwrap_or(0);
            number % 10 == phase * 3 % 10
        };
        if step % 60 == 0 {
            for id in (0..20)
                .map(|number| format!("p{number}"))
                .filter(|id| is_slow(id))
            {
                let queue = engines.queues.entry(id.as_str().into()).or_default();
                queue.extend([(None, 150.0); 2]);
            }
        }
        let out = site.advance(10);
        engines.take(&out, site.now, &mut runs);
        if step % 3 == 0 && step < 1000 {
            let call = site.arrive(model_request("/long/x", (step, 4000), 1000));
            engines.arrived.insert(call, site.now);
            let out = std::mem::take(&mut site.out);
            engines.take(&out, site.now, &mut runs);
        }
        for attempt in engines.work(|id| if is_slow(id) { 2.5 } else { 1.0 }) {
            prefilled(&mut site, attempt);
            let out = std::mem::take(&mut site.out);
            engines.take(&out, site.now, &mut runs);
        }
        let (due, later): (Vec<_>, Vec<_>) = runs.into_iter().partition(|run| run.0 <= site.now);
        runs = later;
        for (_, call, attempt) in due {
            engines.first_events.push(site.now - engines.arrived[&call]);
            site.event(RelayEvent::StreamEvent { attempt, number: 1 });
            site.stream_ended(attempt);
        }
    }
    assert!(site.now > start);
    let late = engines
        .first_events
        .iter()
        .filter(|first| **first > TARGET_MS);
    (engines.first_events.len(), late.count())
}

/// Guards against prompts that wait past their target at the slow tenth of the engines while others are idle. By the target of
/// the callers, a recalled prompt is in time: one in a hundred may be late, beyond the budget of recalls.
#[test]
fn a_tenth_of_the_engines_slow_in_turn() {
    let (answers, late) = play(true);
    assert_eq!(answers, 334);
    assert!(late * 100 <= answers, "{late} of {answers} late");
}

/// Guards against a misspelt value that is taken for one of the two, and against an error that does not say what to write.
#[test]
fn the_setting_is_on_or_off() {
    let parse = |policy: &str| Settings::parse_relay(&format!("{SETTINGS}{policy}"), "host.ini");
    for (text, on) in [
        ("", false),
        ("[policy]\nrecall = off\n", false),
        ("[policy]\nrecall = on\n", true),
    ] {
        let relay = parse(text).expect("settings").relay.expect("a relay");
        assert_eq!(relay.policy.recall, on, "{text}");
    }
    let faults = parse("[policy]\nrecall = yes\n").expect_err("a fault");
    let text = faults.iter().map(ToString::to_string).collect::<String>();
    for part in ["recall", "yes", "on", "off"] {
        assert!(text.contains(part), "{text}");
    }
}
