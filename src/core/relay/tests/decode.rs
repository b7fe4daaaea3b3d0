//! Placement at decode engines that run streams.
//!
//! Modelled on sites where long and short prompts alternate, decode engines run ten to twenty streams
//! each, and a stream may pause for at most 200 ms.

use super::*;
use crate::core::relay::event::{Gossip, LoadReport, Task};
use crate::core::relay::instance::short_hash;
use crate::core::relay::model::{GapLoad, Slowdown};
use crate::settings::relay::DecodePlacement;

/// Returns a host with these engines that places by gaps.
fn site(engines: &[(&str, Stage)]) -> TestHost {
    let mut site = TestHost::new();
    let settings = site.core.settings.relay.as_mut().expect("a relaying host");
    settings.policy.decode_placement = DecodePlacement::Gaps;
    let entries = engines.iter().map(|(id, stage)| engine_entry(id, *stage));
    site.register(entries.collect());
    let entry = r#"{"addr":"10.9.9.9:1","domain":"z"}"#;
    site.write_key("hosts/host-2", Some(entry), 3);
    site.write_key("hosts/host-3", Some(entry), 4);
    site
}

/// Measures gaps of so many milliseconds at each engine.
fn measure_gaps(site: &mut TestHost, millis: f64) {
    let model = site.core.relay.cost_model.of_mut("model");
    for instance in site.core.relay.instances.arena.values_mut() {
        for _ in 0..200 {
            model.record_event_gap(millis, &mut instance.pace);
        }
    }
}

/// Measures gaps at different loads: 20 ms, 1 ms for each request and 40 ms for 100,000 context tokens.
fn measure_loaded_gaps(site: &mut TestHost) {
    let model = site.core.relay.cost_model.of_mut("model");
    for instance in site.core.relay.instances.arena.values_mut() {
        for sample in 0..400 {
            let requests = 1 + sample % 20;
            let context = u64::from(requests) * [1000, 17_000][sample as usize / 20 % 2];
            let gap = 20.0 + f64::from(requests) + context as f64 * 4e-4;
            let load = GapLoad { requests, context };
            model.record_loaded_gap(gap, load, &mut instance.pace);
        }
    }
}

/// Receives the load of another host.
fn report(site: &mut TestHost, loads: Vec<LoadReport>) {
    report_from(site, "host-2", loads);
}

fn report_from(site: &mut TestHost, host: &str, loads: Vec<LoadReport>) {
    let sequence = site.now;
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        host: host.into(),
        incarnation: 1,
        sequence,
        loads,
        ..Gossip::default()
    })));
}

fn load(id: &str, calls: u32, tokens: u32) -> LoadReport {
    LoadReport {
        instance: short_hash(id),
        calls,
        tokens,
        ..LoadReport::default()
    }
}

fn use_fixed(site: &mut TestHost) {
    let settings = site.core.settings.relay.as_mut().expect("a relaying host");
    settings.policy.decode_placement = DecodePlacement::Fixed;
}

/// Returns the engine that a request of so many prompt tokens is sent to.
fn place(site: &mut TestHost, path: &str, tokens: u64) -> Outgoing {
    site.arrive(model_request(path, (tokens, 60), tokens - 60));
    site.sent().expect("the request is admitted")
}

const DECODE_ONLY: [(&str, Stage); 2] = [("d", Stage::Decode), ("e", Stage::Decode)];

/// One decode engine has a short queue and no streams, the other is free for prompts and runs 20
/// streams. Guards against a prompt that pauses 20 streams for longer than they can bear, to have its
/// own first token 90 ms sooner.
#[test]
fn a_prompt_avoids_the_engine_whose_streams_it_would_pause_for_too_long() {
    let busy = |site: &mut TestHost| report(site, vec![load("d", 0, 1500), load("e", 20, 0)]);
    let mut site = site(&DECODE_ONLY);
    measure_gaps(&mut site, 60.0);
    busy(&mut site);
    assert_eq!(&*place(&mut site, "/long/x", 3400).instance, "d");
}

/// The same prompt is short enough for the gaps of the streams. Guards against a cost for every
/// prompt beside streams, by which decode engines would stay unused.
#[test]
fn a_prompt_within_the_gap_budget_goes_to_the_engine_without_a_queue() {
    let mut site = site(&DECODE_ONLY);
    measure_gaps(&mut site, 60.0);
    report(&mut site, vec![load("d", 0, 1500), load("e", 20, 0)]);
    assert_eq!(&*place(&mut site, "/long/x", 1000).instance, "e");
}

/// Short prompts burst in at engines that run 20 streams each, while the prefill engine is busy for some
/// time. Guards against short prompts that are within the gap budget one by one and pause
/// all streams together.
#[test]
fn a_burst_of_short_prompts_stays_within_the_gap_budget_of_running_streams() {
    let mut site = site(&[
        ("p", Stage::Prefill),
        ("d", Stage::Decode),
        ("e", Stage::Decode),
    ]);
    measure_gaps(&mut site, 60.0);
    report(
        &mut site,
        vec![load("p", 1, 7000), load("d", 20, 0), load("e", 20, 0)],
    );
    for own in 0..24 {
        site.arrive(model_request("/short/x", (own, 60), 320));
    }
    for id in ["d", "e"] {
        let key = site.core.relay.instances.find(id).expect("registered");
        let instance = &site.core.relay.instances.arena[key];
        let model = site.core.relay.cost_model.of("model");
        let queue = model.prefill_ms(Stage::Decode, instance.pace, instance.work().tokens);
        assert!(queue < 140.0, "{id} pauses its streams for {queue:.0} ms");
    }
}

/// Guards against a change of placements while no gap was measured, or where the setting is off.
#[test]
fn without_measured_gaps_placement_is_that_of_fixed_costs() {
    for is_measured in [false, true] {
        let mut site = site(&DECODE_ONLY);
        if is_measured {
            measure_gaps(&mut site, 60.0);
            use_fixed(&mut site);
        }
        report(&mut site, vec![load("d", 0, 1500), load("e", 20, 0)]);
        let sent = place(&mut site, "/long/x", 3400);
        assert_eq!((&*sent.instance, sent.task), ("e", Task::Whole));
    }
}

/// Guards against a misspelt value that silently means the fixed costs, and against a default that
/// changes placements.
#[test]
fn the_setting_is_off_unless_named() {
    let parse = |text: &str| Settings::parse_relay(&format!("{SETTINGS}{text}"), "host.ini");
    let placement = |text: &str| {
        let settings = parse(text).expect("valid settings");
        settings.relay.map(|relay| relay.policy.decode_placement)
    };
    assert_eq!(placement(""), Some(DecodePlacement::Fixed));
    let gaps = "\n[policy]\ndecode-placement = gaps\n";
    assert_eq!(placement(gaps), Some(DecodePlacement::Gaps));
    let faults = parse("\n[policy]\ndecode-placement = gap\n").expect_err("a bad value");
    let text = faults[0].to_string();
    assert!(
        text.contains("decode-placement") && text.contains("gaps, fixed"),
        "{text}"
    );
}

/// Has a prompt prefilled and returns the engine that it is handed over to.
fn hand_over(site: &mut TestHost, path: &str, tokens: u64) -> Outgoing {
    let sent = place(site, path, tokens);
    assert_eq!(sent.task, Task::Prefill);
    site.now += 100;
    site.event(RelayEvent::Prefilled {
        attempt: sent.attempt,
        handle: "k".into(),
    });
    site.sent().expect("the prompt is handed over")
}

/// Streams of long and short prompts are mixed unevenly: one engine runs three long ones, the other
/// five short ones. Guards against a choice by the number of requests, by which the engine with more context
/// tokens gets even more.
#[test]
fn a_stream_joins_the_engine_with_fewer_context_tokens() {
    let engines = [
        ("p", Stage::Prefill),
        ("d", Stage::Decode),
        ("e", Stage::Decode),
    ];
    for is_fixed in [false, true] {
        let mut site = site(&engines);
        measure_loaded_gaps(&mut site);
        let add = |site: &mut TestHost, id: &str, calls: u32, context: u64| {
            let key = site.core.relay.instances.find(id).expect("registered");
            let work = &mut site.core.relay.instances.arena[key].own_work;
            (work.calls, work.context) = (calls, context);
        };
        add(&mut site, "d", 3, 51_000);
        add(&mut site, "e", 5, 2000);
        if is_fixed {
            use_fixed(&mut site);
        }
        let expected = if is_fixed { "d" } else { "e" };
        assert_eq!(&*hand_over(&mut site, "/long/x", 9000).instance, expected);
    }
}

/// The events of a stream that runs beside others are a measurement at that load. Guards against a
/// model that nothing is recorded in, and against context tokens that stay counted after the stream.
#[test]
fn gaps_between_events_are_recorded_with_the_load_of_the_engine() {
    let mut site = site(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let context = |site: &TestHost| {
        let key = site.core.relay.instances.find("d").expect("registered");
        site.core.relay.instances.arena[key].own_work.context
    };
    let run = |site: &mut TestHost, others: u32, gap: u64| {
        report(site, vec![load("d", others, 0)]);
        let sent = hand_over(site, "/long/x", 9000);
        for number in 1..200 {
            site.now += gap;
            let attempt = sent.attempt;
            site.event(RelayEvent::StreamEvent { attempt, number });
        }
        assert_eq!(context(site), 9010, "prompt and half of the output");
        site.stream_ended(sent.attempt);
        assert_eq!(context(site), 0);
    };
    run(&mut site, 1, 20);
    run(&mut site, 15, 60);
    let model = site.core.relay.cost_model.of("model");
    let key = site.core.relay.instances.find("d").expect("registered");
    let pace = site.core.relay.instances.arena[key].pace;
    let gap = |requests| {
        let context = 9010;
        model.loaded_gap_ms(pace, GapLoad { requests, context })
    };
    let (few, many) = (gap(2).expect("measured"), gap(16).expect("measured"));
    assert!(many > few * 1.8, "{few} {many}");
}

const HANDOVER: [(&str, Stage); 3] = [
    ("p", Stage::Prefill),
    ("d", Stage::Decode),
    ("e", Stage::Decode),
];

/// Returns the load with so many context tokens.
fn with_context(load: LoadReport, context: u32) -> LoadReport {
    LoadReport { context, ..load }
}

/// Returns the context tokens of an engine in the last report of the host.
fn reported_context(out: &Effects, id: &str) -> Option<u32> {
    let messages = out.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::Publish { message, .. }) => Some(message),
        _ => None,
    });
    let loads = messages.flat_map(|message| &message.loads);
    let mut loads = loads.filter(|load| load.instance == short_hash(id));
    loads.next_back().map(|load| load.context)
}

/// Nearly all streams of an engine belong to other hosts. Guards against a choice by this host's own
/// streams, and against context tokens that are not reported, or reported where the setting is off.
#[test]
fn context_tokens_of_other_hosts_count() {
    let mut site = site(&HANDOVER);
    measure_loaded_gaps(&mut site);
    let long = with_context(load("d", 3, 0), 51_200);
    let short = with_context(load("e", 5, 0), 2048);
    report(&mut site, vec![long, short]);
    let sent = hand_over(&mut site, "/long/x", 9000);
    assert_eq!(&*sent.instance, "e");
    let out = site.advance(500);
    assert_eq!(reported_context(&out, "e"), Some(8960), "9010, rounded");
    use_fixed(&mut site);
    site.stream_ended(sent.attempt);
    let sent = hand_over(&mut site, "/long/x", 9000);
    let out = site.advance(500);
    assert_eq!(reported_context(&out, &sent.instance), Some(0));
}

/// Reports of a host get lost from some time on, and a host of an older build reports no context
/// tokens. Guards against context tokens that are counted for ever, and against an engine that counts as idle
/// because the context of its requests is not known.
#[test]
fn lost_reports_and_reports_without_context_are_dropped_and_counted_by_requests() {
    let mut site = site(&HANDOVER);
    measure_loaded_gaps(&mut site);
    report(&mut site, vec![with_context(load("d", 3, 0), 51_200)]);
    site.advance(3000);
    report_from(&mut site, "host-3", vec![load("e", 20, 0)]);
    let sent = hand_over(&mut site, "/long/x", 9000);
    assert_eq!(&*sent.instance, "d");
}

/// An engine ends and starts again under its id. Guards against context tokens of requests that
/// ended with its last process.
#[test]
fn context_tokens_end_with_the_requests_of_an_engine_that_restarts() {
    let mut site = site(&[("p", Stage::Prefill), ("d", Stage::Decode)]);
    let sent = hand_over(&mut site, "/long/x", 9000);
    site.register(vec![BackendEntry {
        started_ms: 2,
        ..engine_entry("d", Stage::Decode)
    }]);
    site.fail_attempt(sent.attempt, Ran::Yes, AttemptFailure::Cut);
    let key = site.core.relay.instances.find("d").expect("registered");
    let work = site.core.relay.instances.arena[key].own_work;
    assert_eq!((work.calls, work.context), (0, 0));
}

/// Returns the entry of a decode engine with 12 slots.
fn small_engine(id: &str) -> BackendEntry {
    BackendEntry {
        slots: 12,
        ..engine_entry(id, Stage::Decode)
    }
}

/// Returns a host with two decode engines of 12 slots at which streams of so many milliseconds have
/// ended, and at which ten requests arrive in a second.
fn site_with_slots(run: u64) -> TestHost {
    let mut site = site(&[]);
    site.register(vec![small_engine("d"), small_engine("e")]);
    for own in 0..if run > 0 { 20 } else { 0 } {
        let attempt = place(&mut site, "/short/x", 380 + own).attempt;
        site.event(RelayEvent::StreamEvent { attempt, number: 1 });
        site.now += run;
        site.stream_ended(attempt);
    }
    for own in 0..20 {
        site.now += 100;
        let call = place(&mut site, "/short/x", 420 + own).call;
        site.event(RelayEvent::CallerLeft(call));
    }
    // Both engines have the same speed.
    for instance in site.core.relay.instances.arena.values_mut() {
        instance.pace = Slowdown::default();
    }
    site
}

/// All slots of an engine are taken, and streams run for two seconds. Guards against a wait that is
/// estimated by a fixed quarter of a second, by which the request comes late; without ended streams
/// that estimate stays.
#[test]
fn the_wait_for_a_slot_follows_from_the_duration_of_runs() {
    for (run, expected) in [(0, "d"), (2000, "e")] {
        let mut site = site_with_slots(run);
        report(&mut site, vec![load("d", 12, 0), load("e", 0, 1500)]);
        let sent = place(&mut site, "/long/x", 700);
        assert_eq!(&*sent.instance, expected, "runs of {run} ms");
    }
}

/// An engine has one free slot by reports that are 200 ms old, in which other hosts have sent two requests
/// to two engines. Guards against many hosts that send a request to the same last slot.
#[test]
fn the_last_slot_counts_as_taken_by_requests_that_are_not_reported_yet() {
    for is_fixed in [false, true] {
        let mut site = site_with_slots(1200);
        report(&mut site, vec![load("d", 11, 0), load("e", 4, 700)]);
        site.now += 200;
        if is_fixed {
            use_fixed(&mut site);
        }
        let sent = place(&mut site, "/long/x", 700);
        assert_eq!(&*sent.instance, if is_fixed { "d" } else { "e" });
    }
}

/// Long streams fill the KV cache of an engine that has the fewest requests. Guards against a request by which the
/// engine must preempt another, while a second engine has room; without any room it is still served.
#[test]
fn a_request_avoids_an_engine_whose_kv_cache_it_does_not_fit() {
    let full = with_context(load("d", 2, 0), 499_968);
    let free = with_context(load("e", 15, 0), 300_032);
    let both = [("d", 15), ("e", 2)].map(|(id, calls)| with_context(load(id, calls, 0), 499_968));
    for (loads, expected) in [(vec![full, free], "e"), (both.to_vec(), "e")] {
        let mut handed = site(&HANDOVER);
        report(&mut handed, loads.clone());
        assert_eq!(&*hand_over(&mut handed, "/long/x", 9000).instance, expected);
        let mut whole = site(&DECODE_ONLY);
        report(&mut whole, loads);
        assert_eq!(&*place(&mut whole, "/long/x", 900).instance, expected);
    }
    let mut fixed = site(&HANDOVER);
    use_fixed(&mut fixed);
    report(&mut fixed, vec![full, free]);
    assert_eq!(&*hand_over(&mut fixed, "/long/x", 9000).instance, "d");
}

/// A caller states an output of any length. Guards against one short request that keeps its engine from all others while it runs,
/// at all hosts, and takes the expected gaps along.
#[test]
fn a_request_counts_for_no_more_than_the_kv_cache() {
    let mut site = site(&[("d", Stage::Decode)]);
    let mut arrival = model_request("/short/x", (1, 100), 2000);
    arrival.prompt.as_mut().expect("a prompt").max_output = u64::MAX;
    site.arrive(arrival);
    assert!(site.sent().is_some());
    let key = site.core.relay.instances.find("d").expect("registered");
    assert_eq!(site.core.relay.instances.arena[key].work().context, 500_000);
}
