//! Choice of an engine, and admission.

use std::time::Duration;

use crate::core::event::{Entry, EntryKind, Event, Fingerprint, FleetEvent, Report, Role};
use crate::core::load;
use crate::core::message::SentPrompt;
use crate::core::route::{self, Need};
use crate::core::{Core, Effects, Time, admit};

/// Prompt tokens that keep an engine busy for a long time.
const LONG_PROMPT_TOKENS: u32 = 1_000_000;

fn core(engines: usize) -> Core {
    let mut core = Core::new(super::settings("host"), Time::default(), 0, 1);
    let entries = (0..engines).map(|at| Entry {
        name: format!("engine-{at}").into(),
        kind: EntryKind::Engine,
        pool: "raadgiver".into(),
        addr: ([127, 0, 1, 1], 200).into(),
        domain: "d".into(),
        leaving: false,
    });
    let listed = FleetEvent::Listed(entries.collect());
    core.reduce(
        Time::from_millis(1),
        Event::Fleet(listed),
        &mut Effects::new(),
    );
    core
}

fn need() -> Need {
    Need {
        model: "raadgiver".into(),
        prompt: 100,
        output: 100,
        prefix: 0,
        avoid: Vec::new(),
    }
}

fn receive_sent(core: &mut Core, engine: &str) {
    let key = core.fleet.find(engine).expect("a listed engine");
    let sent = SentPrompt {
        engine: core.fleet.arena[key].name_hash,
        prompt_tokens: LONG_PROMPT_TOKENS,
    };
    load::receive_sent(core, sent);
}

/// Another host has just sent a long prompt to an engine whose last report shows it idle. A request
/// routed by the report alone would queue behind that prompt.
#[test]
fn engine_filled_by_another_host_is_avoided() {
    let mut core = core(3);
    let busy = core.fleet.find("engine-1");
    receive_sent(&mut core, "engine-1");
    for _ in 0..50 {
        let choice = route::choose_engine(&mut core, &need()).expect("an engine");
        assert_ne!(Some(choice.engine), busy);
    }
}

/// A split pool needs an engine of each role: one prefills the prompt, the other decodes. Without
/// either, no engine can be chosen.
#[test]
fn split_pool_needs_both_roles() {
    let mut core = core(2);
    let keys = ["engine-0", "engine-1"].map(|name| core.fleet.find(name).expect("listed"));
    core.fleet.arena[keys[0]].role = Role::Prefill;
    core.fleet.arena[keys[1]].role = Role::Decode;
    let choice = route::choose_engine(&mut core, &need()).expect("two engines");
    assert_eq!((choice.prefill, choice.engine), (Some(keys[0]), keys[1]));
    core.fleet.arena[keys[1]].role = Role::Prefill;
    assert_eq!(route::choose_engine(&mut core, &need()), None);
}

/// All engines are busy and requests are refused with a time to retry. These times must be spread:
/// callers that all retried in the same second would overload the engines again.
#[test]
fn retry_times_are_spread() {
    let mut core = core(1);
    receive_sent(&mut core, "engine-0");
    let times = (0..64_u8).map(|first| {
        let mut print = Fingerprint::default();
        print.0[0] = first;
        let refusal = admit::check(&mut core, &need(), print).expect_err("no room");
        refusal.retry_after.expect("a time to come back")
    });
    let times: std::collections::BTreeSet<Duration> = times.collect();
    assert_eq!(times.len(), 8);
    assert!(times.iter().all(|time| (1..=8).contains(&time.as_secs())));
}

/// The settings state a speed far below the engine's, and another host keeps sending it prompts. By
/// that host's messages alone the engine always seems full, and every request would be refused
/// although the engine reports that it is idle.
#[test]
fn idle_engine_is_tried_despite_other_hosts() {
    let mut core = core(1);
    receive_sent(&mut core, "engine-0");
    let report = |core: &mut Core, waiting, at| {
        let report = FleetEvent::Report {
            name: "engine-0".into(),
            report: Some(Report {
                waiting,
                ..Report::default()
            }),
        };
        core.reduce(at, Event::Fleet(report), &mut Effects::new());
    };
    let refused = |core: &mut Core| admit::check(core, &need(), Fingerprint::default()).is_err();
    assert!(refused(&mut core), "no report yet");
    report(&mut core, 4, Time::from_millis(2000));
    assert!(refused(&mut core), "the report shows queued requests");
    report(&mut core, 0, Time::from_millis(3000));
    assert!(!refused(&mut core), "the report shows an idle engine");
    let key = core.fleet.find("engine-0").expect("a listed engine");
    load::record_sent(&mut core, key, 100, &mut Effects::new());
    assert!(refused(&mut core), "a prompt was sent since the report");
}
