//! Placement and admission under more load than can be served in time.
//!
//! Modelled on sites whose long prompts share prefixes of about 13,000 tokens, mixed with many
//! short prompts in bursts of a few seconds. Engines prefill about 40 tokens per millisecond, and
//! prefill admitted prompts in order of arrival.

use super::*;
use crate::core::relay::event::{BlockReport, Gossip, LoadReport, Task};
use crate::core::relay::instance::short_hash;

fn site() -> TestHost {
    let mut site = TestHost::new();
    site.register(vec![
        engine_entry("p", Stage::Prefill),
        engine_entry("q", Stage::Prefill),
        engine_entry("r", Stage::Prefill),
        engine_entry("d", Stage::Decode),
        engine_entry("e", Stage::Decode),
    ]);
    site
}

fn gossip(host: &str, number: u64) -> Gossip {
    Gossip {
        host: host.into(),
        incarnation: 1,
        sequence: number,
        ..Gossip::default()
    }
}

fn host(site: &mut TestHost, name: &str) {
    site.write_key(
        &format!("hosts/{name}"),
        Some(r#"{"addr":"10.9.9.9:1","domain":"z"}"#),
        3,
    );
}

/// Requests with the same prefix go to the engine that has it cached, until waiting there costs
/// more than prefilling it again elsewhere.
#[test]
fn a_shared_prefix_is_prefilled_at_one_engine_until_it_is_full() {
    let mut site = site();
    let mut engines = Vec::new();
    for own in 0..12 {
        site.arrive(model_request("/long/x", (1, 13_000), 1000 + own));
        if let Some(sent) = site.sent() {
            engines.push(sent.instance);
        }
    }
    assert!(
        engines[..3].iter().all(|id| *id == engines[0]),
        "{engines:?}"
    );
    assert!(engines.iter().any(|id| *id != engines[0]), "{engines:?}");
}

/// Another host has sent a prefix to an engine; this host sends requests with that prefix there
/// too.
#[test]
fn prefixes_cached_for_other_hosts_are_used() {
    for engine in ["p", "q", "r"] {
        let mut site = site();
        host(&mut site, "host-2");
        site.event(RelayEvent::Gossiped(Box::new(Gossip {
            blocks: vec![BlockReport {
                block: 1,
                tokens: 13_000,
                instance: short_hash(engine),
            }],
            ..gossip("host-2", 1)
        })));
        site.arrive(model_request("/long/x", (1, 13_000), 1000));
        assert_eq!(site.sent().map(|sent| sent.instance), Some(engine.into()));
    }
}

/// Every host sees only its part of the requests: an engine that is idle by this host's own work
/// may be full of others'.
#[test]
fn work_of_other_hosts_counts() {
    let mut site = site();
    host(&mut site, "host-2");
    let busy = |id: &str| LoadReport {
        instance: short_hash(id),
        calls: 3,
        fill: 0,
        tokens: 30_000,
        context: 0,
    };
    site.event(RelayEvent::Gossiped(Box::new(Gossip {
        loads: vec![busy("p"), busy("q")],
        ..gossip("host-2", 2)
    })));
    site.arrive(model_request("/long/x", (1, 13_000), 1000));
    assert_eq!(site.sent().map(|sent| sent.instance), Some("r".into()));
    // Datagrams may arrive out of order: an older message changes nothing.
    site.event(RelayEvent::Gossiped(Box::new(gossip("host-2", 1))));
    site.arrive(model_request("/long/y", (2, 13_000), 1000));
    let sent = site.sent().map(|sent| sent.instance);
    assert!(sent != Some("p".into()) && sent != Some("q".into()));
    // The work of a host without recent messages is dropped after a while.
    site.advance(3000);
    let key = site.core.relay.instances.find("p").expect("registered");
    assert_eq!(site.core.relay.instances.arena[key].peer_total.tokens, 0);
}

/// A burst of long prompts exceeds what the engines can prefill in time. Those that would be late
/// are refused immediately with a time to retry after, and short prompts still meet their target.
#[test]
fn a_burst_of_long_prompts_leaves_short_ones_in_time() {
    let mut site = site();
    let mut refused = 0;
    for block in 0..60 {
        site.arrive(model_request("/long/x", (block, 13_000), 4000));
        if let Some((status, ran, retry)) = site.refused() {
            assert_eq!((status, ran), (503, Ran::No));
            assert!(retry.is_some_and(|retry| retry >= Duration::from_millis(500)));
            refused += 1;
        }
    }
    assert!((30..60).contains(&refused), "{refused} of 60");
    for _ in 0..5 {
        site.arrive(model_request("/short/x", (1000, 60), 290));
        assert!(site.sent().is_some());
    }
}

/// Long prompts prefilled at a decode engine would delay every stream and handover there.
#[test]
fn long_prompts_are_not_prefilled_at_decoding_engines() {
    let mut site = site();
    for block in 0..20 {
        site.arrive(model_request("/long/x", (block, 13_000), 4000));
        if let Some(sent) = site.sent() {
            assert_eq!(sent.task, Task::Prefill);
        }
    }
}

/// Short prompts use both kinds of engine: prefill engines and a handover while these have
/// capacity, decode engines alone otherwise.
#[test]
fn short_prompts_use_engines_of_both_stages() {
    let mut site = site();
    let mut whole = 0;
    for _ in 0..200 {
        site.arrive(model_request("/short/x", (1, 60), 290));
        whole += usize::from(site.sent().is_some_and(|sent| sent.task == Task::Whole));
    }
    assert!((20..180).contains(&whole), "{whole} of 200");
}

/// An engine slower than the others gets fewer prompts once its slowdown is known.
#[test]
fn a_slow_engine_gets_fewer_prompts() {
    let mut site = site();
    let mut slow = (0, 0);
    for round in 0..60_u64 {
        site.arrive(model_request("/long/x", (round, 13_000), 1000));
        let Some(sent) = site.sent() else { continue };
        let took = if &*sent.instance == "p" { 1400 } else { 350 };
        if &*sent.instance == "p" {
            if round < 30 { slow.0 += 1 } else { slow.1 += 1 }
        }
        site.now += took;
        site.event(RelayEvent::Prefilled {
            attempt: sent.attempt,
            handle: "k".into(),
        });
        let Some(next) = site.sent() else { continue };
        site.event(RelayEvent::StreamEvent {
            attempt: next.attempt,
            number: 1,
        });
        site.stream_ended(next.attempt);
    }
    assert!(slow.1 < slow.0.max(1) && slow.1 <= 5, "{slow:?}");
}

/// An engine refuses nearly all requests although it reports itself healthy. It looks idle and
/// would get every request, and each refusal costs a retry until the retry budget is exhausted.
#[test]
fn a_refusing_engine_gets_few_requests() {
    let mut site = site();
    let mut refusals = 0;
    for round in 0..200 {
        site.arrive(model_request("/short/x", (round, 60), 290));
        let mut sent = site.sent();
        while let Some(out) = sent {
            site.now += 3;
            if &*out.instance == "d" {
                refusals += 1;
                site.fail_attempt(out.attempt, Ran::No, AttemptFailure::Refused);
            } else if out.task == Task::Prefill {
                site.event(RelayEvent::Prefilled {
                    attempt: out.attempt,
                    handle: "k".into(),
                });
            } else {
                site.stream_ended(out.attempt);
            }
            sent = site.sent();
        }
        site.now += 20;
    }
    assert!(refusals <= 20, "{refusals} refusals in 200 requests");
}
